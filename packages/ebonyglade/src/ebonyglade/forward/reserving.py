"""Room for model requests: waited for in line, then reserved at an endpoint."""

import asyncio
import logging
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.desk import CONTROL_S, LEAST_S, Desk
from ebonyglade.forward.line import Line
from ebonyglade.forward.memory import MemoryBook, expected_answer, reservation
from ebonyglade.forward.rooms import Rooms
from ebonyglade.forward.stages import SETTLED_S
from ebonyglade.forward.types import Endpoint, Service, Stage
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.fleet import RoomAsk

logger = logging.getLogger(__name__)

ASK_S = 0.06  # between two looks for room while a request waits
FIRST_TOKEN_S = 0.25  # from having room to the first event
FIRST_TOKENS = 256  # of the answer that are reserved with the prompt
PATIENCE_S = 2.2  # a request that has waited so long is refused
RETRY_AFTER_S = 1.0  # when a request that found no room should come back


@dataclass(slots=True)
class Room:
    """A reservation at a decode endpoint.

    Attributes:
        endpoint: where it is.
        hold: its name there.
        tokens: its size.
    """

    endpoint: Endpoint
    hold: str
    tokens: int


@dataclass(slots=True)
class Reserver:
    """Gets room at decode endpoints, and gives it back.

    Attributes:
        desk: how endpoints are reached.
        rooms: asks agents.
        book: what is known of endpoints' memory.
    """

    desk: Desk
    rooms: Rooms
    book: MemoryBook = field(default_factory=MemoryBook)
    _lines: dict[str, Line] = field(default_factory=dict)
    _empty_since: dict[str, float] = field(default_factory=dict)

    async def reserve(
        self, call: ForwardCall, excluded: set[str]
    ) -> Result[Room, Refusal]:
        """Wait in line for memory at a decode endpoint."""
        desk = self.desk
        back_in = self._back_in(call.service)
        if back_in > PATIENCE_S:
            self._log_empty(call, back_in)
            return Err(refuse("no_endpoint", retry_after=back_in))
        line = self._line(call.service.name)
        give_up = min(call.arrived + PATIENCE_S, call.deadline - LEAST_S)
        tokens = reservation(call.facts.prompt, call.service)
        try:
            async with asyncio.timeout(max(0.0, give_up - desk.clock())):
                room = await line.wait(
                    call.priority,
                    call.workspace_name,
                    call.workspace.rate if call.workspace else 0.0,
                    tokens,
                    self.on_time_until(call),
                    lambda: self._ask_all(call, tokens, excluded),
                )
                return Ok(room)
        except TimeoutError:
            listed = desk.belief.roster.of(call.service.name, Stage.DECODE)
            code = "overloaded" if listed else "no_endpoint"
            logger.info(
                "no memory in time",
                extra={
                    "request": call.id,
                    "tokens": tokens,
                    "endpoints": len(listed),
                    "waiting": len(line),
                    "late": desk.clock() > self.on_time_until(call),
                    "waited": round(desk.clock() - call.arrived, 3),
                    "store_revision": desk.belief.as_of,
                    "store_age": round(desk.belief.age(desk.clock()), 3),
                },
            )
            return Err(refuse(code, retry_after=RETRY_AFTER_S))

    def ended(self, call: ForwardCall, room: Room) -> None:
        """Note that a run is over, however it ended."""
        self.book.given_back(room.endpoint.id, room.tokens)
        self.rooms.drop(room.endpoint.id, call.id)
        self.freed(call.service.name)

    def release(self, call: ForwardCall, room: Room) -> None:
        """Give back a reservation that its request did not use."""
        self.desk.later(room.endpoint, self.desk.adapter.drop_hold_call(room.hold))
        self.ended(call, room)

    def waiting(self) -> int:
        """Return how many requests wait for memory."""
        return sum(len(line) for line in self._lines.values())

    def freed(self, service: str) -> None:
        """Look for memory again at once."""
        if service in self._lines:
            self._lines[service].freed()

    def _back_in(self, service: Service) -> float:
        """Return the seconds until a service without decode endpoints has one.

        Zero if it has one, or if none is left that could change its stage.
        """
        now = self.desk.clock()
        listed = self.desk.belief.roster.of(service.name)
        if not listed or any(item.stage is Stage.DECODE for item in listed):
            self._empty_since.pop(service.name, None)
            return 0.0
        since = self._empty_since.setdefault(service.name, now)
        expected = since + SETTLED_S + service.engine.switch_s
        return max(0.0, expected - now)

    def _log_empty(self, call: ForwardCall, back_in: float) -> None:
        desk = self.desk
        logger.info(
            "no decode endpoint",
            extra={
                "request": call.id,
                "service": call.service.name,
                "back_in": round(back_in, 3),
                "store_revision": desk.belief.as_of,
                "store_age": round(desk.belief.age(desk.clock()), 3),
            },
        )

    def _line(self, service: str) -> Line:
        if service not in self._lines:
            self._lines[service] = Line(self.desk.clock, ASK_S)
        return self._lines[service]

    def on_time_until(self, call: ForwardCall) -> float:
        """Return when a request must have room to be answered on time."""
        return call.asked + call.route.target_s - FIRST_TOKEN_S

    async def _ask_all(
        self, call: ForwardCall, tokens: int, excluded: set[str]
    ) -> Room | None:
        desk = self.desk
        listed = desk.belief.roster.of(call.service.name, Stage.DECODE)
        ejected = desk.loads.ejections.active(desk.clock())
        usable = [item for item in listed if item.id not in excluded | ejected]
        for endpoint in self.book.order(usable, desk.clock()):
            room = await self._ask_at(call, endpoint, tokens)
            if room is not None:
                self.book.taken(endpoint.id, room.tokens)
                self._log_room(call, room)
                return room
            self.book.full(endpoint.id, desk.clock())
        return None

    async def _ask_at(
        self, call: ForwardCall, endpoint: Endpoint, tokens: int
    ) -> Room | None:
        """Ask the agent beside an endpoint for room, then the endpoint itself."""
        prompt = call.facts.prompt
        agent = self.rooms.has_agent(endpoint.id)
        if agent:
            answer = await self.rooms.ask(self._room_ask(call, endpoint))
            if answer is None or not answer.granted:
                return None
            # The agent looked at the whole life of the run.
            tokens = prompt.prompt_tokens + FIRST_TOKENS
        hold = await self._take_hold(call, endpoint, tokens)
        if hold is None:
            if agent:
                self.rooms.drop(endpoint.id, call.id)
            return None
        return Room(endpoint, hold, tokens)

    def _room_ask(self, call: ForwardCall, endpoint: Endpoint) -> RoomAsk:
        now = self.desk.clock()
        prompt = call.facts.prompt
        return RoomAsk(
            ask=self.rooms.new_id(),
            endpoint=endpoint.id,
            request=call.id,
            prompt_tokens=prompt.prompt_tokens,
            answer_tokens=expected_answer(prompt),
            priority=call.priority,
            late=now > self.on_time_until(call),
            waited_s=round(now - call.arrived, 3),
        )

    def _log_room(self, call: ForwardCall, room: Room) -> None:
        desk = self.desk
        now = desk.clock()
        logger.info(
            "memory reserved",
            extra={
                "request": call.id,
                "endpoint": room.endpoint.id,
                "tokens": room.tokens,
                "expected": expected_answer(call.facts.prompt),
                "late": now > self.on_time_until(call),
                "waited": round(now - call.arrived, 3),
                "store_revision": desk.belief.as_of,
                "store_age": round(desk.belief.age(now), 3),
            },
        )

    async def _take_hold(
        self, call: ForwardCall, endpoint: Endpoint, tokens: int
    ) -> str | None:
        desk = self.desk
        seconds = call.service.engine.hold_s
        ask = desk.adapter.hold_call(tokens, seconds)
        desk.count("holds_asked")
        answer = await desk.port.control(endpoint, ask, CONTROL_S)
        if isinstance(answer, Err):
            desk.loads.ejections.failed(endpoint.id, desk.clock())
            logger.info(
                "endpoint not reached",
                extra={"endpoint": endpoint.id, "reason": answer.err_value.reason},
            )
            return None
        status, body = answer.ok_value
        if status != 200:
            desk.count("holds_refused")
            return None
        try:
            return desk.adapter.decode_hold(body)
        except ValueError as error:
            logger.warning("reservation not understood", extra={"reason": str(error)})
            return None
