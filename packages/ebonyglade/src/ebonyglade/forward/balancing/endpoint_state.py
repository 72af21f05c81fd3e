"""Work, speed and failures of one endpoint, as one entry sees them."""

from dataclasses import dataclass

# A stated figure counts less with its age, and from this age on not at all.
LOAD_MAX_AGE_S = 1.0
# The failure rate counts half after this time, so that an endpoint that gets no
# requests because of it is tried again.
FAILURE_HALF_LIFE_S = 5.0
FAILURE_WEIGHT = 0.1  # weight of the newest outcome in the failure rate
SLOWNESS_WEIGHT = 0.1  # weight of the newest request in the learned slowness
# The learned slowness counts half after this time, so that a slow endpoint is tried
# again.
SLOWNESS_HALF_LIFE_S = 5.0
# Requests of one kind differ in cost, so that a lower learned slowness shows nothing.
MIN_LEARNED_SLOWNESS = 1.5
# Age at which the number of requests at an endpoint says as much as its recent mean.
QUEUE_HALF_WEIGHT_AGE_S = 0.2
QUEUE_MEAN_S = 0.5  # time over which the mean number of requests is taken
SLOWNESS_MEAN_S = 5.0  # time over which mean and changes of the slowness are taken
MIN_STEADY_S = 0.1  # after a single change, mean and changes are not known yet


@dataclass(slots=True)
class EndpointState:
    """Work, speed and failures of one endpoint.

    Work is counted in requests of the service's mean cost.

    Attributes:
        endpoint: id of the endpoint; "" if not known.
        born_ms: start of the endpoint that work and speed are of; None if not known.
        key: stands for this start of the endpoint in messages.
        in_flight: requests of this entry there.
        work: their expected work.
        others: requests of other entries there, when the load was stated.
        mean_others: their recent mean.
        load_at: when the load was stated.
        slowness: as the endpoint stated it.
        slowness_at: when it stated it.
        mean_slowness: recent mean of what it stated.
        slowness_variance: recent variance of what it stated.
        slowness_changes: recent sum of the squared changes for each second.
        steady_s: age at which a stated slowness says no more than the mean.
        learned: slowness learned from the duration of requests.
        learned_at: when it was learned.
        duration: of the newest request of this entry, relative to the expected one.
        duration_at: when that request ended.
        backoff_until: when it takes requests of this process again, as it stated.
        deferred_until: when it is chosen again, after a permit was refused.
        failure_rate: at `failure_rate_at`.
        failure_rate_at: when its last request ended.
        logged_slow: whether the newest log line called it slow.
        logged_at: when that line was written.
    """

    endpoint: str = ""
    born_ms: int | None = None
    key: int = 0
    in_flight: int = 0
    work: float = 0.0
    others: float = 0.0
    mean_others: float = 0.0
    load_at: float = float("-inf")
    slowness: float = 1.0
    slowness_at: float = float("-inf")
    mean_slowness: float = 1.0
    slowness_variance: float = 0.0
    slowness_changes: float = 0.0
    steady_s: float = LOAD_MAX_AGE_S
    learned: float = 1.0
    learned_at: float = 0.0
    duration: float = 0.0
    duration_at: float = float("-inf")
    backoff_until: float = float("-inf")
    deferred_until: float = float("-inf")
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    logged_slow: bool = False
    logged_at: float = float("-inf")

    @property
    def usable_at(self) -> float:
        """When requests may be sent to it again."""
        return max(self.backoff_until, self.deferred_until)

    def decayed_failure_rate(self, now: float) -> float:
        """Return the failure rate with exponential decay."""
        return self.failure_rate * 0.5 ** (
            (now - self.failure_rate_at) / FAILURE_HALF_LIFE_S
        )

    def record_outcome(self, failed: bool, now: float) -> None:
        """Update the failure rate with the outcome of a request."""
        rate = self.decayed_failure_rate(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (float(failed) - rate)
        self.failure_rate_at = now

    def others_now(self, now: float) -> float:
        """Return the expected number of requests that other entries have there."""
        age_s = now - self.load_at
        if age_s >= LOAD_MAX_AGE_S:
            return 0.0
        weight = QUEUE_HALF_WEIGHT_AGE_S / (QUEUE_HALF_WEIGHT_AGE_S + age_s)
        others = self.mean_others + (self.others - self.mean_others) * weight
        return others * (1.0 - age_s / LOAD_MAX_AGE_S)

    def queued(self, slots: int, now: float) -> float:
        """Return the work that a new request waits for, by the number of slots."""
        others = self.others_now(now)
        busy = self.in_flight + others
        if busy + 1.0 <= slots:
            return 0.0
        work = self.work + others
        return (busy + 1.0 - slots) / slots * (work / busy if busy else 0.0)

    def current_slowness(self, now: float) -> float:
        """Return how long work takes there, relative to the usual time.

        What the endpoint stated counts by its age; else what was learned is returned.
        """
        age_s = now - self.slowness_at
        if age_s >= LOAD_MAX_AGE_S:
            return self.learned_slowness(now)
        value = self.mean_slowness
        if age_s < self.steady_s:
            value += (self.slowness - value) * (1.0 - age_s / self.steady_s)
        return 1.0 + (value - 1.0) * (1.0 - age_s / LOAD_MAX_AGE_S)

    def learned_slowness(self, now: float) -> float:
        """Return the learned slowness with exponential decay; 1 if it shows nothing."""
        if self.learned < MIN_LEARNED_SLOWNESS:
            return 1.0
        value = self._decayed_learned(now)
        return value if value >= MIN_LEARNED_SLOWNESS else 1.0

    def record_busy(self, busy: int, stated_at: float) -> None:
        """Record the requests that run and wait there, unless newer ones are known."""
        if stated_at < self.load_at:
            return
        # Requests that this entry sent are counted by itself.
        self.others = float(max(0, busy - self.in_flight))
        weight = min(1.0, (stated_at - self.load_at) / QUEUE_MEAN_S)
        self.mean_others += weight * (self.others - self.mean_others)
        self.load_at = stated_at

    def record_slowness(self, slowness: float, stated_at: float) -> None:
        """Record a stated slowness, unless a newer one is known."""
        elapsed_s = stated_at - self.slowness_at
        if elapsed_s < 0:
            return
        if elapsed_s >= LOAD_MAX_AGE_S:
            self.mean_slowness, self.steady_s = slowness, LOAD_MAX_AGE_S
            self.slowness_variance = self.slowness_changes = 0.0
        else:
            self._update_steadiness(slowness, elapsed_s)
        self.slowness, self.slowness_at = slowness, stated_at

    def learn_slowness(self, sample: float, cut: bool, now: float) -> None:
        """Learn from a request's duration, relative to the expected one.

        Args:
            sample: relative duration.
            cut: whether it is a lower bound.
            now: time.
        """
        known = self._decayed_learned(now)
        if cut and sample <= known:
            return
        self.learned = known + SLOWNESS_WEIGHT * (sample - known)
        self.learned_at = now

    def restarted(self) -> "EndpointState":
        """Return the state after a restart, without work and at usual speed."""
        return EndpointState(
            backoff_until=self.backoff_until,
            deferred_until=self.deferred_until,
            failure_rate=self.failure_rate,
            failure_rate_at=self.failure_rate_at,
        )

    def _decayed_learned(self, now: float) -> float:
        age_s = now - self.learned_at
        return 1.0 + (self.learned - 1.0) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def _update_steadiness(self, slowness: float, elapsed_s: float) -> None:
        """Update mean, variance and changes with a statement after `elapsed_s`.

        Two statements that have nothing to do with each other differ by twice the
        variance, as a mean of squares.
        """
        weight = elapsed_s / SLOWNESS_MEAN_S
        from_mean = slowness - self.mean_slowness
        change = slowness - self.slowness
        self.mean_slowness += weight * from_mean
        self.slowness_variance += weight * (
            from_mean * from_mean - self.slowness_variance
        )
        self.slowness_changes += (
            change * change / SLOWNESS_MEAN_S - weight * self.slowness_changes
        )
        self.steady_s = LOAD_MAX_AGE_S
        if self.slowness_changes * LOAD_MAX_AGE_S > 2.0 * self.slowness_variance:
            steady_s = 2.0 * self.slowness_variance / self.slowness_changes
            self.steady_s = max(MIN_STEADY_S, steady_s)
