"""Service calls: one HTTP call at one endpoint, passed through."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.calls import Call, Reply, WholeAnswer
from ebonyglade.dispatch.attempts import RESERVE_TIMEOUT_S
from ebonyglade.dispatch.choice import Inflight, choose
from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.models import MAX_ATTEMPTS
from ebonyglade.dispatch.waiting import wait_for
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.work import Reserve, Reserved, Serve, Served


@dataclass(slots=True)
class ServiceDispatcher:
    """Runs service calls; what may not be repeated is sent at most once."""

    exchange: Exchange
    inflight: Inflight
    clock: Clock
    rng: random.Random
    new_id: Callable[[], str]

    async def run(self, call: Call) -> Reply:
        """Return the endpoint's answer or a truthful refusal."""
        excluded: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            name = choose(
                call.view,
                call.route.route.pool,
                "service",
                self.inflight,
                excluded,
                self.rng,
            )
            if name is None:
                return Err(refuse("no_endpoint"))
            reply = await self.attempt(call, name)
            if isinstance(reply, Ok) or not self._may_retry(call, reply.err_value):
                return reply
            excluded.add(name)
        return reply

    def _may_retry(self, call: Call, refusal: Refusal) -> bool:
        if self.clock() >= call.deadline:
            return False
        if refusal.verdict is Verdict.NOT_RUN:
            return True
        return call.method in call.route.route.repeatable

    async def attempt(self, call: Call, name: str, patience: float = math.inf) -> Reply:
        """Make one attempt at one agent; Err tells whether it may have run.

        Args:
            call: what to run.
            name: the agent.
            patience: seconds after which a call that was sent is left running
                and reported as in progress.
        """
        attempt = self.exchange.open(self.new_id(), name)
        self.inflight.counts[name] += 1
        try:
            reserved = await self._reserve(call, attempt)
            if isinstance(reserved, Err):
                return reserved
            return await self._serve(call, attempt, reserved.ok_value.grant, patience)
        finally:
            self.inflight.counts[name] -= 1
            self.exchange.close(attempt)

    async def _reserve(self, call: Call, attempt: Attempt) -> Result[Reserved, Refusal]:
        within = min(RESERVE_TIMEOUT_S, call.deadline - self.clock())
        request = Reserve(
            attempt.id,
            call.workspace,
            0,
            within,
            priority=call.route.route.priority,
        )
        # Nothing runs before the slot is held, so a lost answer is still NOT_RUN.
        if not self.exchange.send(attempt, request):
            return Err(refuse("endpoint_down"))
        return await wait_for(attempt, within, refuse("endpoint_down"))

    async def _serve(
        self, call: Call, attempt: Attempt, grant: str, patience: float
    ) -> Reply:
        within = call.deadline - self.clock()
        silent = refuse("deadline_exceeded" if within < patience else "in_progress")
        if within <= 0:
            return Err(refuse("deadline_exceeded", verdict=Verdict.NOT_RUN))
        request = Serve(
            attempt.id,
            call.workspace,
            call.method,
            call.path,
            call.headers,
            call.body,
            within,
            key=call.idempotency_key if call.ticket else "",
            grant=grant,
        )
        if not self.exchange.send(attempt, request):
            return Err(refuse("endpoint_down"))
        answer = await wait_for(attempt, min(within, patience), silent)
        if isinstance(answer, Err):
            return answer
        served = answer.ok_value
        if not isinstance(served, Served):
            return Err(refuse("internal", message="Unexpected answer."))
        attempt.ended = True
        return Ok(WholeAnswer(served.status, served.headers, served.body))
