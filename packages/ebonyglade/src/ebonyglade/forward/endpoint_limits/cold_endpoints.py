"""Which endpoints are cold, and how many requests a second these take.

An endpoint is cold for some seconds after a start. Its document and its responses state
for how long. Without a statement it is cold after its first listing, and after the end
of an evacuation of its zone, for the time that the configuration gives.

Times are of the local monotonic clock. A statement reaches this process some time after
it was made, so that it counts as made within an interval. Of two statements whose order
is not certain, the one that ends later applies.
"""

import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.types import Endpoint, Service
from ebonyglade.ports import Clock
from ebonyglade.wire.fleet import ColdRecord

logger = logging.getLogger(__name__)

BOUND_WINDOW_S = 1.0  # the published bound holds in any window of this length
# A request with a permit arrives at most this long after the permit applies; a window
# may therefore hold the requests of permits of a longer one.
MAX_PERMIT_DELAY_S = 0.25
# A statement of another process that ends later by less than this is the one that is
# known already, delayed by messages.
SAME_STATEMENT_S = 0.05
NEVER = float("-inf")
UNKNOWN_AGE_S = 1e9  # stands for `NEVER` in messages


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """Published bound on requests to one cold endpoint in any second.

    Attributes:
        overage: factor on the configured rate.
        slack: further requests.
    """

    overage: float = 1.0
    slack: float = 0.0

    def permits_per_s(self, cold_per_s: float) -> float:
        """Return the permits per second that keep the bound for a configured rate.

        Permits are granted at equal intervals; the first one in a window adds a request
        to those of its length.
        """
        most = cold_per_s * self.overage + self.slack - 1.0
        bounded = most / (BOUND_WINDOW_S + MAX_PERMIT_DELAY_S)
        return max(0.0, min(cold_per_s, bounded))


DEFAULT_COLD_BOUNDS = ColdBounds()


@dataclass(frozen=True, slots=True)
class ColdStatement:
    """Until when an endpoint is cold, as it stated itself.

    Attributes:
        until: end of the cold state.
        since: time before which the statement was not made.
        known_at: time after which it was not made.
        repeated: whether the members repeat it to others, since it is not in the store.
    """

    until: float
    since: float
    known_at: float
    repeated: bool = False

    def succeeds(self, known: "ColdStatement") -> bool:
        """Return whether this statement applies instead of a known one."""
        if self.since >= known.known_at:
            return True
        return self.known_at > known.since and (
            (self.until, self.since) > (known.until, known.since)
        )


@dataclass(frozen=True, slots=True)
class _Listing:
    """A listed endpoint, and when this process first saw it."""

    endpoint: Endpoint
    first_at: float


def _no_service(name: str) -> Service | None:
    return None


def _cold_start_s(service: Service | None) -> float:
    return 0.0 if service is None else service.cold_start_s


def _zones(endpoints: Iterable[Endpoint]) -> set[str]:
    return {item.zone for item in endpoints}


def _never_evacuated(zone: str) -> float | None:
    return None


@dataclass(slots=True)
class ColdEndpoints:
    """Cold endpoints, by incarnation.

    Attributes:
        clock: seconds.
        service: returns a service of the configuration.
        bounds: published bound on requests to a cold endpoint.
        evacuation_ended_at: returns when the last evacuation of a zone ended; None if
            there was none.
    """

    clock: Clock = lambda: 0.0
    service: Callable[[str], Service | None] = _no_service
    bounds: ColdBounds = DEFAULT_COLD_BOUNDS
    evacuation_ended_at: Callable[[str], float | None] = _never_evacuated
    _listings: dict[str, _Listing] = field(default_factory=dict)
    _statements: dict[str, ColdStatement] = field(default_factory=dict)
    _logged: set[str] = field(default_factory=set)
    _latest_until: float = NEVER
    _latest_first_at: float = NEVER

    def on_listed(self, endpoint: Endpoint, written_after: float) -> None:
        """Record a document of an endpoint.

        Args:
            endpoint: the endpoint as its document describes it.
            written_after: time after which the document was written.
        """
        name, now = endpoint.incarnation, self.clock()
        first = self._listings.get(name)
        if first is None:
            self._latest_first_at = now
        self._listings[name] = _Listing(endpoint, first.first_at if first else now)
        if endpoint.cold_left_s is not None:
            until = now + endpoint.cold_left_s
            self._record(name, ColdStatement(until, written_after, now))

    def observe(self, endpoint: str, left_s: float, sent_at: float) -> bool:
        """Record what a response to this process states.

        Args:
            endpoint: incarnation of the endpoint.
            left_s: seconds for which it stays cold.
            sent_at: when the request was sent; `NEVER` if the response may be of
                another endpoint and must not end a cold state.

        Returns:
            Whether other members need to know.
        """
        now = self.clock()
        before, until = self.until(endpoint), now + left_s
        if sent_at == NEVER and until <= before:
            return False
        # Members know a state that ends by then from the store.
        is_news = until > before + SAME_STATEMENT_S if left_s > 0 else before > now
        repeated = is_news or self.is_repeated(endpoint)
        self._record(endpoint, ColdStatement(until, sent_at, now, repeated))
        return is_news and self.until(endpoint) == until

    def merge(self, endpoint: str, record: ColdRecord, at: float) -> bool:
        """Record a statement in another member's message that was composed at a time.

        Returns:
            Whether that changes the end of the cold state.
        """
        until = at + record.left_s
        if self.until(endpoint) >= until - SAME_STATEMENT_S and record.left_s > 0:
            return False
        statement = ColdStatement(
            until, at - record.since_s, at - record.known_s, record.repeated
        )
        return self._record(endpoint, statement)

    def record(self, endpoint: str) -> ColdRecord | None:
        """Return what to tell other members of an endpoint; None if nothing."""
        now = self.clock()
        known = self._statements.get(endpoint)
        until = self.until(endpoint)
        if until <= now and (known is None or not known.repeated):
            return None
        if known is not None and known.until == until:
            since, known_at, repeated = known.since, known.known_at, known.repeated
        else:
            since = known_at = self._default_since(endpoint)
            repeated = False
        return ColdRecord(
            round(max(0.0, until - now), 3),
            round(min(now - since, UNKNOWN_AGE_S), 3),
            round(now - known_at, 3),
            repeated,
        )

    @property
    def any_repeated(self) -> bool:
        """Whether members repeat that any endpoint is cold now."""
        now = self.clock()
        return any(
            known.repeated and known.until > now for known in self._statements.values()
        )

    def is_repeated(self, endpoint: str) -> bool:
        """Return whether members repeat that an endpoint is cold now."""
        known = self._statements.get(endpoint)
        return known is not None and known.repeated and known.until > self.clock()

    def is_cold(self, endpoint: str) -> bool:
        """Return whether an endpoint is cold now."""
        return self.until(endpoint) > self.clock()

    def is_listed(self, endpoint: str) -> bool:
        """Return whether this process knows the service of an endpoint."""
        return endpoint in self._listings

    def zone(self, endpoint: str) -> str:
        """Return the availability zone of a listed endpoint."""
        return self._listings[endpoint].endpoint.zone

    def limit(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint takes while it is cold.

        The result is None if it is not cold or its service has no limit.
        """
        if not self.is_cold(endpoint):
            return None
        service = self._service(endpoint)
        if service is None or service.cold_per_s <= 0:
            return None
        return self.bounds.permits_per_s(service.cold_per_s)

    def ids(self, endpoints: Iterable[Endpoint]) -> set[str]:
        """Return the ids of those endpoints that are cold now."""
        endpoints = list(endpoints)
        if not self._any_may_be_cold(endpoints):
            return set()
        return {item.id for item in endpoints if self.is_cold(item.incarnation)}

    def count(self) -> int:
        """Return the number of listed endpoints that are cold now."""
        return sum(self.is_cold(name) for name in self._listings)

    def until(self, endpoint: str) -> float:
        """Return when the cold state of an endpoint ends; the past if it is warm."""
        statement = self._statements.get(endpoint)
        service = self._service(endpoint)
        start_s = _cold_start_s(service)
        if start_s <= 0:
            return NEVER if statement is None else statement.until
        since = self._default_since(endpoint)
        if statement is None:
            return since + start_s
        ended_at = self._ended_at(endpoint)
        if ended_at is not None and statement.since < ended_at:
            return max(statement.until, ended_at + start_s)
        return statement.until

    def retain(self, listed: Collection[str]) -> None:
        """Forget endpoints that are not listed any more, and log what has changed."""
        for known in (self._listings, self._statements):
            for name in [name for name in known if name not in listed]:
                del known[name]
        self._log_changes()

    def _record(self, endpoint: str, statement: ColdStatement) -> bool:
        known = self._statements.get(endpoint)
        if known is not None and not statement.succeeds(known):
            return False
        before = self.until(endpoint)
        self._statements[endpoint] = statement
        self._latest_until = max(self._latest_until, statement.until)
        return abs(self.until(endpoint) - before) > SAME_STATEMENT_S

    def _any_may_be_cold(self, endpoints: list[Endpoint]) -> bool:
        """Return False if it is certain without a look at each that none is cold."""
        now = self.clock()
        if now < self._latest_until:
            return True
        ended = [self.evacuation_ended_at(zone) for zone in _zones(endpoints)]
        latest = max(at for at in (self._latest_first_at, *ended) if at is not None)
        services = {item.service for item in endpoints}
        return any(
            now < latest + _cold_start_s(self.service(name)) for name in services
        )

    def _service(self, endpoint: str) -> Service | None:
        listing = self._listings.get(endpoint)
        return None if listing is None else self.service(listing.endpoint.service)

    def _ended_at(self, endpoint: str) -> float | None:
        return self.evacuation_ended_at(self.zone(endpoint))

    def _default_since(self, endpoint: str) -> float:
        """Return when the cold state began that holds without a statement."""
        ended_at = self._ended_at(endpoint)
        first_at = self._listings[endpoint].first_at
        return first_at if ended_at is None else max(first_at, ended_at)

    def _log_changes(self) -> None:
        now = self.clock()
        cold = {name for name in self._listings if self.is_cold(name)}
        for name in cold - self._logged:
            logger.info(
                "endpoint is cold",
                extra={
                    "endpoint": name,
                    "seconds_left": round(self.until(name) - now, 3),
                    "limit_per_s": self.limit(name),
                    "stated": name in self._statements,
                },
            )
        for name in self._logged - cold:
            logger.info("endpoint no longer cold", extra={"endpoint": name})
        self._logged = cold
