"""How fast a change of configuration spreads, and what it costs.

The cost is measured in calls of the platform, in bytes and messages of each node,
and in processor time.
"""

import asyncio
import random
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field

from ebonyglade.audit import AuditTrail
from ebonyglade.config.controller import ConfigController
from ebonyglade.config.relay import Relay
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import ConfigView, ViewIndexer, build_view, hash_key
from ebonyglade.context import Context, Identity
from ebonyglade.events import Event
from ebonyglade.invariants import Invariants
from ebonyglade.members.peers import Peers
from ebonyglade.members.topology import RelayRole
from ebonyglade.wire.control import ConfigItem, ConfigUpdate
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network, VirtualTransport, open_frame
from ebonyglade_lab.virtual.platform import VirtualPlatform
from ebonyglade_lab.virtual.process import Process
from ebonyglade_lab.virtual.store_reader import VirtualStoreReader

SEED = 20261203
ZONES = 11
FLEET_SIZES = (33, 110, 330)
SETTLE_S = 6.0
IDLE_S = 60.0
CHANGES = 10
CHANGE_INTERVAL_S = 3.0
TICK_S = 0.05
WORKSPACE_COUNTS = (470, 1500, 4700)
INSTANCES = 3290
REPEATS = 200


class CountingNetwork(Network):
    """A network that counts frames and bytes by sender and by receiver."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.bytes_by_node: Counter[str] = Counter()
        self.frames_by_node: Counter[str] = Counter()

    def send(self, source: str, target: str, frame: bytes) -> None:
        """Count a frame for both sides and send it."""
        for name in (source, target):
            self.bytes_by_node[name] += len(frame)
            self.frames_by_node[name] += 1
        super().send(source, target, frame)


@dataclass(slots=True)
class ConfigCore:
    """The parts of a process that receive and relay configuration."""

    peers: Peers
    config: ConfigController
    relay: Relay


@dataclass(slots=True)
class SpreadResult:
    """Figures of a fleet of one size.

    Attributes:
        in_force_delays_s: seconds from the publication of a change until it is in
            force, one for each node and change.
        calls: calls of the platform for the changes.
        reads: of these, how many returned all documents.
        idle_calls_per_s: calls of the platform a second without changes.
        idle_bytes_per_s: bytes a second that each node sends and receives without
            changes.
        idle_frames_per_s: messages a second of each node without changes.
        bytes_per_change: additional bytes of each node for one change.
    """

    in_force_delays_s: list[float] = field(default_factory=list)
    calls: int = 0
    reads: int = 0
    idle_calls_per_s: float = 0.0
    idle_bytes_per_s: list[float] = field(default_factory=list)
    idle_frames_per_s: list[float] = field(default_factory=list)
    bytes_per_change: list[float] = field(default_factory=list)


class ConfigFleet:
    """Nodes that only receive and relay configuration."""

    def __init__(self, nodes: int, relayed: bool) -> None:
        self.platform = VirtualPlatform()
        self.network = CountingNetwork(random.Random(SEED))
        self.published_at: dict[int, float] = {}
        self.result = SpreadResult()
        self._relayed = relayed
        self._tasks: list[asyncio.Task] = []
        self.names = [f"agent-{number}" for number in range(nodes)]
        for number, name in enumerate(self.names):
            self.platform.publish(
                f"platform/instances/{name}",
                role="agent",
                address="tcp://10.0.0.1:7000",
                zone=f"zone-{number % ZONES}",
                pool="abstracts",
                stage="decode",
            )
        for name in self.names:
            self._start(name)

    def publish(self, number: int) -> None:
        """Publish one more workspace."""
        path = f"teams/aula/workspaces/w{number}"
        revision = self.platform.publish(path, rate=1000.0, burst=2000.0)
        self.published_at[revision] = asyncio.get_running_loop().time()

    def _start(self, name: str) -> None:
        process = Process(name, name + "#1")
        loop = asyncio.get_running_loop()
        context = Context(
            identity=Identity(name, process.incarnation),
            transport=VirtualTransport(process, self.network),
            clock=loop.time,
            wall_clock=loop.time,
            rng=random.Random(name),
            invariants=Invariants(strict=True),
        )
        peers = Peers(context)
        config = ConfigController(context)
        core = ConfigCore(peers, config, Relay(context, peers, config))
        if not self._relayed:
            core.relay._apply_role = lambda place: None
            core.relay._role = RelayRole(True)
            core.relay.read_delay = lambda revision: 0.0
        context.events.listen(Event.VIEW_CHANGED, self._in_force)

        def receive(frame: bytes) -> None:
            sender, message = open_frame(frame)
            peers.on_message_received(sender)
            context.deliver(sender, message)

        self.network.attach(name, receive)
        watcher = VirtualStoreReader(core, self.platform, process)
        self._tasks.append(asyncio.ensure_future(_run_process(context, watcher)))

    def _in_force(self, view: ConfigView) -> None:
        at = self.published_at.get(view.revision)
        if at is not None:
            self.result.in_force_delays_s.append(asyncio.get_running_loop().time() - at)


async def _run_process(context: Context, watcher: VirtualStoreReader) -> None:
    loop = asyncio.get_running_loop()
    # A random delay, since real processes do not start at the same moment.
    await asyncio.sleep(context.rng.random())
    while True:
        context.pauses.check()
        watcher.step(loop.time())
        context.timers.run_due(loop.time())
        await asyncio.sleep(TICK_S)


def measure_spread(nodes: int, relayed: bool) -> SpreadResult:
    """Return the figures of a fleet of `nodes` nodes, on the virtual clock."""
    return run(_simulate_spread(nodes, relayed))


async def _simulate_spread(nodes: int, relayed: bool) -> SpreadResult:
    fleet = ConfigFleet(nodes, relayed)
    await asyncio.sleep(SETTLE_S)
    platform, result = fleet.platform, fleet.result
    calls, before = platform.calls, Counter(fleet.network.bytes_by_node)
    frames = Counter(fleet.network.frames_by_node)
    await asyncio.sleep(IDLE_S)
    idle = Counter(fleet.network.bytes_by_node)
    result.idle_calls_per_s = (platform.calls - calls) / IDLE_S
    result.idle_bytes_per_s = [(idle[n] - before[n]) / IDLE_S for n in fleet.names]
    sent = fleet.network.frames_by_node
    result.idle_frames_per_s = [(sent[n] - frames[n]) / IDLE_S for n in fleet.names]
    calls, reads = platform.calls, platform.reads
    for number in range(CHANGES):
        fleet.publish(number)
        await asyncio.sleep(CHANGE_INTERVAL_S)
    result.calls, result.reads = platform.calls - calls, platform.reads - reads
    lasted = CHANGES * CHANGE_INTERVAL_S
    result.bytes_per_change = [
        (fleet.network.bytes_by_node[name] - idle[name] - rate * lasted) / CHANGES
        for name, rate in zip(fleet.names, result.idle_bytes_per_s, strict=True)
    ]
    return result


def spread_table() -> Table:
    """Return how a change spreads through fleets of several sizes."""
    table = Table(
        "How a change of configuration spreads",
        "python -m ebonyglade_lab configuration",
        (
            "Nodes",
            "Who watches",
            "In force, median s",
            "In force, last s",
            "Missed",
            "Platform calls a change",
            "Whole reads a change",
            "Idle calls a second",
            "Idle B/s a node, mean",
            "Idle B/s a node, most",
            "Idle messages/s a node, most",
            "B a change a node, most",
        ),
    )
    for nodes in FLEET_SIZES:
        for relayed in (False, True):
            table.add(*_spread_row(nodes, relayed))
    table.notes.append(
        f"{CHANGES} changes, {CHANGE_INTERVAL_S} s apart, {ZONES} availability zones, "
        f"a virtual clock and network, seed {SEED}. A watch learns of a change within "
        "0.2 s here. Bytes are those of messages, sent and received, without the "
        "transport's own. Missed counts nodes and changes that never came to be in "
        "force by themselves; a later revision can stand in for one."
    )
    return table


def _spread_row(nodes: int, relayed: bool) -> tuple:
    result = measure_spread(nodes, relayed)
    return (
        nodes,
        "few, relayed" if relayed else "everybody",
        statistics.median(result.in_force_delays_s),
        max(result.in_force_delays_s),
        nodes * CHANGES - len(result.in_force_delays_s),
        result.calls / CHANGES,
        result.reads / CHANGES,
        result.idle_calls_per_s,
        statistics.fmean(result.idle_bytes_per_s),
        max(result.idle_bytes_per_s),
        max(result.idle_frames_per_s),
        max(result.bytes_per_change),
    )


def cost_table() -> Table:
    """Return the time that one change takes, by number of workspaces."""
    table = Table(
        "Cost of one change of configuration",
        "python -m ebonyglade_lab configuration",
        (
            "Workspaces",
            "Instances",
            "Changed",
            "In steps, median us",
            "Built anew, median us",
            "Whole snapshot, median us",
        ),
    )
    for workspaces in WORKSPACE_COUNTS:
        for kind in _CHANGED_ITEMS:
            table.add(workspaces, INSTANCES, kind, *_change_costs_us(workspaces, kind))
    table.notes.append(
        "Each workspace has a key. In steps: a pushed change is taken and the view "
        "updated. Built anew: the view from all documents. Whole snapshot: the "
        f"platform's whole tree compared by a reader. {REPEATS} changes in steps, 5 "
        "for the other columns, in-process wall time."
    )
    return table


def _change_costs_us(workspaces: int, kind: str) -> tuple[float, float, float]:
    store, indexer = ConfigStore(AuditTrail(time.time)), ViewIndexer()
    items = _config_items(workspaces)
    indexer.apply(store, store.apply_snapshot(len(items) + 1, items))
    revision = len(items) + 1
    steps, rebuild, snapshot = [], [], []
    for number in range(REPEATS):
        revision += 1
        item = ConfigItem(*_CHANGED_ITEMS[kind](number % 400, revision))
        push = ConfigUpdate(revision - 1, revision, [item], newest=revision)
        started = time.perf_counter()
        changed = store.apply_push(push)
        indexer.apply(store, changed)
        steps.append(time.perf_counter() - started)
    for _ in range(5):
        started = time.perf_counter()
        build_view(store)
        rebuild.append(time.perf_counter() - started)
        revision += 1
        everything = list(store._latest.values())
        started = time.perf_counter()
        store.apply_snapshot(revision, everything)
        snapshot.append(time.perf_counter() - started)
    return tuple(statistics.median(part) * 1e6 for part in (steps, rebuild, snapshot))


def _config_items(workspaces: int) -> list[ConfigItem]:
    items = []
    for number in range(workspaces):
        items.append(_workspace(number, len(items) + 1))
        items.append(_key(number, len(items) + 1))
    start = len(items) + 1
    items += [_route(number, start + number) for number in range(400)]
    start = len(items) + 1
    items += [_instance(number, start + number) for number in range(INSTANCES)]
    return [ConfigItem(*item) for item in items]


def _workspace(number: int, revision: int) -> tuple[str, int, str]:
    path = f"teams/t{number % 400}/workspaces/w{number}"
    return path, revision, f"rate = {revision}.0\nburst = 2000.0\n"


def _key(number: int, revision: int) -> tuple[str, int, str]:
    text = f'digest = "{hash_key(str(number))}"\nworkspace = "w{number}"\n'
    return f"teams/t{number % 400}/keys/k{number}", revision, text


def _route(number: int, revision: int) -> tuple[str, int, str]:
    text = f'kind = "service"\npool = "rooms"\npath = "/t{number}"\n'
    return f"teams/t{number}/routes/r", revision, text


def _instance(number: int, revision: int) -> tuple[str, int, str]:
    text = (
        'role = "agent"\naddress = "tcp://10.0.0.1:7000"\npool = "rooms"\n'
        f'zone = "zone-{number % ZONES}"\nstage = "service"\n'
    )
    return f"platform/instances/i{number}", revision, text


_CHANGED_ITEMS = {
    "workspace": _workspace,
    "key": _key,
    "route": _route,
    "instance": _instance,
}
