"""Prediction of when running jobs at an endpoint end, from jobs that have ended."""

import bisect
from collections import deque
from dataclasses import dataclass, field

from ebonyglade.averages import MovingAverage

MAX_SAMPLES = 256  # newest samples that a distribution keeps
REMAINING_QUANTILES = 8  # values that stand for the rest of a running job
ROUNDING_TOLERANCE = 1e-6


class LengthDistribution:
    """Empirical distribution of a length, from the newest samples.

    It predicts the rest of a length of which a part has passed.
    """

    def __init__(self, initial_mean: float) -> None:
        self._initial_mean = initial_mean
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    @property
    def mean(self) -> float:
        """Mean of the samples, or the initial mean before the first one."""
        if not self._sorted:
            return self._initial_mean
        return sum(self._recent) / len(self._recent)

    def observe(self, length: float) -> None:
        """Add one sample."""
        if len(self._recent) == MAX_SAMPLES:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(length)
        bisect.insort(self._sorted, length)

    def remaining(self, so_far: float) -> list[float]:
        """Return equally likely values of the rest of a length that is at `so_far`."""
        first_longer = bisect.bisect_right(self._sorted, so_far)
        longer = len(self._sorted) - first_longer
        if not longer:
            # No sample was longer: assume the rest up to the mean, or a tenth of the
            # length so far.
            return [max(0.0, self.mean - so_far) or 0.1 * so_far]
        step = longer / REMAINING_QUANTILES
        return [
            self._sorted[first_longer + int((index + 0.5) * step)] - so_far
            for index in range(REMAINING_QUANTILES)
        ]


@dataclass(slots=True)
class _Running:
    """Progress of one job.

    Attributes:
        started_at: monotonic seconds.
        max_tokens: most tokens that it generates.
        prompt_tokens: tokens of its prompt.
        tokens: tokens generated so far.
        last_token_at: monotonic seconds of the newest token.
    """

    started_at: float
    max_tokens: int
    prompt_tokens: int
    tokens: int = 0
    last_token_at: float = 0.0


INITIAL_LENGTH_TOKENS = 128.0
INITIAL_DURATION_S = 0.5


@dataclass(slots=True)
class Predictor:
    """Observes the jobs of one endpoint and predicts when they end.

    Attributes:
        token_s: seconds between two tokens.
        transfer_token_s: seconds of transfer for each prompt token.
    """

    token_s: MovingAverage = field(default_factory=MovingAverage)
    transfer_token_s: MovingAverage = field(default_factory=MovingAverage)
    _running: dict[str, _Running] = field(default_factory=dict)
    _token_counts: LengthDistribution = field(
        default_factory=lambda: LengthDistribution(INITIAL_LENGTH_TOKENS)
    )
    _durations: LengthDistribution = field(
        default_factory=lambda: LengthDistribution(INITIAL_DURATION_S)
    )

    @property
    def mean_duration_s(self) -> float:
        """Mean seconds for which a job holds its slot."""
        return self._durations.mean

    @property
    def mean_tokens(self) -> float:
        """Mean number of tokens of an answer."""
        return self._token_counts.mean

    def job_started(
        self, job: str, max_tokens: int, prompt_tokens: int, now: float
    ) -> None:
        """Record that a job holds a slot; it generates at most `max_tokens`."""
        self._running.setdefault(job, _Running(now, max_tokens, prompt_tokens))

    def record_progress(self, job: str, tokens: int, now: float) -> None:
        """Record how many tokens a job has generated."""
        running = self._running.get(job)
        if running is None or tokens <= running.tokens:
            return
        if running.tokens:
            gap = (now - running.last_token_at) / (tokens - running.tokens)
            self.token_s.observe(gap)
        else:
            transfer_s = max(0.0, now - running.started_at - self.token_s.value)
            self.transfer_token_s.observe(transfer_s / max(1, running.prompt_tokens))
        running.tokens, running.last_token_at = tokens, now

    def job_ended(self, job: str, now: float) -> int:
        """Record that a job's slot is free and return the tokens that it generated."""
        running = self._running.pop(job, None)
        if running is None:
            return 0
        self._durations.observe(now - running.started_at)
        if running.tokens:
            self._token_counts.observe(running.tokens)
        return running.tokens

    def remaining_s(self, job: str, now: float) -> list[float]:
        """Return equally likely values of the seconds until a job's slot is free."""
        running = self._running.get(job)
        if running is None:
            return self._durations.remaining(0.0)
        if not running.tokens:
            return self._durations.remaining(now - running.started_at)
        max_left, passed_s = (
            running.max_tokens - running.tokens,
            now - running.last_token_at,
        )
        return [
            max(0.0, min(left, max_left) * self.token_s.value - passed_s)
            for left in self._token_counts.remaining(running.tokens)
        ]


@dataclass(frozen=True, slots=True)
class ExpectedEnd:
    """One of the possible times at which a running job ends.

    Attributes:
        at: seconds from now.
        probability: that the job ends then.
        pieces: KV pieces that are freed, multiplied by the probability.
    """

    at: float
    probability: float
    pieces: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """Free slots and memory of an endpoint now, and when more will be free.

    Attributes:
        free_slots: free slots.
        free_pieces: free KV pieces that are not promised.
        ends: when running jobs may end, sorted by time.
        duration_s: mean seconds for which a job holds its slot.
        interval_s: mean seconds between two jobs that end.
    """

    free_slots: int
    free_pieces: int
    ends: list[ExpectedEnd]
    duration_s: float
    interval_s: float

    def wait_s(self, jobs_before: int, pieces: float) -> float:
        """Return the seconds until a slot is free after `jobs_before` others got one.

        Args:
            jobs_before: jobs that get a slot earlier.
            pieces: KV pieces needed, including those of the waiting jobs ahead.
        """
        return max(
            self._slot_wait_s(jobs_before + 1 - self.free_slots),
            self._memory_wait_s(pieces),
        )

    def _slot_wait_s(self, missing: int) -> float:
        """Return the seconds until `missing` jobs are expected to have ended."""
        ended = 0.0
        for end in self.ends if missing > 0 else ():
            ended += end.probability
            if ended >= missing - ROUNDING_TOLERANCE:
                return end.at
        return (
            0.0
            if missing <= 0
            else self._last_end_s + (missing - ended) * self.interval_s
        )

    def _memory_wait_s(self, pieces: float) -> float:
        free = self.free_pieces
        if free >= pieces:
            return 0.0
        for end in self.ends:
            free += end.pieces
            if free >= pieces - ROUNDING_TOLERANCE:
                return end.at
        return self._last_end_s + self.interval_s

    @property
    def _last_end_s(self) -> float:
        """Seconds from which on jobs that have not started yet are expected to end."""
        return max(self.ends[-1].at if self.ends else 0.0, self.duration_s)


def expected_ends(times: list[float], pieces: int) -> list[ExpectedEnd]:
    """Return the possible ends of one job from equally likely times."""
    probability = 1.0 / len(times)
    return [ExpectedEnd(at, probability, pieces * probability) for at in times]
