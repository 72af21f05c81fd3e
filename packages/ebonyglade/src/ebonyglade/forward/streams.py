"""What a stream of events went like, and its next whole events."""

import logging
from dataclasses import dataclass

from ebonyglade.forward.call import Answer, ForwardCall
from ebonyglade.forward.events import EventCutter

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class StreamAccount:
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

    def log(self, call: ForwardCall, endpoint: str) -> None:
        """Write the line."""
        logger.info(
            "stream ended",
            extra={
                "request": call.id,
                "endpoint": endpoint,
                "first_after": round(self.began - call.arrived, 3),
                "seconds": round(self.last - self.began, 3),
                "longest_gap": round(self.longest_gap, 3),
                "parts": self.parts,
                "whole": self.whole,
            },
        )


async def next_events(answer: Answer, cutter: EventCutter) -> bytes:
    """Return the next whole events; empty at the end of a whole answer."""
    while True:
        try:
            data = await anext(answer.chunks)
        except StopAsyncIteration:
            return b""
        events = cutter.feed(data)
        if events:
            return events
