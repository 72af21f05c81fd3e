"""Settings and stand-ins of a fleet of separate processes on loopback."""

import asyncio
import json
import signal
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import tomli_w
from mode import Service

from ebonyglade_lab.fleet import (
    MODEL_POOL,
    QUICK_OWNERSHIP,
    SERVICE_POOL,
    FleetSize,
    new_fleet_key,
    publish_instance,
    publish_teams,
)
from ebonyglade_lab.standins.booking import Booking
from ebonyglade_lab.standins.engine import EngineTimes, ModelEngine
from ebonyglade_lab.standins.platform import Platform
from ebonyglade_lab.standins.server import LOOPBACK

PLAN_FILE = "plan.json"
PORTS_PER_INSTANCE = 3  # for messages, status, and callers or the endpoint


@dataclass(frozen=True, slots=True)
class PlannedInstance:
    """One instance of a planned fleet.

    Attributes:
        name: instance id.
        role: "entry" or "agent".
        stage: "prefill", "decode" or "service" for an agent; empty for an entry.
        message_port: port on which it receives messages.
        status_port: port of its local status server.
        other_port: port for callers of an entry, or of an agent's endpoint.
    """

    name: str
    role: str
    stage: str
    message_port: int
    status_port: int
    other_port: int

    @property
    def address(self) -> str:
        """Address for messages."""
        return f"tcp://{LOOPBACK}:{self.message_port}"

    @property
    def url(self) -> str:
        """Base URL for callers of an entry, or of an agent's endpoint."""
        return f"http://{LOOPBACK}:{self.other_port}"

    @property
    def status_url(self) -> str:
        """Base URL of the local status server."""
        return f"http://{LOOPBACK}:{self.status_port}"


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a fleet of separate processes.

    Attributes:
        platform_port: port of the platform's stand-in.
        instances: all entries and agents.
    """

    platform_port: int
    instances: list[PlannedInstance] = field(default_factory=list)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's stand-in."""
        return f"http://{LOOPBACK}:{self.platform_port}"

    def of_role(self, role: str) -> list[PlannedInstance]:
        """Return the instances of a role."""
        return [item for item in self.instances if item.role == role]


def make_plan(size: FleetSize, base_port: int) -> Plan:
    """Return a plan whose ports start at `base_port`."""
    plan = Plan(base_port)
    port = base_port + 1
    for name, role, stage in _instances(size):
        plan.instances.append(
            PlannedInstance(name, role, stage, port, port + 1, port + 2)
        )
        port += PORTS_PER_INSTANCE
    return plan


def write_plan(plan: Plan, directory: Path, settings: dict | None = None) -> None:
    """Write the plan and one settings file for each instance.

    Args:
        plan: the plan of the fleet.
        directory: where to write the files.
        settings: values to add or change, by section; only sections that a file has
            are changed.
    """
    directory.mkdir(parents=True, exist_ok=True)
    public, secret = new_fleet_key()
    for item in plan.instances:
        document = _settings(plan, item, public, secret)
        for section, values in (settings or {}).items():
            if section in document:
                document[section] = {**document[section], **values}
        path = directory / f"{item.name}.toml"
        path.write_text(tomli_w.dumps(document))
    (directory / PLAN_FILE).write_text(json.dumps(asdict(plan), indent=1))


def read_plan(directory: Path) -> Plan:
    """Return the plan that `write_plan` wrote."""
    document = json.loads((directory / PLAN_FILE).read_text())
    instances = [PlannedInstance(**item) for item in document["instances"]]
    return Plan(document["platform_port"], instances)


class StandIns(Service):
    """The platform, engines and services of a planned fleet."""

    def __init__(self, plan: Plan, times: EngineTimes | None = None) -> None:
        super().__init__()
        self._plan = plan
        self.platform = Platform(plan.platform_port)
        self.engines = {
            item.name: ModelEngine(item.other_port, times=times)
            for item in plan.instances
            if item.stage in ("prefill", "decode")
        }
        self.bookings = {
            item.name: Booking(item.other_port)
            for item in plan.instances
            if item.stage == "service"
        }

    def on_init_dependencies(self) -> list[Service]:
        """Return all stand-ins, which are started with this service."""
        return [self.platform, *self.engines.values(), *self.bookings.values()]

    async def on_started(self) -> None:
        """Publish the team and the list of instances."""
        publish_teams(self.platform)
        for item in self._plan.instances:
            publish_instance(
                self.platform,
                item.name,
                item.role,
                item.address,
                _pool(item.stage),
                item.stage,
            )


async def run_standins(plan: Plan, times: EngineTimes | None = None) -> None:
    """Run a plan's stand-ins until SIGTERM or SIGINT."""
    standins = StandIns(plan, times)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    await standins.start()
    await stop.wait()
    await standins.stop()


def _instances(size: FleetSize) -> Iterator[tuple[str, str, str]]:
    stages = (
        ("prefill", "agent", "prefill", size.prefill),
        ("decode", "agent", "decode", size.decode),
        ("rooms", "agent", "service", size.service),
        ("entry", "entry", "", size.entries),
    )
    for prefix, role, stage, count in stages:
        for index in range(count):
            yield f"{prefix}-{index + 1}", role, stage


def _settings(plan: Plan, item: PlannedInstance, public: str, secret: str) -> dict:
    document = {
        "instance": {"id": item.name, "address": item.address, "zone": "zone-a"},
        "fleet": {"public_key": public, "secret_key": secret},
        "platform": {"url": plan.platform_url},
        "ownership": QUICK_OWNERSHIP,
        "status": {"host": LOOPBACK, "port": item.status_port},
        "logs": {"format": "keyvalue", "level": "INFO"},
    }
    if item.role == "entry":
        document["http"] = {"host": LOOPBACK, "port": item.other_port}
    else:
        kind = "service" if item.stage == "service" else "engine"
        document["endpoint"] = {"kind": kind, "url": item.url}
    return document


def _pool(stage: str) -> str:
    pools = {"": "", "service": SERVICE_POOL}
    return pools.get(stage, MODEL_POOL)
