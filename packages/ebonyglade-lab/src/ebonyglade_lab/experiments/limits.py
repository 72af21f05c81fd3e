"""Requests refused although their workspace was within its rate."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from ebonyglade.ownership.terms import Terms
from ebonyglade_lab.experiments.buckets import Arrival, ideal, overshoot, replay
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import ZONES, World

RATE, BURST = 1000.0, 2000.0  # tokens a second, tokens
ENTRIES, AGENTS = 6, 6
SPAN_S = 30.0
FAULT_S = (10.0, 18.0)  # begin and end of the fault
DEADLINE_S = 2.0
START_S = 25.0
WORKSPACE = "aula/physics"
SEEDS = 3
TERMS = Terms(groups=4)

Pick = Callable[[float, random.Random], int]


@dataclass(frozen=True, slots=True)
class Scene:
    """One pattern of traffic and a fault.

    Attributes:
        name: its name in the table.
        load: tokens asked for, as a share of the rate.
        pick: which entry gets a request at a time.
        fault: "", "death", "partition" or "silent platform".
    """

    name: str
    load: float
    pick: Pick
    fault: str = ""


def _even(at: float, rng: random.Random) -> int:
    return rng.randrange(ENTRIES)


def _skewed(at: float, rng: random.Random) -> int:
    return 0 if rng.random() < 0.9 else rng.randrange(ENTRIES)


def _moving(at: float, rng: random.Random) -> int:
    return int(at / 2) % ENTRIES


SCENES = (
    Scene("even", 0.9, _even),
    Scene("skewed", 0.9, _skewed),
    Scene("moving", 0.9, _moving),
    Scene("four times the rate", 4.0, _even),
    Scene("owner dies", 0.9, _even, "death"),
    Scene("partition", 0.9, _even, "partition"),
    Scene("owner dies, four times the rate", 4.0, _even, "death"),
    Scene("partition, four times the rate", 4.0, _even, "partition"),
    Scene("silent platform", 0.9, _moving, "silent platform"),
)


@dataclass(slots=True)
class Counts:
    """What one policy did with the arrivals of a scene."""

    requests: int = 0
    within: int = 0
    wrongful: int = 0
    tokens: float = 0.0
    ideal_tokens: float = 0.0
    overshoot: float = 0.0
    waits: list[float] = field(default_factory=list)
    bytes_s: float = 0.0
    frames_s: float = 0.0

    def take(self, arrivals: list[Arrival], admitted: dict[int, float]) -> None:
        """Count one run; `admitted` has the time of each admission."""
        allowed = ideal(arrivals, RATE, BURST)
        self.requests += len(arrivals)
        self.within += len(allowed)
        self.wrongful += sum(1 for number in allowed if number not in admitted)
        self.ideal_tokens += sum(arrivals[number].cost for number in allowed)
        self.tokens += sum(arrivals[number].cost for number in admitted)
        spent = [(at, arrivals[number].cost) for number, at in admitted.items()]
        self.overshoot = max(self.overshoot, overshoot(spent, RATE, BURST))
        self.waits += [at - arrivals[number].at for number, at in admitted.items()]


def arrivals_of(scene: Scene, seed: int) -> list[Arrival]:
    """Return the same requests for each policy."""
    rng = random.Random(seed)
    found, at = [], 0.0
    while True:
        cost = rng.choice((20.0, 50.0, 80.0))
        at += rng.expovariate(scene.load * RATE / 50.0)
        if at >= SPAN_S:
            return found
        entry = scene.pick(at, rng)
        found.append(Arrival(len(found), at, entry, cost, at + DEADLINE_S))


def measure(seeds: int = SEEDS) -> Table:
    """Return the table of all scenes and policies."""
    table = Table(
        "Wrongful refusals",
        f"python -m ebonyglade_lab limits --seeds {seeds}",
        (
            "Scene",
            "Policy",
            "Requests",
            "Within the rate",
            "Refused wrongly",
            "Tokens of ideal",
            "Overshoot, tokens",
            "Wait p99, s",
            "Bytes/s a node",
            "Frames/s a node",
        ),
    )
    for scene in SCENES:
        for name, policy in POLICIES.items():
            counts = Counts()
            for seed in range(seeds):
                policy(scene, seed, counts)
            _add(table, scene, name, counts, seeds)
    table.notes.append(
        f"{ENTRIES} entries and {AGENTS} agents in {len(ZONES)} availability zones, "
        f"one workspace of {RATE:.0f} tokens/s with a burst of {BURST:.0f}, "
        f"{SPAN_S:.0f} s, requests of 20 to 80 tokens that wait up to "
        f"{DEADLINE_S:.0f} s; faults from {FAULT_S[0]:.0f} to {FAULT_S[1]:.0f} s. "
        "Within the rate is what one ideal bucket with the same waiting admits; "
        "above the rate, other requests than those may get the same tokens. "
        "Overshoot is the most by which any window exceeds rate x time + burst."
    )
    table.notes.append(
        "Requests that arrive at the dead entry are left out. Bytes and frames "
        "hold all messages between processes, heartbeats included."
    )
    return table


def _add(table: Table, scene: Scene, name: str, counts: Counts, seeds: int) -> None:
    waits = sorted(counts.waits)
    p99 = waits[int(0.99 * (len(waits) - 1))] if waits else 0.0
    table.add(
        scene.name,
        name,
        counts.requests,
        counts.within,
        counts.wrongful,
        round(counts.tokens / counts.ideal_tokens, 3),
        round(counts.overshoot, 1),
        round(p99, 3),
        round(counts.bytes_s / seeds) or "-",
        round(counts.frames_s / seeds, 1) or "-",
    )


def _leased(scene: Scene, seed: int, counts: Counts) -> None:
    run(_run_leased(scene, seed, counts))


async def _run_leased(scene: Scene, seed: int, counts: Counts) -> None:
    world = World(seed, terms=TERMS)
    world.publish_team("aula", ["physics"], RATE, BURST)
    for index in range(AGENTS):
        world.add_service(f"rooms-{index}", ZONES[index % len(ZONES)])
    for index in range(ENTRIES):
        world.add_entry(f"entry-{index}", ZONES[index % len(ZONES)])
    await asyncio.sleep(START_S)
    arrivals = arrivals_of(scene, seed)
    admitted: dict[int, float] = {}
    start = world.now()
    frames, size = world.network.frames, world.network.bytes
    faults = asyncio.ensure_future(_cause(world, scene, arrivals))
    for arrival in arrivals:
        await asyncio.sleep(start + arrival.at - world.now())
        _send(world, arrival, start, admitted)
    await faults
    await asyncio.sleep(DEADLINE_S + 0.1)
    nodes = (ENTRIES + AGENTS) * (world.now() - start)
    counts.frames_s += (world.network.frames - frames) / nodes
    counts.bytes_s += (world.network.bytes - size) / nodes
    counts.take([a for a in arrivals if not a.left_out], _kept(arrivals, admitted))


def _kept(arrivals: list[Arrival], admitted: dict[int, float]) -> dict[int, float]:
    """Return the admissions by place among the arrivals that count."""
    kept = [arrival.number for arrival in arrivals if not arrival.left_out]
    places = {number: place for place, number in enumerate(kept)}
    return {places[n]: at for n, at in admitted.items() if n in places}


def _send(
    world: World, arrival: Arrival, start: float, admitted: dict[int, float]
) -> None:
    node = world.nodes[f"entry-{arrival.entry}"]
    if node.process.dead:
        arrival.left_out = True
        return

    async def ask() -> None:
        latest = start + arrival.latest
        reply = await node.core.rights.acquire(WORKSPACE, arrival.cost, latest)
        if isinstance(reply, Ok):
            admitted[arrival.number] = world.now() - start
            reply.ok_value.spend(arrival.cost)

    node.process.spawn(ask())


async def _cause(world: World, scene: Scene, arrivals: list[Arrival]) -> None:
    begin, end = FAULT_S
    await asyncio.sleep(begin)
    owner = _owner(world)
    if scene.fault == "death":
        world.kill(owner)
        for arrival in arrivals:
            # What had not been answered when the entry died is lost with it.
            lost = begin - DEADLINE_S <= arrival.at < begin
            arrival.left_out |= lost and f"entry-{arrival.entry}" == owner
    if scene.fault == "partition":
        listed = world.nodes[owner].core.config.view.instances
        side = {name for name in listed if listed[name].zone == listed[owner].zone}
        rest = set(listed) - side
        world.network.faults.cut |= {frozenset((a, b)) for a in side for b in rest}
    if scene.fault == "silent platform":
        world.platform.silent |= set(world.nodes)
    await asyncio.sleep(end - begin)
    if scene.fault == "death":
        world.start(owner)
    world.network.faults.cut.clear()
    world.platform.silent.clear()


def _owner(world: World) -> str:
    for name, node in world.nodes.items():
        ownership = node.core.ownership
        if ownership.holds(ownership.group_of(WORKSPACE), world.now()):
            return name
    raise LookupError("no entry owns the workspace")


def _split(scene: Scene, seed: int, counts: Counts) -> None:
    """Each entry has its part of rate and burst, by the listed instances."""
    arrivals = arrivals_of(scene, seed)
    part = {entry: str(entry) for entry in range(ENTRIES)}
    admitted = replay(
        arrivals, lambda a: part[a.entry], lambda key: (RATE / ENTRIES, BURST / ENTRIES)
    )
    counts.take(arrivals, admitted)


def _hashed(scene: Scene, seed: int, counts: Counts) -> None:
    """One owner by hash and no lease: who can't reach it takes the next."""
    arrivals = arrivals_of(scene, seed)

    def bucket(arrival: Arrival) -> str:
        during = FAULT_S[0] <= arrival.at < FAULT_S[1]
        if scene.fault == "death" and during:
            return "next"
        apart = scene.fault == "partition" and arrival.entry % len(ZONES) != 0
        return "next" if during and apart else "first"

    counts.take(arrivals, replay(arrivals, bucket, lambda key: (RATE, BURST)))


POLICIES: dict[str, Callable[[Scene, int, Counts], None]] = {
    "leased owner": _leased,
    "static split": _split,
    "owner by hash, no lease": _hashed,
}
