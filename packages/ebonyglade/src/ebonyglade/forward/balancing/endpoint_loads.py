"""Outstanding work, speed and failure rate of endpoints, and the choice among them.

Work is counted in requests of the service's mean cost, so that the requests that an
endpoint states and those that this entry sent can be added.
"""

import logging
import random
from bisect import bisect
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from itertools import accumulate
from zlib import crc32

from ebonyglade.forward.balancing.endpoint_state import (
    LOAD_MAX_AGE_S,
    MIN_LEARNED_SLOWNESS,
    EndpointState,
)
from ebonyglade.forward.types import Endpoint, Load, Stage, incarnation
from ebonyglade.retry.ejection import Ejections
from ebonyglade.sampling import SAMPLE_SIZE, draw_distinct
from ebonyglade.wire.fleet import LoadRecord

logger = logging.getLogger(__name__)

# Cost of a failure rate that is 1 above the lowest candidate's; a fully used endpoint
# costs 1.
FAILURE_COST = 3.0
OTHER_ZONE_COST = 0.15  # cost of another availability zone, on the same scale
MAX_SHARED = 16  # endpoints in one heartbeat, those heard of last
# Between two log lines on the learned speed of an endpoint: single requests move it
# across the limit many times a second.
SLOWNESS_LOG_INTERVAL_S = 10.0
MIN_ROUND_S = 0.15  # heartbeats within this time are of the same round


def load_key(endpoint: str, born_ms: int) -> int:
    """Return what stands for one start of an endpoint in shared loads."""
    return crc32(incarnation(endpoint, born_ms).encode())


@dataclass(slots=True)
class OutstandingRequest:
    """A request that this entry sent to an endpoint.

    Attributes:
        endpoint: id of the endpoint.
        work: its expected work.
        started_at: when it was sent.
        queued: work ahead of it for each slot that had to end first.
    """

    endpoint: str
    work: float
    started_at: float
    queued: float
    _state: EndpointState


@dataclass(slots=True)
class EndpointLoads:
    """Work, speed and failure rates of the endpoints that this entry uses."""

    ejections: Ejections = field(default_factory=Ejections)
    _states: dict[str, EndpointState] = field(default_factory=dict)
    _by_key: dict[int, EndpointState] = field(default_factory=dict)
    _stated: dict[str, tuple[float, Load]] = field(default_factory=dict)
    _merged_at: float = float("-inf")
    _round_at: float = float("-inf")
    _previous_round_at: float = float("-inf")

    def consider(self, endpoint: Endpoint) -> None:
        """Keep the loads that others tell of an endpoint, and begin anew with it."""
        self._state_of(endpoint)

    def request_started(
        self,
        endpoint: str,
        work: float = 1.0,
        now: float = 0.0,
        slots: int = 1,
    ) -> OutstandingRequest:
        """Record that a request is sent to an endpoint.

        Args:
            endpoint: id of the endpoint.
            work: expected cost of the request, relative to its service's mean.
            now: time.
            slots: requests that the endpoint runs at once.
        """
        state = self._state(endpoint)
        queued = state.queued(slots, now)
        state.in_flight += 1
        state.work += work
        return OutstandingRequest(endpoint, work, now, queued, state)

    def request_ended(
        self, endpoint: str, request: OutstandingRequest | None = None
    ) -> None:
        """Record that a request has ended.

        Args:
            endpoint: id of the endpoint.
            request: the request; None for one of mean cost.
        """
        state = self._state(endpoint) if request is None else request._state
        state.in_flight = max(0, state.in_flight - 1)
        work = 1.0 if request is None else request.work
        # Sums of fractions leave a rest.
        state.work = max(0.0, state.work - work) if state.in_flight else 0.0

    def in_flight(self, endpoint: str) -> int:
        """Return the number of requests that this entry has at an endpoint."""
        return self._state(endpoint).in_flight

    def slowness(self, endpoint: str, now: float) -> float:
        """Return how long work takes at an endpoint, relative to the usual time."""
        return self._state(endpoint).current_slowness(now)

    def expected_wait(self, endpoint: Endpoint, now: float) -> float:
        """Return the wait for a slot, in multiples of the service's mean cost."""
        state = self._state_of(endpoint)
        return state.current_slowness(now) * state.queued(capacity(endpoint), now)

    def log_fields(self, endpoint: Endpoint, now: float) -> dict[str, float | None]:
        """Return what a choice of an endpoint is based on, and its age in seconds.

        The age of what is too old to count is None.
        """
        state = self._state_of(endpoint)
        return {
            "in_flight": state.in_flight,
            "others": round(state.others_now(now), 2),
            "load_age": _age(state.load_at, now),
            "slowness": round(state.current_slowness(now), 2),
            "slowness_age": _age(state.slowness_at, now),
        }

    def record_load(
        self,
        endpoint: str,
        load: Load,
        observed_at: float,
        heard_here: bool = True,
    ) -> None:
        """Record an endpoint's load at `observed_at`, unless a newer one is known.

        Args:
            endpoint: id of the endpoint.
            load: its load.
            observed_at: time of its statement.
            heard_here: whether the endpoint stated it to this entry, which then tells
                others.
        """
        state = self._state(endpoint)
        state.record_busy(load.running + load.waiting, observed_at)
        if load.slowness is not None:
            state.record_slowness(load.slowness, observed_at)
        # Without the endpoint's start, others can't know what the load is of.
        if heard_here and state.born_ms is not None:
            self._stated[endpoint] = (observed_at, load)

    def record_duration(
        self, request: OutstandingRequest, expected_s: float, now: float, cut: bool
    ) -> None:
        """Learn the slowness of an endpoint from a request that ended.

        Args:
            request: the request.
            expected_s: its expected duration at usual speed, with its wait.
            now: time.
            cut: whether it was cut off, so that its duration is a lower bound.
        """
        state = request._state
        if expected_s <= 0 or now - state.slowness_at < LOAD_MAX_AGE_S:
            return
        duration = (now - request.started_at) / expected_s
        _learn(state, duration, cut, now)
        if not cut:
            state.duration, state.duration_at = duration, now

    def shared_records(self, now: float) -> list[LoadRecord]:
        """Return the loads that endpoints stated to this entry since its last round.

        Heartbeats that are composed within `MIN_ROUND_S` belong to one round.
        """
        if now - self._round_at >= MIN_ROUND_S:
            self._previous_round_at, self._round_at = self._round_at, now
            since = self._previous_round_at
            self._stated = {
                name: stated
                for name, stated in self._stated.items()
                if stated[0] >= since and now - stated[0] < LOAD_MAX_AGE_S
            }
        if not self._stated:
            return []
        newest = list(self._stated.items())
        if len(newest) > MAX_SHARED:
            newest.sort(key=lambda item: item[1][0])
            newest = newest[-MAX_SHARED:]
        return [self._record(name, at, load, now) for name, (at, load) in newest]

    def _record(self, endpoint: str, at: float, load: Load, now: float) -> LoadRecord:
        state = self._state(endpoint)
        stated = load.slowness is not None
        is_new = state.duration_at >= self._previous_round_at
        return LoadRecord(
            key=state.key,
            busy=load.running + load.waiting,
            slowness_percent=max(1, round(load.slowness * 100)) if stated else 0,
            age_ms=max(0, round((now - at) * 1000)),
            duration_percent=0 if stated or not is_new else round(state.duration * 100),
        )

    def merge(self, records: Iterable[LoadRecord], at: float) -> None:
        """Record loads that endpoints stated to other entries.

        Args:
            records: the loads.
            at: time that their ages are of.
        """
        self._merged_at = at
        for record in records:
            state = self._by_key.get(record.key)
            if state is None:
                continue
            stated_at = at - record.age_ms / 1000
            state.record_busy(record.busy, stated_at)
            if record.slowness_percent:
                state.record_slowness(record.slowness_percent / 100, stated_at)
            elif record.duration_percent:
                duration = record.duration_percent / 100
                _learn(state, duration, False, at)

    def record_outcome(self, endpoint: str, failed: bool, now: float) -> None:
        """Update the failure rate with the outcome of a request."""
        self._state(endpoint).record_outcome(failed, now)

    def back_off(self, endpoint: str, until: float) -> None:
        """Record that an endpoint wants no request of this process until a time."""
        state = self._state(endpoint)
        state.backoff_until = max(state.backoff_until, until)

    def defer(self, endpoint: str, until: float) -> None:
        """Choose an endpoint not before a time, since a permit for it was refused."""
        self._state(endpoint).deferred_until = until

    def is_usable(self, endpoint: str, now: float) -> bool:
        """Return whether requests may be sent to an endpoint now."""
        return self._state(endpoint).usable_at <= now

    def in_backoff(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint wants no request of this process now."""
        return self._state(endpoint).backoff_until > now

    def backoff_left(self, endpoints: Iterable[str], now: float) -> float:
        """Return the seconds until the first of some endpoints takes requests.

        The result is zero if one of them takes requests now, or if there is none.
        """
        until = [self._state(name).usable_at for name in endpoints]
        return max(0.0, min(until, default=now) - now)

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forget all other endpoints without requests in flight."""
        kept = set(endpoints)
        for name in [name for name in self._states if name not in kept]:
            if not self._states[name].in_flight:
                state = self._states.pop(name)
                if self._by_key.get(state.key) is state:
                    del self._by_key[state.key]
                self._stated.pop(name, None)

    def choose(
        self,
        endpoints: list[Endpoint],
        excluded: set[str],
        zone: str,
        now: float,
        rng: random.Random,
        last: Collection[str] = (),
        work: float = 1.0,
    ) -> Endpoint | None:
        """Return the endpoint with the least expected completion time.

        Failures and another zone count as further work. An endpoint in backoff, or
        without a permit, is not chosen even if there is no other one.

        Args:
            endpoints: endpoints to choose from.
            excluded: ids of endpoints that are not chosen.
            zone: this process' availability zone.
            now: time.
            rng: source of randomness.
            last: ids of endpoints that are chosen only if no other one has capacity.
            work: expected cost of the request, relative to its service's mean.
        """
        usable = self.candidates(endpoints, excluded, now, last)
        if not usable:
            return None
        slowness = [state.current_slowness(now) for _, state in usable]
        best, least, tie_break = None, float("inf"), 0.0
        for index in self._drawn(usable, slowness, zone, now, rng):
            item, state = usable[index]
            ahead = _work_ahead(state, capacity(item), now)
            cost = slowness[index] * (work + ahead)
            if state.failure_rate:
                cost += FAILURE_COST * state.decayed_failure_rate(now)
            if item.zone != zone:
                cost += OTHER_ZONE_COST
            drawn = rng.random()
            if cost < least or (cost == least and drawn < tie_break):
                best, least, tie_break = item, cost, drawn
        return best

    def candidates(
        self,
        endpoints: list[Endpoint],
        excluded: set[str],
        now: float,
        last: Collection[str] = (),
    ) -> list[tuple[Endpoint, EndpointState]]:
        """Return the endpoints among which `choose` compares, with their states.

        The arguments are those of `choose`.
        """
        usable = []
        for item in endpoints:
            if item.id in excluded:
                continue
            state = self._state_of(item)
            if state.backoff_until <= now and state.deferred_until <= now:
                usable.append((item, state))
        if not usable:
            return []
        ejected = self.ejections.active(now)
        if ejected:
            # If all usable endpoints are ejected, one of them is chosen all the same.
            sound = [entry for entry in usable if entry[0].id not in ejected]
            usable = sound or usable
        return _first_choice(usable, last, now)

    def snapshot(self, endpoints: Iterable[str]) -> "EndpointLoads":
        """Return a copy for some endpoints, from which choices can be tried out."""
        states = {
            name: replace(self._states[name])
            for name in endpoints
            if name in self._states
        }
        return EndpointLoads(
            self.ejections.snapshot(), states, _merged_at=self._merged_at
        )

    def _drawn(
        self,
        usable: list[tuple[Endpoint, EndpointState]],
        slowness: list[float],
        zone: str,
        now: float,
        rng: random.Random,
    ) -> Iterable[int]:
        """Return the indices of the endpoints to compare.

        Two of the own zone and two of others are drawn if other entries use the
        endpoints too; they would all choose the same one by the same old figures.
        """
        if now - self._merged_at >= LOAD_MAX_AGE_S:
            return range(len(usable))
        near, far = [], []
        for index, (item, _) in enumerate(usable):
            (near if item.zone == zone else far).append(index)
        return _draw(near, slowness, rng) + _draw(far, slowness, rng)

    def _state(self, endpoint: str) -> EndpointState:
        state = self._states.get(endpoint)
        if state is None:
            state = self._states[endpoint] = EndpointState()
        return state

    def _state_of(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint, which begins anew when it restarts."""
        state = self._states.get(endpoint.id)
        if state is not None and state.born_ms == endpoint.born_ms:
            return state
        if state is None:
            state = self._states[endpoint.id] = EndpointState()
        elif state.born_ms is not None:
            self._by_key.pop(state.key, None)
            self._stated.pop(endpoint.id, None)
            state = self._states[endpoint.id] = state.restarted()
        state.endpoint, state.born_ms = endpoint.id, endpoint.born_ms
        state.key = load_key(endpoint.id, endpoint.born_ms)
        self._by_key[state.key] = state
        return state


def capacity(endpoint: Endpoint) -> int:
    """Return the requests that an endpoint runs at once.

    A prefill endpoint processes one prompt at a time.
    """
    return 1 if endpoint.stage is Stage.PREFILL else max(1, endpoint.slots)


def _age(at: float, now: float) -> float | None:
    return round(now - at, 3) if now - at < LOAD_MAX_AGE_S else None


def _learn(state: EndpointState, duration: float, cut: bool, now: float) -> None:
    """Learn the slowness of an endpoint from the relative duration of a request."""
    state.learn_slowness(duration, cut, now)
    is_slow = state.learned >= MIN_LEARNED_SLOWNESS
    if is_slow == state.logged_slow or now < state.logged_at + SLOWNESS_LOG_INTERVAL_S:
        return
    state.logged_slow, state.logged_at = is_slow, now
    logger.info(
        "endpoint is slow" if is_slow else "endpoint at usual speed again",
        extra={"endpoint": state.endpoint, "slowness": round(state.learned, 2)},
    )


def _work_ahead(state: EndpointState, slots: int, now: float) -> float:
    """Return the work ahead of a new request for each slot.

    Requests that a slot is free for wait for nothing, so that only their number counts
    and dear ones don't repel cheap ones. Those that wait, wait for the work of others.

    Args:
        state: state of the endpoint.
        slots: requests that it runs at once.
        now: time.
    """
    others = state.others_now(now)
    busy = state.in_flight + others
    queued = busy + 1.0 - slots
    if queued <= 0:
        return busy / slots
    mean_work = (state.work + others) / busy if busy else 0.0
    return (slots - 1.0 + queued * mean_work) / slots


def _first_choice(
    usable: list[tuple[Endpoint, EndpointState]], last: Collection[str], now: float
) -> list[tuple[Endpoint, EndpointState]]:
    """Return those with capacity, else those to be used last, else all others."""
    if not last:
        return usable
    others = [entry for entry in usable if entry[0].id not in last]
    with_capacity = [
        (item, state)
        for item, state in others
        if state.in_flight + state.others_now(now) < capacity(item)
    ]
    kept_for_last = [entry for entry in usable if entry[0].id in last]
    return with_capacity or kept_for_last or others


def _draw(indices: list[int], slowness: list[float], rng: random.Random) -> list[int]:
    """Return up to two of the indices, drawn by the speed of their endpoints."""
    if len(indices) <= SAMPLE_SIZE:
        return indices
    sums = list(accumulate(1.0 / slowness[index] for index in indices))
    last = len(indices) - 1
    return draw_distinct(
        lambda: indices[min(last, bisect(sums, rng.random() * sums[-1]))]
    )
