"""Settings of an entry process."""

from pydantic import Field, model_validator

from ebonyglade.buffers import DEFAULT_BUFFERED_BYTES
from ebonyglade_node.settings import NodeSettings, Section


class HttpSection(Section):
    """Listening address for callers, and the limits on their requests.

    Attributes:
        host: IP number to listen on.
        port: TCP port; zero for any free one.
        certificate: PEM file of the TLS certificate chain; empty for plain HTTP.
        private_key: PEM file of the TLS key.
        max_body_bytes: largest request body.
        max_header_bytes: largest total size of a request's headers.
        body_timeout_s: seconds in which a request body must arrive completely.
        write_timeout_s: seconds in which a caller must read an event of a stream.
        max_requests: maximum number of active requests.
        max_connections: maximum number of open connections; no more than half of the
            descriptors of the process are used. Above it, the one whose request has
            been incomplete, or which has been idle, for longest is closed.
        buffered_bytes: memory for what callers have sent or have not read; if it is
            short, those are refused or cut that have held most for longest.
        head_timeout_s: seconds in which the head of a request must arrive completely.
        drain_s: seconds that a shutdown waits for active requests.
        leave_s: seconds between reporting not ready and refusing new requests.
    """

    host: str = "127.0.0.1"
    port: int = Field(default=8080, ge=0, le=65535)
    certificate: str = ""
    private_key: str = ""
    max_body_bytes: int = Field(default=4 * 1024 * 1024, gt=0)
    max_header_bytes: int = Field(default=16 * 1024, gt=0)
    body_timeout_s: float = Field(default=30.0, gt=0)
    write_timeout_s: float = Field(default=30.0, gt=0)
    max_requests: int = Field(default=10_000, gt=0)
    max_connections: int = Field(default=4000, gt=0)
    buffered_bytes: int = Field(default=DEFAULT_BUFFERED_BYTES, gt=0)
    head_timeout_s: float = Field(default=5.0, gt=0)
    drain_s: float = Field(default=120.0, gt=0)
    leave_s: float = Field(default=3.0, ge=0)

    @model_validator(mode="after")
    def _has_both_halves(self) -> "HttpSection":
        if bool(self.certificate) != bool(self.private_key):
            raise ValueError(
                "certificate and private_key go together: set both or neither"
            )
        return self


class EntrySettings(NodeSettings):
    """All sections of an entry's settings file."""

    http: HttpSection = HttpSection()
