"""Requests of this entry that wait in the queues of agents for memory."""

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.eligibility.home_regions import HomeRegions
from ebonyglade.forward.gate.send_gate import MIN_REMAINING_S
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.memory.memory_estimates import MemoryEstimates
from ebonyglade.forward.memory.reservations import (
    EndpointReservations,
    MemoryReservation,
    RefusedWhileWaiting,
)
from ebonyglade.forward.memory.workspace_queue import (
    MAX_PLACES,
    QueuePlace,
    WaitingRequest,
    WorkspaceQueue,
    retry_after_s,
)
from ebonyglade.forward.types import Endpoint
from ebonyglade.verdict import refuse

logger = logging.getLogger(__name__)

# Between two messages for a request that is queued at an agent. They show that the
# entry lives, and get the expected wait.
QUEUED_REPEAT_S = 0.5

AgentQueueKey = tuple[str, HomeRegions, int, str]
"""Service, home regions, priority and workspace of the requests in a queue."""


async def _set_within(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, but no longer than so many seconds."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return


@dataclass(slots=True)
class AgentQueues:
    """Queues requests at agents, and reserves the memory that these grant.

    Attributes:
        reservations: reserves memory at endpoints.
        refuse_while_waiting: raises `RefusedWhileWaiting` for a request that need not
            wait any longer; called with the time until which it waits.
    """

    reservations: EndpointReservations
    refuse_while_waiting: Callable[[ForwardCall, float], None]
    _queues: dict[AgentQueueKey, WorkspaceQueue] = field(default_factory=dict)

    @property
    def attempts(self) -> AttemptSender:
        """Sends reservation calls to endpoints."""
        return self.reservations.attempts

    @property
    def agent_client(self) -> AgentClient:
        """Requests memory grants from agents."""
        return self.reservations.agent_client

    @property
    def memory_estimates(self) -> MemoryEstimates:
        """Estimated free memory of endpoints."""
        return self.reservations.memory_estimates

    def waiting_requests(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def retry_now(self, service: str) -> None:
        """Let the next of a service's waiting requests look at its places again."""
        for (name, *_), queue in self._queues.items():
            if name == service:
                queue.wake_next()

    async def wait(
        self, call: ForwardCall, tokens: int, excluded: set[str], give_up_at: float
    ) -> MemoryReservation:
        """Wait in the queues of agents for a reservation.

        Raises:
            RefusedWhileWaiting: the expected wait is too long, or as for
                `_wait_for_memory`.
        """
        with self._queued(call) as (queue, request):
            while True:
                self.refuse_while_waiting(call, give_up_at)
                request.wake.clear()
                reservation = await self._reserve_queued(
                    call, tokens, excluded, queue, request
                )
                if reservation is not None:
                    queue.granted()
                    self.memory_estimates.add_own(
                        reservation.endpoint.id, reservation.tokens
                    )
                    self.reservations.log_reservation(call, reservation)
                    return reservation
                self._refuse_long_wait(call, queue.wait_s(request), give_up_at)
                await _set_within(request.wake, QUEUED_REPEAT_S)

    @contextmanager
    def _queued(
        self, call: ForwardCall
    ) -> Iterator[tuple[WorkspaceQueue, WaitingRequest]]:
        """Hold a request's place in its workspace's queue and at agents."""
        homes = self.attempts.eligibility.homes(call)
        key = (call.service.name, homes, call.priority, call.workspace_name)
        queue = self._queues.setdefault(key, WorkspaceQueue(self.attempts.clock))
        request = WaitingRequest(
            call.first_asked_at, self.reservations.reserve_by(call)
        )
        queue.join(request)
        try:
            yield queue, request
        finally:
            for place in request.places.values():
                self.agent_client.leave_queue(place.message)
            queue.leave(request)
            if not len(queue):
                self._queues.pop(key, None)

    async def _reserve_queued(
        self,
        call: ForwardCall,
        tokens: int,
        excluded: set[str],
        queue: WorkspaceQueue,
        request: WaitingRequest,
    ) -> MemoryReservation | None:
        """Use memory that was granted, repeat what is due, and take more places."""
        usable = self.reservations.usable(call, excluded)
        for endpoint in [item for item in usable if item.id in request.granted]:
            request.granted.remove(endpoint.id)
            place = request.places.pop(endpoint.id, None)
            if place is None:
                continue
            reservation = await self.reservations.reserve_granted(
                call, endpoint, place.message
            )
            if reservation is not None:
                return reservation
        if not queue.may_ask(request):
            return None
        self._leave_unusable(request, usable)
        for endpoint in self._spread_full(usable, tokens):
            if not self._should_ask(endpoint, queue, request):
                continue
            reservation = await self._ask(call, endpoint, tokens, request)
            if reservation is not None:
                return reservation
        if request.places:
            queue.wake_next()
            queue.wake_uninformed()
        return None

    def _spread_full(self, usable: list[Endpoint], tokens: int) -> list[Endpoint]:
        """Return the endpoints with those that reported to be full last, shuffled.

        Shares are fair at each endpoint, so the requests of each workspace must
        spread over all of them.
        """
        attempts, now = self.attempts, self.attempts.clock()
        full = [
            item for item in usable if self.memory_estimates.is_full(item, tokens, now)
        ]
        if not full:
            return usable
        names = {item.id for item in full}
        attempts.rng.shuffle(full)
        return [*(item for item in usable if item.id not in names), *full]

    def _leave_unusable(self, request: WaitingRequest, usable: list[Endpoint]) -> None:
        names = {endpoint.id for endpoint in usable}
        for name in [name for name in request.places if name not in names]:
            self.agent_client.leave_queue(request.places.pop(name).message)
            if name in request.granted:
                request.granted.remove(name)

    def _should_ask(
        self, endpoint: Endpoint, queue: WorkspaceQueue, request: WaitingRequest
    ) -> bool:
        place = request.places.get(endpoint.id)
        if place is not None:
            due_at = place.asked_at + QUEUED_REPEAT_S
            return endpoint.id not in request.granted and (
                self.attempts.clock() >= due_at - MIN_REMAINING_S
            )
        return len(request.places) < MAX_PLACES and endpoint.id not in queue.occupied(
            request
        )

    async def _ask(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        tokens: int,
        request: WaitingRequest,
    ) -> MemoryReservation | None:
        """Ask an endpoint for memory by its agent; without one ask it directly."""
        if not self.agent_client.has_agent(endpoint.id):
            reservation = await self.reservations.reserve_at(call, endpoint, tokens)
            if reservation is None:
                self.memory_estimates.defer(endpoint.id, self.attempts.clock())
            return reservation
        place = request.places.get(endpoint.id)
        message = self.reservations.memory_request(
            call, endpoint, place and place.message.ask
        )
        response = await self.agent_client.queue_for_memory(
            message, lambda: request.on_grant(endpoint.id)
        )
        if response is not None and response.granted:
            request.places.pop(endpoint.id, None)
            if endpoint.id in request.granted:
                request.granted.remove(endpoint.id)
            return await self.reservations.reserve_granted(call, endpoint, message)
        if response is not None and response.queued:
            now = self.attempts.clock()
            request.places[endpoint.id] = QueuePlace(message, response.wait_s, now)
            return None
        # An agent that did not answer may have granted the memory.
        request.places.pop(endpoint.id, None)
        self.agent_client.leave_queue(message)
        self.memory_estimates.defer(endpoint.id, self.attempts.clock())
        return None

    def _refuse_long_wait(
        self, call: ForwardCall, wait_s: float | None, give_up_at: float
    ) -> None:
        """Raise a refusal if a request would wait for longer than is useful."""
        now = self.attempts.clock()
        reserve_by = self.reservations.reserve_by(call)
        until = min(give_up_at, reserve_by if now <= reserve_by else give_up_at)
        if wait_s is None or now + wait_s <= until:
            return
        retry_after = retry_after_s(wait_s, self.attempts.rng)
        self.attempts.count("memory_waits_refused")
        logger.info(
            "expected wait for memory too long",
            extra={
                "request": call.id,
                "wait": round(wait_s, 3),
                "useful": round(until - now, 3),
                "waited": round(now - call.arrived_at, 3),
                "retry_after": retry_after,
            },
        )
        raise RefusedWhileWaiting(refuse("overloaded", retry_after=retry_after))
