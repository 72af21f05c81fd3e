"""Limits on the requests to endpoints from all processes together.

An endpoint may state a limit in its answers, and it has one while it is cold. The lower
one is in force.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ebonyglade.forward.endpoint_limits.cold_endpoints import NEVER, ColdEndpoints
from ebonyglade.forward.types import ResponseMetadata


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What an endpoint last stated of its limit.

    Attributes:
        per_s: requests per second that it takes from all processes together; None if
            it no longer states a limit.
        at: when it stated so.
    """

    per_s: float | None
    at: float


@dataclass(slots=True)
class EndpointLimits:
    """Limits that endpoints have stated, and those of cold endpoints.

    Endpoints are named by their incarnation, since a limit ends with the process that
    stated it.

    Attributes:
        cold: which endpoints are cold.
        listeners: called with the endpoint when it tells this process another limit,
            or none any more, or another end of its cold state.
    """

    cold: ColdEndpoints = field(default_factory=ColdEndpoints)
    listeners: list[Callable[[str], None]] = field(default_factory=list)
    _stated: dict[str, StatedLimit] = field(default_factory=dict)

    @property
    def any_in_force(self) -> bool:
        """Whether members repeat the limit of any endpoint to others."""
        stated = any(stated.per_s is not None for stated in self._stated.values())
        return stated or self.cold.any_repeated

    def limit(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint takes; None for no limit."""
        limits = (self.stated_limit(endpoint), self.cold.limit(endpoint))
        return min((limit for limit in limits if limit is not None), default=None)

    def stated_limit(self, endpoint: str) -> float | None:
        """Return the limit that an endpoint states; None for none."""
        stated = self._stated.get(endpoint)
        return None if stated is None else stated.per_s

    def stated(self, endpoint: str) -> StatedLimit | None:
        """Return the newest statement of an endpoint; None if it never stated one."""
        return self._stated.get(endpoint)

    def is_repeated(self, endpoint: str) -> bool:
        """Return whether members repeat the limit of an endpoint to others."""
        return self.stated_limit(endpoint) is not None or self.cold.is_repeated(
            endpoint
        )

    def observe(self, endpoint: str, per_s: float | None, now: float) -> bool:
        """Record what an answer to this process states; True if that is news."""
        changed = self.record(endpoint, per_s, now)
        if changed:
            self._notify(endpoint)
        return changed

    def observe_cold(
        self, endpoint: str, metadata: ResponseMetadata, sent_at: float
    ) -> None:
        """Record for how long an endpoint is cold, as an answer to this process states.

        An answer that is not signed may be of another process at its address. It does
        not end a cold state.

        Args:
            endpoint: incarnation of the endpoint.
            metadata: metadata of the answer.
            sent_at: when the request was sent that it answers.
        """
        if metadata.cold_left_s is None:
            return
        sent_at = sent_at if metadata.signed else NEVER
        if self.cold.observe(endpoint, metadata.cold_left_s, sent_at):
            self._notify(endpoint)

    def record(self, endpoint: str, per_s: float | None, at: float) -> bool:
        """Record what an endpoint stated at a time, unless it is older than known.

        Returns:
            Whether another limit is in force now.
        """
        known = self._stated.get(endpoint)
        if known is None and per_s is None:
            return False
        if known is not None and at < known.at:
            return False
        self._stated[endpoint] = StatedLimit(per_s, at)
        return known is None or known.per_s != per_s

    def observe_none(self, endpoint: str, sent_at: float, now: float) -> bool:
        """Record an answer to this process without a limit.

        It ends a limit only if its request was sent after the limit was stated; the
        answers to earlier requests may have been written before.

        Args:
            endpoint: incarnation of the endpoint.
            sent_at: when the request was sent that it answered.
            now: when the answer arrived.

        Returns:
            Whether a limit has ended now.
        """
        known = self._stated.get(endpoint)
        if known is None or sent_at <= known.at:
            return False
        return self.observe(endpoint, None, now)

    def retain(self, listed: Collection[str]) -> None:
        """Forget all endpoints that are not listed any more."""
        for endpoint in [name for name in self._stated if name not in listed]:
            del self._stated[endpoint]
        self.cold.retain(listed)

    def _notify(self, endpoint: str) -> None:
        for listener in self.listeners:
            listener(endpoint)
