"""Software versions that began streams, and those that endpoints ran lately.

Endpoints of several software versions may serve one service. What two versions write
does not fit together, so that a stream goes on only at the version that began it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from ebonyglade.forward.types import Endpoint
from ebonyglade.hashing import hexdigest

KEY_BYTES = 12
# Longer than a stream lasts and its caller waits before it takes the stream up.
KEEP_S = 60.0
MAX_STREAMS = 100_000  # a process keeps the newest
# A replica of the store that was not confirmed for so long may lack a version, and so
# may one that was not looked at for so long.
MAX_UNSEEN_S = 3.0


def stream_key(workspace: str, request_id: str) -> str:
    """Return the key of the stream that an attempt of a workspace began."""
    return hexdigest((workspace.encode(), request_id.encode()), KEY_BYTES)


def content_key(request_fingerprint: str) -> str:
    """Return the key of all streams that the same request began."""
    return hexdigest((b"content", request_fingerprint.encode()), KEY_BYTES)


@dataclass(frozen=True, slots=True)
class Origin:
    """Which software version began a stream.

    Attributes:
        software: the version; None for several, of streams with the same request.
        at: time in seconds.
        by_content: whether it is of all streams with the same request.
    """

    software: str | None
    at: float
    by_content: bool = False


@dataclass(slots=True)
class StreamOrigins:
    """Streams that this process was told of, by key; mostly the oldest first."""

    _origins: dict[str, Origin] = field(default_factory=dict)

    def record(self, stream: str, software: str | None, at: float) -> None:
        """Record which version began a stream; only its first event counts."""
        self._add(stream, self._origins.get(stream, Origin(software, at)))

    def record_content(self, key: str, software: str | None, at: float) -> None:
        """Record which version began a stream of a request.

        It is not known which one a caller takes up if several versions began some.
        """
        origin = self._origins.pop(key, None)
        if origin is not None and origin.software != software:
            software = None
        if origin is not None:
            at = max(at, origin.at)
        self._add(key, Origin(software, at, by_content=True))

    def newest(self, number: int) -> list[tuple[str, Origin]]:
        """Return up to so many of the streams that were recorded last."""
        return list(islice(reversed(self._origins.items()), number))

    def _add(self, stream: str, origin: Origin) -> None:
        self._origins[stream] = origin
        if len(self._origins) > MAX_STREAMS:
            del self._origins[next(iter(self._origins))]

    def software(self, stream: str) -> str | None:
        """Return the version that began a stream; None if it is not known."""
        origin = self._origins.get(stream)
        return None if origin is None else origin.software

    def forget(self, now: float) -> None:
        """Forget streams that began long ago."""
        for stream, origin in list(self._origins.items()):
            if now - origin.at <= KEEP_S:
                break
            del self._origins[stream]


@dataclass(frozen=True, slots=True)
class Coverage:
    """Time, in seconds, in which a process missed no version that was listed."""

    since: float
    until: float


def covered_until(coverages: Iterable[Coverage], since: float) -> float:
    """Return until when some processes together missed no version since some time.

    The result is `since` if none of them had seen all versions by then.
    """
    until = since
    for coverage in sorted(coverages, key=lambda item: item.since):
        if coverage.since <= until:
            until = max(until, coverage.until)
    return until


@dataclass(slots=True)
class ListedSoftware:
    """Software versions that the endpoints of each service ran lately.

    Attributes:
        complete_since: since when this process has seen every version; `now` of its
            start at first.
    """

    complete_since: float
    _seen_at: float = field(init=False)
    _listed: dict[tuple[str, str], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._seen_at = self.complete_since

    def record(
        self, endpoints: Iterable[Endpoint], now: float, age_s: float = 0.0
    ) -> None:
        """Record the versions of the endpoints that are listed now.

        Args:
            endpoints: the endpoints that the replica of the store lists.
            now: time in seconds.
            age_s: seconds since the replica was confirmed.
        """
        if max(age_s, now - self._seen_at) > MAX_UNSEEN_S:
            self.complete_since = now
        self._seen_at = now
        for endpoint in endpoints:
            self._listed[endpoint.service, endpoint.software] = now
        for key in [key for key, at in self._listed.items() if now - at > KEEP_S]:
            del self._listed[key]

    def versions(self, service: str, since: float) -> set[str]:
        """Return the versions that a service was listed with since some time."""
        return {
            software
            for (name, software), at in self._listed.items()
            if name == service and at >= since
        }

    def coverage(self, now: float, age_s: float) -> Coverage:
        """Return the time in which no version was missed.

        It ends when the replica was confirmed last: a version that was listed since is
        not known here.

        Args:
            now: time in seconds.
            age_s: seconds since the replica was confirmed.
        """
        return Coverage(self.complete_since, now - age_s)
