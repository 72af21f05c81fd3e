"""Requests that are refused although their workspace is within its rate."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.token_buckets import (
    TokenRequest,
    max_overshoot,
    replay,
    replay_ideal,
)
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import ZONES, World

RATE, BURST = 1000.0, 2000.0  # tokens a second, tokens
ENTRIES, AGENTS = 6, 6
RUN_S = 30.0
FAULT_S = (10.0, 18.0)  # seconds after the start: begin and end of the fault
DEADLINE_S = 2.0
WARM_UP_S = 25.0
WORKSPACE = "aula/physics"
SEEDS = 3
LEASE_TIMES = LeaseTimes(groups=4)

EntryChooser = Callable[[float, random.Random], int]


@dataclass(frozen=True, slots=True)
class TrafficScenario:
    """One pattern of traffic and a fault.

    Attributes:
        name: name in the table.
        load: tokens requested, as a share of the rate.
        choose_entry: returns the entry that gets a request at a time.
        fault: "", "death", "partition" or "silent platform".
    """

    name: str
    load: float
    choose_entry: EntryChooser
    fault: str = ""


def _even_entry(at: float, rng: random.Random) -> int:
    return rng.randrange(ENTRIES)


def _skewed_entry(at: float, rng: random.Random) -> int:
    return 0 if rng.random() < 0.9 else rng.randrange(ENTRIES)


def _moving_entry(at: float, rng: random.Random) -> int:
    return int(at / 2) % ENTRIES


TRAFFIC_SCENARIOS = (
    TrafficScenario("even", 0.9, _even_entry),
    TrafficScenario("skewed", 0.9, _skewed_entry),
    TrafficScenario("moving", 0.9, _moving_entry),
    TrafficScenario("four times the rate", 4.0, _even_entry),
    TrafficScenario("owner dies", 0.9, _even_entry, "death"),
    TrafficScenario("partition", 0.9, _even_entry, "partition"),
    TrafficScenario("owner dies, four times the rate", 4.0, _even_entry, "death"),
    TrafficScenario("partition, four times the rate", 4.0, _even_entry, "partition"),
    TrafficScenario("silent platform", 0.9, _moving_entry, "silent platform"),
)


@dataclass(slots=True)
class RateCounts:
    """Results of one policy in one scenario.

    Attributes:
        requests: requests that count.
        within_rate: requests that the ideal bucket admits.
        wrongly_refused: of these, requests that the policy refused.
        tokens: tokens that the policy admitted.
        ideal_tokens: tokens that the ideal bucket admits.
        overshoot: most tokens by which a window exceeded rate and burst.
        waits_s: seconds that each admitted request waited.
        bytes_per_s: bytes a second of each node, summed over the runs.
        frames_per_s: messages a second of each node, summed over the runs.
    """

    requests: int = 0
    within_rate: int = 0
    wrongly_refused: int = 0
    tokens: float = 0.0
    ideal_tokens: float = 0.0
    overshoot: float = 0.0
    waits_s: list[float] = field(default_factory=list)
    bytes_per_s: float = 0.0
    frames_per_s: float = 0.0

    def add_run(self, arrivals: list[TokenRequest], admitted: dict[int, float]) -> None:
        """Add one run; `admitted` is the time of each admission, by index."""
        allowed = replay_ideal(arrivals, RATE, BURST)
        self.requests += len(arrivals)
        self.within_rate += len(allowed)
        self.wrongly_refused += sum(1 for number in allowed if number not in admitted)
        self.ideal_tokens += sum(arrivals[number].cost for number in allowed)
        self.tokens += sum(arrivals[number].cost for number in admitted)
        spent = [(at, arrivals[number].cost) for number, at in admitted.items()]
        self.overshoot = max(self.overshoot, max_overshoot(spent, RATE, BURST))
        self.waits_s += [at - arrivals[number].at for number, at in admitted.items()]


def generate_arrivals(scenario: TrafficScenario, seed: int) -> list[TokenRequest]:
    """Return the requests of a run, which are the same for each policy."""
    rng = random.Random(seed)
    found, at = [], 0.0
    while True:
        cost = rng.choice((20.0, 50.0, 80.0))
        at += rng.expovariate(scenario.load * RATE / 50.0)
        if at >= RUN_S:
            return found
        entry = scenario.choose_entry(at, rng)
        found.append(TokenRequest(len(found), at, entry, cost, at + DEADLINE_S))


def measure(seeds: int = SEEDS) -> Table:
    """Return the table of all scenarios and policies."""
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
    for scenario in TRAFFIC_SCENARIOS:
        for name, policy in POLICIES.items():
            counts = RateCounts()
            for seed in range(seeds):
                policy(scenario, seed, counts)
            _add_row(table, scenario, name, counts, seeds)
    table.notes.append(
        f"{ENTRIES} entries and {AGENTS} agents in {len(ZONES)} availability zones, "
        f"one workspace of {RATE:.0f} tokens/s with a burst of {BURST:.0f}, "
        f"{RUN_S:.0f} s, requests of 20 to 80 tokens that wait up to "
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


def _add_row(
    table: Table, scenario: TrafficScenario, name: str, counts: RateCounts, seeds: int
) -> None:
    waits_s = sorted(counts.waits_s)
    p99 = waits_s[int(0.99 * (len(waits_s) - 1))] if waits_s else 0.0
    table.add(
        scenario.name,
        name,
        counts.requests,
        counts.within_rate,
        counts.wrongly_refused,
        round(counts.tokens / counts.ideal_tokens, 3),
        round(counts.overshoot, 1),
        round(p99, 3),
        round(counts.bytes_per_s / seeds) or "-",
        round(counts.frames_per_s / seeds, 1) or "-",
    )


def _run_leased_owner(scenario: TrafficScenario, seed: int, counts: RateCounts) -> None:
    run(_simulate_leased_owner(scenario, seed, counts))


async def _simulate_leased_owner(
    scenario: TrafficScenario, seed: int, counts: RateCounts
) -> None:
    world = World(seed, lease_times=LEASE_TIMES)
    world.publish_team("aula", ["physics"], RATE, BURST)
    for index in range(AGENTS):
        world.add_service(f"rooms-{index}", ZONES[index % len(ZONES)])
    for index in range(ENTRIES):
        world.add_entry(f"entry-{index}", ZONES[index % len(ZONES)])
    await asyncio.sleep(WARM_UP_S)
    arrivals = generate_arrivals(scenario, seed)
    admitted: dict[int, float] = {}
    start = world.now()
    frames, size = world.network.frames, world.network.bytes
    faults = asyncio.ensure_future(_inject_fault(world, scenario, arrivals))
    for arrival in arrivals:
        await asyncio.sleep(start + arrival.at - world.now())
        _send_request(world, arrival, start, admitted)
    await faults
    await asyncio.sleep(DEADLINE_S + 0.1)
    nodes = (ENTRIES + AGENTS) * (world.now() - start)
    counts.frames_per_s += (world.network.frames - frames) / nodes
    counts.bytes_per_s += (world.network.bytes - size) / nodes
    counts.add_run(
        [a for a in arrivals if not a.excluded], _reindex_admitted(arrivals, admitted)
    )


def _reindex_admitted(
    arrivals: list[TokenRequest], admitted: dict[int, float]
) -> dict[int, float]:
    """Return the admissions by index among the arrivals that count."""
    kept = [arrival.number for arrival in arrivals if not arrival.excluded]
    indexes = {number: index for index, number in enumerate(kept)}
    return {indexes[n]: at for n, at in admitted.items() if n in indexes}


def _send_request(
    world: World, arrival: TokenRequest, start: float, admitted: dict[int, float]
) -> None:
    node = world.nodes[f"entry-{arrival.entry}"]
    if node.process.killed:
        arrival.excluded = True
        return

    async def acquire() -> None:
        latest = start + arrival.latest
        reply = await node.core.rate_limiter.acquire(WORKSPACE, arrival.cost, latest)
        if isinstance(reply, Ok):
            admitted[arrival.number] = world.now() - start
            reply.ok_value.spend(arrival.cost)

    node.process.spawn(acquire())


async def _inject_fault(
    world: World, scenario: TrafficScenario, arrivals: list[TokenRequest]
) -> None:
    begin, end = FAULT_S
    await asyncio.sleep(begin)
    owner = _find_owner(world)
    if scenario.fault == "death":
        world.kill(owner)
        for arrival in arrivals:
            # Requests of the last DEADLINE_S seconds may be unanswered when the entry
            # is killed, so they are not counted.
            lost = begin - DEADLINE_S <= arrival.at < begin
            arrival.excluded |= lost and f"entry-{arrival.entry}" == owner
    if scenario.fault == "partition":
        listed = world.nodes[owner].core.config.view.instances
        side = {name for name in listed if listed[name].zone == listed[owner].zone}
        rest = set(listed) - side
        world.network.faults.partitioned |= {
            frozenset((a, b)) for a in side for b in rest
        }
    if scenario.fault == "silent platform":
        world.platform.unreachable_for |= set(world.nodes)
    await asyncio.sleep(end - begin)
    if scenario.fault == "death":
        world.start(owner)
    world.network.faults.partitioned.clear()
    world.platform.unreachable_for.clear()


def _find_owner(world: World) -> str:
    for name, node in world.nodes.items():
        ownership = node.core.ownership
        if ownership.current_lease(ownership.group_of(WORKSPACE), world.now()):
            return name
    raise LookupError("no entry owns the workspace")


def _run_static_split(scenario: TrafficScenario, seed: int, counts: RateCounts) -> None:
    """Baseline: rate and burst are divided equally among all entries.

    The listed entries count, whether they run or not.
    """
    arrivals = generate_arrivals(scenario, seed)
    part = {entry: str(entry) for entry in range(ENTRIES)}
    admitted = replay(
        arrivals, lambda a: part[a.entry], lambda key: (RATE / ENTRIES, BURST / ENTRIES)
    )
    counts.add_run(arrivals, admitted)


def _run_hashed_owner(scenario: TrafficScenario, seed: int, counts: RateCounts) -> None:
    """Baseline: one owner by hash without a lease.

    An entry that can't reach the owner uses the next entry by hash as a second one.
    """
    arrivals = generate_arrivals(scenario, seed)

    def bucket(arrival: TokenRequest) -> str:
        during = FAULT_S[0] <= arrival.at < FAULT_S[1]
        if scenario.fault == "death" and during:
            return "next"
        cut_off = scenario.fault == "partition" and arrival.entry % len(ZONES) != 0
        return "next" if during and cut_off else "first"

    counts.add_run(arrivals, replay(arrivals, bucket, lambda key: (RATE, BURST)))


POLICIES: dict[str, Callable[[TrafficScenario, int, RateCounts], None]] = {
    "leased owner": _run_leased_owner,
    "static split": _run_static_split,
    "owner by hash, no lease": _run_hashed_owner,
}
