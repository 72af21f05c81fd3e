"""Slots and engine memory of one endpoint, held under leases."""

from collections.abc import Callable, Container
from dataclasses import dataclass
from enum import Enum

from ebonyglade.invariants import Invariants


class LeaseState(Enum):
    """What a lease grants."""

    WAITING = "waiting"  # a place in the queue
    PROMISED = "promised"  # one of the next slots that become free
    HELD = "held"  # a slot and memory


@dataclass(slots=True)
class Lease:
    """Lease of one attempt on a slot and memory; `expires` is in monotonic seconds."""

    attempt: str
    holder: str
    pieces: int
    expires: float
    state: LeaseState = LeaseState.HELD


class SlotTable:
    """Leases on an endpoint's slots and KV pieces.

    A lease that its holder does not renew expires, and what it held becomes free.
    Only leases in state `HELD` occupy slots and pieces; the others wait for them.

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
        self._held_slots = 0
        self._held_pieces = 0
        self._invariants = invariants or Invariants()
        self.on_release: Callable[[str], None] = lambda attempt: None

    @property
    def term(self) -> float:
        """Seconds for which a lease is held without renewal."""
        return self._term

    @property
    def slots(self) -> int:
        """Maximum number of jobs at once."""
        return self._slots

    @property
    def pieces(self) -> int:
        """Number of KV pieces (blocks of the KV cache) that the endpoint has."""
        return self._pieces

    @property
    def free_slots(self) -> int:
        """Number of slots that no lease holds."""
        return self._slots - self._held_slots

    @property
    def free_pieces(self) -> int:
        """Number of KV pieces that no lease holds."""
        return self._pieces - self._held_pieces

    def count_without_job(self, jobs: Container[str]) -> int:
        """Return how many leases have no job yet."""
        return sum(1 for attempt in self._leases if attempt not in jobs)

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._leases

    def get(self, attempt: str) -> Lease | None:
        """Return an attempt's lease; None if it has none."""
        return self._leases.get(attempt)

    def held_leases(self) -> list[Lease]:
        """Return the leases that hold a slot."""
        return [
            lease for lease in self._leases.values() if lease.state is LeaseState.HELD
        ]

    def add(self, attempt: str, holder: str, pieces: int, now: float) -> Lease:
        """Add a lease that waits for a slot."""
        lease = Lease(attempt, holder, pieces, now + self._term, LeaseState.WAITING)
        self._leases[attempt] = lease
        return lease

    def acquire(self, lease: Lease) -> bool:
        """Give a slot and memory to a lease; False if there are not enough free."""
        if lease.state is LeaseState.HELD:
            return True
        if self.free_slots < 1 or self.free_pieces < lease.pieces:
            return False
        lease.state = LeaseState.HELD
        self._held_slots += 1
        self._held_pieces += lease.pieces
        self._check_invariants()
        return True

    def reserve(self, attempt: str, holder: str, pieces: int, now: float) -> bool:
        """Add a lease that holds a slot and memory; False if there are not enough free.

        Idempotent.
        """
        lease = self._leases.get(attempt)
        if lease is not None:
            return lease.state is LeaseState.HELD
        if self.acquire(self.add(attempt, holder, pieces, now)):
            return True
        del self._leases[attempt]
        return False

    def in_force(self, attempt: str, holder: str, now: float) -> bool:
        """Return whether an attempt's lease is in force for this holder."""
        lease = self._leases.get(attempt)
        return lease is not None and lease.holder == holder and lease.expires > now

    def renew(self, attempt: str, holder: str, now: float) -> None:
        """Extend a lease that is still in force."""
        if self.in_force(attempt, holder, now):
            self._leases[attempt].expires = now + self._term

    def release(self, attempt: str) -> None:
        """Free what an attempt holds. Idempotent."""
        lease = self._leases.pop(attempt, None)
        if lease is None:
            return
        if lease.state is LeaseState.HELD:
            self._held_slots -= 1
            self._held_pieces -= lease.pieces
            self._check_invariants()
        self.on_release(attempt)

    def expired_attempts(self, now: float) -> list[str]:
        """Return the attempts whose leases have expired."""
        return [
            lease.attempt for lease in self._leases.values() if lease.expires <= now
        ]

    def expire(self, now: float) -> list[str]:
        """Release the expired leases and return their attempts."""
        expired = self.expired_attempts(now)
        for attempt in expired:
            self.release(attempt)
        return expired

    def _check_invariants(self) -> None:
        require = self._invariants.require
        require(0 <= self._held_slots <= self._slots, "slots_not_oversubscribed")
        require(0 <= self._held_pieces <= self._pieces, "pieces_not_oversubscribed")
