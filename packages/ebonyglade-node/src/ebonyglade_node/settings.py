"""Settings of one process, read from a TOML file and validated at the start."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Literal, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    field_validator,
    model_validator,
)

from ebonyglade.errors import UserError
from ebonyglade.ownership.lease_times import LeaseTimes

Model = TypeVar("Model", bound=BaseModel)


class Section(BaseModel):
    """Base class of all sections; unknown names are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSection(Section):
    """Identity of this process.

    Attributes:
        id: instance id, as published by the platform.
        address: address for messages of other instances, "tcp://IP:port".
        zone: its availability zone.
        region: region of the zone.
    """

    id: str
    address: str
    zone: str
    region: str = ""

    @field_validator("address")
    @classmethod
    def _is_numeric(cls, value: str) -> str:
        return numeric_address(value)


class PeerSection(Section):
    """An instance to contact before the platform's list of instances is known.

    Attributes:
        id: instance id.
        address: address for messages, "tcp://IP:port".
    """

    id: str
    address: str

    @field_validator("address")
    @classmethod
    def _is_numeric(cls, value: str) -> str:
        return numeric_address(value)


class FleetSection(Section):
    """Key pair that all instances of the fleet share, in Z85 text.

    Without keys, messages are neither authenticated nor encrypted. Leave them out
    only on networks that no other machines can reach.

    Attributes:
        public_key: public half; empty for none.
        secret_key: secret half; empty for none.
        accept: further public keys to accept during a rotation of the key pair.
    """

    public_key: str = Field(default="", pattern=r"^(.{40})?$")
    secret_key: str = Field(default="", pattern=r"^(.{40})?$", repr=False)
    accept: tuple[str, ...] = ()

    @property
    def secured(self) -> bool:
        """Whether connections are authenticated."""
        return bool(self.public_key)

    @model_validator(mode="after")
    def _has_both_halves(self) -> "FleetSection":
        if bool(self.public_key) != bool(self.secret_key):
            raise ValueError(
                "public_key and secret_key go together: set both or neither"
            )
        return self


class PlatformSection(Section):
    """The platform's configuration service.

    Attributes:
        url: base address of its HTTP interface.
        prefix: key prefix of this system's documents.
        wait_s: longest wait of one watch for a change, in seconds.
    """

    url: str
    prefix: str = "ebonyglade"
    wait_s: float = Field(default=30.0, gt=0)


class LogSection(Section):
    """How to log.

    Attributes:
        format: "keyvalue" or "json".
        level: lowest level that is logged.
    """

    format: Literal["keyvalue", "json"] = "keyvalue"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class StatusSection(Section):
    """Local HTTP server for health, metrics, `explain` and `audit`.

    Attributes:
        host: IP number to listen on.
        port: TCP port; zero for any free one, which `explain` and `audit` can't find.
        max_connections: maximum number of open connections.
    """

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)
    max_connections: int = Field(default=64, gt=0)


class OwnershipSection(Section):
    """Durations for exclusive leases; the same on all instances of a fleet.

    Attributes:
        lease_s: seconds for which a lease is granted without renewal.
        removal_s: seconds in which an instance stops after its removal from the list.
        seal_s: seconds in which a new list reaches all reachable instances.
    """

    lease_s: float = Field(default=LeaseTimes().lease_s, gt=0)
    removal_s: float = Field(default=LeaseTimes().removal_s, ge=0)
    seal_s: float = Field(default=LeaseTimes().seal_s, gt=0)

    def lease_times(self) -> LeaseTimes:
        """Return the durations for the ownership protocol."""
        return LeaseTimes(self.lease_s, self.removal_s, self.seal_s)


class NodeSettings(Section):
    """Sections shared by both daemons."""

    instance: InstanceSection
    fleet: FleetSection
    platform: PlatformSection
    peers: tuple[PeerSection, ...] = ()
    logs: LogSection = LogSection()
    status: StatusSection = StatusSection()
    ownership: OwnershipSection = OwnershipSection()


def numeric_address(value: str) -> str:
    """Return a "tcp://IP:port" address unchanged.

    Raises:
        ValueError: the host is not an IP number or the port is missing.
    """
    scheme, _, rest = value.partition("://")
    host, _, port = rest.rpartition(":")
    if scheme != "tcp" or not port.isdigit():
        raise ValueError("must have the form tcp://IP:port")
    ipaddress.ip_address(host.strip("[]"))
    return value


def load(path: str, model: type[Model]) -> Model:
    """Read and validate a settings file.

    Raises:
        UserError: the file can't be read or a setting is invalid.
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    try:
        return model.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise UserError(f"{path}: not TOML: {error}") from error
    except ValidationError as error:
        raise UserError(f"{path}: {_format_problems(error)}") from error


def _format_problems(error: ValidationError) -> str:
    problems = [
        f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
        for item in error.errors()
    ]
    return "; ".join(problems)
