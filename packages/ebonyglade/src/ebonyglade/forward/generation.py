"""Model requests: room first, then the prompt, then the answer."""

import asyncio
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
from ebonyglade.forward.prompts import PromptReader, Source
from ebonyglade.forward.reserving import Reserver, Room
from ebonyglade.forward.rooms import Rooms
from ebonyglade.forward.streams import StreamAccount, next_events
from ebonyglade.verdict import Verdict, worst

FIRST_EVENT_S = 4.0  # a stream without a first event for so long is given up
DECODE_ATTEMPTS = 2  # decode endpoints that may refuse a request

Served = Result[Stream | Whole, Failure]


@dataclass(slots=True)
class GenerationDispatcher:
    """Sends requests of model services to prefill and decode endpoints."""

    desk: Desk
    rooms: Rooms
    reserver: Reserver = field(init=False)
    prompts: PromptReader = field(init=False)

    def __post_init__(self) -> None:
        self.reserver = Reserver(self.desk, self.rooms)
        self.prompts = PromptReader(self.desk, self.rooms)

    async def run(self, call: ForwardCall) -> Reply:
        """Return the answer as a stream, or a truthful refusal."""
        failure: Failure | None = None
        excluded: set[str] = set()
        runs = 0
        for attempt in range(DECODE_ATTEMPTS):
            if attempt and not self.desk.repeat(call):
                break
            room = await self.reserver.reserve(call, excluded)
            if isinstance(room, Err):
                return room
            reply = await self._serve(call, room.ok_value)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            excluded.add(room.ok_value.endpoint.id)
            runs += failure.verdict is not Verdict.NOT_RUN
            may_repeat = call.repeatable and runs < call.route.max_attempts
            if runs and not may_repeat:
                break
        return Err(self.desk.refusal(call, failure))

    async def _serve(self, call: ForwardCall, room: Room) -> Served:
        """Have the prompt read and the answer begun with a reservation."""
        source: Source | None = None
        used = False
        try:
            source = await self.prompts.read(call)
            if source is None:
                await self.prompts.await_turn(call, room.endpoint)
            if self.desk.left(call) <= LEAST_S:
                return Err(Failure(Trouble.NOT_SENT, "no time left"))
            used = True
            return await self._decode(call, room, source)
        finally:
            if not used:
                self.reserver.release(call, room)
                if source is not None:
                    self.prompts.free(source)

    async def _decode(
        self, call: ForwardCall, room: Room, source: Source | None
    ) -> Served:
        """Begin the answer; the room is given back when it ends."""
        out = replace(
            self.desk.outgoing(call, room.endpoint),
            cache_source=source.address if source else "",
            hold=room.hold,
        )
        within = min(self.desk.left(call), FIRST_EVENT_S)
        self.desk.loads.begun(room.endpoint.id)
        streaming = False
        try:
            sent = await self.desk.send(call, room.endpoint, out, within)
            if isinstance(sent, Err):
                self._give_back(call, room, source, sent.err_value)
                return sent
            served = await self._first(call, room, sent.ok_value)
            if source is None:
                self.prompts.turn_done(call, room.endpoint)
            streaming = isinstance(served, Ok) and isinstance(served.ok_value, Stream)
            return served
        finally:
            if not streaming:
                self._ended(call, room)

    def _give_back(
        self, call: ForwardCall, room: Room, source: Source | None, failure: Failure
    ) -> None:
        """Free what an endpoint that did not run a request did not take."""
        if failure.verdict is not Verdict.NOT_RUN:
            return
        drop = self.desk.adapter.drop_hold_call(room.hold)
        self.desk.later(room.endpoint, drop)
        if source is not None:
            self.prompts.free(source)

    async def _first(self, call: ForwardCall, room: Room, answer: Answer) -> Served:
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
                first = await next_events(answer, cutter)
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
        account = StreamAccount(clock(), clock())
        try:
            yield first
            async with asyncio.timeout(max(0.0, self.desk.left(call))):
                while True:
                    events = await next_events(answer, cutter)
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
            account.log(call, room.endpoint.id)

    def _ended(self, call: ForwardCall, room: Room) -> None:
        self.desk.loads.ended(room.endpoint.id)
        self.reserver.ended(call, room)
