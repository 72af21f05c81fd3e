"""Memory that a process holds for bodies, over all of its requests."""

from dataclasses import dataclass, field

KIB = 1024
MIB = 1024 * KIB
DEFAULT_BUFFERED_BYTES = 32 * MIB
# Held for every request, so that a few large answers do not take the memory of all.
ALWAYS_GRANTED_BYTES = 16 * KIB


@dataclass(slots=True)
class BufferBudget:
    """Memory for bodies that a process holds, over all of its requests.

    Attributes:
        max_bytes: most bytes to hold.
        used: bytes that are held.
        peak: most bytes that were held at a time.
    """

    max_bytes: int = DEFAULT_BUFFERED_BYTES
    used: int = 0
    peak: int = 0


@dataclass(slots=True)
class BufferLease:
    """One request's part of the memory for bodies; released at its end.

    Attributes:
        budget: memory of the process.
        held: bytes that this request holds.
    """

    budget: BufferBudget = field(default_factory=BufferBudget)
    held: int = 0

    def hold(self, size: int) -> bool:
        """Change the bytes held; False if there is no memory for more."""
        used = self.budget.used + size - self.held
        small = size <= max(self.held, ALWAYS_GRANTED_BYTES)
        if used > self.budget.max_bytes and not small:
            return False
        self.budget.used = used
        self.budget.peak = max(self.budget.peak, used)
        self.held = size
        return True

    def release(self) -> None:
        """Release all bytes."""
        self.hold(0)
