"""Model requests: memory first, then the prompt, then the answer."""

import asyncio
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from ebonyglade.forward.call import (
    Answer,
    BrokenOff,
    Failure,
    ForwardCall,
    Reply,
    Stream,
    Trouble,
    Whole,
)
from ebonyglade.forward.desk import LEAST_S, Desk, read_whole
from ebonyglade.forward.events import EventCutter
from ebonyglade.forward.line import Line
from ebonyglade.forward.memory import MemoryBook, expected_answer, reservation
from ebonyglade.forward.rooms import Rooms
from ebonyglade.forward.types import Endpoint, Prefilled, Stage
from ebonyglade.verdict import Refusal, Verdict, refuse, worst
from ebonyglade.wire.fleet import RoomAsk

logger = logging.getLogger(__name__)

CONTROL_S = 0.5  # a call that runs nothing is answered within this time
PREFILL_S = 1.5  # a prefill that takes longer is given up
ASK_S = 0.06  # between two looks for memory while a request waits
TURN_WAIT_S = 1.4  # a reservation must not lapse while its request waits
TURN_ASK_S = 0.04  # between two asks for the turn to have a prompt read
FIRST_TOKEN_S = 0.25  # from having room to the first event
FIRST_TOKENS = 256  # of the answer that are reserved with the prompt
PATIENCE_S = 2.2  # a request that has waited so long is refused
FIRST_EVENT_S = 4.0  # a stream without a first event for so long is given up
SILENT_S = 1.0  # a stream that may go on elsewhere is moved after this pause
PROMPT_ATTEMPTS = 2  # prefills before the decode endpoint reads the prompt itself
DECODE_ATTEMPTS = 2  # decode endpoints that may refuse a request
RETRY_AFTER_S = 1.0  # when a request that found no memory should come back


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


@dataclass(frozen=True, slots=True)
class Source:
    """A prefilled prompt and where it lies."""

    endpoint: Endpoint
    prefilled: Prefilled

    @property
    def address(self) -> str:
        """Where a decode endpoint fetches it."""
        return f"{self.endpoint.address}/{self.prefilled.handle}"


@dataclass(slots=True)
class _StreamAccount:
    """How a stream went, for its log line."""

    began: float
    last: float
    longest_gap: float = 0.0
    parts: int = 1
    whole: bool = False

    def passed(self, now: float) -> None:
        """Note that events were passed on."""
        self.longest_gap = max(self.longest_gap, now - self.last)
        self.last = now
        self.parts += 1

    def log(self, call: ForwardCall, room: Room) -> None:
        """Write the line."""
        logger.info(
            "stream ended",
            extra={
                "request": call.id,
                "endpoint": room.endpoint.id,
                "first_after": round(self.began - call.arrived, 3),
                "seconds": round(self.last - self.began, 3),
                "longest_gap": round(self.longest_gap, 3),
                "parts": self.parts,
                "whole": self.whole,
            },
        )


@dataclass(slots=True)
class GenerationDispatcher:
    """Sends requests of model services to prefill and decode endpoints."""

    desk: Desk
    rooms: Rooms
    book: MemoryBook = field(default_factory=MemoryBook)
    _lines: dict[str, Line] = field(default_factory=dict)
    _longest_wait: dict[str, float] = field(default_factory=dict)
    _background: set[asyncio.Task] = field(default_factory=set)

    async def run(self, call: ForwardCall) -> Reply:
        """Return the answer as a stream, or a truthful refusal."""
        failure: Failure | None = None
        excluded: set[str] = set()
        for attempt in range(DECODE_ATTEMPTS):
            if attempt and not self.desk.repeat(call):
                break
            room = await self._reserve(call, excluded)
            if isinstance(room, Err):
                return room
            reply = await self._serve(call, room.ok_value)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            excluded.add(room.ok_value.endpoint.id)
            if call.verdict is not Verdict.NOT_RUN and not call.repeatable:
                break
        return Err(self.desk.refusal(call, failure))

    def waiting(self) -> int:
        """Return how many requests wait for memory."""
        return sum(len(line) for line in self._lines.values())

    def freed(self, service: str) -> None:
        """Look for memory again at once."""
        if service in self._lines:
            self._lines[service].freed()

    async def _reserve(
        self, call: ForwardCall, excluded: set[str]
    ) -> Result[Room, Refusal]:
        """Wait in line for memory at a decode endpoint."""
        desk = self.desk
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
                    self._on_time_until(call),
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
                    "waited": round(desk.clock() - call.arrived, 3),
                    "store_revision": desk.belief.as_of,
                    "store_age": round(desk.belief.age(desk.clock()), 3),
                },
            )
            return Err(refuse(code, retry_after=RETRY_AFTER_S))

    def _line(self, service: str) -> Line:
        if service not in self._lines:
            self._lines[service] = Line(self.desk.clock, ASK_S)
        return self._lines[service]

    def _on_time_until(self, call: ForwardCall) -> float:
        """Return when a request must have room to be answered on time.

        A caller that comes back after a refusal has less time left than it had,
        and was waiting all the while.
        """
        waits = call.facts.deadline_s or 0.0
        longest = max(waits, self._longest_wait.get(call.route.name, 0.0))
        self._longest_wait[call.route.name] = longest
        on_time = call.route.target_s - FIRST_TOKEN_S
        return call.arrived + on_time - (longest - waits)

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
            late=now > self._on_time_until(call),
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

    async def _serve(self, call: ForwardCall, room: Room) -> Result:
        """Have the prompt read and the answer begun with a reservation."""
        source: Source | None = None
        used = False
        try:
            source = await self._prefill(call)
            if source is None:
                await self._await_turn(call, room)
            if self.desk.left(call) <= LEAST_S:
                return Err(Failure(Trouble.NOT_SENT, "no time left"))
            used = True
            return await self._decode(call, room, source)
        finally:
            if not used:
                self._release(room)
                self.rooms.drop(room.endpoint.id, call.id)
                if source is not None:
                    self._free(source)

    async def _await_turn(self, call: ForwardCall, room: Room) -> None:
        """Wait until the decode endpoint may read the prompt itself."""
        until = self.desk.clock() + TURN_WAIT_S
        while not await self.rooms.turn(room.endpoint.id, call.id):
            if self.desk.clock() >= until:
                logger.info("no turn in time", extra={"request": call.id})
                return
            await asyncio.sleep(TURN_ASK_S)

    async def _prefill(self, call: ForwardCall) -> Source | None:
        """Have a prefill endpoint read the prompt; None if none did."""
        excluded: set[str] = set()
        for attempt in range(PROMPT_ATTEMPTS):
            endpoint = self.desk.choose(call, excluded, Stage.PREFILL)
            if endpoint is None:
                return None
            if attempt and not self.desk.repeat(call):
                return None
            excluded.add(endpoint.id)
            source = await self._prefill_at(call, endpoint)
            if source is not None:
                return source
        return None

    async def _prefill_at(self, call: ForwardCall, endpoint: Endpoint) -> Source | None:
        desk = self.desk
        within = min(PREFILL_S, desk.left(call))
        out = replace(desk.outgoing(call, endpoint), prefill_only=True)
        desk.loads.begun(endpoint.id)
        try:
            sent = await desk.send(call, endpoint, out, within, runs=False)
            if isinstance(sent, Err):
                return None
            answer = sent.ok_value
            body = await read_whole(answer)
            if isinstance(body, Err) or answer.status != 200:
                logger.info(
                    "prompt not read",
                    extra={
                        "request": call.id,
                        "endpoint": endpoint.id,
                        "status": answer.status,
                    },
                )
                return None
            return Source(endpoint, desk.adapter.decode_prefilled(body.ok_value))
        except ValueError as error:
            logger.warning("prefill not understood", extra={"reason": str(error)})
            return None
        finally:
            desk.loads.ended(endpoint.id)

    async def _decode(
        self, call: ForwardCall, room: Room, source: Source | None
    ) -> Result:
        """Begin the answer; the room is given back when it ends."""
        desk = self.desk
        endpoint = room.endpoint
        out = replace(
            desk.outgoing(call, endpoint),
            cache_source=source.address if source else "",
            hold=room.hold,
        )
        within = min(desk.left(call), FIRST_EVENT_S)
        desk.loads.begun(endpoint.id)
        kept = False
        try:
            sent = await desk.send(call, endpoint, out, within)
            if isinstance(sent, Err):
                if sent.err_value.verdict is Verdict.NOT_RUN:
                    self._release(room, listed=False)
                    if source is not None:
                        self._free(source)
                return sent
            reply = await self._first(call, room, sent.ok_value)
            if source is None:
                self.rooms.turn_done(endpoint.id, call.id)
            kept = isinstance(reply, Ok) and isinstance(reply.ok_value, Stream)
            return reply
        finally:
            if not kept:
                self._ended(call, room)

    async def _first(self, call: ForwardCall, room: Room, answer: Answer) -> Result:
        """Wait for the first event, so that a failure before it is a refusal."""
        desk = self.desk
        headers = desk.adapter.response_headers(answer.headers)
        if answer.status >= 300 or answer.facts.encoded:
            body = await read_whole(answer)
            if isinstance(body, Err) or answer.facts.encoded:
                return Err(desk.broke(call, room.endpoint))
            return Ok(Whole(answer.status, headers, body.ok_value))
        cutter = EventCutter()
        try:
            async with asyncio.timeout(min(desk.left(call), FIRST_EVENT_S)):
                first = await _next_events(answer, cutter)
        except TimeoutError:
            answer.close()
            call.verdict = worst(call.verdict, Verdict.MAY_HAVE_RUN)
            return Err(Failure(Trouble.LATE, "no first event"))
        except asyncio.CancelledError:
            answer.close()
            raise
        except BrokenOff:
            answer.close()
            return Err(desk.broke(call, room.endpoint))
        call.verdict = worst(call.verdict, Verdict.RAN)
        desk.crashes.worked(call.fingerprint)
        chunks = self._events(call, room, answer, cutter, first)
        return Ok(Stream(answer.status, headers, chunks))

    async def _events(
        self,
        call: ForwardCall,
        room: Room,
        answer: Answer,
        cutter: EventCutter,
        first: bytes,
    ) -> AsyncIterator[bytes]:
        clock = self.desk.clock
        account = _StreamAccount(clock(), clock())
        try:
            yield first
            async with asyncio.timeout(max(0.0, self.desk.left(call))):
                while True:
                    events = await _next_events(answer, cutter)
                    if not events:
                        break
                    account.passed(clock())
                    yield events
            if cutter.rest:
                yield cutter.rest
            account.whole = True
        except TimeoutError as error:
            raise BrokenOff("the deadline passed") from error
        finally:
            answer.close()
            self._ended(call, room)
            account.log(call, room)

    def _ended(self, call: ForwardCall, room: Room) -> None:
        self.desk.loads.ended(room.endpoint.id)
        self.book.given_back(room.endpoint.id, room.tokens)
        self.rooms.drop(room.endpoint.id, call.id)
        self.freed(call.service.name)

    def _release(self, room: Room, listed: bool = True) -> None:
        """Give a reservation back that was not used."""
        if listed:
            self.book.given_back(room.endpoint.id, room.tokens)
        call = self.desk.adapter.drop_hold_call(room.hold)
        self._later(room.endpoint, call)

    def _free(self, source: Source) -> None:
        """Free a prefilled prompt that was not used."""
        call = self.desk.adapter.free_call(source.prefilled.handle)
        self._later(source.endpoint, call)

    def _later(self, endpoint: Endpoint, call) -> None:
        task = asyncio.ensure_future(self.desk.port.control(endpoint, call, CONTROL_S))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _next_events(answer: Answer, cutter: EventCutter) -> bytes:
    """Return the next whole events; empty at the end of a whole answer."""
    while True:
        try:
            data = await anext(answer.chunks)
        except StopAsyncIteration:
            return b""
        events = cutter.feed(data)
        if events:
            return events
