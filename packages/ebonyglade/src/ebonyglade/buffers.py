"""Memory that a process holds for its callers, and who gives it up when it is short."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

KIB = 1024
MIB = 1024 * KIB
DEFAULT_BUFFERED_BYTES = 20 * MIB
REQUEST_BYTES = 16 * KIB  # what the objects of a request take, apart from its body
# Held for every request, so that a few large answers do not take the memory of all.
ALWAYS_GRANTED_BYTES = REQUEST_BYTES + 16 * KIB
# What a process takes without callers.
PROCESS_BYTES = 64 * MIB
# Of the rest, for callers; connections, small requests and gaps between objects in
# memory need the other part.
BUFFERED_SHARE = 0.25
MIN_BUFFERED_BYTES = 12 * MIB  # for one large request and its answer


def buffered_bytes_within(memory_bytes: float, wanted: int) -> int:
    """Return the memory for callers on a machine.

    Args:
        memory_bytes: memory of the machine; 0 if not known.
        wanted: most bytes to hold for callers.
    """
    if not memory_bytes:
        return wanted
    share = int((memory_bytes - PROCESS_BYTES) * BUFFERED_SHARE)
    return min(wanted, max(share, MIN_BUFFERED_BYTES))


@dataclass(slots=True)
class BufferBudget:
    """Memory that a process holds for callers, over all of its requests.

    Attributes:
        max_bytes: most bytes to hold.
        clock: monotonic seconds.
        used: bytes that are held.
        peak: most bytes that were held at a time.
        given_up: leases that were given up for others.
    """

    max_bytes: int = DEFAULT_BUFFERED_BYTES
    clock: Callable[[], float] = time.monotonic
    used: int = 0
    peak: int = 0
    given_up: int = 0
    _revocable: "set[BufferLease]" = field(default_factory=set)

    def make_room(self, size: int, asker: "BufferLease") -> bool:
        """Give up leases that wait for their callers, until `size` more bytes fit.

        First are those that have held most for longest, in bytes times seconds: a
        caller that sends or reads at a fair rate is not one of them for long.

        Returns:
            Whether they fit. They don't if the asker itself would be the next one.
        """
        now = self.clock()
        while self.used + size > self.max_bytes:
            first = max(
                self._revocable, key=lambda lease: lease.cost(now), default=asker
            )
            if first is asker:
                return False
            first.revoke()
            self.given_up += 1
        return True


@dataclass(slots=True, eq=False)
class BufferLease:
    """One request's part of the memory; released at its end.

    Attributes:
        budget: memory of the process.
        held: bytes that this request holds.
        since: when it began to wait for its caller.
    """

    budget: BufferBudget = field(default_factory=BufferBudget)
    held: int = 0
    since: float = 0.0
    _give_up: Callable[[], None] | None = None

    def cost(self, now: float) -> float:
        """Return what it has held for its caller until now, in bytes times seconds."""
        return self.held * (now - self.since)

    def may_be_given_up(self, give_up: Callable[[], None] | None) -> None:
        """State how its memory is given up for others; None: it is not.

        Args:
            give_up: ends what needs the memory; called at most once.
        """
        if give_up is None:
            self.budget._revocable.discard(self)
        elif self._give_up is None:
            self.since = self.budget.clock()
            self.budget._revocable.add(self)
        self._give_up = give_up

    def revoke(self) -> None:
        """Give up what needs the memory, and release it."""
        give_up = self._give_up
        self.release()
        if give_up is not None:
            give_up()

    def hold(self, size: int) -> bool:
        """Change the bytes held; False if there is no memory for more.

        A small request gets its memory even then.
        """
        if size > self.held:
            granted = self.budget.make_room(size - self.held, self)
            if not granted and size > ALWAYS_GRANTED_BYTES:
                return False
        self.budget.used += size - self.held
        self.budget.peak = max(self.budget.peak, self.budget.used)
        self.held = size
        return True

    def release(self) -> None:
        """Release all bytes."""
        self.may_be_given_up(None)
        self.hold(0)
