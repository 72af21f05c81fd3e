"""A whole fleet with its stand-ins in one process, for the demo and tests."""

import socket
from dataclasses import dataclass, field

import tomli_w
import zmq
from mode import Service

from ebonyglade.config.view import hash_key
from ebonyglade_agent.service import Agent
from ebonyglade_agent.settings import AgentSettings
from ebonyglade_entry.service import Entry
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_lab.standins.booking import Booking
from ebonyglade_lab.standins.engine import EngineTimes, ModelEngine
from ebonyglade_lab.standins.platform import Platform
from ebonyglade_lab.standins.server import LOOPBACK

MODEL_POOL = "abstracts"
SERVICE_POOL = "rooms"
KEY = "demo-key-of-the-aula-team"
WATCH_WAIT_S = 5.0
# With a removal time of 0 a local fleet starts within seconds. This is safe, as it
# removes no instance from the list that still runs.
QUICK_OWNERSHIP = {"lease_s": 1.0, "removal_s": 0.0, "seal_s": 1.0}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of entries and of agents by stage."""

    entries: int = 2
    prefill: int = 2
    decode: int = 2
    service: int = 2


@dataclass(slots=True)
class Fleet:
    """Stand-ins, agents and entries, started in that order.

    Attributes:
        size: number of entries and agents.
        times: durations of the engines' work.
        platform: stand-in of the platform.
        engines: stand-ins of model engines, by the instance id of their agent.
        bookings: stand-ins of booking services, by the instance id of their agent.
        agents: agents by instance id.
        entries: entries by instance id.
        keys: the fleet key pair, public key first.
    """

    size: FleetSize = field(default_factory=FleetSize)
    times: EngineTimes = field(default_factory=EngineTimes)
    platform: Platform = field(default_factory=Platform)
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    bookings: dict[str, Booking] = field(default_factory=dict)
    agents: dict[str, Agent] = field(default_factory=dict)
    entries: dict[str, Entry] = field(default_factory=dict)
    keys: tuple[str, str] = field(default_factory=lambda: new_fleet_key())

    async def start(self) -> None:
        """Start the stand-ins, the agents and then the entries.

        Does not wait until the entries have the configuration (see
        `demo.wait_ready`).
        """
        await self.platform.start()
        publish_teams(self.platform)
        for index in range(self.size.prefill):
            await self._start_model(f"prefill-{index + 1}", "prefill")
        for index in range(self.size.decode):
            await self._start_model(f"decode-{index + 1}", "decode")
        for index in range(self.size.service):
            await self._start_service(f"rooms-{index + 1}")
        for index in range(self.size.entries):
            document = self.node_settings(f"entry-{index + 1}")
            document["http"] = {"port": 0, "leave_s": 0.2}
            await self.start_entry(EntrySettings.model_validate(document))

    async def stop(self) -> None:
        """Stop everything in reverse order."""
        services: list[Service] = [*self.entries.values(), *self.agents.values()]
        services += [*self.bookings.values(), *self.engines.values(), self.platform]
        for service in services:
            await service.stop()

    def urls(self) -> list[str]:
        """Return the base URLs for callers of all entries."""
        return [f"http://{LOOPBACK}:{item.http.port}" for item in self.entries.values()]

    def held_pieces(self) -> int:
        """Return the number of KV-cache pieces that all engines hold."""
        return sum(engine.held_pieces for engine in self.engines.values())

    async def _start_model(self, name: str, stage: str) -> None:
        engine = ModelEngine(times=self.times)
        await engine.start()
        self.engines[name] = engine
        endpoint = {"kind": "engine", "url": engine.url}
        await self._start_agent(name, endpoint, MODEL_POOL, stage)

    async def _start_service(self, name: str) -> None:
        booking = Booking()
        await booking.start()
        self.bookings[name] = booking
        endpoint = {"kind": "service", "url": booking.url, "slots": 8}
        await self._start_agent(name, endpoint, SERVICE_POOL, "service")

    async def _start_agent(
        self, name: str, endpoint: dict, pool: str, stage: str
    ) -> None:
        document = self.node_settings(name)
        document["endpoint"] = {**endpoint, "leave_s": 0.2}
        agent = Agent(AgentSettings.model_validate(document))
        await agent.start()
        self.agents[name] = agent
        publish_instance(
            self.platform, name, "agent", document["instance"]["address"], pool, stage
        )

    async def start_entry(self, settings: EntrySettings) -> Entry:
        """Start an entry and list it on the platform."""
        entry = Entry(settings)
        await entry.start()
        me = settings.instance
        self.entries[me.id] = entry
        publish_instance(self.platform, me.id, "entry", me.address)
        return entry

    def node_settings(self, name: str) -> dict:
        """Return the settings sections that every process of this fleet has."""
        address = f"tcp://{LOOPBACK}:{free_port()}"
        return {
            "instance": {"id": name, "address": address, "zone": "zone-a"},
            "fleet": {"public_key": self.keys[0], "secret_key": self.keys[1]},
            "platform": {"url": self.platform.url, "wait_s": WATCH_WAIT_S},
            "ownership": QUICK_OWNERSHIP,
        }


def new_fleet_key() -> tuple[str, str]:
    """Return a new fleet key pair, public key first."""
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


def free_port() -> int:
    """Return a TCP port that is currently free on loopback."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def publish(platform: Platform, path: str, /, **document: object) -> int:
    """Publish a document as TOML and return its revision."""
    return platform.put(path, tomli_w.dumps(document))


def publish_instance(
    platform: Platform,
    name: str,
    role: str,
    address: str,
    pool: str = "",
    stage: str = "",
    state: str = "live",
) -> int:
    """List an instance on the platform."""
    return publish(
        platform,
        f"platform/instances/{name}",
        role=role,
        address=address,
        zone="zone-a",
        pool=pool,
        stage=stage,
        state=state,
    )


def publish_teams(platform: Platform) -> None:
    """Publish one team with a workspace, a key and its routes."""
    publish(
        platform,
        "teams/aula/workspaces/physics",
        rate=50_000.0,
        burst=100_000.0,
        author="demo",
    )
    publish(
        platform,
        "teams/aula/keys/secretary",
        digest=hash_key(KEY),
        workspace="physics",
        author="demo",
    )
    publish(
        platform,
        "teams/aula/routes/abstracts",
        kind="model",
        model="abstracts",
        pool=MODEL_POOL,
        deadline_s=30.0,
        max_output_tokens=256,
        patient=True,
    )
    publish(
        platform,
        "teams/aula/routes/bookings",
        kind="service",
        path="/bookings",
        pool=SERVICE_POOL,
        methods=["GET", "POST"],
        deadline_s=10.0,
    )
    publish(
        platform,
        "teams/aula/routes/listings",
        kind="service",
        path="/listings",
        pool=SERVICE_POOL,
        open=True,
        deadline_s=5.0,
    )
