"""Plain token buckets with waiting, as a yardstick and for baselines."""

from collections.abc import Callable
from dataclasses import dataclass

START_LEVEL = 1.0  # share of the burst


@dataclass(slots=True)
class Arrival:
    """One request.

    Attributes:
        number: place among all requests.
        at: seconds.
        entry: where it arrives.
        cost: tokens.
        latest: seconds until which it waits.
        left_out: whether it does not count, since its entry was gone.
    """

    number: int
    at: float
    entry: int
    cost: float
    latest: float
    left_out: bool = False


@dataclass(slots=True)
class _Bucket:
    """A bucket that lets requests borrow from what accrues while they wait."""

    rate: float
    burst: float
    level: float
    at: float = 0.0

    def admit(self, arrival: Arrival) -> float | None:
        """Return when the request gets its tokens; None if that is too late."""
        grown = self.level + self.rate * (arrival.at - self.at)
        self.level, self.at = min(self.burst, grown), arrival.at
        wait = max(0.0, arrival.cost - self.level) / self.rate
        if arrival.at + wait > arrival.latest:
            return None
        self.level -= arrival.cost
        return arrival.at + wait


def ideal(arrivals: list[Arrival], rate: float, burst: float) -> dict[int, float]:
    """Return what one bucket for the whole fleet admits, by place."""
    return replay(arrivals, lambda arrival: "", lambda key: (rate, burst))


def replay(
    arrivals: list[Arrival],
    bucket_of: Callable[[Arrival], str],
    size_of: Callable[[str], tuple[float, float]],
) -> dict[int, float]:
    """Return the time at which each request is admitted, by its place.

    Args:
        arrivals: requests in order of time.
        bucket_of: name of the bucket that a request is charged to.
        size_of: rate and burst of a bucket; it starts full.
    """
    buckets: dict[str, _Bucket] = {}
    admitted = {}
    for place, arrival in enumerate(arrivals):
        key = bucket_of(arrival)
        if key not in buckets:
            rate, burst = size_of(key)
            buckets[key] = _Bucket(rate, burst, burst * START_LEVEL)
        at = buckets[key].admit(arrival)
        if at is not None:
            admitted[place] = at
    return admitted


def overshoot(spent: list[tuple[float, float]], rate: float, burst: float) -> float:
    """Return the most by which any window exceeds rate x time + burst."""
    worst = used = last = 0.0
    for at, tokens in sorted(spent):
        used = max(0.0, used - rate * (at - last)) + tokens
        worst, last = max(worst, used - burst), at
    return max(0.0, worst)
