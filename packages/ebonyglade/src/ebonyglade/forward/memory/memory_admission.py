"""Admission of requests to one model endpoint's memory.

A run's memory grows with its answer and is freed when it ends. Another run fits if
the peak of all runs together stays within the endpoint's memory. The total reaches
its peak immediately before one of the runs ends, so that only those times have to
be checked.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.memory.grant_queue import (
    UNNAMED_CLAIM,
    Claim,
    GrantQueue,
    Rank,
    Urgency,
    WaitingGrant,
)
from ebonyglade.forward.memory.memory_estimates import initial_tokens
from ebonyglade.forward.types import RunState
from ebonyglade.worker.predict import (
    Forecast,
    MovingAverage,
    Predictor,
    expected_ends,
)

# Estimates of answer lengths are right only on average. A run is assumed to need
# `ESTIMATE_MARGIN` more than its estimate, and at any time to grow by at least
# `OVERDUE_SHARE` of its estimate.
ESTIMATE_MARGIN = 0.1
OVERDUE_SHARE = 0.3
UNKNOWN_ANSWER_TOKENS = 4000  # assumed for a run without an estimate
# A reservation has more tokens than a prompt, by which foreign ones are counted.
FOREIGN_SHARE = 0.8
USABLE_MEMORY_SHARE = 0.97  # share of the memory that is granted
GRANT_EXPIRY_S = 2.0  # a grant whose run does not start expires
PREFILL_LEASE_S = 1.0  # a lease that is not released expires
# Between two prefills each run at the endpoint has time to emit one event.
PREFILL_PAUSE_S = 0.06
# After a rejected grant, until more runs are granted than there were. Most foreign
# reservations have become runs by then, which the endpoint reports.
REJECTION_PAUSE_S = 0.25
FORECAST_MAX_AGE_S = 0.05  # expected ends of runs are computed again after this time
RUN_EXPIRY_S = 0.6  # a run that is not reported for this long has ended


@dataclass(frozen=True, slots=True)
class MemoryNeed:
    """Memory that one run needs.

    Attributes:
        tokens: tokens in memory now.
        growth: tokens by which it will still grow.
    """

    tokens: int
    growth: int


def peak_memory(needs: Iterable[MemoryNeed]) -> int:
    """Return the peak of the tokens that runs need together.

    All runs are assumed to grow at the same pace.
    """
    by_end = sorted(needs, key=lambda need: need.growth)
    total = sum(need.tokens for need in by_end)
    peak = total
    for index, need in enumerate(by_end):
        peak = max(peak, total + need.growth * (len(by_end) - index))
        total -= need.tokens
    return peak


@dataclass(slots=True)
class _Run:
    """A request that memory was granted to, or that the endpoint runs.

    Attributes:
        prompt_tokens: tokens of its prompt.
        answer_tokens: expected tokens of its answer.
        tokens: tokens in memory at the last report.
        granted_at: when its memory was granted; for a run that did not ask, when
            it was first reported.
        seen_at: when the endpoint last reported it; None if it never did.
        claim: on whose behalf the memory was granted; None for a run that did not ask.
        urgency: what the request was queued by, whose shares it counts in.
    """

    prompt_tokens: int
    answer_tokens: int
    tokens: int
    granted_at: float
    seen_at: float | None = None
    claim: Claim | None = None
    urgency: Urgency = (0, False)

    @property
    def cost(self) -> int:
        """Tokens that the workspace is charged."""
        return self.prompt_tokens + self.answer_tokens

    def memory_need(self) -> MemoryNeed:
        generated = max(0, self.tokens - self.prompt_tokens)
        expected = int(self.answer_tokens * (1 + ESTIMATE_MARGIN))
        min_growth = int(self.answer_tokens * OVERDUE_SHARE)
        return MemoryNeed(
            max(self.tokens, self.prompt_tokens), max(expected - generated, min_growth)
        )


@dataclass(slots=True)
class MemoryAdmission:
    """Grants an endpoint's memory to requests; kept by the agent beside it.

    Attributes:
        slots: concurrent requests of the endpoint.
        memory_tokens: capacity of its KV cache.
    """

    slots: int = 0
    memory_tokens: int = 0
    _other_tokens: int = 0
    _foreign_reservations: int = 0
    _max_runs: int = 0
    _max_runs_until: float = 0.0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _queue: GrantQueue = field(default_factory=GrantQueue)
    _predictor: Predictor = field(default_factory=Predictor)
    _forecast: Forecast | None = None
    _forecast_at: float = 0.0
    _usual_runs: MovingAverage = field(default_factory=MovingAverage)

    def update_from_report(
        self,
        runs: Iterable[RunState],
        used: int,
        memory_tokens: int,
        now: float,
        held: int = 0,
    ) -> None:
        """Update the runs from the endpoint's report.

        Args:
            runs: the requests that the endpoint runs.
            used: tokens of memory that can't be freed.
            memory_tokens: capacity in tokens.
            now: monotonic seconds.
            held: tokens that are reserved for requests that don't run yet.
        """
        self.memory_tokens = memory_tokens
        runs = tuple(runs)
        self._remove_ended({state.request for state in runs})
        for state in runs:
            run = self._runs.get(state.request)
            if run is None:
                run = _Run(state.tokens, UNKNOWN_ANSWER_TOKENS, state.tokens, now)
                self._runs[state.request] = run
            run.tokens, run.seen_at = state.tokens, now
            generated = state.tokens - run.prompt_tokens
            self._predictor.record_progress(state.request, generated, now)
        self._expire(now)
        reported_tokens = sum(
            run.tokens for run in self._runs.values() if run.seen_at is not None
        )
        self._other_tokens = max(0, used - reported_tokens)
        self._foreign_reservations = self._estimate_foreign_reservations(held)

    def try_grant(
        self,
        request: str,
        prompt_tokens: int,
        answer_tokens: int,
        rank: Rank,
        now: float,
        claim: Claim = UNNAMED_CLAIM,
    ) -> bool:
        """Grant memory to a request if it is its turn and it fits; idempotent.

        A request that gets none waits in the fair order until it asks again, is
        granted by `grant_next`, or expires. Free memory is kept for the first of the
        order.
        """
        if request in self._runs:
            return True
        self._expire(now)
        waiting = WaitingGrant(request, prompt_tokens, answer_tokens, rank, claim, now)
        self._queue.put(waiting)
        first = self._queue.first(now)
        if first is None or first.request != request or not self._has_room(first, now):
            return False
        self._start(first, now)
        return True

    def grant_next(self, now: float) -> WaitingGrant | None:
        """Grant memory to the first waiting request if it is queued and fits."""
        self._expire(now)
        first = self._queue.first(now)
        if first is None or not first.claim.queued or not self._has_room(first, now):
            return None
        self._start(first, now)
        return first

    def waiting_requests(self) -> int:
        """Return the number of requests that wait for memory."""
        return len(self._queue)

    def is_waiting(self, request: str) -> bool:
        """Return whether a request waits for memory."""
        return request in self._queue

    def wait_s(self, request: str, now: float) -> float:
        """Return the expected seconds until a waiting request is granted memory."""
        ahead = self._queue.ahead_of(request, now)
        if self._forecast is None or now - self._forecast_at > FORECAST_MAX_AGE_S:
            self._forecast, self._forecast_at = self._make_forecast(now), now
        wait_s = self._forecast.wait_s(len(ahead), self._queue.get(request).cost)
        return max(0.0, wait_s - (now - self._forecast_at))

    def _make_forecast(self, now: float) -> Forecast:
        ends = [
            end
            for name, run in self._runs.items()
            for end in expected_ends(self._predictor.remaining_s(name, now), run.cost)
        ]
        duration_s = self._predictor.mean_duration_s
        return Forecast(
            0,
            max(0, self.free_tokens()),
            sorted(ends, key=lambda end: end.at),
            duration_s,
            duration_s / max(1.0, len(self._runs), self._usual_runs.value),
        )

    def release(self, request: str, now: float = 0.0, unused: bool = False) -> None:
        """Release the memory of a request, or remove it from the queue.

        Args:
            request: id of the request.
            now: monotonic seconds.
            unused: whether it did not run, so that its workspace is not charged.
        """
        self._queue.remove(request)
        run = self._runs.pop(request, None)
        if run is None:
            return
        if run.claim is not None and unused and run.seen_at is None:
            self._queue.refund(run.urgency, run.claim, run.cost)
        self._predictor.job_ended(request, now)

    def forget_entry(self, entry: str, now: float) -> None:
        """Forget what an entry asked for before it restarted.

        What runs counts until the endpoint no longer reports it.
        """
        own = [
            name
            for name, run in self._runs.items()
            if run.claim is not None and run.claim.entry == entry
        ]
        for request in own:
            if self._runs[request].seen_at is None:
                self.release(request, now, unused=True)
            else:
                self._runs[request].claim = None
        for request in self._queue.of_entry(entry):
            self._queue.remove(request)

    def record_rejection(self, now: float) -> None:
        """Record that the endpoint rejected a request that memory was granted to.

        It has reservations of an entry that does not reach this agent. Until they are
        reported as runs, there is room for no more runs than are known.
        """
        self._max_runs = len(self._runs)
        self._max_runs_until = now + REJECTION_PAUSE_S

    def clear(self) -> None:
        """Forget all runs after the endpoint has restarted."""
        self._runs.clear()
        self._queue.clear()
        self._predictor = Predictor()
        self._forecast = None
        self._other_tokens = 0

    def free_tokens(self) -> int:
        """Return the tokens that are free at the expected peak of all runs."""
        needs = [run.memory_need() for run in self._runs.values()]
        return (
            int(USABLE_MEMORY_SHARE * self.memory_tokens)
            - self._other_tokens
            - peak_memory(needs)
        )

    def _has_room(self, waiting: WaitingGrant, now: float) -> bool:
        run = _Run(waiting.prompt_tokens, waiting.answer_tokens, 0, now)
        limited = now < self._max_runs_until
        slots = min(self.slots, self._max_runs) if limited else self.slots
        taken = len(self._runs) + self._foreign_reservations
        return taken < slots and self._fits(run)

    def _start(self, waiting: WaitingGrant, now: float) -> None:
        self._queue.grant(waiting.request, now)
        self._runs[waiting.request] = _Run(
            waiting.prompt_tokens,
            waiting.answer_tokens,
            0,
            now,
            claim=waiting.claim,
            urgency=waiting.rank.urgency,
        )
        self._usual_runs.observe(len(self._runs))
        expected = int(waiting.answer_tokens * (1 + ESTIMATE_MARGIN))
        self._predictor.job_started(
            waiting.request, expected, waiting.prompt_tokens, now
        )

    def _fits(self, run: _Run) -> bool:
        needs = [other.memory_need() for other in self._runs.values()]
        peak = peak_memory([*needs, run.memory_need()]) + self._other_tokens
        return not self._runs or peak <= USABLE_MEMORY_SHARE * self.memory_tokens

    def _estimate_foreign_reservations(self, held: int) -> int:
        """Return the number of reservations by entries that don't reach this agent."""
        expected = sum(
            initial_tokens(run.prompt_tokens, run.answer_tokens)
            for run in self._runs.values()
            if run.seen_at is None
        )
        foreign = held - expected
        if foreign <= 0:
            return 0
        known = [run.prompt_tokens for run in self._runs.values()] or [foreign]
        return math.ceil(foreign * len(known) / max(1, sum(known)) * FOREIGN_SHARE)

    def _remove_ended(self, reported: set[str]) -> None:
        """Remove the runs that did not ask and that the endpoint no longer reports.

        No entry releases their memory.
        """
        ended = [
            name
            for name, run in self._runs.items()
            if run.claim is None and name not in reported
        ]
        for name in ended:
            del self._runs[name]

    def _expire(self, now: float) -> None:
        ended = [
            request
            for request, run in self._runs.items()
            if (run.seen_at is None and now - run.granted_at > GRANT_EXPIRY_S)
            or (run.seen_at is not None and now - run.seen_at > RUN_EXPIRY_S)
        ]
        for request in ended:
            del self._runs[request]
            self._predictor.job_ended(request, now)
        self._queue.expire(now)


@dataclass(slots=True)
class PrefillLease:
    """Lease that lets a decode endpoint prefill one prompt at a time itself.

    A prefill delays the events of all runs at the endpoint. Two prefills in a row
    delay them for longer than the callers' latency target allows.
    """

    _holder: str = ""
    _expires_at: float = 0.0

    def acquire(self, request: str, now: float) -> bool:
        """Give a request the lease unless another one holds it."""
        if self._holder != request and now < self._expires_at:
            return False
        self._holder, self._expires_at = request, now + PREFILL_LEASE_S
        return True

    def release(self, request: str, now: float) -> None:
        """Release the lease; it is available again after a pause."""
        if self._holder == request:
            self._expires_at = now + PREFILL_PAUSE_S
