"""Software versions that began streams, and those that endpoints ran lately.

Endpoints of several software versions may serve one service. What two versions write
does not fit together, so that a stream goes on only at the version that began it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.forward.types import Endpoint
from ebonyglade.hashing import hexdigest

KEY_BYTES = 12
# Longer than a stream lasts and its caller waits before it takes the stream up.
KEEP_S = 60.0
MAX_STREAMS = 100_000  # a process keeps the newest


def stream_key(workspace: str, request_id: str) -> str:
    """Return the key of the stream that an attempt of a workspace began."""
    return hexdigest((workspace.encode(), request_id.encode()), KEY_BYTES)


@dataclass(frozen=True, slots=True)
class _Origin:
    """The software version that began a stream, and when."""

    software: str
    at: float


@dataclass(slots=True)
class StreamOrigins:
    """Streams that this process was told of, by key; oldest first."""

    _origins: dict[str, _Origin] = field(default_factory=dict)

    def record(self, stream: str, software: str, now: float) -> None:
        """Record which version began a stream; only its first event counts."""
        self._origins.setdefault(stream, _Origin(software, now))
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


@dataclass(slots=True)
class ListedSoftware:
    """Software versions that the endpoints of each service ran lately.

    Attributes:
        started_at: when this process started to record them.
    """

    started_at: float
    _listed: dict[tuple[str, str], float] = field(default_factory=dict)

    def record(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Record the versions of the endpoints that are listed now."""
        for endpoint in endpoints:
            self._listed[endpoint.service, endpoint.software] = now
        for key in [key for key, at in self._listed.items() if now - at > KEEP_S]:
            del self._listed[key]

    def only_version(self, service: str) -> str | None:
        """Return the one version that a service was listed with; None if several."""
        found = [software for name, software in self._listed if name == service]
        return found[0] if len(found) == 1 else None

    def is_complete(self, now: float) -> bool:
        """Return whether all versions are known that may have begun a stream."""
        return now - self.started_at > KEEP_S
