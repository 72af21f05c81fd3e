"""Cost of one choice of endpoints, and herding caused by late load reports."""

import heapq
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.audit import AuditTrail
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import ConfigView, build_view
from ebonyglade.placement.choice import (
    PlacementRequest,
    PlacementSnapshot,
    choose_endpoint,
    choose_pair,
)
from ebonyglade.placement.loads import AgentLoads
from ebonyglade.placement.prefixes import PrefixIndex, prompt_blocks
from ebonyglade.placement.subset import Subsets
from ebonyglade.wire.control import ConfigItem, LoadReport
from ebonyglade_lab.experiments.arrivals import RequestSizes, poisson_arrivals
from ebonyglade_lab.experiments.report import Table

POOL = "abstracts"
ZONES = 11
FLEET_SIZES = ((4, 40), (40, 400), (390, 2900))
CHOICES = 5000
LAGS_S = (0.1, 1.0, 3.0)
SLOTS = 20
MEAN_SLOT_HOLD_S = 2.6
HERD_ENTRIES = 8
HERD_ENDPOINTS = 12
HERD_LOAD = 0.85
HERD_S = 120.0
SEED = 1


def fleet_view(entries: int, endpoints: int) -> ConfigView:
    """Return a view with entries, and endpoints of both stages of one pool."""
    items = [_item(f"entry-{n}", "entry", n, "") for n in range(entries)]
    for stage in ("prefill", "decode"):
        items += [
            _item(f"{stage}-{n}", "agent", n, stage) for n in range(endpoints // 2)
        ]
    store = ConfigStore(AuditTrail(lambda: 0.0))
    store.apply_snapshot(1, items)
    return build_view(store)


def cost() -> Table:
    """Return the time that one choice takes, by size of the fleet."""
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
    for entries, endpoints in FLEET_SIZES:
        table.add(entries, endpoints, *_measure_cost(entries, endpoints))
    return table


def _measure_cost(entries: int, endpoints: int) -> tuple:
    view = fleet_view(entries, endpoints)
    snapshot = PlacementSnapshot(
        view, Subsets("entry-0"), AgentLoads(), PrefixIndex(), "zone-0"
    )
    first = _milliseconds(lambda: snapshot.subsets.of(view, POOL, "decode"))
    fewer = fleet_view(entries - 1, endpoints)
    change = _milliseconds(lambda: snapshot.subsets.of(fewer, POOL, "decode"))
    rng = random.Random(SEED)
    arrivals = poisson_arrivals(rng, 100.0, CHOICES / 100.0, RequestSizes())[:CHOICES]
    _report_loads(
        snapshot, view, [prompt_blocks(item.prompt) for item in arrivals[:500]]
    )
    times = []
    for item in arrivals:
        begin = time.perf_counter()
        ask = PlacementRequest(POOL, item.prompt_tokens, prompt_blocks(item.prompt))
        choose_pair(snapshot, ask, rng, 1.0)
        times.append((time.perf_counter() - begin) * 1e6)
    subset = len(snapshot.subsets.of(view, POOL, "decode"))
    high = statistics.quantiles(times, n=100)[98]
    return subset, statistics.median(times), high, first, change


def _report_loads(
    snapshot: PlacementSnapshot, view: ConfigView, prompts: list[tuple[int, ...]]
) -> None:
    """Report load and some cached prompts for each endpoint of the subset."""
    rng = random.Random(SEED)
    for stage in ("prefill", "decode"):
        for name in snapshot.subsets.of(view, POOL, stage):
            load = LoadReport(rng.randrange(20), 0, 20, 100, ready_in=rng.random())
            snapshot.loads.report(name, load, 0.0)
            for blocks in rng.sample(prompts, 50):
                snapshot.prefixes.apply(name, "a", 1, list(blocks), [], 0.0)


def _milliseconds(work: Callable[[], object]) -> float:
    begin = time.perf_counter()
    work()
    return (time.perf_counter() - begin) * 1e3


def _least_reported(
    simulation: "HerdingSimulation",
    snapshot: PlacementSnapshot,
    excluded: set[str],
    now: float,
) -> str | None:
    names = [name for name in simulation.reported if name not in excluded]
    return min(names, key=simulation.reported.__getitem__, default=None)


def _random(
    simulation: "HerdingSimulation",
    snapshot: PlacementSnapshot,
    excluded: set[str],
    now: float,
) -> str | None:
    names = [name for name in simulation.reported if name not in excluded]
    return simulation.rng.choice(names) if names else None


def _less_reported_of_two(
    simulation: "HerdingSimulation",
    snapshot: PlacementSnapshot,
    excluded: set[str],
    now: float,
) -> str | None:
    names = [name for name in simulation.reported if name not in excluded]
    drawn = simulation.rng.sample(names, min(2, len(names)))
    return min(drawn, key=simulation.reported.__getitem__, default=None)


def _production_choice(
    simulation: "HerdingSimulation",
    snapshot: PlacementSnapshot,
    excluded: set[str],
    now: float,
) -> str | None:
    return choose_endpoint(snapshot, POOL, "decode", excluded, simulation.rng, now)


ChoicePolicy = Callable[
    ["HerdingSimulation", PlacementSnapshot, set[str], float], str | None
]

POLICIES: dict[str, ChoicePolicy] = {
    "random": _random,
    "least reported of all": _least_reported,
    "less reported of two": _less_reported_of_two,
    "chosen": _production_choice,
}


@dataclass(slots=True)
class HerdingSimulation:
    """Entries that place requests on endpoints whose load reports arrive late.

    Attributes:
        policy: how each entry chooses an endpoint.
        lag_s: interval of the reports, and also the delay of each report.
        tries: requests sent to an endpoint, refused or not.
        refused: of these, refused because the endpoint was full.
        spread: at each report, the largest share of an endpoint's slots in use, less
            the mean over all endpoints.
        reported: slots in use as last reported, by endpoint.
        rng: random number generator of the run.
    """

    policy: ChoicePolicy
    lag_s: float
    tries: int = 0
    refused: int = 0
    spread: list[float] = field(default_factory=list)
    reported: dict[str, int] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(SEED))

    def run(self) -> None:
        """Place requests for `HERD_S` virtual seconds."""
        rng = self.rng
        view = fleet_view(HERD_ENTRIES, 2 * HERD_ENDPOINTS)
        snapshots = [_sight(view, n) for n in range(HERD_ENTRIES)]
        slots_used = dict.fromkeys(view.endpoints(POOL, "decode"), 0)
        self.reported = dict(slots_used)
        completions: list[tuple[float, int, str, PlacementSnapshot]] = []
        pending_reports: list[tuple[float, dict[str, int]]] = []
        now, report = 0.0, 0.0
        rate = HERD_LOAD * HERD_ENDPOINTS * SLOTS / MEAN_SLOT_HOLD_S
        number = 0
        while now < HERD_S:
            now += rng.expovariate(rate)
            while completions and completions[0][0] <= now:
                _, _, name, snapshot = heapq.heappop(completions)
                slots_used[name] -= 1
                snapshot.loads.ended(name)
            if now >= report:
                report += self.lag_s
                pending_reports.append((now + self.lag_s, dict(slots_used)))
                self._record_spread(slots_used)
            while pending_reports and pending_reports[0][0] <= now:
                self._report(snapshots, *pending_reports.pop(0))
            snapshot = rng.choice(snapshots)
            name = self._place(snapshot, slots_used, now)
            if name is not None:
                number += 1
                end = now + rng.gammavariate(2.0, MEAN_SLOT_HOLD_S / 2.0)
                heapq.heappush(completions, (end, number, name, snapshot))

    def _place(
        self, snapshot: PlacementSnapshot, slots_used: dict[str, int], now: float
    ) -> str | None:
        excluded: set[str] = set()
        while (name := self.policy(self, snapshot, excluded, now)) is not None:
            self.tries += 1
            if slots_used[name] < SLOTS:
                slots_used[name] += 1
                snapshot.loads.begun(name, 0)
                return name
            self.refused += 1
            excluded.add(name)
            snapshot.loads.found_full(name, MEAN_SLOT_HOLD_S / SLOTS, now)
        return None

    def _record_spread(self, slots_used: dict[str, int]) -> None:
        shares = [count / SLOTS for count in slots_used.values()]
        self.spread.append(max(shares) - statistics.fmean(shares))

    def _report(
        self, snapshots: list[PlacementSnapshot], at: float, slots_used: dict[str, int]
    ) -> None:
        self.reported = slots_used
        for name, count in slots_used.items():
            for snapshot in snapshots:
                snapshot.loads.report(name, LoadReport(count, 0, SLOTS, 0), at)


def herding() -> Table:
    """Return how often a full endpoint refuses a request, by policy and lag."""
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
    for lag_s in LAGS_S:
        for name, policy in POLICIES.items():
            simulation = HerdingSimulation(policy, lag_s)
            simulation.run()
            placed = simulation.tries - simulation.refused
            refused = 100 * simulation.refused / placed
            table.add(
                lag_s,
                name,
                f"{refused:.1f}",
                f"{statistics.fmean(simulation.spread):.3f}",
            )
    return table


def _sight(view: ConfigView, number: int) -> PlacementSnapshot:
    name = f"entry-{number}"
    return PlacementSnapshot(
        view, Subsets(name), AgentLoads(), PrefixIndex(), view.zone_of(name)
    )


def _item(name: str, role: str, number: int, stage: str) -> ConfigItem:
    pool = f'pool = "{POOL}"\nstage = "{stage}"\n' if stage else ""
    text = f'role = "{role}"\naddress = ""\nzone = "zone-{number % ZONES}"\n{pool}'
    return ConfigItem(f"platform/instances/{name}", 1, text)
