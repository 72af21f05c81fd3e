"""Endpoints that leave although the store's replica lists them as serving.

An endpoint may say in its responses that it leaves before the store lists it so, and
a store that came back from an older copy lists endpoints as they were. A mark records
such an endpoint with the version of the document that is known to be out of date.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from ebonyglade.forward.types import NO_VERSION, Endpoint, StoreVersion

# A document that arrives this soon after a mark may have been written before the
# endpoint decided to leave.
CONFIRM_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """An endpoint that leaves.

    Attributes:
        outdated: version of its document when it was marked.
        born_ms: Unix milliseconds of the start of the process that leaves.
        at: time of the mark.
        observed: whether this process found it out itself: from the endpoint, or from
            what the store listed before it came back from an older copy.
    """

    outdated: StoreVersion
    born_ms: int
    at: float
    observed: bool


@dataclass(slots=True)
class LeavingMarks:
    """The marks of one process, by endpoint id."""

    _marks: dict[str, LeavingMark] = field(default_factory=dict)
    _ended: dict[str, StoreVersion] = field(default_factory=dict)

    def add(
        self, endpoint: Endpoint, outdated: StoreVersion, now: float, observed: bool
    ) -> bool:
        """Mark an endpoint; what it states itself renews its mark.

        Returns:
            False if another member passes on a mark that is known or has ended here.
        """
        known = self._marks.get(endpoint.id)
        is_known = known is not None and known.born_ms == endpoint.born_ms
        has_ended = outdated <= self._ended.get(endpoint.id, NO_VERSION)
        if not observed and (is_known or has_ended):
            return False
        self._marks[endpoint.id] = LeavingMark(
            outdated, endpoint.born_ms, now, observed
        )
        return True

    def applies(self, endpoint: Endpoint, version: StoreVersion, now: float) -> bool:
        """Return whether a listed endpoint leaves according to its mark.

        It does not if another process has started under its id, or if its document
        is newer than the mark.

        Args:
            endpoint: the endpoint as its document describes it.
            version: version of the document.
            now: seconds.
        """
        mark = self._marks.get(endpoint.id)
        if mark is None or mark.born_ms != endpoint.born_ms:
            return False
        return version <= mark.outdated or now - mark.at < CONFIRM_AFTER_S

    def observed(self) -> dict[str, StoreVersion]:
        """Return the outdated versions of the endpoints that this process marked."""
        return {
            name: mark.outdated for name, mark in self._marks.items() if mark.observed
        }

    def names(self) -> list[str]:
        """Return the ids of all marked endpoints."""
        return list(self._marks)

    def end(self, name: str) -> None:
        """Remove a mark because the endpoint serves again."""
        mark = self._marks.pop(name, None)
        if mark is not None:
            self._ended[name] = mark.outdated

    def expire(self, name: str, now: float) -> None:
        """Forget an endpoint that is no longer listed, unless it was just marked."""
        if now - self._marks[name].at >= CONFIRM_AFTER_S:
            self.forget(name)

    def retain(self, listed: Collection[str]) -> None:
        """Forget which marks have ended, of all endpoints that are not listed."""
        for name in [name for name in self._ended if name not in listed]:
            del self._ended[name]

    def forget(self, name: str) -> None:
        """Forget what is known of an endpoint."""
        self._marks.pop(name, None)
        self._ended.pop(name, None)
