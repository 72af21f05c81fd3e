"""Memory reservations at decode endpoints, for which model requests queue."""

import asyncio
import logging
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.eligibility.home_regions import HomeRegions
from ebonyglade.forward.gate.send_gate import MIN_REMAINING_S
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.memory.agent_queues import AgentQueues
from ebonyglade.forward.memory.memory_estimates import (
    MemoryEstimates,
    reservation_tokens,
)
from ebonyglade.forward.memory.reservations import (
    EndpointReservations,
    MemoryReservation,
    RefusedWhileWaiting,
)
from ebonyglade.forward.memory.waiting_queue import WaitingQueue
from ebonyglade.forward.stage_planning import TO_DECODE_DELAY_S
from ebonyglade.forward.types import Service, Stage
from ebonyglade.verdict import Refusal, refuse

logger = logging.getLogger(__name__)

RESERVE_INTERVAL_S = 0.06  # between two attempts to reserve while requests wait
# A request that has waited this long is refused, unless its target is longer.
MAX_MEMORY_WAIT_S = 2.2
RETRY_AFTER_S = 1.0  # sent to a caller whose request got no memory

QueueKey = tuple[str, HomeRegions]
"""Service and home regions of the requests in a queue."""


@dataclass(slots=True)
class Reserver:
    """Reserves memory at decode endpoints and releases it.

    Attributes:
        attempts: sends reservation calls to endpoints.
        agent_client: requests memory grants from agents.
        memory_estimates: estimated free memory of endpoints.
        reservations: reserves memory at single endpoints.
    """

    attempts: AttemptSender
    agent_client: AgentClient
    memory_estimates: MemoryEstimates = field(default_factory=MemoryEstimates)
    reservations: EndpointReservations = field(init=False)
    _queues: dict[QueueKey, WaitingQueue] = field(default_factory=dict)
    _agent_queues: AgentQueues = field(init=False)
    _no_decode_since: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.reservations = EndpointReservations(
            self.attempts, self.agent_client, self.memory_estimates
        )
        self._agent_queues = AgentQueues(self.reservations, self._refuse_while_waiting)

    async def reserve(
        self, call: ForwardCall, excluded: set[str]
    ) -> Result[MemoryReservation, Refusal]:
        """Wait in the queue until memory at a decode endpoint is reserved."""
        if call.software is not None and not self.attempts.listed(call, Stage.DECODE):
            return Err(refuse("software_gone"))
        refusal = self._eligibility_refusal(call)
        if refusal is not None:
            return Err(refusal)
        available_in = self._decode_available_in(call.service)
        if available_in > MAX_MEMORY_WAIT_S:
            self._log_no_decode(call, available_in)
            return Err(refuse("no_endpoint", retry_after=available_in))
        give_up_at = min(
            max(
                call.arrived_at + MAX_MEMORY_WAIT_S, self.reservations.reserve_by(call)
            ),
            call.deadline - MIN_REMAINING_S,
        )
        try:
            return Ok(await self._wait_for_memory(call, excluded, give_up_at))
        except RefusedWhileWaiting as error:
            return Err(error.refusal)
        except TimeoutError:
            return Err(self._refuse_after_wait(call))

    async def _wait_for_memory(
        self, call: ForwardCall, excluded: set[str], give_up_at: float
    ) -> MemoryReservation:
        """Wait in the queue for a reservation.

        Raises:
            TimeoutError: there was none until `give_up_at`.
            RefusedWhileWaiting: no endpoint takes requests before `give_up_at`, none
                is eligible any more, or the request crashed endpoints meanwhile.
        """
        tokens = reservation_tokens(call.metadata.prompt, call.service)
        async with asyncio.timeout(max(0.0, give_up_at - self.attempts.clock())):
            if self._has_agents(call):
                return await self._agent_queues.wait(call, tokens, excluded, give_up_at)
            return await self._queue(call).wait(
                call.priority,
                call.workspace_name,
                call.workspace.rate if call.workspace else 0.0,
                tokens,
                self.reservations.reserve_by(call),
                lambda: self._reserve_any(call, tokens, excluded, give_up_at),
            )

    def _refuse_after_wait(self, call: ForwardCall) -> Refusal:
        attempts = self.attempts
        listed = attempts.accepting(call, Stage.DECODE)
        now = attempts.clock()
        logger.info(
            "no memory reserved in time",
            extra={
                "request": call.id,
                "tokens": reservation_tokens(call.metadata.prompt, call.service),
                "endpoints": len(listed),
                "waiting": len(self._queue(call)),
                "late": now > self.reservations.reserve_by(call),
                "waited": round(now - call.arrived_at, 3),
                **attempts.replica.log_fields(now),
            },
        )
        attempts.count("memory_waits_ended")
        code = "overloaded" if listed else "no_endpoint"
        return refuse(code, retry_after=RETRY_AFTER_S)

    def run_ended(self, call: ForwardCall, reservation: MemoryReservation) -> None:
        """Release the reservation of a run that has ended, whatever its outcome."""
        self.memory_estimates.remove_own(reservation.endpoint.id, reservation.tokens)
        self.agent_client.release_memory(reservation.endpoint.id, call.id)
        self.retry_now(call.service.name)

    def cancel(self, call: ForwardCall, reservation: MemoryReservation) -> None:
        """Cancel a reservation that its request did not use."""
        self.attempts.send_in_background(
            reservation.endpoint,
            self.attempts.adapter.drop_hold_call(reservation.hold),
        )
        self.run_ended(call, reservation)

    def waiting_requests(self) -> int:
        """Return the number of requests that wait for memory."""
        own = sum(len(queue) for queue in self._queues.values())
        return own + self._agent_queues.waiting_requests()

    def retry_now(self, service: str) -> None:
        """Retry immediately the reservation of the service's waiting requests."""
        for (name, _), queue in self._queues.items():
            if name == service:
                queue.notify_freed()
        self._agent_queues.retry_now(service)

    def _eligibility_refusal(self, call: ForwardCall) -> Refusal | None:
        """Refuse a request that may be sent to no decode endpoint.

        If the service can get an eligible one by a change of stage, the refusal says
        when.
        """
        refusal = self.attempts.eligibility_refusal(call, Stage.DECODE)
        if refusal is None:
            return self.attempts.eligibility_refusal(call)
        available_in = self._decode_available_in(call.service)
        return refusal.with_changes(retry_after=available_in or refusal.retry_after)

    def _decode_available_in(self, service: Service) -> float:
        """Return the seconds until a service without decode endpoints has one.

        The result is zero if the service has a decode endpoint, or has no endpoint
        that could change its stage.
        """
        attempts = self.attempts
        now = attempts.clock()
        listed = [
            item
            for item in attempts.replica.registry.accepting(service.name)
            if not attempts.eligibility.is_evacuated(item)
        ]
        if not listed or any(item.stage is Stage.DECODE for item in listed):
            self._no_decode_since.pop(service.name, None)
            return 0.0
        since = self._no_decode_since.setdefault(service.name, now)
        expected = since + TO_DECODE_DELAY_S + service.engine.switch_s
        return max(0.0, expected - now)

    def _log_no_decode(self, call: ForwardCall, available_in: float) -> None:
        attempts = self.attempts
        logger.info(
            "no decode endpoint",
            extra={
                "request": call.id,
                "service": call.service.name,
                "back_in": round(available_in, 3),
                **attempts.replica.log_fields(attempts.clock()),
            },
        )

    def _queue(self, call: ForwardCall) -> WaitingQueue:
        """Return the queue of the requests that wait for the same endpoints.

        The first request of a queue holds up the others, which must thus not be able
        to run in regions where it can't.
        """
        key = call.service.name, self.attempts.eligibility.homes(call)
        if key not in self._queues:
            self._queues[key] = WaitingQueue(self.attempts.clock, RESERVE_INTERVAL_S)
        return self._queues[key]

    async def _reserve_any(
        self, call: ForwardCall, tokens: int, excluded: set[str], give_up_at: float
    ) -> MemoryReservation | None:
        attempts = self.attempts
        self._refuse_while_waiting(call, give_up_at)
        for endpoint in self.reservations.usable(call, excluded):
            reservation = await self.reservations.reserve_at(call, endpoint, tokens)
            if reservation is not None:
                self.memory_estimates.add_own(endpoint.id, reservation.tokens)
                self.reservations.log_reservation(call, reservation)
                return reservation
            self.memory_estimates.defer(endpoint.id, attempts.clock())
        return None

    def _refuse_while_waiting(self, call: ForwardCall, give_up_at: float) -> None:
        """Raise the refusal of a request that need not wait any longer."""
        attempts = self.attempts
        refusal = attempts.gate.refusal(call) or self._eligibility_refusal(call)
        if refusal is not None:
            raise RefusedWhileWaiting(refusal)
        backoff_left = attempts.backoff_left(call, Stage.DECODE)
        if attempts.clock() + backoff_left > give_up_at:
            raise RefusedWhileWaiting(refuse("overloaded", retry_after=backoff_left))

    def _has_agents(self, call: ForwardCall) -> bool:
        listed = self.attempts.accepting(call, Stage.DECODE)
        return any(self.agent_client.has_agent(item.id) for item in listed)
