"""Admissions on the virtual clock, and a check of them against the rate limit."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Ok

from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade_lab.virtual.world import ZONES, World
from helpers.leases import violations

LEASE_TIMES = LeaseTimes(lease_s=1.0, removal_s=1.0, seal_s=1.0, groups=4)
LEASE_SETUP_S = 5.0
WORKSPACE = "aula/physics"
RATE = 1000.0
BURST = 2000.0
TOLERANCE = 0.5  # tokens


@dataclass
class AdmissionLog:
    """Records each admission: its time and the tokens spent in the end.

    Its check of the rate limit uses only these times and tokens and shares no code
    with the rate limiter under test.
    """

    times: list[float] = field(default_factory=list)
    tokens: list[float] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    retry_after: list[float | None] = field(default_factory=list)
    waited: list[float] = field(default_factory=list)

    @property
    def total(self) -> float:
        """Tokens spent by all admissions."""
        return sum(self.tokens)

    def between(self, start: float, end: float) -> float:
        """Return the tokens of the admissions from `start` to `end`, both included."""
        admissions = zip(self.times, self.tokens, strict=True)
        return sum(tokens for at, tokens in admissions if start <= at <= end)

    def excess(self, rate: float = RATE, burst: float = BURST) -> float:
        """Return the most tokens by which any window exceeds rate x time + burst."""
        worst, bucket_fill, last = float("-inf"), 0.0, None
        for at, tokens in sorted(zip(self.times, self.tokens, strict=True)):
            # Leaky bucket without a capacity: `bucket_fill` - `burst` is the largest
            # excess of all windows that end at this admission.
            if last is not None:
                bucket_fill = max(0.0, bucket_fill - rate * (at - last))
            bucket_fill += tokens
            worst = max(worst, bucket_fill - burst)
            last = at
        return worst


def rate_world(
    seed: int = 1,
    entries: int = 4,
    agents: int = 5,
    workspaces: int = 1,
    strict=True,
    lease_times: LeaseTimes = LEASE_TIMES,
) -> World:
    """Return a virtual fleet whose workspaces have the limits `RATE` and `BURST`."""
    world = World(seed, strict, lease_times)
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
    spent: AdmissionLog,
    cost: float = 50.0,
    deadline: float = 2.0,
    hold: float = 0.0,
    used: float = 1.0,
    workspace: str = WORKSPACE,
) -> asyncio.Task:
    """Start one request at an entry and record whether it is admitted.

    Args:
        world: the virtual fleet.
        entry: entry that receives the request.
        spent: record of the admissions and refusals.
        cost: tokens reserved for the request.
        deadline: longest wait for tokens, in seconds.
        hold: seconds from the admission until the reservation is settled.
        used: share of the cost that is spent in the end.
        workspace: workspace that is charged.
    """
    node = world.nodes[entry]

    async def run() -> None:
        started = world.now()
        latest = started + deadline
        reply = await node.core.rate_limiter.acquire(workspace, cost, latest)
        if not isinstance(reply, Ok):
            spent.refused.append(reply.err_value.code)
            spent.retry_after.append(reply.err_value.retry_after)
            return
        # The time of the decision; the process may be paused in the next await.
        position = len(spent.times)
        spent.times.append(world.now())
        spent.tokens.append(cost * used)
        spent.waited.append(world.now() - started)
        assert position == len(spent.tokens) - 1
        await asyncio.sleep(hold)
        reply.ok_value.spend(cost * used)
        reply.ok_value.settle()

    return node.process.spawn(run())


async def send_load(
    world: World,
    spent: AdmissionLog,
    seconds: float,
    rate: float,
    pick_entry: "callable",
    seed: int = 1,
    **options: object,
) -> None:
    """Send requests at random intervals, with a mean of `rate` tokens a second."""
    rng = random.Random(seed)
    cost = options.get("cost", 50.0)
    end = world.now() + seconds
    while world.now() < end:
        entry = pick_entry(world, rng)
        if entry is not None:
            admit(world, entry, spent, **options)
        await asyncio.sleep(rng.expovariate(rate / cost))


def pick_running_entry(world: World, rng: random.Random) -> str | None:
    """Return a random running entry, or None if there is none."""
    names = [
        name
        for name, node in world.nodes.items()
        if name.startswith("entry")
        and not node.process.killed
        and not node.process.paused
    ]
    return rng.choice(names) if names else None


def always_pick(name: str):
    """Return a function that always picks the same entry."""
    return lambda world, rng: name


def owner_of(world: World, workspace: str = WORKSPACE) -> str | None:
    """Return the entry that holds the lease on a workspace's group."""
    for name, node in world.nodes.items():
        ownership = node.core.ownership
        group = ownership.group_of(workspace)
        if not node.process.killed and ownership.current_lease(group, world.now()):
            return name
    return None


def other_entries(world, name):
    """Return all entries except one."""
    return [key for key in world.nodes if key.startswith("entry") and key != name]


async def wait_for_owner(world, full=True):
    """Wait until the workspace's group has an owner and, if `full`, a full bucket."""
    await asyncio.sleep(LEASE_SETUP_S + (BURST / RATE if full else 0.0))
    assert owner_of(world)


def assert_within_rate(spent, world):
    """Assert that the rate limit was kept and no invariant was violated."""
    assert spent.excess() <= TOLERANCE
    assert not violations(world)
