"""Settings of an entry that forwards requests directly to endpoints."""

from pydantic import Field, field_validator

from ebonyglade.bodies import DEFAULT_LIMITS, BodyLimits
from ebonyglade.buffers import KIB, buffered_bytes_within
from ebonyglade_node.forward_settings import ForwardNodeSettings
from ebonyglade_node.settings import Section, numeric_address

BYTES_PER_MB = 1_000_000


class ListenSection(Section):
    """Addresses that the entry listens on.

    Attributes:
        callers: "IP:port" for callers.
        ready: "IP:port" where the load balancer polls readiness.
        metrics_port: TCP port of the metrics; 0 for none.
        max_requests: maximum number of active requests.
        max_connections: maximum number of open connections of callers; no more than
            half of the descriptors of the process are used. Above it, the one whose
            request has been incomplete, or which has been idle, for longest is closed.
        max_probe_connections: the same at `ready` and at the metrics, each.
        max_head_bytes: largest head of a request, with its request line; larger than
            any limit that the platform publishes.
        head_timeout_s: seconds in which the head of a request must arrive completely.
    """

    callers: str
    ready: str
    metrics_port: int = Field(default=0, ge=0, le=65535)
    max_requests: int = Field(default=2000, gt=0)
    max_connections: int = Field(default=1500, gt=0)
    max_probe_connections: int = Field(default=64, gt=0)
    max_head_bytes: int = Field(default=64 * KIB, gt=0)
    head_timeout_s: float = Field(default=5.0, gt=0)

    @property
    def metrics_address(self) -> str:
        """Address "IP:port" of the metrics, on the callers' interface."""
        return f"{self.callers.rpartition(':')[0]}:{self.metrics_port}"

    @field_validator("callers", "ready")
    @classmethod
    def _is_numeric(cls, value: str) -> str:
        return numeric_address(f"tcp://{value}").removeprefix("tcp://")


class ResponsesSection(Section):
    """Limits of endpoints' responses, and of the memory for callers.

    Attributes:
        document_bytes: largest body that is passed on as a whole; a larger one is
            refused with `answer_broken`.
        event_bytes: largest event of a stream; a larger one cuts the stream.
        buffered_bytes: memory for bodies of requests and responses, for unfinished
            events, and for what callers have not read, of all open requests together;
            less on a machine whose `memory_mb` does not allow it. At least 16 kB are
            granted to each request. If it is short, requests that are not whole are
            refused with `overloaded` and unread responses are cut, first those that
            have held most for longest.
    """

    document_bytes: int = Field(default=DEFAULT_LIMITS.document_bytes, gt=0)
    event_bytes: int = Field(default=DEFAULT_LIMITS.event_bytes, gt=0)
    buffered_bytes: int = Field(default=DEFAULT_LIMITS.buffered_bytes, gt=0)

    def body_limits(self, memory_mb: float = 0.0) -> BodyLimits:
        """Return the limits for the library, on a machine with this memory."""
        buffered = buffered_bytes_within(memory_mb * BYTES_PER_MB, self.buffered_bytes)
        return BodyLimits(self.document_bytes, self.event_bytes, buffered)


class ForwardSettings(ForwardNodeSettings):
    """All sections of a forwarding entry's settings file."""

    listen: ListenSection
    responses: ResponsesSection = ResponsesSection()
