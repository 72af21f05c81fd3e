"""Grants: each reservation lets one request reach the endpoint once."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

GRANTS_REMEMBERED = 8192


class Use(Enum):
    """What becomes of a request that presents a grant."""

    START = "start"
    TOO_LATE = "too_late"  # never started, and never will be
    REPEATED = "repeated"  # a copy of a message that was already acted on
    UNKNOWN = "unknown"  # forgotten, or issued by an earlier process


class _State(Enum):
    OPEN = "open"
    USED = "used"
    CLOSED = "closed"


# (state of the grant, whether its reservation is in force) -> what becomes of it.
_RULES = {
    (_State.OPEN, True): (_State.USED, Use.START),
    (_State.OPEN, False): (_State.CLOSED, Use.TOO_LATE),
    (_State.USED, True): (_State.USED, Use.REPEATED),
    (_State.USED, False): (_State.USED, Use.REPEATED),
    (_State.CLOSED, True): (_State.CLOSED, Use.TOO_LATE),
    (_State.CLOSED, False): (_State.CLOSED, Use.TOO_LATE),
}


class Grants:
    """One-time rights to start an attempt.

    A reservation gets a new grant, and a request must carry the grant of the
    reservation under which it starts. A copy of a reservation that arrives after
    the attempt's end gets another grant than the copy of the request carries, so
    no pair of late copies starts anything, however late. A grant that was
    forgotten only ever counts as unknown, so the memory is safe to bound.
    """

    def __init__(
        self, new_id: Callable[[], str], capacity: int = GRANTS_REMEMBERED
    ) -> None:
        self._new_id = new_id
        self._capacity = capacity
        self._states: OrderedDict[tuple[str, str], _State] = OrderedDict()
        self._open: dict[str, str] = {}

    def issue(self, attempt: str) -> str:
        """Return the open grant of an attempt, or a new one."""
        if attempt not in self._open:
            self._open[attempt] = grant = self._new_id()
            self._states[attempt, grant] = _State.OPEN
            self._trim()
        return self._open[attempt]

    def use(self, attempt: str, grant: str, in_force: bool) -> Use:
        """Spend a grant; `in_force` tells whether its reservation still holds."""
        state = self._states.get((attempt, grant))
        if state is None:
            return Use.UNKNOWN
        self._states[attempt, grant], use = _RULES[state, in_force]
        if self._open.get(attempt) == grant:
            del self._open[attempt]
        return use

    def _trim(self) -> None:
        while len(self._states) > self._capacity:
            (attempt, grant), _ = self._states.popitem(last=False)
            if self._open.get(attempt) == grant:
                del self._open[attempt]
