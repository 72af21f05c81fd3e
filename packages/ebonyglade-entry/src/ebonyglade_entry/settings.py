"""Settings of an entry process."""

from pydantic import Field

from ebonyglade_node.settings import NodeSettings, Section


class HttpSection(Section):
    """Where callers are served, and the limits on what they send.

    Attributes:
        host: IP number to listen on.
        port: TCP port; zero for any free one.
        max_body_bytes: largest body.
        max_header_bytes: largest header line or field.
        body_timeout_s: seconds in which a whole body must arrive.
        max_connections: most requests under way at once.
        drain_s: seconds that a stop waits for answers under way.
        leave_s: seconds between telling the balancer and closing the door.
    """

    host: str = "127.0.0.1"
    port: int = Field(default=8080, ge=0, le=65535)
    max_body_bytes: int = Field(default=4 * 1024 * 1024, gt=0)
    max_header_bytes: int = Field(default=16 * 1024, gt=0)
    body_timeout_s: float = Field(default=30.0, gt=0)
    max_connections: int = Field(default=10_000, gt=0)
    drain_s: float = Field(default=120.0, gt=0)
    leave_s: float = Field(default=3.0, ge=0)


class EntrySettings(NodeSettings):
    """All sections of an entry's settings file."""

    http: HttpSection = HttpSection()
