"""Dispatch of model requests.

Memory is reserved at a decode endpoint first, then the prompt is prefilled, then
the answer is decoded and streamed.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from ebonyglade.completeness import Ending, IncompleteResponse
from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.balancing.outstanding import StartedRequest
from ebonyglade.forward.balancing.request_costs import Outcome
from ebonyglade.forward.call import (
    NO_RETRY,
    NOT_ELIGIBLE,
    AttemptFailure,
    CompleteResponse,
    EndpointResponse,
    FailureKind,
    ForwardCall,
    Reply,
    StreamedResponse,
)
from ebonyglade.forward.gate.send_gate import MIN_REMAINING_S
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.memory.reservations import MemoryReservation
from ebonyglade.forward.memory.reserver import Reserver
from ebonyglade.forward.prefiller import Prefiller, PrefillSource
from ebonyglade.forward.streams import EventReader, StreamStats
from ebonyglade.forward.types import Endpoint
from ebonyglade.verdict import Verdict, combine_verdicts

# Limit for the response headers, and again from them to the first event.
FIRST_EVENT_TIMEOUT_S = 4.0
MAX_DECODE_ATTEMPTS = 2  # decode endpoints that are tried for one request

ServeResult = Result[StreamedResponse | CompleteResponse, AttemptFailure]


@dataclass(slots=True)
class GenerationDispatcher:
    """Dispatches requests of model services to prefill and decode endpoints.

    Attributes:
        attempts: sends attempts to endpoints.
        agent_client: asks the agents beside endpoints.
        on_begun: called before the first event of a stream is passed on.
        reserver: reserves memory at decode endpoints.
        prefiller: has prompts prefilled.
    """

    attempts: AttemptSender
    agent_client: AgentClient
    on_begun: Callable[[ForwardCall, Endpoint], None] = lambda call, endpoint: None
    reserver: Reserver = field(init=False)
    prefiller: Prefiller = field(init=False)

    def __post_init__(self) -> None:
        self.reserver = Reserver(self.attempts, self.agent_client)
        self.prefiller = Prefiller(self.attempts, self.agent_client)

    async def run(self, call: ForwardCall) -> Reply:
        """Return the response, mostly a stream, or a refusal with the right verdict."""
        failure: AttemptFailure | None = None
        excluded: set[str] = set()
        possible_runs = tried = 0
        while tried < MAX_DECODE_ATTEMPTS:
            if self.attempts.gate.refusal(call) is not None:
                break
            if self.attempts.remaining_s(call) <= MIN_REMAINING_S:
                break
            if not await self.attempts.take_retries(call):
                break
            reserved = await self.reserver.reserve(call, excluded)
            if isinstance(reserved, Err):
                if call.verdict is Verdict.NOT_RUN:
                    return reserved
                break
            reply = await self._serve(call, reserved.ok_value)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            tried += failure.was_tried
            excluded.add(reserved.ok_value.endpoint.id)
            possible_runs += failure.verdict is not Verdict.NOT_RUN
            may_retry = call.repeatable and possible_runs < call.route.max_attempts
            if possible_runs and not may_retry:
                break
        return Err(self.attempts.final_refusal(call, failure))

    async def _serve(
        self, call: ForwardCall, reservation: MemoryReservation
    ) -> ServeResult:
        """Prefill the prompt and start decoding with a memory reservation."""
        source: PrefillSource | None = None
        used = False
        call.cache_region = self.attempts.eligibility.cache_region(
            call, reservation.endpoint
        )
        try:
            source = await self.prefiller.prefill(call)
            call.prefilled = source is not None
            if not await self.attempts.take_retries(call):
                return Err(NO_RETRY)
            if source is None:
                await self.prefiller.await_local_lease(call, reservation.endpoint)
            if not self.attempts.may_use(call, reservation.endpoint):
                return Err(NOT_ELIGIBLE)
            if not await self.attempts.renew_permit(
                reservation.endpoint, reservation.permit_at
            ):
                return Err(AttemptFailure(FailureKind.NOT_SENT, "no permit"))
            used = True
            return await self._decode(call, reservation, source)
        finally:
            if not used:
                self.reserver.cancel(call, reservation)
                if source is not None:
                    self.prefiller.free_prefilled(source)

    async def _decode(
        self,
        call: ForwardCall,
        reservation: MemoryReservation,
        source: PrefillSource | None,
    ) -> ServeResult:
        """Start decoding; the reservation is released when the response ends."""
        instructions = replace(
            self.attempts.instructions_for(call, reservation.endpoint),
            cache_source=source.address if source else "",
            hold=reservation.hold,
        )
        timeout_s = min(self.attempts.remaining_s(call), FIRST_EVENT_TIMEOUT_S)
        started = self.attempts.request_started(call, reservation.endpoint)
        streaming = False
        try:
            sent = await self.attempts.send(
                call, reservation.endpoint, instructions, timeout_s
            )
            if isinstance(sent, Err):
                started.record_failure(sent.err_value)
                self._release_unused(call, reservation, source, sent.err_value)
                return sent
            served = await self._await_first_event(
                call, reservation, sent.ok_value, started
            )
            if source is None:
                self.prefiller.release_local_lease(call, reservation.endpoint)
            streaming = isinstance(served, Ok) and isinstance(
                served.ok_value, StreamedResponse
            )
            return served
        finally:
            if not streaming:
                self._finish(call, reservation, started)

    def _release_unused(
        self,
        call: ForwardCall,
        reservation: MemoryReservation,
        source: PrefillSource | None,
        failure: AttemptFailure,
    ) -> None:
        """Release reservation and prefilled prompt if the request did not run."""
        if failure.verdict is not Verdict.NOT_RUN:
            return
        drop = self.attempts.adapter.drop_hold_call(reservation.hold)
        self.attempts.send_in_background(reservation.endpoint, drop)
        if source is not None:
            self.prefiller.free_prefilled(source)

    async def _await_first_event(
        self,
        call: ForwardCall,
        reservation: MemoryReservation,
        response: EndpointResponse,
        started: StartedRequest,
    ) -> ServeResult:
        """Wait for the first event.

        A failure before it can still be answered with a refusal or a retry. A
        response with a status of 300 or above is read completely.
        """
        attempts = self.attempts
        headers = attempts.adapter.response_headers(response.headers)
        timeout_s = min(attempts.remaining_s(call), FIRST_EVENT_TIMEOUT_S)
        if response.status >= 300 or response.metadata.encoded:
            # An answer that is no stream shows nothing of the cost of streams.
            started.outcome = Outcome.NOT_RUN
            body = await attempts.read_document(
                call, reservation.endpoint, response, timeout_s
            )
            if isinstance(body, Err):
                return body
            if response.metadata.encoded:
                return Err(attempts.record_encoded_response(call, reservation.endpoint))
            return Ok(CompleteResponse(response.status, headers, body.ok_value))
        events = EventReader(response, attempts.limits.event_bytes, call.buffers)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                first = await events.first_events()
        except TimeoutError:
            error = IncompleteResponse("no first event in time", Ending.LATE)
            return Err(
                attempts.record_incomplete(call, reservation.endpoint, response, error)
            )
        except IncompleteResponse as error:
            return Err(
                attempts.record_incomplete(call, reservation.endpoint, response, error)
            )
        except asyncio.CancelledError:
            response.close()
            raise
        call.verdict = combine_verdicts(call.verdict, Verdict.RAN)
        call.writing_since = attempts.clock()
        self.on_begun(call, reservation.endpoint)
        stats = StreamStats(attempts.clock(), attempts.clock())
        held = ExitStack()
        held.callback(stats.log, call, reservation.endpoint, events)
        held.callback(self._finish, call, reservation, started)
        held.callback(call.buffers.release)
        held.callback(response.close)
        chunks = self._stream_events(
            call, reservation, events, first, stats, started, held
        )
        # A generator that was never started does not release anything by itself.
        return Ok(StreamedResponse(response.status, headers, chunks, held.close))

    async def _stream_events(
        self,
        call: ForwardCall,
        reservation: MemoryReservation,
        events: EventReader,
        first: bytes,
        stats: StreamStats,
        started: StartedRequest,
        held: ExitStack,
    ) -> AsyncIterator[bytes]:
        try:
            yield first
            while complete_events := await self._next_events(call, events):
                stats.record_events(self.attempts.clock())
                yield complete_events
            stats.complete = True
            started.record_response(events.response.status)
            self.attempts.record_answer(call, events.response.status)
        except IncompleteResponse as error:
            if error.cause is not Ending.LATE:
                self.attempts.record_incomplete(
                    call, reservation.endpoint, events.response, error
                )
            raise
        finally:
            held.close()

    async def _next_events(self, call: ForwardCall, events: EventReader) -> bytes:
        """Return the next events; empty at the end of a complete stream.

        Raises:
            IncompleteResponse: the stream is broken off, or the deadline passed.
        """
        try:
            async with asyncio.timeout(max(0.0, self.attempts.remaining_s(call))):
                return await events.next_events()
        except TimeoutError as error:
            raise IncompleteResponse("the deadline passed", Ending.LATE) from error

    def _finish(
        self,
        call: ForwardCall,
        reservation: MemoryReservation,
        started: StartedRequest,
    ) -> None:
        self.attempts.request_ended(started)
        self.reserver.run_ended(call, reservation)
