"""Prediction of when the jobs at an endpoint end, from those that ended."""

import bisect
from collections import deque
from dataclasses import dataclass, field

SAMPLES = 256
QUANTILES = 8
ROUNDING = 1e-6
SMOOTHING = 0.1  # weight of a new sample in a moving average


class Tail:
    """Empirical distribution of a length; tells what is left of one under way."""

    def __init__(self, first_guess: float) -> None:
        self._guess = first_guess
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    @property
    def mean(self) -> float:
        """Mean of the samples, or the first guess before any."""
        if not self._sorted:
            return self._guess
        return sum(self._recent) / len(self._recent)

    def observe(self, length: float) -> None:
        """Take the length of one that ended."""
        if len(self._recent) == SAMPLES:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self._recent.append(length)
        bisect.insort(self._sorted, length)

    def left(self, so_far: float) -> list[float]:
        """Return equally likely values of what is left of one that got so far."""
        first = bisect.bisect_right(self._sorted, so_far)
        longer = len(self._sorted) - first
        if not longer:
            return [max(0.0, self.mean - so_far) or 0.1 * so_far]
        step = longer / QUANTILES
        return [
            self._sorted[first + int((index + 0.5) * step)] - so_far
            for index in range(QUANTILES)
        ]


@dataclass(slots=True)
class Average:
    """Exponentially weighted moving average; zero before the first sample."""

    value: float = 0.0

    def observe(self, sample: float) -> None:
        """Take one sample."""
        if not self.value:
            self.value = sample
        self.value += SMOOTHING * (sample - self.value)


@dataclass(slots=True)
class _Running:
    """Progress of one job."""

    began: float
    most: int
    prompt: int
    tokens: int = 0
    last: float = 0.0


FIRST_LENGTH_TOKENS = 128.0
FIRST_DURATION_S = 0.5


@dataclass(slots=True)
class Predictor:
    """Watches the jobs of one endpoint and predicts their ends.

    Attributes:
        token_s: seconds between two tokens.
        transfer_token_s: seconds of transfer for each prompt token.
    """

    token_s: Average = field(default_factory=Average)
    transfer_token_s: Average = field(default_factory=Average)
    _running: dict[str, _Running] = field(default_factory=dict)
    _lengths: Tail = field(default_factory=lambda: Tail(FIRST_LENGTH_TOKENS))
    _durations: Tail = field(default_factory=lambda: Tail(FIRST_DURATION_S))

    @property
    def duration(self) -> float:
        """Mean seconds for which a job holds its slot."""
        return self._durations.mean

    @property
    def length(self) -> float:
        """Mean tokens of an answer."""
        return self._lengths.mean

    def began(self, job: str, most: int, prompt: int, now: float) -> None:
        """Note that a job holds a slot; `most` tokens are the end of it."""
        self._running.setdefault(job, _Running(now, most, prompt))

    def progressed(self, job: str, tokens: int, now: float) -> None:
        """Note how many tokens a job has generated."""
        running = self._running.get(job)
        if running is None or tokens <= running.tokens:
            return
        if running.tokens:
            gap = (now - running.last) / (tokens - running.tokens)
            self.token_s.observe(gap)
        else:
            start = max(0.0, now - running.began - self.token_s.value)
            self.transfer_token_s.observe(start / max(1, running.prompt))
        running.tokens, running.last = tokens, now

    def ended(self, job: str, now: float) -> int:
        """Note that a job's slot is free; return the tokens that it generated."""
        running = self._running.pop(job, None)
        if running is None:
            return 0
        self._durations.observe(now - running.began)
        if running.tokens:
            self._lengths.observe(running.tokens)
        return running.tokens

    def ends_in(self, job: str, now: float) -> list[float]:
        """Return equally likely values of the seconds until a slot is free."""
        running = self._running.get(job)
        if running is None:
            return self._durations.left(0.0)
        if not running.tokens:
            return self._durations.left(now - running.began)
        most, passed = running.most - running.tokens, now - running.last
        return [
            max(0.0, min(left, most) * self.token_s.value - passed)
            for left in self._lengths.left(running.tokens)
        ]


@dataclass(frozen=True, slots=True)
class End:
    """A part of a running job's end.

    Attributes:
        at: seconds from now.
        share: probability that the job ends then.
        pieces: KV pieces that are freed, times the probability.
    """

    at: float
    share: float
    pieces: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """What is free at an endpoint now and when more will be.

    Attributes:
        slots: free slots.
        pieces: free KV pieces that are not promised.
        ends: when running jobs may end, sorted.
        duration: mean seconds for which a job holds its slot.
        interval: mean seconds between two jobs that end.
    """

    slots: int
    pieces: int
    ends: list[End]
    duration: float
    interval: float

    def ready(self, ahead: int, pieces: float) -> float:
        """Return the seconds until there is a slot behind `ahead` others.

        Args:
            ahead: jobs that get a slot before.
            pieces: KV pieces needed, together with those of waiting jobs ahead.
        """
        return max(self._slot(ahead + 1 - self.slots), self._memory(pieces))

    def _slot(self, missing: int) -> float:
        """Return when as many jobs are expected to have ended."""
        ended = 0.0
        for end in self.ends if missing > 0 else ():
            ended += end.share
            if ended >= missing - ROUNDING:
                return end.at
        return 0.0 if missing <= 0 else self._last + (missing - ended) * self.interval

    def _memory(self, pieces: float) -> float:
        free = self.pieces
        if free >= pieces:
            return 0.0
        for end in self.ends:
            free += end.pieces
            if free >= pieces - ROUNDING:
                return end.at
        return self._last + self.interval

    @property
    def _last(self) -> float:
        """Seconds until jobs that did not begin yet may start to end."""
        return max(self.ends[-1].at if self.ends else 0.0, self.duration)


def ends_of(choices: list[float], pieces: int) -> list[End]:
    """Return the parts of one job's end from equally likely values."""
    share = 1.0 / len(choices)
    return [End(at, share, pieces * share) for at in choices]
