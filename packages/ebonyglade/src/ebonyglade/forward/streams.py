"""Reading of complete events from a stream, and statistics of the stream."""

import logging
from dataclasses import dataclass, field

from ebonyglade.bodies import require_size
from ebonyglade.buffers import BufferLease
from ebonyglade.completeness import Ending, IncompleteResponse
from ebonyglade.forward.call import EndpointResponse, ForwardCall
from ebonyglade.forward.events import EventSplitter, contains_event
from ebonyglade.forward.types import Endpoint

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class EventReader:
    """Reads complete events from a streamed response.

    Attributes:
        response: the response.
        max_event_bytes: limit of one event.
        buffers: holds the memory of an unfinished event.
        received: bytes received so far.
        ended: why the stream ended, for logs; "" before that.
    """

    response: EndpointResponse
    max_event_bytes: int
    buffers: BufferLease
    received: int = 0
    ended: str = ""
    _splitter: EventSplitter = field(default_factory=EventSplitter)

    @property
    def unfinished_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return self._splitter.remainder_size

    async def first_events(self) -> bytes:
        """Return the bytes up to the first events, and these.

        Comments and empty lines before them are held: they don't show that the request
        runs, and a response that has begun can't be refused any more.

        Raises:
            IncompleteResponse: the response ended early, or too many bytes came before
                the first event.
        """
        leading = bytearray()
        while True:
            part = await self.next_events()
            leading += part
            if not part or contains_event(part):
                return bytes(leading)
            require_size(len(leading), self.max_event_bytes, None)

    async def next_events(self) -> bytes:
        """Return the next complete events; empty at the end of a complete response.

        Raises:
            IncompleteResponse: the response ended early.
        """
        while True:
            try:
                data = await anext(self.response.body.parts, None)
                if data is None:
                    return self._end_as_framed()
                events = self._feed(data)
            except IncompleteResponse as error:
                self.ended = error.cause.value
                raise
            if events:
                return events

    def _feed(self, data: bytes) -> bytes:
        """Return the events that these bytes complete, and hold what remains."""
        self.received += len(data)
        events = self._splitter.feed(data)
        require_size(self._splitter.remainder_size, self.max_event_bytes, self.buffers)
        return events

    def _end_as_framed(self) -> bytes:
        """Return what follows the last event, if the stream is complete with it."""
        self.response.body.require_complete(self._splitter.content)
        self.ended = Ending.AS_FRAMED.value
        return self._splitter.take_remainder()


@dataclass(slots=True)
class StreamStats:
    """Statistics of one stream, for its log line."""

    started_at: float
    last_at: float
    longest_gap: float = 0.0
    batches: int = 1
    complete: bool = False

    def record_events(self, now: float) -> None:
        """Record that events were passed on."""
        self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now
        self.batches += 1

    def log(self, call: ForwardCall, endpoint: Endpoint, events: EventReader) -> None:
        """Log the statistics, and how the stream ended."""
        logger.info(
            "stream ended",
            extra={
                "request": call.id,
                "endpoint": endpoint.id,
                "software": endpoint.software,
                "first_after": round(self.started_at - call.arrived_at, 3),
                "seconds": round(self.last_at - self.started_at, 3),
                "longest_gap": round(self.longest_gap, 3),
                "parts": self.batches,
                "whole": self.complete,
                "framing": events.response.body.framing.value,
                "ending": events.ended or "given_up",
                "bytes": events.received,
                "unfinished_bytes": events.unfinished_bytes,
            },
        )
