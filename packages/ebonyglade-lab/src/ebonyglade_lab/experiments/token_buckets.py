"""Plain token buckets with waiting: the ideal result, and baselines."""

from collections.abc import Callable
from dataclasses import dataclass

START_LEVEL = 1.0  # share of the burst


@dataclass(slots=True)
class TokenRequest:
    """One request for tokens of a workspace's rate.

    Attributes:
        number: index among all requests of the run.
        at: seconds after the start at which it arrives.
        entry: number of the entry at which it arrives.
        cost: tokens that it needs.
        latest: seconds after the start until which it waits.
        excluded: whether it is not counted, because its entry was down.
    """

    number: int
    at: float
    entry: int
    cost: float
    latest: float
    excluded: bool = False


@dataclass(slots=True)
class _Bucket:
    """A token bucket in which a request reserves tokens that accrue while it waits."""

    rate: float
    burst: float
    level: float
    at: float = 0.0

    def admit(self, arrival: TokenRequest) -> float | None:
        """Return when the request gets its tokens; None if that is too late."""
        refilled = self.level + self.rate * (arrival.at - self.at)
        self.level, self.at = min(self.burst, refilled), arrival.at
        wait = max(0.0, arrival.cost - self.level) / self.rate
        if arrival.at + wait > arrival.latest:
            return None
        self.level -= arrival.cost
        return arrival.at + wait


def replay_ideal(
    arrivals: list[TokenRequest], rate: float, burst: float
) -> dict[int, float]:
    """Return what one bucket for the whole fleet admits: times, by index."""
    return replay(arrivals, lambda arrival: "", lambda key: (rate, burst))


def replay(
    arrivals: list[TokenRequest],
    bucket_of: Callable[[TokenRequest], str],
    rate_and_burst_of: Callable[[str], tuple[float, float]],
) -> dict[int, float]:
    """Return the time at which each request is admitted, by its index.

    Args:
        arrivals: requests in order of time.
        bucket_of: name of the bucket that a request is charged to.
        rate_and_burst_of: rate and burst of a bucket, which starts full.
    """
    buckets: dict[str, _Bucket] = {}
    admitted = {}
    for index, arrival in enumerate(arrivals):
        key = bucket_of(arrival)
        if key not in buckets:
            rate, burst = rate_and_burst_of(key)
            buckets[key] = _Bucket(rate, burst, burst * START_LEVEL)
        at = buckets[key].admit(arrival)
        if at is not None:
            admitted[index] = at
    return admitted


def max_overshoot(spent: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Return the most by which any window exceeds rate x time + burst."""
    worst = used = last = 0.0
    for at, tokens in sorted(spent):
        used = max(0.0, used - rate * (at - last)) + tokens
        worst, last = max(worst, used - burst), at
    return max(0.0, worst)
