"""Reading of complete events from a stream, and statistics of the stream."""

import logging
from dataclasses import dataclass

from ebonyglade.forward.call import EndpointResponse, ForwardCall
from ebonyglade.forward.events import EventSplitter

logger = logging.getLogger(__name__)


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

    def log(self, call: ForwardCall, endpoint: str) -> None:
        """Log the statistics."""
        logger.info(
            "stream ended",
            extra={
                "request": call.id,
                "endpoint": endpoint,
                "first_after": round(self.started_at - call.arrived_at, 3),
                "seconds": round(self.last_at - self.started_at, 3),
                "longest_gap": round(self.longest_gap, 3),
                "parts": self.batches,
                "whole": self.complete,
            },
        )


async def next_events(response: EndpointResponse, splitter: EventSplitter) -> bytes:
    """Return the next complete events; empty at the end of a complete response."""
    while True:
        try:
            data = await anext(response.chunks)
        except StopAsyncIteration:
            return b""
        events = splitter.feed(data)
        if events:
            return events
