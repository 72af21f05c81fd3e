"""Settings of processes on a platform that is reached through an adapter."""

import ipaddress

from pydantic import Field, field_validator

from ebonyglade.forward.budget import BudgetTerms
from ebonyglade_node.settings import (
    FleetSection,
    InstanceSection,
    LogSection,
    Section,
    numeric_address,
)


class ForwardInstanceSection(Section):
    """Who this process is.

    Attributes:
        name: for logs.
        address: where other processes reach it, "tcp://IP:port".
        zone: its availability zone.
        region: region of the zone.
        first_start: whether the whole fleet starts for the first time.
    """

    name: str
    address: str
    zone: str
    region: str = ""
    first_start: bool = False

    @field_validator("address")
    @classmethod
    def _is_numeric(cls, value: str) -> str:
        return numeric_address(value)

    def for_link(self) -> InstanceSection:
        """Return the section as the link takes it; the address is the id."""
        return InstanceSection(
            id=self.address, address=self.address, zone=self.zone, region=self.region
        )


class StoreSection(Section):
    """The platform's store.

    Attributes:
        address: "IP:port" of its HTTP interface.
        adapter: Python module that translates for the platform.
        wait_ms: how long one watch waits for a change. The copy of the store is
            confirmed once in this time.
    """

    address: str
    adapter: str
    wait_ms: int = Field(default=1500, gt=0)


class BoundsSection(Section):
    """Bounds that the platform publishes.

    Attributes:
        fail_closed: whether keys are refused while they can't be confirmed.
        revoke_ms: time after which a withdrawn key must not work any more.
        repeat_ratio: requests sent once more, for each request.
        repeat_window_s: span in which both are counted.
        repeat_slack: requests sent once more that are granted besides.
        rate_overage: part of a workspace's rate and burst that may be exceeded.
        rate_slack: tokens that may be exceeded besides, in any window.
        grace_s: time between SIGTERM and SIGKILL.
        lease_ms: time for which an order's holder counts as its holder.
    """

    fail_closed: bool = True
    revoke_ms: int = Field(default=5000, gt=0)
    repeat_ratio: float = Field(default=0.1, ge=0)
    repeat_window_s: float = Field(default=10.0, gt=0)
    repeat_slack: float = Field(default=0.0, ge=0)
    rate_overage: float = Field(default=0.0, ge=0)
    rate_slack: float = Field(default=0.0, ge=0)
    grace_s: float = Field(default=8.0, gt=0)
    lease_ms: int = Field(default=3000, gt=0)

    def budget(self) -> BudgetTerms:
        """Return the bound on repeats as the library takes it."""
        return BudgetTerms(self.repeat_ratio, self.repeat_window_s, self.repeat_slack)


class ForwardNodeSettings(Section):
    """Sections that both daemons have.

    Attributes:
        seeds: "IP:port" of machines to greet first; only the IP numbers count,
            as all processes take messages at the same port.
    """

    instance: ForwardInstanceSection
    store: StoreSection
    bounds: BoundsSection = BoundsSection()
    fleet: FleetSection = FleetSection()
    logs: LogSection = LogSection()
    seeds: tuple[str, ...] = ()

    @field_validator("seeds")
    @classmethod
    def _are_numeric(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for seed in value:
            ipaddress.ip_address(seed.rpartition(":")[0])
        return value

    def seed_addresses(self) -> tuple[str, ...]:
        """Return where the seeds take messages, without this process itself."""
        port = self.instance.address.rpartition(":")[2]
        found = (f"tcp://{seed.rpartition(':')[0]}:{port}" for seed in self.seeds)
        return tuple(seed for seed in found if seed != self.instance.address)
