"""Service calls: one HTTP call at one endpoint, passed through."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.calls import Call, Reply, WholeAnswer
from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.models import MAX_ATTEMPTS
from ebonyglade.dispatch.reservation import reserve
from ebonyglade.dispatch.waiting import wait_for
from ebonyglade.placement.choice import choose_endpoint
from ebonyglade.placement.placer import Placer
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.work import Reserve, Reserved, Serve, Served


@dataclass(slots=True)
class ServiceDispatcher:
    """Runs service calls; what may not be repeated is sent at most once."""

    exchange: Exchange
    placer: Placer
    clock: Clock
    rng: random.Random
    new_id: Callable[[], str]

    async def run(self, call: Call) -> Reply:
        """Return the endpoint's answer or a truthful refusal."""
        excluded: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            name = choose_endpoint(
                self.placer.sight(call.view),
                call.route.route.pool,
                "service",
                excluded,
                self.rng,
                self.clock(),
            )
            if name is None:
                return Err(refuse("no_endpoint"))
            reply = await self._attempt(call, name)
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

    async def _attempt(self, call: Call, name: str) -> Reply:
        attempt = self.exchange.open(self.new_id(), name)
        self.placer.loads.begun(name, 0)
        try:
            reserved = await self._reserve(call, attempt)
            if isinstance(reserved, Err):
                return reserved
            return await self._serve(call, attempt)
        finally:
            self.placer.loads.ended(name)
            self.exchange.close(attempt)

    async def _reserve(self, call: Call, attempt: Attempt) -> Result[Reserved, Refusal]:
        route = call.route.route
        request = Reserve(
            attempt.id,
            call.workspace,
            0,
            max(0.0, call.deadline - self.clock()),
            call.view.weight_of(call.workspace),
            route.priority,
            max(1, round(route.cost)),
            patient=route.patient,
        )
        return await reserve(self.exchange, attempt, request, self.clock)

    async def _serve(self, call: Call, attempt: Attempt) -> Reply:
        within = call.deadline - self.clock()
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
            key=call.idempotency_key,
        )
        if not self.exchange.send(attempt, request):
            return Err(refuse("endpoint_down"))
        silent = refuse("deadline_exceeded")
        answer = await wait_for(attempt, within, silent)
        while isinstance(answer, Ok) and isinstance(answer.ok_value, Reserved):
            # The promise was told again.
            answer = await wait_for(attempt, call.deadline - self.clock(), silent)
        if isinstance(answer, Err):
            return answer
        served = answer.ok_value
        if not isinstance(served, Served):
            return Err(refuse("internal", message="Unexpected answer."))
        attempt.ended = True
        return Ok(WholeAnswer(served.status, served.headers, served.body))
