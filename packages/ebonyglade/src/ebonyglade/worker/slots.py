"""Slots and engine memory of one endpoint, held under leases."""

from collections.abc import Container
from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """What one attempt holds until `expires`, monotonic seconds."""

    attempt: str
    holder: str
    pieces: int
    expires: float


class SlotTable:
    """Leases on an endpoint's slots and KV pieces.

    A lease that its holder does not renew expires; what it held is free again.
    """

    def __init__(self, slots: int, pieces: int, term: float) -> None:
        self._slots = slots
        self._pieces = pieces
        self._term = term
        self._leases: dict[str, Lease] = {}

    @property
    def term(self) -> float:
        """Seconds for which a lease is held without renewal."""
        return self._term

    @property
    def free_slots(self) -> int:
        """Slots that nobody holds."""
        return self._slots - len(self._leases)

    @property
    def free_pieces(self) -> int:
        """KV pieces that nobody holds."""
        return self._pieces - sum(lease.pieces for lease in self._leases.values())

    def reserved_only(self, jobs: Container[str]) -> int:
        """Return how many leases have no job yet."""
        return sum(1 for attempt in self._leases if attempt not in jobs)

    def reserve(self, attempt: str, holder: str, pieces: int, now: float) -> bool:
        """Hold a slot and memory; False if there is none. Idempotent."""
        if attempt in self._leases:
            return True
        if self.free_slots < 1 or self.free_pieces < pieces:
            return False
        self._leases[attempt] = Lease(attempt, holder, pieces, now + self._term)
        return True

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
        self._leases.pop(attempt, None)

    def expire(self, now: float) -> list[str]:
        """Free the leases whose time is over and return their attempts."""
        over = [item.attempt for item in self._leases.values() if item.expires <= now]
        for attempt in over:
            del self._leases[attempt]
        return over
