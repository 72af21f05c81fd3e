"""Compares placement, which times the start of each prefill, with baselines."""

import multiprocessing
import random
import statistics
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec

from ebonyglade.calls import Call, StreamFailed
from ebonyglade.dispatch.attempts import AnswerProgress, PairAttempts
from ebonyglade.dispatch.binding import MAX_QUEUED_AGENTS
from ebonyglade.dispatch.exchange import Attempt
from ebonyglade.entry import EntryCore
from ebonyglade.placement.choice import Pair, choose_pair
from ebonyglade.verdict import refuse
from ebonyglade.wire.cache import CacheChanged
from ebonyglade.wire.work import Reserve
from ebonyglade_lab.experiments.arrivals import Arrival, RequestSizes, poisson_arrivals
from ebonyglade_lab.experiments.central_scheduler import best_central_schedule
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.simulation import (
    PlacementSimulation,
    SimulationSize,
    is_on_time,
)
from ebonyglade_lab.virtual.loop import run

SEEDS = (1, 2, 3)
LOADS = (0.95, 1.0)
RUN_S = 40.0
WARM_UP_S = 8.0


class PrefillFirst(PairAttempts):
    """Baseline: start the prefill at once, then reserve a decode slot."""

    async def run(
        self, call: Call, progress: AnswerProgress
    ) -> AsyncIterator[list[str]]:
        """Yield the rest of an answer from one pair of endpoints."""
        ask = self._placement_request(call, progress)
        snapshot = self.placement.snapshot()
        pair = choose_pair(snapshot, ask, self.rng, self.clock())
        if pair is None:
            raise StreamFailed(refuse("no_endpoint"))
        source = await self._prefill(call, progress, ask, pair.prefill)
        _, decode = await self._reserve_pair(call, progress, ask)
        try:
            async for tokens in self._decode(call, progress, decode, source):
                yield tokens
        finally:
            self._close(decode)


class SlotHeldDuringPrefill(PairAttempts):
    """Baseline: hold a decode slot during the whole prefill."""

    def _reservation(self, call: Call, pair: Pair, decode: Attempt) -> Reserve:
        request = super()._reservation(call, pair, decode)
        return msgspec.structs.replace(request, lead=0.0)


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to place requests.

    Attributes:
        name: name in the table.
        attempts: class that runs the attempts of a request.
        prefixes: whether entries use hints on cached prefixes.
        places: number of agents at which a request is queued at the same time.
    """

    name: str
    attempts: type[PairAttempts]
    prefixes: bool = True
    places: int = MAX_QUEUED_AGENTS


VARIANTS = (
    Variant("prefill first", PrefillFirst),
    Variant("slot held", SlotHeldDuringPrefill),
    Variant("timed, without prefix hints", PairAttempts, prefixes=False),
    Variant("timed, at one agent only", PairAttempts, places=1),
    Variant("timed", PairAttempts),
)


@dataclass(frozen=True, slots=True)
class PlacementResult:
    """Figures of one variant, seed and load.

    Attributes:
        variant: name of the variant.
        load: decode slots that the load keeps busy, as a share of all.
        seed: seed of the run.
        requests: requests in the measured part of the run.
        goodput: share of requests that met both latency targets.
        bound: share of requests on time under a clairvoyant central scheduler.
        wasted: share of prefilled tokens whose result was not used.
        occupancy: mean share of decode slots in use.
        refused: share of requests that were refused.
        cached: share of prompt tokens that were found in caches.
    """

    variant: str
    load: float
    seed: int
    requests: int
    goodput: float
    bound: float
    wasted: float
    occupancy: float
    refused: float
    cached: float


def generate_load(
    seed: int, load: float, size: SimulationSize, seconds: float
) -> list[Arrival]:
    """Return requests that keep a share `load` of the decode slots busy."""
    sizes = RequestSizes()
    rng = random.Random(seed)
    sample = poisson_arrivals(random.Random(0), 100.0, 50.0, sizes)
    mean_hold_s = sum(
        item.answer_tokens * 0.025 + item.prompt_tokens * 5e-6 for item in sample
    )
    mean_hold_s /= len(sample)
    rate = load * size.decode * size.slots / mean_hold_s
    return poisson_arrivals(rng, rate, seconds, sizes)


def measure(
    variant: Variant, load: float, seed: int, seconds: float = RUN_S
) -> PlacementResult:
    """Run one load with one variant."""
    size = SimulationSize()
    arrivals = generate_load(seed, load, size, seconds)
    simulation = PlacementSimulation(
        size, seed, {"physics": 1.0}, change_entry=_entry_change_for(variant)
    )
    outcomes = run(simulation.run(arrivals, WARM_UP_S, seconds))
    totals = simulation.fleet.totals
    measured = [
        (arrival, outcome)
        for arrival, outcome in zip(arrivals, outcomes, strict=True)
        if arrival.at >= WARM_UP_S
    ]
    good = sum(is_on_time(outcome) for _, outcome in measured)
    refused = sum(outcome.refusal is not None for _, outcome in measured)
    bound = best_central_schedule(arrivals, size, simulation.parameters)
    best = sum(bound[index] for index, a in enumerate(arrivals) if a.at >= WARM_UP_S)
    count = len(measured)
    return PlacementResult(
        variant.name,
        load,
        seed,
        count,
        good / count,
        best / count,
        totals.wasted / totals.prefilled,
        simulation.occupancy,
        refused / count,
        totals.cached / (totals.cached + totals.prefilled),
    )


def measure_all(jobs: int) -> list[PlacementResult]:
    """Run all variants, loads and seeds, `jobs` at the same time."""
    tasks = [(v, load, seed) for load in LOADS for v in VARIANTS for seed in SEEDS]
    with multiprocessing.Pool(jobs) as pool:
        return pool.starmap(measure, tasks, chunksize=1)


def table(rows: list[PlacementResult]) -> Table:
    """Return a table of the means over seeds."""
    result = Table(
        "Placement: when to start a prefill",
        "python -m ebonyglade_lab placement",
        (
            "Offered load",
            "Variant",
            "Goodput",
            "Central bound",
            "Goodput / bound, mean",
            "worst seed",
            "Wasted prefill",
            "Slots in use",
            "Refused",
            "Cached",
        ),
    )
    for load, variant in dict.fromkeys((row.load, row.variant) for row in rows):
        group = [row for row in rows if (row.load, row.variant) == (load, variant)]
        result.add(*_cells(load, variant, group))
    result.notes.append(
        f"Seeds {SEEDS}, {RUN_S:.0f} virtual seconds each, the first {WARM_UP_S:.0f} "
        "not judged. Goodput is the share of requests that met both latency "
        "targets; wasted prefill is a share of the prefilled tokens."
    )
    return result


def _cells(load: float, variant: str, group: list[PlacementResult]) -> list[str]:
    def mean(value_of: Callable[[PlacementResult], float]) -> float:
        return statistics.fmean(value_of(row) for row in group)

    return [
        f"{load:.2f}",
        variant,
        f"{mean(lambda row: row.goodput):.3f}",
        f"{mean(lambda row: row.bound):.3f}",
        f"{mean(lambda row: row.goodput / row.bound):.3f}",
        f"{min(row.goodput / row.bound for row in group):.3f}",
        f"{100 * mean(lambda row: row.wasted):.2f}%",
        f"{mean(lambda row: row.occupancy):.3f}",
        f"{100 * mean(lambda row: row.refused):.2f}%",
        f"{100 * mean(lambda row: row.cached):.1f}%",
    ]


def _entry_change_for(variant: Variant) -> Callable[[EntryCore], None]:
    """Return a function that makes an entry use a variant."""

    def change(core: EntryCore) -> None:
        original = core.models.attempts
        core.models.attempts = variant.attempts(
            original.exchange,
            original.placement,
            original.clock,
            original.rng,
            original.new_id,
            variant.places,
        )
        if not variant.prefixes:
            core.context.handle({CacheChanged: lambda sender, message: None})

    return change
