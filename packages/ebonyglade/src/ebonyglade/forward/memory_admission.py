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
OVERDUE_SHARE = 0.3
UNKNOWN_ANSWER_TOKENS = 4000  # tokens of an answer that nobody estimated
USABLE_MEMORY_SHARE = 0.97  # part of the memory that is given out
GRANT_EXPIRY_S = 2.0  # a grant whose request does not come lapses after this time
PREFILL_LEASE_S = 1.0  # a reading turn that is not ended lapses after this time
# Time for one event of each run between two prompts that the endpoint reads.
PREFILL_PAUSE_S = 0.06
WAITER_EXPIRY_S = 0.2  # a request that did not ask again within this time has left
RUN_EXPIRY_S = 0.6  # a run that the endpoint does not report for so long has ended


@dataclass(frozen=True, slots=True)
class MemoryNeed:
    """Memory of one run.

    Attributes:
        tokens: in memory now.
        growth: tokens that it will still grow by.
    """

    tokens: int
    growth: int


def peak_memory(needs: Iterable[MemoryNeed]) -> int:
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
        prompt_tokens: tokens of its prompt.
        answer_tokens: tokens that its answer is expected to have.
        tokens: in memory when last reported.
        granted: when it got its room; negative infinity if it never asked.
        seen: when the endpoint last reported it; None if it never did.
    """

    prompt_tokens: int
    answer_tokens: int
    tokens: int
    granted_at: float
    seen_at: float | None = None

    def memory_need(self) -> MemoryNeed:
        generated = max(0, self.tokens - self.prompt_tokens)
        expected = int(self.answer_tokens * (1 + ESTIMATE_MARGIN))
        min_growth = int(self.answer_tokens * OVERDUE_SHARE)
        return MemoryNeed(
            max(self.tokens, self.prompt_tokens), max(expected - generated, min_growth)
        )


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
    negative_wait_s: float


@dataclass(slots=True)
class _WaitingRequest:
    rank: Rank
    at: float


@dataclass(slots=True)
class MemoryAdmission:
    """Who has room at an endpoint; kept by the agent beside it.

    Attributes:
        slots: requests at once.
        memory_tokens: tokens of KV cache.
    """

    slots: int = 0
    memory_tokens: int = 0
    _other_tokens: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _waiting: dict[str, _WaitingRequest] = field(default_factory=dict)

    def update_from_report(
        self, runs: Iterable[RunState], used: int, memory_tokens: int, now: float
    ) -> None:
        """Take what the endpoint says that it runs."""
        self.memory_tokens = memory_tokens
        for state in runs:
            run = self._runs.get(state.request)
            if run is None:
                run = _Run(state.tokens, UNKNOWN_ANSWER_TOKENS, state.tokens, now)
                self._runs[state.request] = run
            run.tokens, run.seen_at = state.tokens, now
        self._expire(now)
        reported_tokens = sum(
            run.tokens for run in self._runs.values() if run.seen_at is not None
        )
        self._other_tokens = max(0, used - reported_tokens)

    def try_grant(
        self,
        request: str,
        prompt_tokens: int,
        answer_tokens: int,
        rank: Rank,
        now: float,
    ) -> bool:
        """Give a request room; asking again changes nothing.

        Room that is there is kept for a request that goes before this one and
        asked a moment ago.
        """
        if request in self._runs:
            return True
        self._expire(now)
        self._waiting.pop(request, None)
        run = _Run(prompt_tokens, answer_tokens, 0, now)
        first = all(rank <= other.rank for other in self._waiting.values())
        if first and len(self._runs) < self.slots and self._fits(run):
            self._runs[request] = run
            return True
        self._waiting[request] = _WaitingRequest(rank, now)
        return False

    def release(self, request: str) -> None:
        """Take the room of a request back."""
        self._runs.pop(request, None)
        self._waiting.pop(request, None)

    def clear(self) -> None:
        """Forget all runs, after the endpoint has started anew."""
        self._runs.clear()
        self._waiting.clear()
        self._other_tokens = 0

    def free_tokens(self) -> int:
        """Return the tokens that are not needed at the worst time to come."""
        needs = [run.memory_need() for run in self._runs.values()]
        return (
            int(USABLE_MEMORY_SHARE * self.memory_tokens)
            - self._other_tokens
            - peak_memory(needs)
        )

    def _fits(self, run: _Run) -> bool:
        needs = [other.memory_need() for other in self._runs.values()]
        most = peak_memory([*needs, run.memory_need()]) + self._other_tokens
        return not self._runs or most <= USABLE_MEMORY_SHARE * self.memory_tokens

    def _expire(self, now: float) -> None:
        ended = [
            request
            for request, run in self._runs.items()
            if (run.seen_at is None and now - run.granted_at > GRANT_EXPIRY_S)
            or (run.seen_at is not None and now - run.seen_at > RUN_EXPIRY_S)
        ]
        for request in ended:
            del self._runs[request]
        left = [
            request
            for request, waiting in self._waiting.items()
            if now - waiting.at > WAITER_EXPIRY_S
        ]
        for request in left:
            del self._waiting[request]


@dataclass(slots=True)
class PrefillLease:
    """One prompt at a time is read by a decode endpoint itself.

    Reading a prompt holds up the events of all runs beside it. Two prompts in a
    row hold them up for longer than callers take for on time.
    """

    _holder: str = ""
    _expires_at: float = 0.0

    def acquire(self, request: str, now: float) -> bool:
        """Give a request the turn, unless another one has it."""
        if self._holder != request and now < self._expires_at:
            return False
        self._holder, self._expires_at = request, now + PREFILL_LEASE_S
        return True

    def release(self, request: str, now: float) -> None:
        """End a turn; the next one begins after a pause."""
        if self._holder == request:
            self._expires_at = now + PREFILL_PAUSE_S
