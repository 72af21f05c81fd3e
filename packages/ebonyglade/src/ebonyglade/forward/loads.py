"""What this entry knows of endpoints' load, and the choice among them."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.types import Endpoint, Load, Stage
from ebonyglade.retry.ejection import Ejections

LOAD_MAX_AGE_S = (
    1.0  # age after which what an endpoint told of its load is worth nothing
)
FAILURE_WEIGHT = 0.1  # weight of the newest answer in the share of failures
# The share of failures counts half after this time, so that an endpoint that gets
# nothing because of it is tried again.
FAILURE_HALF_LIFE_S = 5.0
FAILURE_COST = 3.0  # what an endpoint that always fails costs more, in full loads
OTHER_ZONE_COST = 0.15  # what another availability zone costs, in full loads


@dataclass(slots=True)
class _EndpointState:
    """One endpoint, as this entry sees it."""

    in_flight: int = 0
    load: Load | None = None
    load_at: float = float("-inf")
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0

    def decayed_failure_rate(self, now: float) -> float:
        """Return the share of failures, which fades with time."""
        return self.failure_rate * 0.5 ** (
            (now - self.failure_rate_at) / FAILURE_HALF_LIFE_S
        )


@dataclass(slots=True)
class Loads:
    """Load and failures of the endpoints that this entry uses."""

    ejections: Ejections = field(default_factory=Ejections)
    _states: dict[str, _EndpointState] = field(default_factory=dict)

    def request_started(self, endpoint: str) -> None:
        """Note that a request is sent to an endpoint."""
        self._state(endpoint).in_flight += 1

    def request_ended(self, endpoint: str) -> None:
        """Note that a request is over."""
        state = self._state(endpoint)
        state.in_flight = max(0, state.in_flight - 1)

    def in_flight(self, endpoint: str) -> int:
        """Return how many requests this entry has at an endpoint."""
        return self._state(endpoint).in_flight

    def record_load(self, endpoint: str, load: Load, now: float) -> None:
        """Note the load that an endpoint told; `now` is when that was so."""
        state = self._state(endpoint)
        if now >= state.load_at:
            state.load, state.load_at = load, now

    def record_outcome(self, endpoint: str, failed: bool, now: float) -> None:
        """Note how a request ended."""
        state = self._state(endpoint)
        share = state.decayed_failure_rate(now)
        state.failure_rate = share + FAILURE_WEIGHT * (float(failed) - share)
        state.failure_rate_at = now

    def retain(self, endpoints: Iterable[str]) -> None:
        """Forget all other endpoints that nothing is sent to."""
        kept = set(endpoints)
        for name in [name for name in self._states if name not in kept]:
            if not self._states[name].in_flight:
                del self._states[name]

    def choose(
        self,
        endpoints: list[Endpoint],
        excluded: set[str],
        zone: str,
        now: float,
        rng: random.Random,
    ) -> Endpoint | None:
        """Return the endpoint that is the least loaded and fails the least."""
        usable = [item for item in endpoints if item.id not in excluded]
        if not usable:
            return None
        ejected = self.ejections.active(now)
        # Better an endpoint that failed lately than none.
        not_ejected = [item for item in usable if item.id not in ejected] or usable
        lowest = min(
            self._state(item.id).decayed_failure_rate(now) for item in not_ejected
        )
        return min(
            not_ejected,
            key=lambda item: (
                self._utilization(item, now)
                + FAILURE_COST
                * (self._state(item.id).decayed_failure_rate(now) - lowest)
                + (OTHER_ZONE_COST if item.zone != zone else 0.0),
                rng.random(),
            ),
        )

    def _utilization(self, endpoint: Endpoint, now: float) -> float:
        """Return the used part of what an endpoint can do at once."""
        state = self._state(endpoint.id)
        busy = float(state.in_flight)
        if state.load is not None and now - state.load_at < LOAD_MAX_AGE_S:
            busy = max(busy, state.load.running + state.load.waiting)
        # Prompts are read one after the other.
        capacity = 1 if endpoint.stage is Stage.PREFILL else endpoint.slots
        return busy / max(1, capacity)

    def _state(self, endpoint: str) -> _EndpointState:
        state = self._states.get(endpoint)
        if state is None:
            state = self._states[endpoint] = _EndpointState()
        return state
