"""Start grants: each reservation lets one request reach the endpoint once."""

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum

MAX_GRANTS = 8192


class GrantUse(Enum):
    """Result of presenting a grant with a request."""

    START = "start"
    TOO_LATE = "too_late"  # was never started and never will be
    REPEATED = "repeated"  # duplicate of a message that was already handled
    UNKNOWN = "unknown"  # evicted from the table, or issued by an earlier process


class _State(Enum):
    OPEN = "open"
    USED = "used"
    CLOSED = "closed"


# (state of the grant, whether its reservation is in force) -> (new state, result).
_TRANSITIONS = {
    (_State.OPEN, True): (_State.USED, GrantUse.START),
    (_State.OPEN, False): (_State.CLOSED, GrantUse.TOO_LATE),
    (_State.USED, True): (_State.USED, GrantUse.REPEATED),
    (_State.USED, False): (_State.USED, GrantUse.REPEATED),
    (_State.CLOSED, True): (_State.CLOSED, GrantUse.TOO_LATE),
    (_State.CLOSED, False): (_State.CLOSED, GrantUse.TOO_LATE),
}


class StartGrants:
    """One-time rights to start an attempt.

    Each reservation gets a new grant, and a request must carry the grant of its
    reservation. The network may duplicate and delay messages: a duplicate of the
    reservation that arrives after the attempt ended gets a new grant, which differs
    from the one in the duplicate of the request, so late duplicates start nothing.
    A grant that was evicted counts as unknown and starts nothing either, so the
    table may be bounded.
    """

    def __init__(self, new_id: Callable[[], str], capacity: int = MAX_GRANTS) -> None:
        self._new_id = new_id
        self._capacity = capacity
        self._states: OrderedDict[tuple[str, str], _State] = OrderedDict()
        self._open: dict[str, str] = {}

    def issue(self, attempt: str) -> str:
        """Return the unused grant of an attempt, or issue a new one."""
        if attempt not in self._open:
            self._open[attempt] = grant = self._new_id()
            self._states[attempt, grant] = _State.OPEN
            self._trim()
        return self._open[attempt]

    def use(self, attempt: str, grant: str, in_force: bool) -> GrantUse:
        """Use a grant; `in_force` tells whether its reservation is still held."""
        state = self._states.get((attempt, grant))
        if state is None:
            return GrantUse.UNKNOWN
        self._states[attempt, grant], use = _TRANSITIONS[state, in_force]
        if self._open.get(attempt) == grant:
            del self._open[attempt]
        return use

    def _trim(self) -> None:
        while len(self._states) > self._capacity:
            (attempt, grant), _ = self._states.popitem(last=False)
            if self._open.get(attempt) == grant:
                del self._open[attempt]
