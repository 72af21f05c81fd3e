"""A bounded log of the events of a run, with a checksum."""

import zlib
from collections import deque
from dataclasses import dataclass, field

MAX_EVENTS = 20_000
MAX_RETURNED = 40  # events that are printed for a violation
MAX_EVENT_CHARS = 150  # an event is cut to this length when it is printed


@dataclass(slots=True)
class Trace:
    """The newest events of a run, and a checksum over all events so far."""

    events: deque[tuple[float, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS)
    )
    checksum: int = 0

    def add(self, at: float, text: str) -> None:
        """Add an event that happened at `at` virtual seconds."""
        self.events.append((at, text))
        self.checksum = zlib.crc32(f"{at:.6f} {text}".encode(), self.checksum)

    def events_about(self, subjects: set[str], limit: int = MAX_RETURNED) -> list[str]:
        """Return the last events that contain one of the subjects, oldest first.

        Args:
            subjects: words to look for; an empty set selects every event.
            limit: most events to return.
        """
        chosen = [
            f"{at:10.3f} s  {text[:MAX_EVENT_CHARS]}"
            for at, text in self.events
            if not subjects or subjects.intersection(text.split())
        ]
        return chosen[-limit:]
