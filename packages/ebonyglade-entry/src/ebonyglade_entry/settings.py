"""Settings of an entry process."""

from pydantic import Field, model_validator

from ebonyglade_node.settings import NodeSettings, Section


class HttpSection(Section):
    """Where callers are served, and the limits on what they send.

    Attributes:
        host: IP number to listen on.
        port: TCP port; zero for any free one.
        certificate: PEM file of the TLS certificate chain; empty for plain HTTP.
        private_key: PEM file of the TLS key.
        max_body_bytes: largest body.
        max_header_bytes: largest sum of all headers.
        body_timeout_s: seconds in which a whole body must arrive.
        write_timeout_s: seconds in which a caller must take what is sent.
        max_requests: most requests under way at once.
        drain_s: seconds that a stop waits for answers under way.
        leave_s: seconds between telling the balancer and closing the door.
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
    drain_s: float = Field(default=120.0, gt=0)
    leave_s: float = Field(default=3.0, ge=0)

    @model_validator(mode="after")
    def _has_both_halves(self) -> "HttpSection":
        if bool(self.certificate) != bool(self.private_key):
            raise ValueError("certificate and private_key go together")
        return self


class EntrySettings(NodeSettings):
    """All sections of an entry's settings file."""

    http: HttpSection = HttpSection()
