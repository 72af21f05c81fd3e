"""Audit trail of the configuration changes that a process received."""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

AUDIT_CAPACITY = 4096  # records


class Outcome(Enum):
    """Result of a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    REMOVED = "removed"
    IGNORED = "ignored"
    WARNED = "warned"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One change as this process received it.

    Attributes:
        at: seconds on the wall clock that was passed in.
        path: configuration path or subject of the change.
        revision: platform revision that carried the change.
        outcome: result of the change.
        author: author of the change as named in its document; may be empty.
        reason: why it was rejected or ignored; may be empty.
        era: era of the platform's store that the revision belongs to; 0 where the
            store has none.
    """

    at: float
    path: str
    revision: int
    outcome: Outcome
    author: str = ""
    reason: str = ""
    era: int = 0


class AuditTrail:
    """Bounded sequence of records, newest last."""

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: int = AUDIT_CAPACITY,
        listener: Callable[[AuditRecord], None] | None = None,
    ) -> None:
        self._clock = clock
        self._records: deque[AuditRecord] = deque(maxlen=capacity)
        self._listener = listener

    def add(
        self,
        path: str,
        revision: int,
        outcome: Outcome,
        author: str = "",
        reason: str = "",
        era: int = 0,
    ) -> AuditRecord:
        """Append a record and pass it to the listener."""
        record = AuditRecord(
            self._clock(), path, revision, outcome, author, reason, era
        )
        self._records.append(record)
        if self._listener is not None:
            self._listener(record)
        return record

    def __iter__(self) -> Iterator[AuditRecord]:
        return iter(self._records)

    def with_path_prefix(self, prefix: str) -> list[AuditRecord]:
        """Return the records of all paths that start with `prefix`."""
        return [record for record in self._records if record.path.startswith(prefix)]
