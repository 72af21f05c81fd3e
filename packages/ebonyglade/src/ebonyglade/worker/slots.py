"""Slots and engine memory of one endpoint, held under leases."""

from collections.abc import Callable, Container
from dataclasses import dataclass
from enum import Enum

from ebonyglade.invariants import Invariants


class Hold(Enum):
    """What a lease stands for."""

    WAITING = "waiting"  # a place in the queue
    PROMISED = "promised"  # one of the next slots to be free
    HELD = "held"  # a slot and memory


@dataclass(slots=True)
class Lease:
    """What one attempt has until `expires`, monotonic seconds."""

    attempt: str
    holder: str
    pieces: int
    expires: float
    hold: Hold = Hold.HELD


class SlotTable:
    """Leases on an endpoint's slots and KV pieces.

    A lease that its holder does not renew expires; what it held is free again.
    Only held leases take slots and pieces; the others are places in line.

    Attributes:
        on_release: called with each attempt whose lease ended.
    """

    def __init__(
        self,
        slots: int,
        pieces: int,
        term: float,
        invariants: Invariants | None = None,
    ) -> None:
        self._slots = slots
        self._pieces = pieces
        self._term = term
        self._leases: dict[str, Lease] = {}
        self._held = 0
        self._held_pieces = 0
        self._invariants = invariants or Invariants()
        self.on_release: Callable[[str], None] = lambda attempt: None

    @property
    def term(self) -> float:
        """Seconds for which a lease is held without renewal."""
        return self._term

    @property
    def slots(self) -> int:
        """Most jobs at once."""
        return self._slots

    @property
    def pieces(self) -> int:
        """KV pieces that the endpoint has."""
        return self._pieces

    @property
    def free_slots(self) -> int:
        """Slots that nobody holds."""
        return self._slots - self._held

    @property
    def free_pieces(self) -> int:
        """KV pieces that nobody holds."""
        return self._pieces - self._held_pieces

    def reserved_only(self, jobs: Container[str]) -> int:
        """Return how many leases have no job yet."""
        return sum(1 for attempt in self._leases if attempt not in jobs)

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._leases

    def get(self, attempt: str) -> Lease | None:
        """Return an attempt's lease; None if it has none."""
        return self._leases.get(attempt)

    def held(self) -> list[Lease]:
        """Return the leases that hold a slot."""
        return [item for item in self._leases.values() if item.hold is Hold.HELD]

    def add(self, attempt: str, holder: str, pieces: int, now: float) -> Lease:
        """Give an attempt a place in line."""
        lease = Lease(attempt, holder, pieces, now + self._term, Hold.WAITING)
        self._leases[attempt] = lease
        return lease

    def take(self, lease: Lease) -> bool:
        """Let a lease hold a slot and memory; False if there is none."""
        if lease.hold is Hold.HELD:
            return True
        if self.free_slots < 1 or self.free_pieces < lease.pieces:
            return False
        lease.hold = Hold.HELD
        self._held += 1
        self._held_pieces += lease.pieces
        self._check()
        return True

    def reserve(self, attempt: str, holder: str, pieces: int, now: float) -> bool:
        """Hold a slot and memory; False if there is none. Idempotent."""
        lease = self._leases.get(attempt)
        if lease is not None:
            return lease.hold is Hold.HELD
        if self.take(self.add(attempt, holder, pieces, now)):
            return True
        del self._leases[attempt]
        return False

    def holds(self, attempt: str, holder: str, now: float) -> bool:
        """Return whether an attempt's lease is in force for this holder."""
        lease = self._leases.get(attempt)
        return lease is not None and lease.holder == holder and lease.expires > now

    def renew(self, attempt: str, holder: str, now: float) -> None:
        """Extend a lease that is still in force."""
        if self.holds(attempt, holder, now):
            self._leases[attempt].expires = now + self._term

    def release(self, attempt: str) -> None:
        """Free what an attempt holds. Idempotent."""
        lease = self._leases.pop(attempt, None)
        if lease is None:
            return
        if lease.hold is Hold.HELD:
            self._held -= 1
            self._held_pieces -= lease.pieces
            self._check()
        self.on_release(attempt)

    def overdue(self, now: float) -> list[str]:
        """Return the attempts whose leases' time is over."""
        return [item.attempt for item in self._leases.values() if item.expires <= now]

    def expire(self, now: float) -> list[str]:
        """Free the leases whose time is over and return their attempts."""
        over = self.overdue(now)
        for attempt in over:
            self.release(attempt)
        return over

    def _check(self) -> None:
        require = self._invariants.require
        require(0 <= self._held <= self._slots, "slots_not_oversubscribed")
        require(0 <= self._held_pieces <= self._pieces, "pieces_not_oversubscribed")
