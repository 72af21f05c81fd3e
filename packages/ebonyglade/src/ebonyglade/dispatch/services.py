"""Runs service calls: one HTTP request passed through to one endpoint."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.calls import Call, CompleteAnswer, Reply
from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.reservation import reserve
from ebonyglade.dispatch.waiting import wait_for_answer
from ebonyglade.placement.choice import choose_endpoint
from ebonyglade.placement.state import PlacementState
from ebonyglade.ports import Clock
from ebonyglade.retry.retries import Retries
from ebonyglade.retry.table import FailureStep, RequestKind, Sent, refusal_at
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved, ServiceRequest, ServiceResponse


@dataclass(slots=True)
class ServiceDispatcher:
    """Runs service calls; a call that may not be repeated is sent at most once."""

    exchange: Exchange
    placement: PlacementState
    clock: Clock
    rng: random.Random
    new_id: Callable[[], str]
    retries: Retries

    async def run(self, call: Call) -> Reply:
        """Return the endpoint's answer, or a refusal that covers all attempts."""
        retries = self.retries
        state = retries.begin(call.route.route, _kind(call), call.deadline)
        excluded = retries.ejected()
        while self.clock() < call.deadline:
            name = self.choose(call, excluded)
            if name is None and excluded:
                # Only endpoints that failed recently are left; try those.
                excluded.clear()
                name = self.choose(call, excluded)
            if name is None:
                reply = Err(refusal_at(FailureStep.CHOICE, Sent.NOTHING))
            else:
                retries.record_attempt(state)
                reply = await self.attempt(call, name)
                excluded.add(name)
            if isinstance(reply, Ok):
                retries.ejections.record_success([name])
                return reply
            failed_agents = [name] if name else []
            if not await retries.wait_to_retry(state, reply.err_value, failed_agents):
                return Err(retries.final_refusal(state, reply.err_value))
        refusal = refusal_at(FailureStep.DEADLINE, Sent.NOTHING)
        return Err(retries.final_refusal(state, refusal))

    def choose(self, call: Call, excluded: set[str]) -> str | None:
        """Return the agent to try next, or None if there is none."""
        return choose_endpoint(
            self.placement.snapshot(),
            call.route.route.pool,
            "service",
            excluded,
            self.rng,
            self.clock(),
        )

    async def attempt(self, call: Call, name: str, max_wait: float = math.inf) -> Reply:
        """Make one attempt at one agent; an Err tells whether it may have run.

        Args:
            call: the call to run.
            name: the agent.
            max_wait: seconds after which a call that was sent is left running
                and reported as in progress.
        """
        attempt = self.exchange.open(self.new_id(), name)
        self.placement.loads.begun(name, 0)
        try:
            reserved = await self._reserve(call, attempt)
            if isinstance(reserved, Err):
                return reserved
            return await self._serve(call, attempt, reserved.ok_value.grant, max_wait)
        finally:
            self.placement.loads.ended(name)
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
            whole=True,
        )
        return await reserve(self.exchange, attempt, request, self.clock)

    async def _serve(
        self, call: Call, attempt: Attempt, grant: str, max_wait: float
    ) -> Reply:
        timeout = call.deadline - self.clock()
        on_timeout = refuse(
            "deadline_exceeded" if timeout < max_wait else "in_progress"
        )
        if timeout <= 0:
            return Err(refusal_at(FailureStep.DEADLINE, Sent.RESERVATION))
        request = ServiceRequest(
            attempt.id,
            call.workspace,
            call.method,
            call.path,
            call.headers,
            call.body,
            timeout,
            key=call.idempotency_key if call.ticket else "",
            grant=grant,
        )
        if not self.exchange.send(attempt, request):
            return Err(refusal_at(FailureStep.HAND_OVER, Sent.NOTHING))
        until = self.clock() + min(timeout, max_wait)
        answer = await wait_for_answer(attempt, until - self.clock(), on_timeout)
        while isinstance(answer, Ok) and isinstance(answer.ok_value, Reserved):
            # A repeated confirmation of the slot.
            answer = await wait_for_answer(attempt, until - self.clock(), on_timeout)
        if isinstance(answer, Err):
            return answer
        served = answer.ok_value
        if not isinstance(served, ServiceResponse):
            return Err(
                refuse("internal", message="The agent sent an unexpected message.")
            )
        attempt.ended = True
        return Ok(CompleteAnswer(served.status, served.headers, served.body))


def _kind(call: Call) -> RequestKind:
    repeatable = call.method in call.route.route.repeatable
    return RequestKind.REPEATABLE if repeatable else RequestKind.ONCE
