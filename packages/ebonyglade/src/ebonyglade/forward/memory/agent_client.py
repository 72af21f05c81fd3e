"""Requests memory grants and prefill leases from the agents beside endpoints."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.forward.pending_answers import PendingAnswers
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    GrantResponse,
    MemoryRelease,
    MemoryRequest,
    PrefillLeaseRelease,
    PrefillLeaseRequest,
    ZoneReport,
)

AGENT_SILENCE_S = 1.0  # an agent that was silent for this long is not asked
RELAYED_SILENCE_S = 2.0  # the same for an agent whose state other members pass on
RESPONSE_TIMEOUT_S = 0.1  # a response takes a round trip of a few milliseconds


@dataclass(frozen=True, slots=True)
class _Agent:
    """The agent beside an endpoint.

    Attributes:
        address: address at which it receives messages.
        usable_until: until when it is asked without being heard again.
    """

    address: str
    usable_until: float


@dataclass(slots=True)
class AgentClient:
    """Knows the agent beside each endpoint and the pending requests to agents."""

    context: Context
    _agents: dict[str, _Agent] = field(default_factory=dict)
    _pending: PendingAnswers = field(default_factory=PendingAnswers)
    _on_grant: dict[str, Callable[[], None]] = field(default_factory=dict)

    def start(self) -> None:
        """Register the handler of agents' responses."""
        self.context.handle({GrantResponse: self._on_response})

    def on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        """Record which endpoint an agent is beside."""
        if heartbeat.engine is not None:
            until = self.context.clock() + AGENT_SILENCE_S
            self._agents[heartbeat.engine.endpoint] = _Agent(member.address, until)

    def on_zone_report(self, report: ZoneReport, at: float) -> None:
        """Record the agents of another zone and the endpoints that they are beside."""
        for record in report.engines:
            self.context.transport.set_address(record.agent, record.agent)
            until = at - record.state.age_s + RELAYED_SILENCE_S
            self._agents[record.state.endpoint] = _Agent(record.agent, until)

    def retain(self, endpoints: set[str]) -> None:
        """Forget the agents of all other endpoints."""
        for name in set(self._agents) - endpoints:
            del self._agents[name]

    def new_id(self) -> str:
        """Return an id for a request to an agent."""
        return self.context.new_id()

    def has_agent(self, endpoint: str) -> bool:
        """Return whether an endpoint has an agent that was heard recently."""
        agent = self._agents.get(endpoint)
        return agent is not None and self.context.clock() < agent.usable_until

    async def request_memory(self, message: MemoryRequest) -> GrantResponse | None:
        """Request memory; return the agent's response, None if none came in time."""
        return await self._request(message.endpoint, message)

    async def queue_for_memory(
        self, message: MemoryRequest, on_grant: Callable[[], None]
    ) -> GrantResponse | None:
        """Request memory, and wait in the agent's queue if there is none now.

        Args:
            message: the request; the same one asks again for a queued request.
            on_grant: called if the memory is granted after the response.

        Returns:
            The agent's response, None if none came in time.
        """
        # The grant may arrive before the response is processed.
        self._on_grant[message.ask] = on_grant
        try:
            response = await self._request(message.endpoint, message)
        except asyncio.CancelledError:
            self.leave_queue(message)
            raise
        if response is None or not response.queued:
            self._on_grant.pop(message.ask, None)
        return response

    def leave_queue(self, message: MemoryRequest, rejected: bool = False) -> None:
        """Leave the queue of an agent, or return memory that was not used.

        Args:
            message: the request for memory.
            rejected: whether the endpoint rejected the request after the grant.
        """
        self._on_grant.pop(message.ask, None)
        agent = self._agents.get(message.endpoint)
        if agent is not None:
            release = MemoryRelease(message.request, True, rejected)
            self.context.send(agent.address, release)

    async def acquire_prefill_lease(self, endpoint: str, request: str) -> bool:
        """Acquire the lease to prefill a prompt at a decode endpoint itself.

        Returns:
            Whether the lease is held; True also if no agent answers.
        """
        if not self.has_agent(endpoint):
            return True
        message = PrefillLeaseRequest(self.new_id(), request)
        response = await self._request(endpoint, message)
        return response is None or response.granted

    def release_prefill_lease(self, endpoint: str, request: str) -> None:
        """Release the lease after the prompt was prefilled."""
        agent = self._agents.get(endpoint)
        if agent is not None:
            self.context.send(agent.address, PrefillLeaseRelease(request))

    async def _request(
        self, endpoint: str, message: MemoryRequest | PrefillLeaseRequest
    ) -> GrantResponse | None:
        address = self._agents[endpoint].address
        try:
            return await self._pending.ask(
                message.ask,
                lambda: self.context.send(address, message),
                RESPONSE_TIMEOUT_S,
            )
        except TimeoutError:
            self.context.count("rooms_unanswered")
            return None

    def release_memory(self, endpoint: str, request: str) -> None:
        """Release the memory that was granted to a request."""
        agent = self._agents.get(endpoint)
        if agent is not None:
            self.context.send(agent.address, MemoryRelease(request))

    def _on_response(self, sender: Sender, response: GrantResponse) -> None:
        if self._pending.resolve(response.ask, response) or not response.granted:
            return
        on_grant = self._on_grant.pop(response.ask, None)
        if on_grant is not None:
            on_grant()
