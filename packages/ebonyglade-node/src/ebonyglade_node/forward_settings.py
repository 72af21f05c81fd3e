"""Settings of daemons that reach their platform through an adapter."""

import ipaddress

from pydantic import Field, field_validator

from ebonyglade.forward.endpoint_limits.cold_endpoints import ColdBounds
from ebonyglade.forward.retries.retry_budget import RetryBudgetLimits
from ebonyglade_node.settings import (
    FleetSection,
    InstanceSection,
    LogSection,
    Section,
    numeric_address,
)


class ForwardInstanceSection(Section):
    """Identity of this process.

    Attributes:
        name: name in log lines and stage orders.
        address: address for messages of other processes, "tcp://IP:port".
        zone: its availability zone.
        region: region of the zone.
        link_mbps: rate of this machine's network link; 0 if not known. In a large
            fleet, members with the most of it report for their availability zone.
        memory_mb: memory of this machine in millions of bytes, which may lower what is
            held for callers; 0 if not known.
        max_files: descriptors that the platform lets this process open, of which
            callers' connections get half; 0 if only the system's own limit counts.
        first_start: whether the whole fleet starts for the first time, so that no
            rate tokens or retries can have been used.
    """

    name: str
    address: str
    zone: str
    region: str = ""
    link_mbps: float = Field(default=0.0, ge=0)
    memory_mb: float = Field(default=0.0, ge=0)
    max_files: int = Field(default=0, ge=0)
    first_start: bool = False

    @field_validator("address")
    @classmethod
    def _is_numeric(cls, value: str) -> str:
        return numeric_address(value)

    def link_section(self) -> InstanceSection:
        """Return the settings of the link; the address serves as the instance id."""
        return InstanceSection(
            id=self.address, address=self.address, zone=self.zone, region=self.region
        )


class StoreSection(Section):
    """The platform's store.

    Attributes:
        address: "IP:port" of its HTTP interface.
        adapter: Python module that implements the adapter to the platform.
        wait_ms: longest wait of one watch for a change. The copy of the store is
            confirmed at least this often.
    """

    address: str
    adapter: str
    wait_ms: int = Field(default=1500, gt=0)


class BoundsSection(Section):
    """Limits that the platform publishes.

    Attributes:
        fail_closed: whether API keys are refused while they can't be confirmed.
        revoke_ms: time after which a revoked API key must no longer work.
        apply_ms: time within which a change of the configuration must be in force at
            all entries.
        repeat_ratio: retries allowed per request in the window.
        repeat_window_s: length of the window in which both are counted.
        repeat_slack: retries allowed in addition in each window.
        rate_overage: fraction by which a workspace's rate and burst may be exceeded.
        rate_slack: further tokens by which they may be exceeded in any window.
        grace_s: seconds between SIGTERM and SIGKILL.
        cold_overage: factor by which the published rate of a cold endpoint may be
            exceeded.
        cold_slack: further requests by which it may be exceeded in any second.
        evacuate_ms: time after which no request may reach an evacuated zone.
        lease_ms: milliseconds for which the `Holder` of a stage order keeps its right
            to order; published by the platform, not used by these programs.
    """

    fail_closed: bool = True
    revoke_ms: int = Field(default=5000, gt=0)
    apply_ms: int = Field(default=3000, gt=0)
    repeat_ratio: float = Field(default=0.1, ge=0)
    repeat_window_s: float = Field(default=10.0, gt=0)
    repeat_slack: float = Field(default=0.0, ge=0)
    rate_overage: float = Field(default=0.0, ge=0)
    rate_slack: float = Field(default=0.0, ge=0)
    grace_s: float = Field(default=8.0, gt=0)
    cold_overage: float = Field(default=1.0, ge=1)
    cold_slack: float = Field(default=0.0, ge=0)
    evacuate_ms: int = Field(default=5000, gt=0)
    lease_ms: int = Field(default=3000, gt=0)

    def retry_budget_limits(self) -> RetryBudgetLimits:
        """Return the limits of the retry budget."""
        return RetryBudgetLimits(
            self.repeat_ratio, self.repeat_window_s, self.repeat_slack
        )

    def cold_bounds(self) -> ColdBounds:
        """Return the bound on requests to a cold endpoint."""
        return ColdBounds(self.cold_overage, self.cold_slack)


class ForwardNodeSettings(Section):
    """Sections shared by both daemons.

    Attributes:
        seeds: "IP:port" of machines to contact first. Only the IP numbers are used,
            as all processes receive messages on the same port. Changes are
            applied while the process runs, with SIGHUP or without.
        zones: region of each availability zone.
    """

    instance: ForwardInstanceSection
    store: StoreSection
    bounds: BoundsSection = BoundsSection()
    fleet: FleetSection = FleetSection()
    logs: LogSection = LogSection()
    seeds: tuple[str, ...] = ()
    zones: dict[str, str] = Field(default_factory=dict)

    @field_validator("seeds")
    @classmethod
    def _are_numeric(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for seed in value:
            ipaddress.ip_address(seed.rpartition(":")[0])
        return value

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the message addresses of the seeds, without this process itself."""
        port = self.instance.address.rpartition(":")[2]
        addresses = (f"tcp://{seed.rpartition(':')[0]}:{port}" for seed in self.seeds)
        return tuple(seed for seed in addresses if seed != self.instance.address)
