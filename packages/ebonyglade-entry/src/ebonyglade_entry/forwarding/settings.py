"""Settings of an entry that forwards requests directly to endpoints."""

from pydantic import Field, field_validator

from ebonyglade_node.forward_settings import ForwardNodeSettings
from ebonyglade_node.settings import Section, numeric_address


class ListenSection(Section):
    """Addresses that the entry listens on.

    Attributes:
        callers: "IP:port" for callers.
        ready: "IP:port" where the load balancer polls readiness.
        metrics_port: TCP port of the metrics; 0 for none.
        max_requests: maximum number of active requests.
    """

    callers: str
    ready: str
    metrics_port: int = Field(default=0, ge=0, le=65535)
    max_requests: int = Field(default=2000, gt=0)

    @field_validator("callers", "ready")
    @classmethod
    def _is_numeric(cls, value: str) -> str:
        return numeric_address(f"tcp://{value}").removeprefix("tcp://")


class ForwardSettings(ForwardNodeSettings):
    """All sections of a forwarding entry's settings file."""

    listen: ListenSection
