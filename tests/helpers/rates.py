"""Entries that admit requests on the virtual clock, and an oracle of the bound."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Ok

from ebonyglade.ownership.terms import Terms
from ebonyglade_lab.virtual.world import ZONES, World

TERMS = Terms(lease_s=1.0, removal_s=1.0, seal_s=1.0, groups=4)
READY_S = 5.0
WORKSPACE = "aula/physics"
RATE = 1000.0
BURST = 2000.0


@dataclass
class Spent:
    """Every admission: when, and how much was spent in the end.

    An oracle of its own: it knows only times and tokens.
    """

    times: list[float] = field(default_factory=list)
    tokens: list[float] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    retry_after: list[float | None] = field(default_factory=list)
    waited: list[float] = field(default_factory=list)

    @property
    def total(self) -> float:
        return sum(self.tokens)

    def between(self, start: float, end: float) -> float:
        pairs = zip(self.times, self.tokens, strict=True)
        return sum(tokens for at, tokens in pairs if start <= at <= end)

    def excess(self, rate: float = RATE, burst: float = BURST) -> float:
        """Return the most by which any window exceeds rate x time + burst."""
        worst, credit, last = float("-inf"), 0.0, None
        for at, tokens in sorted(zip(self.times, self.tokens, strict=True)):
            # A bucket of unbounded depth below: how far under empty it gets.
            if last is not None:
                credit = max(0.0, credit - rate * (at - last))
            credit += tokens
            worst = max(worst, credit - burst)
            last = at
        return worst


def rate_world(
    seed: int = 1, entries: int = 4, agents: int = 5, workspaces: int = 1, strict=True
) -> World:
    """Return a world whose workspaces have `RATE` and `BURST`."""
    world = World(seed, strict, TERMS)
    names = ["physics", *(f"w{n}" for n in range(1, workspaces))]
    world.publish_team("aula", names, RATE, BURST)
    for index in range(agents):
        world.add_service(f"rooms-{index}", ZONES[index % len(ZONES)])
    for index in range(entries):
        world.add_entry(f"entry-{index}", ZONES[index % len(ZONES)])
    return world


def admit(
    world: World,
    entry: str,
    spent: Spent,
    cost: float = 50.0,
    deadline: float = 2.0,
    hold: float = 0.0,
    used: float = 1.0,
    workspace: str = WORKSPACE,
) -> asyncio.Task:
    """Let an entry admit one request; the oracle notes what it spent.

    Args:
        world: where.
        entry: at which entry.
        spent: the oracle.
        cost: tokens charged.
        deadline: seconds until which it waits.
        hold: seconds until it is settled.
        used: share of the cost that is spent in the end.
        workspace: who is charged.
    """
    node = world.nodes[entry]

    async def run() -> None:
        started = world.now()
        latest = started + deadline
        reply = await node.core.rights.acquire(workspace, cost, latest)
        if not isinstance(reply, Ok):
            spent.refused.append(reply.err_value.code)
            spent.retry_after.append(reply.err_value.retry_after)
            return
        # The moment of the decision, before a pause of the process.
        place = len(spent.times)
        spent.times.append(world.now())
        spent.tokens.append(cost * used)
        spent.waited.append(world.now() - started)
        assert place == len(spent.tokens) - 1
        await asyncio.sleep(hold)
        reply.ok_value.spend(cost * used)
        reply.ok_value.settle()

    return node.process.spawn(run())


async def load(
    world: World,
    spent: Spent,
    seconds: float,
    rate: float,
    pick: "callable",
    seed: int = 1,
    **options: object,
) -> None:
    """Send requests with random gaps, `rate` tokens a second altogether."""
    rng = random.Random(seed)
    cost = options.get("cost", 50.0)
    end = world.now() + seconds
    while world.now() < end:
        entry = pick(world, rng)
        if entry is not None:
            admit(world, entry, spent, **options)
        await asyncio.sleep(rng.expovariate(rate / cost))


def any_entry(world: World, rng: random.Random) -> str | None:
    """Pick a running entry."""
    names = [
        name
        for name, node in world.nodes.items()
        if name.startswith("entry")
        and not node.process.dead
        and not node.process.paused
    ]
    return rng.choice(names) if names else None


def one_entry(name: str):
    """Return a pick of always the same entry."""
    return lambda world, rng: name


def owner_of(world: World, workspace: str = WORKSPACE) -> str | None:
    """Return the entry that holds a workspace's group."""
    for name, node in world.nodes.items():
        ownership = node.core.ownership
        group = ownership.group_of(workspace)
        if not node.process.dead and ownership.holds(group, world.now()):
            return name
    return None
