"""The filter that charges requests to their workspace's rate."""

import math
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from result import Err, Ok

from ebonyglade.calls import Call, Proceed, Reply, StreamFailed, TokenStream
from ebonyglade.config.published import Workspace
from ebonyglade.config.view import OPEN_WORKSPACE, View
from ebonyglade.limits.estimate import Estimates
from ebonyglade.limits.rights import Rights
from ebonyglade.limits.wallet import Reservation
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, Verdict, refuse

STEP_TOKENS = 64  # charged at once when an answer outgrows its estimate
START_SERVICE_S = 0.1


@dataclass(slots=True)
class Admission:
    """Charges before the work and settles after it.

    A model request is charged its prompt and the estimated length of its
    answer. An answer that outgrows the estimate is charged in steps, before
    its tokens go out and ahead of requests that have not started.

    Attributes:
        rights: where tokens come from.
        clock: monotonic seconds.
        view: returns the configuration in force.
        whole: whether the longest possible answer is charged in advance.
    """

    rights: Rights
    clock: Clock
    view: Callable[[], View]
    whole: bool = False
    _lengths: Estimates = field(default_factory=Estimates)
    _times: Estimates = field(default_factory=Estimates)

    async def __call__(self, call: Call, proceed: Proceed) -> Reply:
        """Let a request pass once its workspace's rate allows it."""
        if call.workspace == OPEN_WORKSPACE:
            return await proceed(call)
        workspace = call.view.workspaces.get(call.workspace)
        if workspace is None:
            return Err(refuse("key_unknown", message="The workspace is not published."))
        cost = self._cost(call, workspace)
        if cost > workspace.burst:
            return Err(refuse("rate_impossible"))
        latest = call.deadline - self._times.get(call.route.name, START_SERVICE_S)
        reserved = await self.rights.acquire(call.workspace, cost, latest)
        if isinstance(reserved, Err):
            return reserved
        # The list of endpoints may have changed while the request waited.
        call.view = self.view()
        return await self._run(call, proceed, reserved.ok_value)

    def _cost(self, call: Call, workspace: Workspace) -> float:
        if call.prompt is None:
            return call.route.route.cost
        answer = self._expected(call)
        room = math.floor(workspace.burst - call.prompt.tokens)
        return call.prompt.tokens + max(1, min(answer, room))

    def _expected(self, call: Call) -> int:
        if self.whole:
            return call.max_tokens
        estimate = self._lengths.get(_length_key(call), call.max_tokens)
        return min(call.max_tokens, math.ceil(estimate))

    async def _run(
        self, call: Call, proceed: Proceed, reservation: Reservation
    ) -> Reply:
        started = self.clock()
        settled = False
        try:
            reply = await proceed(call)
            if isinstance(reply, Ok) and isinstance(reply.ok_value, TokenStream):
                settled = True
                reservation.spend(call.prompt.tokens)
                stream = reply.ok_value
                stream.tokens = _Metered(self, call, stream.tokens, reservation)
            elif isinstance(reply, Ok) or _may_have_run(reply.err_value):
                reservation.spend(reservation.left)
            self._times.add(call.route.name, self.clock() - started, START_SERVICE_S)
            return reply
        finally:
            if not settled:
                reservation.settle()

    def finished(self, call: Call, tokens: int) -> None:
        """Learn from the length of a whole answer."""
        self._lengths.add(_length_key(call), tokens, call.max_tokens)


@dataclass(slots=True)
class _Metered:
    """Passes an answer on, charging what outgrows its reservation first.

    Attributes:
        admission: filter that charged the start.
        call: the request.
        tokens: the answer.
        reservation: what is charged so far and not spent.
        sent: tokens passed on.
    """

    admission: Admission
    call: Call
    tokens: AsyncIterator[list[str]]
    reservation: Reservation
    sent: int = 0

    def __aiter__(self) -> "_Metered":
        return self

    async def __anext__(self) -> list[str]:
        try:
            batch = await anext(self.tokens)
            await self._charge(len(batch))
        except StopAsyncIteration:
            self.admission.finished(self.call, self.sent)
            await self.aclose()
            raise
        except BaseException:
            await self.aclose()
            raise
        self.sent += len(batch)
        return batch

    async def aclose(self) -> None:
        """End the answer and free what it did not spend. Idempotent."""
        self.reservation.settle()
        await self.tokens.aclose()

    async def _charge(self, tokens: int) -> None:
        paid = min(tokens, self.reservation.left)
        self.reservation.spend(paid)
        if paid < tokens:
            self.reservation.settle()
            self.reservation = await self._step(tokens - paid)
            self.reservation.spend(tokens - paid)

    async def _step(self, tokens: float) -> Reservation:
        """Return a reservation of the next step, ahead of waiting requests."""
        rest = self.call.max_tokens - self.sent
        outcome = await self.admission.rights.acquire(
            self.call.workspace,
            max(tokens, min(STEP_TOKENS, rest)),
            self.call.deadline,
            urgent=True,
        )
        if isinstance(outcome, Err):
            raise StreamFailed(outcome.err_value.because(verdict=Verdict.RAN))
        return outcome.ok_value


def _length_key(call: Call) -> str:
    return f"{call.workspace} {call.route.name}"


def _may_have_run(refusal: Refusal) -> bool:
    return refusal.verdict is not Verdict.NOT_RUN
