"""Requests memory grants and prefill leases from the agents beside endpoints."""

import asyncio
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    GrantResponse,
    MemoryRelease,
    MemoryRequest,
    PrefillLeaseRelease,
    PrefillLeaseRequest,
)

AGENT_SILENCE_S = 1.0  # an agent that was silent for this long is not asked
RESPONSE_TIMEOUT_S = 0.1  # a response takes a round trip of a few milliseconds


@dataclass(frozen=True, slots=True)
class _Agent:
    address: str
    last_heard: float


@dataclass(slots=True)
class AgentClient:
    """Knows the agent beside each endpoint and the pending requests to agents."""

    context: Context
    _agents: dict[str, _Agent] = field(default_factory=dict)
    _pending: dict[str, asyncio.Future] = field(default_factory=dict)

    def start(self) -> None:
        """Register the handler of agents' responses."""
        self.context.handle({GrantResponse: self._on_response})

    def on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        """Record which endpoint an agent is beside."""
        if heartbeat.engine is not None:
            agent = _Agent(member.address, self.context.clock())
            self._agents[heartbeat.engine.endpoint] = agent

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
        now = self.context.clock()
        return agent is not None and now - agent.last_heard < AGENT_SILENCE_S

    async def request_memory(self, message: MemoryRequest) -> GrantResponse | None:
        """Request memory; return the agent's response, None if none came in time."""
        return await self._request(message.endpoint, message)

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
        future = asyncio.get_running_loop().create_future()
        self._pending[message.ask] = future
        try:
            if not self.context.send(self._agents[endpoint].address, message):
                return None
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await future
        except TimeoutError:
            self.context.count("rooms_unanswered")
            return None
        finally:
            del self._pending[message.ask]

    def release_memory(self, endpoint: str, request: str) -> None:
        """Release the memory that was granted to a request."""
        agent = self._agents.get(endpoint)
        if agent is not None:
            self.context.send(agent.address, MemoryRelease(request))

    def _on_response(self, sender: Sender, response: GrantResponse) -> None:
        future = self._pending.get(response.ask)
        if future is not None and not future.done():
            future.set_result(response)
