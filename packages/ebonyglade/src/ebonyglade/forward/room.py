"""Room at one model endpoint, over the whole life of its runs.

A run's memory grows with its answer and is freed at its end. Whether another one
fits is decided by the most that all together will need at any time: it is reached
when one of them ends, so that it is enough to look at those times.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.types import RunState

# Estimates of answers are right in the middle only. A run is taken to need this
# part of its estimate more, and one that is beyond it this part once more.
ESTIMATE_MARGIN = 0.1
OVERDUE_PART = 0.3
UNKNOWN_ANSWER = 4000  # tokens of an answer that nobody estimated
USED_PART = 0.97  # part of the memory that is given out
LAPSE_S = 2.0  # a grant whose request does not come lapses after this time
TURN_LAPSE_S = 1.0  # a reading turn that is not ended lapses after this time
# Time for one event of each run between two prompts that the endpoint reads.
TURN_PAUSE_S = 0.06
ASKED_S = 0.2  # a request that did not ask again within this time has left
UNSEEN_S = 0.6  # a run that the endpoint does not report for so long has ended


@dataclass(frozen=True, slots=True)
class Need:
    """Memory of one run.

    Attributes:
        tokens: in memory now.
        growth: tokens that it will still grow by.
    """

    tokens: int
    growth: int


def peak(needs: Iterable[Need]) -> int:
    """Return the most tokens that runs which grow alike need at any time."""
    by_end = sorted(needs, key=lambda need: need.growth)
    left = sum(need.tokens for need in by_end)
    most = left
    for index, need in enumerate(by_end):
        most = max(most, left + need.growth * (len(by_end) - index))
        left -= need.tokens
    return most


@dataclass(slots=True)
class _Run:
    """A request that has room.

    Attributes:
        prompt: tokens of its prompt.
        answer: tokens that its answer is expected to have.
        tokens: in memory when last reported.
        granted: when it got its room; negative infinity if it never asked.
        seen: when the endpoint last reported it; None if it never did.
    """

    prompt: int
    answer: int
    tokens: int
    granted: float
    seen: float | None = None

    def need(self) -> Need:
        made = max(0, self.tokens - self.prompt)
        expected = int(self.answer * (1 + ESTIMATE_MARGIN))
        least = int(self.answer * OVERDUE_PART)
        return Need(max(self.tokens, self.prompt), max(expected - made, least))


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Who goes first, over all entries; the smallest does.

    Attributes:
        priority: rank, where 0 is the most urgent.
        late: whether it can't be answered on time any more.
        waits: seconds that it has waited, negative.
    """

    priority: int
    late: bool
    waits: float


@dataclass(slots=True)
class _Asked:
    rank: Rank
    at: float


@dataclass(slots=True)
class RoomBook:
    """Who has room at an endpoint; kept by the agent beside it.

    Attributes:
        slots: requests at once.
        memory: tokens of KV cache.
    """

    slots: int = 0
    memory: int = 0
    _others: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _waiting: dict[str, _Asked] = field(default_factory=dict)

    def reported(
        self, runs: Iterable[RunState], used: int, memory: int, now: float
    ) -> None:
        """Take what the endpoint says that it runs."""
        self.memory = memory
        for state in runs:
            run = self._runs.get(state.request)
            if run is None:
                run = _Run(state.tokens, UNKNOWN_ANSWER, state.tokens, now)
                self._runs[state.request] = run
            run.tokens, run.seen = state.tokens, now
        self._drop_ended(now)
        mine = sum(run.tokens for run in self._runs.values() if run.seen is not None)
        self._others = max(0, used - mine)

    def ask(
        self, request: str, prompt: int, answer: int, rank: Rank, now: float
    ) -> bool:
        """Give a request room; asking again changes nothing.

        Room that is there is kept for a request that goes before this one and
        asked a moment ago.
        """
        if request in self._runs:
            return True
        self._drop_ended(now)
        self._waiting.pop(request, None)
        run = _Run(prompt, answer, 0, now)
        first = all(rank <= other.rank for other in self._waiting.values())
        if first and len(self._runs) < self.slots and self._fits(run):
            self._runs[request] = run
            return True
        self._waiting[request] = _Asked(rank, now)
        return False

    def drop(self, request: str) -> None:
        """Take the room of a request back."""
        self._runs.pop(request, None)
        self._waiting.pop(request, None)

    def clear(self) -> None:
        """Forget all runs, after the endpoint has started anew."""
        self._runs.clear()
        self._waiting.clear()
        self._others = 0

    def free(self) -> int:
        """Return the tokens that are not needed at the worst time to come."""
        needs = [run.need() for run in self._runs.values()]
        return int(USED_PART * self.memory) - self._others - peak(needs)

    def _fits(self, run: _Run) -> bool:
        needs = [other.need() for other in self._runs.values()]
        most = peak([*needs, run.need()]) + self._others
        return not self._runs or most <= USED_PART * self.memory

    def _drop_ended(self, now: float) -> None:
        ended = [
            request
            for request, run in self._runs.items()
            if (run.seen is None and now - run.granted > LAPSE_S)
            or (run.seen is not None and now - run.seen > UNSEEN_S)
        ]
        for request in ended:
            del self._runs[request]
        left = [
            request
            for request, asked in self._waiting.items()
            if now - asked.at > ASKED_S
        ]
        for request in left:
            del self._waiting[request]


@dataclass(slots=True)
class ReadingTurns:
    """One prompt at a time is read by a decode endpoint itself.

    Reading a prompt holds up the events of all runs beside it. Two prompts in a
    row hold them up for longer than callers take for on time.
    """

    _holder: str = ""
    _until: float = 0.0

    def ask(self, request: str, now: float) -> bool:
        """Give a request the turn, unless another one has it."""
        if self._holder != request and now < self._until:
            return False
        self._holder, self._until = request, now + TURN_LAPSE_S
        return True

    def done(self, request: str, now: float) -> None:
        """End a turn; the next one begins after a pause."""
        if self._holder == request:
            self._until = now + TURN_PAUSE_S
