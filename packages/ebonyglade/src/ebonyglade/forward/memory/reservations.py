"""Reservations of memory at single decode endpoints, by their agents and themselves."""

import asyncio
import logging
from dataclasses import dataclass, field

from result import Err

from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.memory.memory_estimates import (
    MemoryEstimates,
    expected_answer_tokens,
    initial_tokens,
)
from ebonyglade.forward.types import Endpoint, Stage
from ebonyglade.verdict import Refusal
from ebonyglade.wire.fleet import MemoryRequest

logger = logging.getLogger(__name__)

FIRST_TOKEN_LATENCY_S = 0.25  # expected time from the reservation to the first event


class RefusedWhileWaiting(Exception):
    """A request that waits for memory need not wait any longer.

    Attributes:
        refusal: the refusal to answer with.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal


@dataclass(slots=True)
class MemoryReservation:
    """Reserved memory at a decode endpoint.

    Attributes:
        endpoint: endpoint that reserved the memory.
        hold: id that the endpoint gave the reservation.
        tokens: reserved tokens.
        permit_at: when the permit to send the request was acquired.
    """

    endpoint: Endpoint
    hold: str
    tokens: int
    permit_at: float = 0.0


@dataclass(slots=True)
class EndpointReservations:
    """Reserves memory at one decode endpoint at a time.

    Attributes:
        attempts: sends reservation calls to endpoints.
        agent_client: requests memory grants from agents.
        memory_estimates: estimated free memory of endpoints.
    """

    attempts: AttemptSender
    agent_client: AgentClient
    memory_estimates: MemoryEstimates = field(default_factory=MemoryEstimates)

    def reserve_by(self, call: ForwardCall) -> float:
        """Return the latest time to reserve memory for an answer that is on time."""
        return call.first_asked_at + call.route.target_s - FIRST_TOKEN_LATENCY_S

    def usable(self, call: ForwardCall, excluded: set[str]) -> list[Endpoint]:
        """Return the endpoints to ask now, in this order."""
        attempts = self.attempts
        now = attempts.clock()
        ejected = attempts.loads.ejections.active(now)
        usable = [
            item
            for item in attempts.accepting(call, Stage.DECODE)
            if item.id not in excluded | ejected
            and attempts.loads.is_usable(item.id, now)
        ]
        cold = attempts.endpoint_limits.cold.ids(usable)
        by_memory = self.memory_estimates.by_free_memory(usable, now)
        return sorted(by_memory, key=lambda item: item.id in cold)

    async def reserve_at(
        self, call: ForwardCall, endpoint: Endpoint, tokens: int
    ) -> MemoryReservation | None:
        """Reserve memory at an endpoint: with its agent first, then with itself.

        The permit of an endpoint that states a limit is acquired before, so that no
        prompt is prefilled for a request that can't be sent to it.
        """
        if self.agent_client.has_agent(endpoint.id):
            message = self.memory_request(call, endpoint, queue=False)
            response = await self.agent_client.request_memory(message)
            if response is None or not response.granted:
                return None
            return await self.reserve_granted(call, endpoint, message)
        permit_at = await self._acquire_permit(call, endpoint)
        if permit_at is None:
            return None
        hold = await self._reserve_on_endpoint(call, endpoint, tokens)
        if hold is None:
            return None
        return MemoryReservation(endpoint, hold, tokens, permit_at)

    async def reserve_granted(
        self, call: ForwardCall, endpoint: Endpoint, message: MemoryRequest
    ) -> MemoryReservation | None:
        """Reserve memory at an endpoint whose agent has granted it."""
        prompt = call.metadata.prompt
        tokens = initial_tokens(prompt.prompt_tokens, expected_answer_tokens(prompt))
        hold, permit_at = None, None
        try:
            permit_at = await self._acquire_permit(call, endpoint)
            if permit_at is not None:
                hold = await self._reserve_on_endpoint(call, endpoint, tokens)
        except asyncio.CancelledError:
            self.agent_client.leave_queue(message)
            raise
        if hold is None:
            rejected = permit_at is not None
            self.agent_client.leave_queue(message, rejected=rejected)
            self.memory_estimates.defer(endpoint.id, self.attempts.clock())
            return None
        return MemoryReservation(endpoint, hold, tokens, permit_at)

    def memory_request(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        ask: str | None = None,
        queue: bool = True,
    ) -> MemoryRequest:
        """Return the message that asks an endpoint's agent for memory.

        Args:
            call: the request.
            endpoint: the endpoint.
            ask: id of the message; None for a new one.
            queue: whether the agent may queue the request.
        """
        now = self.attempts.clock()
        prompt = call.metadata.prompt
        return MemoryRequest(
            ask=ask or self.agent_client.new_id(),
            endpoint=endpoint.id,
            request=call.id,
            prompt_tokens=prompt.prompt_tokens,
            answer_tokens=expected_answer_tokens(prompt),
            priority=call.priority,
            late=now > self.reserve_by(call),
            waited_s=round(now - call.first_asked_at, 3),
            workspace=call.workspace_name,
            weight=call.workspace.rate if call.workspace else 0.0,
            queue=queue,
        )

    def log_reservation(
        self, call: ForwardCall, reservation: MemoryReservation
    ) -> None:
        """Log that memory was reserved."""
        attempts = self.attempts
        now = attempts.clock()
        logger.info(
            "memory reserved",
            extra={
                "request": call.id,
                "endpoint": reservation.endpoint.id,
                "tokens": reservation.tokens,
                "expected": expected_answer_tokens(call.metadata.prompt),
                "late": now > self.reserve_by(call),
                "waited": round(now - call.arrived_at, 3),
                **attempts.replica.log_fields(now),
            },
        )

    async def _acquire_permit(
        self, call: ForwardCall, endpoint: Endpoint
    ) -> float | None:
        """Return when a permit to use an endpoint was acquired; None if it was not."""
        granted = await self.attempts.acquire_permit(endpoint, max_wait_s=0.0)
        if not granted or not self.attempts.may_use(call, endpoint):
            return None
        return self.attempts.clock()

    async def _reserve_on_endpoint(
        self, call: ForwardCall, endpoint: Endpoint, tokens: int
    ) -> str | None:
        attempts = self.attempts
        seconds = call.service.engine.hold_s
        hold_call = attempts.adapter.hold_call(tokens, seconds)
        attempts.count("holds_asked")
        response = await attempts.control(endpoint, hold_call)
        if isinstance(response, Err):
            attempts.loads.ejections.record_failure(endpoint.id, attempts.clock())
            logger.info(
                "endpoint unreachable for a reservation",
                extra={"endpoint": endpoint.id, "reason": response.err_value.reason},
            )
            return None
        if response.ok_value.status != 200:
            attempts.count("holds_refused")
            return None
        try:
            return attempts.adapter.decode_hold(response.ok_value.body)
        except ValueError as error:
            logger.warning("invalid reservation response", extra={"reason": str(error)})
            return None
