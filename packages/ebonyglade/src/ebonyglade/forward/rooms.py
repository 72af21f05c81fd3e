"""Asks agents for room at the endpoints beside them."""

import asyncio
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    Beat,
    RoomAnswer,
    RoomAsk,
    RoomDrop,
    TurnAsk,
    TurnDone,
)

AGENT_S = 1.0  # an agent that was silent for so long is not asked
ANSWER_S = 0.1  # an answer takes a round trip of a few milliseconds


@dataclass(frozen=True, slots=True)
class _Agent:
    address: str
    heard: float


@dataclass(slots=True)
class Rooms:
    """Which agent is beside which endpoint, and the asks under way."""

    context: Context
    _agents: dict[str, _Agent] = field(default_factory=dict)
    _open: dict[str, asyncio.Future] = field(default_factory=dict)

    def start(self) -> None:
        """Take agents' answers."""
        self.context.handle({RoomAnswer: self._on_answer})

    def on_beat(self, member: Member, beat: Beat) -> None:
        """Note which endpoint an agent is beside."""
        if beat.engine is not None:
            agent = _Agent(member.address, self.context.clock())
            self._agents[beat.engine.endpoint] = agent

    def keep(self, endpoints: set[str]) -> None:
        """Forget the agents of all other endpoints."""
        for name in set(self._agents) - endpoints:
            del self._agents[name]

    def new_id(self) -> str:
        """Return an id for an ask."""
        return self.context.new_id()

    def has_agent(self, endpoint: str) -> bool:
        """Return whether an agent answers for an endpoint."""
        agent = self._agents.get(endpoint)
        now = self.context.clock()
        return agent is not None and now - agent.heard < AGENT_S

    async def ask(self, ask: RoomAsk) -> RoomAnswer | None:
        """Return the agent's answer; None if there is none in time."""
        return await self._answered(ask.endpoint, ask)

    async def turn(self, endpoint: str, request: str) -> bool:
        """Return whether a prompt may be read now; True if nobody can tell."""
        if not self.has_agent(endpoint):
            return True
        ask = TurnAsk(self.new_id(), request)
        answer = await self._answered(endpoint, ask)
        return answer is None or answer.granted

    def turn_done(self, endpoint: str, request: str) -> None:
        """Tell that a prompt was read."""
        agent = self._agents.get(endpoint)
        if agent is not None:
            self.context.send(agent.address, TurnDone(request))

    async def _answered(
        self, endpoint: str, ask: RoomAsk | TurnAsk
    ) -> RoomAnswer | None:
        future = asyncio.get_running_loop().create_future()
        self._open[ask.ask] = future
        try:
            if not self.context.send(self._agents[endpoint].address, ask):
                return None
            async with asyncio.timeout(ANSWER_S):
                return await future
        except TimeoutError:
            self.context.count("rooms_unanswered")
            return None
        finally:
            del self._open[ask.ask]

    def drop(self, endpoint: str, request: str) -> None:
        """Give room back."""
        agent = self._agents.get(endpoint)
        if agent is not None:
            self.context.send(agent.address, RoomDrop(request))

    def _on_answer(self, sender: Sender, answer: RoomAnswer) -> None:
        future = self._open.get(answer.ask)
        if future is not None and not future.done():
            future.set_result(answer)
