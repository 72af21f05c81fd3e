"""Permits for requests to endpoints that state a limit for all processes together.

One process grants the permits of an endpoint, so that its limit is kept whatever the
number of processes is, and none of it is lost on a process without traffic.
"""

from dataclasses import dataclass, field

BURST_S = 0.5  # permits of this time that were not used may be used at once
# A new count does not know what was granted before it, and begins after this time at
# most.
MAX_START_WAIT_S = 1.0
# An endpoint that takes nothing is asked this often all the same, since only its
# answers say when that ends.
MIN_PERMITS_PER_S = 0.1
FORGET_AFTER_S = 60.0  # without a request


@dataclass(frozen=True, slots=True)
class Permit:
    """Answer to a process that wants to send one request.

    Attributes:
        granted: whether it may send the request.
        wait_s: seconds after which it may do so, or after which a permit is free.
    """

    granted: bool
    wait_s: float = 0.0


FREE_PERMIT = Permit(True)


@dataclass(slots=True)
class _Count:
    """Permits of one endpoint.

    Attributes:
        per_s: permits per second.
        free_at: when the next permit is free.
        asked_at: when a permit was last asked for.
    """

    per_s: float
    free_at: float
    asked_at: float

    @property
    def interval_s(self) -> float:
        """Seconds between two permits."""
        return 1.0 / self.per_s

    def change_rate(self, per_s: float, now: float) -> None:
        """Apply another limit to the permits that were not granted yet."""
        if per_s != self.per_s:
            self.per_s = per_s
            self.free_at = min(self.free_at, now + self.interval_s)

    def take(self, max_wait_s: float, now: float, burst_s: float) -> Permit:
        """Grant the next permit if it is free soon enough."""
        self.asked_at = now
        self.free_at = max(self.free_at, now - burst_s)
        wait_s = max(0.0, self.free_at - now)
        if wait_s > max_wait_s:
            return Permit(False, wait_s)
        self.free_at += self.interval_s
        return Permit(True, wait_s)


@dataclass(slots=True)
class PermitCounts:
    """Permits that this process grants, by incarnation of the endpoint."""

    _counts: dict[str, _Count] = field(default_factory=dict)

    def take(
        self,
        endpoint: str,
        per_s: float,
        max_wait_s: float,
        now: float,
        burst_s: float = BURST_S,
    ) -> Permit:
        """Grant or refuse a permit.

        Args:
            endpoint: incarnation of the endpoint.
            per_s: requests per second that may be sent to it.
            max_wait_s: longest time that the process would wait for the permit.
            now: seconds.
            burst_s: permits of this time that were not used may be used at once.
        """
        per_s = max(per_s, MIN_PERMITS_PER_S)
        count = self._counts.get(endpoint)
        if count is None:
            starts_at = now + min(1.0 / per_s, MAX_START_WAIT_S)
            count = self._counts[endpoint] = _Count(per_s, starts_at, now)
        count.change_rate(per_s, now)
        return count.take(max_wait_s, now, burst_s)

    def forget(self, now: float) -> None:
        """Forget endpoints that no permit was asked for lately."""
        for endpoint, count in list(self._counts.items()):
            if now - count.asked_at > FORGET_AFTER_S:
                del self._counts[endpoint]
