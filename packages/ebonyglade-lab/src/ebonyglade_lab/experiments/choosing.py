"""What one choice costs, and how reports that lag make entries herd."""

import heapq
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.audit import AuditTrail
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import View, build
from ebonyglade.placement.choice import Ask, Sight, choose_endpoint, choose_pair
from ebonyglade.placement.loads import Loads
from ebonyglade.placement.prefixes import PrefixIndex, prompt_blocks
from ebonyglade.placement.subset import Subsets
from ebonyglade.wire.control import ConfigItem, Load
from ebonyglade_lab.experiments.loads import Shape, poisson
from ebonyglade_lab.experiments.report import Table

POOL = "abstracts"
ZONES = 11
SIZES = ((4, 40), (40, 400), (390, 2900))
CHOICES = 5000
LAGS_S = (0.1, 1.0, 3.0)
SLOTS = 20
HOLD_S = 2.6
HERD_ENTRIES = 8
HERD_ENDPOINTS = 12
HERD_LOAD = 0.85
HERD_S = 120.0
SEED = 1


def published(entries: int, endpoints: int) -> View:
    """Return a view of so many entries, and endpoints of one pool's two stages."""
    items = [_item(f"entry-{n}", "entry", n, "") for n in range(entries)]
    for stage in ("prefill", "decode"):
        items += [
            _item(f"{stage}-{n}", "agent", n, stage) for n in range(endpoints // 2)
        ]
    store = ConfigStore(AuditTrail(lambda: 0.0))
    store.apply_snapshot(1, items)
    return build(store)


def cost() -> Table:
    """Return the time of one choice at growing sizes of the fleet."""
    table = Table(
        "Cost of a choice",
        "python -m ebonyglade_lab choosing",
        (
            "Entries",
            "Endpoints",
            "Subset",
            "Median, us",
            "99 in 100, us",
            "First subset, ms",
            "After one change, ms",
        ),
        notes=[
            f"{CHOICES} choices of a pair with hashing of the prompt, with load "
            "reports and prefix hints of each endpoint in the subset. All endpoints "
            "are of one pool, which is the worst case for the subset."
        ],
    )
    for entries, endpoints in SIZES:
        table.add(entries, endpoints, *_cost(entries, endpoints))
    return table


def _cost(entries: int, endpoints: int) -> tuple:
    view = published(entries, endpoints)
    sight = Sight(view, Subsets("entry-0"), Loads(), PrefixIndex(), "zone-0")
    first = _milliseconds(lambda: sight.subsets.of(view, POOL, "decode"))
    fewer = published(entries - 1, endpoints)
    change = _milliseconds(lambda: sight.subsets.of(fewer, POOL, "decode"))
    rng = random.Random(SEED)
    arrivals = poisson(rng, 100.0, CHOICES / 100.0, Shape())[:CHOICES]
    _fill(sight, view, [prompt_blocks(item.prompt) for item in arrivals[:500]])
    times = []
    for item in arrivals:
        begin = time.perf_counter()
        ask = Ask(POOL, item.tokens, prompt_blocks(item.prompt))
        choose_pair(sight, ask, rng, 1.0)
        times.append((time.perf_counter() - begin) * 1e6)
    subset = len(sight.subsets.of(view, POOL, "decode"))
    high = statistics.quantiles(times, n=100)[98]
    return subset, statistics.median(times), high, first, change


def _fill(sight: Sight, view: View, prompts: list[tuple[int, ...]]) -> None:
    """Let each endpoint of the subset report load and some cached prompts."""
    rng = random.Random(SEED)
    for stage in ("prefill", "decode"):
        for name in sight.subsets.of(view, POOL, stage):
            load = Load(rng.randrange(20), 0, 20, 100, ready_in=rng.random())
            sight.loads.report(name, load, 0.0)
            for blocks in rng.sample(prompts, 50):
                sight.prefixes.apply(name, "a", 1, list(blocks), [], 0.0)


def _milliseconds(work: Callable[[], object]) -> float:
    begin = time.perf_counter()
    work()
    return (time.perf_counter() - begin) * 1e3


def _least(herd: "Herd", sight: Sight, excluded: set[str], now: float) -> str | None:
    names = [name for name in herd.reported if name not in excluded]
    return min(names, key=herd.reported.__getitem__, default=None)


def _random(herd: "Herd", sight: Sight, excluded: set[str], now: float) -> str | None:
    names = [name for name in herd.reported if name not in excluded]
    return herd.rng.choice(names) if names else None


def _two(herd: "Herd", sight: Sight, excluded: set[str], now: float) -> str | None:
    names = [name for name in herd.reported if name not in excluded]
    drawn = herd.rng.sample(names, min(2, len(names)))
    return min(drawn, key=herd.reported.__getitem__, default=None)


def _chosen(herd: "Herd", sight: Sight, excluded: set[str], now: float) -> str | None:
    return choose_endpoint(sight, POOL, "decode", excluded, herd.rng, now)


Policy = Callable[["Herd", Sight, set[str], float], str | None]

POLICIES: dict[str, Policy] = {
    "random": _random,
    "least reported of all": _least,
    "less reported of two": _two,
    "chosen": _chosen,
}


@dataclass(slots=True)
class Herd:
    """Entries that place requests on endpoints whose reports lag.

    Attributes:
        policy: how each entry chooses.
        lag: seconds between two reports, and by which each is late.
        tries: requests sent to an endpoint, refused or not.
        refused: of these, refused since the endpoint was full.
        spread: largest part of an endpoint's slots in use, less the mean.
        reported: slots in use as last reported.
        rng: randomness of the run.
    """

    policy: Policy
    lag: float
    tries: int = 0
    refused: int = 0
    spread: list[float] = field(default_factory=list)
    reported: dict[str, int] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(SEED))

    def run(self) -> None:
        """Place requests for a while."""
        rng = self.rng
        view = published(HERD_ENTRIES, 2 * HERD_ENDPOINTS)
        sights = [_sight(view, n) for n in range(HERD_ENTRIES)]
        used = dict.fromkeys(view.endpoints(POOL, "decode"), 0)
        self.reported = dict(used)
        ends: list[tuple[float, int, str, Sight]] = []
        told: list[tuple[float, dict[str, int]]] = []
        now, report = 0.0, 0.0
        rate = HERD_LOAD * HERD_ENDPOINTS * SLOTS / HOLD_S
        number = 0
        while now < HERD_S:
            now += rng.expovariate(rate)
            while ends and ends[0][0] <= now:
                _, _, name, sight = heapq.heappop(ends)
                used[name] -= 1
                sight.loads.ended(name)
            if now >= report:
                report += self.lag
                told.append((now + self.lag, dict(used)))
                self._note(used)
            while told and told[0][0] <= now:
                self._report(sights, *told.pop(0))
            sight = rng.choice(sights)
            name = self._place(sight, used, now)
            if name is not None:
                number += 1
                end = now + rng.gammavariate(2.0, HOLD_S / 2.0)
                heapq.heappush(ends, (end, number, name, sight))

    def _place(self, sight: Sight, used: dict[str, int], now: float) -> str | None:
        excluded: set[str] = set()
        while (name := self.policy(self, sight, excluded, now)) is not None:
            self.tries += 1
            if used[name] < SLOTS:
                used[name] += 1
                sight.loads.begun(name, 0)
                return name
            self.refused += 1
            excluded.add(name)
            sight.loads.found_full(name, HOLD_S / SLOTS, now)
        return None

    def _note(self, used: dict[str, int]) -> None:
        shares = [count / SLOTS for count in used.values()]
        self.spread.append(max(shares) - statistics.fmean(shares))

    def _report(self, sights: list[Sight], at: float, used: dict[str, int]) -> None:
        self.reported = used
        for name, count in used.items():
            for sight in sights:
                sight.loads.report(name, Load(count, 0, SLOTS, 0), at)


def herding() -> Table:
    """Return how often entries meet a full endpoint, by policy and lag."""
    table = Table(
        "Herding under lagging load reports",
        "python -m ebonyglade_lab choosing",
        ("Lag, s", "Policy", "Refused tries for 100 requests", "Spread of slots"),
        notes=[
            f"{HERD_ENTRIES} entries, {HERD_ENDPOINTS} endpoints with {SLOTS} slots, "
            f"load {HERD_LOAD}, seed {SEED}. Endpoints report each lag, and a report "
            "arrives one lag later. A full endpoint refuses at once and the entry "
            "tries another. Spread is the fullest endpoint's share of slots in use, "
            "less the mean of all."
        ],
    )
    for lag in LAGS_S:
        for name, policy in POLICIES.items():
            herd = Herd(policy, lag)
            herd.run()
            placed = herd.tries - herd.refused
            refused = 100 * herd.refused / placed
            table.add(
                lag,
                name,
                f"{refused:.1f}",
                f"{statistics.fmean(herd.spread):.3f}",
            )
    return table


def _sight(view: View, number: int) -> Sight:
    name = f"entry-{number}"
    return Sight(view, Subsets(name), Loads(), PrefixIndex(), view.zone_of(name))


def _item(name: str, role: str, number: int, stage: str) -> ConfigItem:
    pool = f'pool = "{POOL}"\nstage = "{stage}"\n' if stage else ""
    text = f'role = "{role}"\naddress = ""\nzone = "zone-{number % ZONES}"\n{pool}'
    return ConfigItem(f"platform/instances/{name}", 1, text)
