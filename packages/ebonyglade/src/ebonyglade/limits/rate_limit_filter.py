"""Request filter that enforces the rate limit of each workspace."""

import math
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from result import Err, Ok

from ebonyglade.calls import Call, NextHandler, Reply, StreamFailed, TokenStream
from ebonyglade.config.documents import Workspace
from ebonyglade.config.view import OPEN_WORKSPACE, ConfigView
from ebonyglade.limits.estimate import Estimates
from ebonyglade.limits.local_tokens import TokenReservation
from ebonyglade.limits.rate_limiter import RateLimiter
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, Verdict, refuse

STEP_TOKENS = 16
INITIAL_SERVICE_S = 0.1  # estimate for a route without samples


@dataclass(slots=True)
class RateLimitFilter:
    """Reserves rate tokens before a request runs and settles them afterwards.

    A model request reserves tokens for its prompt and the first step of its
    answer. Tokens for each further step are reserved before that step is sent;
    such reservations go ahead of requests that have not started.

    Attributes:
        rate_limiter: reserves the tokens.
        clock: monotonic seconds.
        view: returns the configuration in force.
        step: answer tokens that are reserved at a time.
    """

    rate_limiter: RateLimiter
    clock: Clock
    view: Callable[[], ConfigView]
    step: int = STEP_TOKENS
    _service_times: Estimates = field(default_factory=Estimates)

    async def __call__(self, call: Call, proceed: NextHandler) -> Reply:
        """Run a request once the rate of its workspace allows it."""
        if call.workspace == OPEN_WORKSPACE:
            return await proceed(call)
        workspace = call.view.workspaces.get(call.workspace)
        if workspace is None:
            return Err(refuse("key_unknown", message="The workspace is not published."))
        cost = self._initial_cost(call, workspace)
        if cost > workspace.burst:
            return Err(refuse("rate_impossible"))
        latest = call.deadline - self._service_times.get(
            call.route.name, INITIAL_SERVICE_S
        )
        reserved = await self.rate_limiter.acquire(call.workspace, cost, latest)
        if isinstance(reserved, Err):
            return reserved
        # The list of endpoints may have changed while the request waited.
        call.view = self.view()
        return await self._run(call, proceed, reserved.ok_value)

    def _initial_cost(self, call: Call, workspace: Workspace) -> float:
        if call.prompt is None:
            return call.route.route.cost
        answer = min(call.max_tokens, self.step)
        burst_left = math.floor(workspace.burst - call.prompt.tokens)
        return call.prompt.tokens + max(1, min(answer, burst_left))

    async def _run(
        self, call: Call, proceed: NextHandler, reservation: TokenReservation
    ) -> Reply:
        started = self.clock()
        stream_owns_reservation = False
        try:
            reply = await proceed(call)
            if isinstance(reply, Ok) and isinstance(reply.ok_value, TokenStream):
                stream_owns_reservation = True
                reservation.spend(call.prompt.tokens)
                stream = reply.ok_value
                stream.tokens = _MeteredStream(self, call, stream.tokens, reservation)
            elif isinstance(reply, Ok) or _may_have_run(reply.err_value):
                reservation.spend(reservation.left)
            self._service_times.add(
                call.route.name, self.clock() - started, INITIAL_SERVICE_S
            )
            return reply
        finally:
            if not stream_owns_reservation:
                reservation.settle()


@dataclass(slots=True)
class _MeteredStream:
    """Forwards an answer and reserves more tokens before it exceeds its reservation.

    Attributes:
        admission: filter that made the first reservation.
        call: the request.
        tokens: the answer.
        reservation: reserved tokens that are not yet spent.
        sent: answer tokens forwarded so far.
    """

    admission: RateLimitFilter
    call: Call
    tokens: AsyncIterator[list[str]]
    reservation: TokenReservation
    sent: int = 0

    def __aiter__(self) -> "_MeteredStream":
        return self

    async def __anext__(self) -> list[str]:
        try:
            batch = await anext(self.tokens)
            await self._charge(len(batch))
        except BaseException:
            await self.aclose()
            raise
        self.sent += len(batch)
        return batch

    async def aclose(self) -> None:
        """Close the answer and release its unspent tokens. Idempotent."""
        self.reservation.settle()
        await self.tokens.aclose()

    async def _charge(self, tokens: int) -> None:
        covered = min(tokens, self.reservation.left)
        self.reservation.spend(covered)
        if covered < tokens:
            self.reservation.settle()
            self.reservation = await self._reserve_step(tokens - covered)
            self.reservation.spend(tokens - covered)

    async def _reserve_step(self, tokens: float) -> TokenReservation:
        """Reserve tokens for the next step, ahead of requests that have not started."""
        tokens_left = self.call.max_tokens - self.sent
        outcome = await self.admission.rate_limiter.acquire(
            self.call.workspace,
            max(tokens, min(self.admission.step, tokens_left)),
            self.call.deadline,
            urgent=True,
        )
        if isinstance(outcome, Err):
            raise StreamFailed(outcome.err_value.with_changes(verdict=Verdict.RAN))
        return outcome.ok_value


def _may_have_run(refusal: Refusal) -> bool:
    return refusal.verdict is not Verdict.NOT_RUN
