"""What happened in a run, kept short enough to be read."""

import zlib
from collections import deque
from dataclasses import dataclass, field

CAPACITY = 20_000  # events
SHOWN = 40  # events of a printed trace


@dataclass(slots=True)
class Trace:
    """The newest events of a run and a checksum over all of them."""

    events: deque[tuple[float, str]] = field(
        default_factory=lambda: deque(maxlen=CAPACITY)
    )
    checksum: int = 0

    def add(self, at: float, text: str) -> None:
        """Note an event at `at` virtual seconds."""
        self.events.append((at, text))
        self.checksum = zlib.crc32(f"{at:.6f} {text}".encode(), self.checksum)

    def about(self, subjects: set[str], shown: int = SHOWN) -> list[str]:
        """Return the last events that name one of the subjects, oldest first.

        Args:
            subjects: words; none of them selects every event.
            shown: most events to return.
        """
        chosen = [
            f"{at:10.3f} s  {text}"
            for at, text in self.events
            if not subjects or subjects.intersection(text.split())
        ]
        return chosen[-shown:]
