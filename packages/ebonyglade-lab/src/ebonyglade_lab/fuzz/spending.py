"""Tokens that workspaces were admitted for and got, against rate and burst."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from ebonyglade.entry import EntryCore
from ebonyglade.limits.wallet import Reservation

TOLERANCE = 1e-3  # tokens


@dataclass(eq=False, slots=True)
class Admitted:
    """A reservation that notes when it was made and what was spent of it.

    Attributes:
        reservation: what the entry holds.
        at: virtual seconds of the admission.
        note: told of tokens that are spent.
        spent: tokens spent so far.
    """

    reservation: Reservation
    at: float
    note: Callable[[float], None]
    spent: float = 0.0

    @property
    def left(self) -> float:
        """Tokens that may still be spent."""
        return self.reservation.left

    def spend(self, tokens: float) -> None:
        """Count tokens as spent for good."""
        tokens = min(tokens, self.reservation.left)
        self.spent += tokens
        self.note(tokens)
        self.reservation.spend(tokens)

    def settle(self) -> None:
        """Free what was not spent."""
        self.reservation.settle()


class Spending:
    """Judges admissions of all entries together.

    Tokens count at the moment of their admission: a pause of an entry may bring
    what was admitted before it to the caller much later. What callers get was
    admitted before, to the last token.
    """

    def __init__(self, rate: float, burst: float, now: Callable[[], float]) -> None:
        self._rate = rate
        self._burst = burst
        self._now = now
        self._admitted: dict[str, list[Admitted]] = defaultdict(list)
        self._spent: Counter[str] = Counter()
        self._got: Counter[str] = Counter()

    def watch(self, core: EntryCore) -> None:
        """Note the admissions of an entry's process."""
        acquire = core.rights.acquire

        async def noted(workspace: str, *args: object, **options: object) -> object:
            reserved = await acquire(workspace, *args, **options)
            if not isinstance(reserved, Ok):
                return reserved

            def note(tokens: float) -> None:
                self._spent[workspace] += tokens

            admitted = Admitted(reserved.ok_value, self._now(), note)
            self._admitted[workspace].append(admitted)
            return Ok(admitted)

        core.rights.acquire = noted

    def got(self, workspace: str, tokens: float) -> float:
        """Note tokens that a caller got; return how many were not admitted."""
        self._got[workspace] += tokens
        return self._got[workspace] - self._spent[workspace] - TOLERANCE

    def excess(self) -> tuple[str, float]:
        """Return the workspace with the worst window, and its excess in tokens.

        A window of any length has more than rate x time + burst exactly if a
        bucket that leaks at the rate ever holds more than the burst.
        """
        worst = [(name, self._worst(name)) for name in sorted(self._admitted)]
        return max(worst, key=lambda item: item[1], default=("", 0.0))

    def _worst(self, workspace: str) -> float:
        level, last, worst = 0.0, 0.0, 0.0
        for admitted in self._admitted[workspace]:
            level = max(0.0, level - self._rate * (admitted.at - last))
            level += admitted.spent
            last = admitted.at
            worst = max(worst, level - self._burst - TOLERANCE)
        return worst
