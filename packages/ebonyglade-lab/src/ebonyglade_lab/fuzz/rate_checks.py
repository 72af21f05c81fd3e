"""Checks admitted and received tokens of workspaces against rate and burst."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from ebonyglade.entry import EntryCore
from ebonyglade.limits.local_tokens import TokenReservation

TOLERANCE = 1e-3  # tokens


@dataclass(eq=False, slots=True)
class TrackedReservation:
    """A reservation together with its time and the tokens spent of it.

    Attributes:
        reservation: the reservation of the entry.
        admitted_at: virtual seconds of the admission.
        add_spent: callback for tokens that are spent.
        spent: tokens spent so far.
    """

    reservation: TokenReservation
    admitted_at: float
    add_spent: Callable[[float], None]
    spent: float = 0.0

    @property
    def left(self) -> float:
        """Tokens that may still be spent."""
        return self.reservation.left

    def spend(self, tokens: float) -> None:
        """Spend tokens of the reservation."""
        tokens = min(tokens, self.reservation.left)
        self.spent += tokens
        self.add_spent(tokens)
        self.reservation.spend(tokens)

    def settle(self) -> None:
        """Return the tokens that were not spent."""
        self.reservation.settle()


class RateChecks:
    """Checks the admissions of all entries together.

    Tokens count at the time of their admission, as an entry that is paused may
    deliver them to the caller much later. Callers must not receive more tokens than
    were admitted.
    """

    def __init__(self, rate: float, burst: float, now: Callable[[], float]) -> None:
        self._rate = rate
        self._burst = burst
        self._now = now
        self._reservations: dict[str, list[TrackedReservation]] = defaultdict(list)
        self._spent: Counter[str] = Counter()
        self._delivered: Counter[str] = Counter()

    def track_admissions(self, core: EntryCore) -> None:
        """Record the admissions of an entry's process."""
        acquire = core.rate_limiter.acquire

        async def tracking_acquire(
            workspace: str, *args: object, **options: object
        ) -> object:
            reserved = await acquire(workspace, *args, **options)
            if not isinstance(reserved, Ok):
                return reserved

            def add_spent(tokens: float) -> None:
                self._spent[workspace] += tokens

            tracked = TrackedReservation(reserved.ok_value, self._now(), add_spent)
            self._reservations[workspace].append(tracked)
            return Ok(tracked)

        core.rate_limiter.acquire = tracking_acquire

    def record_delivered(self, workspace: str, tokens: float) -> float:
        """Record tokens that a caller received; return how many were not admitted."""
        self._delivered[workspace] += tokens
        return self._delivered[workspace] - self._spent[workspace] - TOLERANCE

    def excess(self) -> tuple[str, float]:
        """Return the workspace with the largest excess, and the excess in tokens.

        Some time window has more tokens than rate x time + burst if and only if a
        leaky bucket that drains at the rate ever holds more than the burst.
        """
        worst = [
            (name, self._worst_excess(name)) for name in sorted(self._reservations)
        ]
        return max(worst, key=lambda item: item[1], default=("", 0.0))

    def _worst_excess(self, workspace: str) -> float:
        level, last, worst = 0.0, 0.0, 0.0
        for tracked in self._reservations[workspace]:
            level = max(0.0, level - self._rate * (tracked.admitted_at - last))
            level += tracked.spent
            last = tracked.admitted_at
            worst = max(worst, level - self._burst - TOLERANCE)
        return worst
