"""Placement: when to start a prefill, measured against its baselines."""

import multiprocessing
import random
import statistics
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec

from ebonyglade.calls import Call, StreamFailed
from ebonyglade.dispatch.attempts import PairAttempts, Progress
from ebonyglade.dispatch.binding import PLACES
from ebonyglade.dispatch.exchange import Attempt
from ebonyglade.entry import EntryCore
from ebonyglade.placement.choice import Pair, choose_pair
from ebonyglade.verdict import refuse
from ebonyglade.wire.cache import CacheChanged
from ebonyglade.wire.work import Reserve
from ebonyglade_lab.experiments.bench import Bench, Size, on_time
from ebonyglade_lab.experiments.bound import best_central
from ebonyglade_lab.experiments.loads import Arrival, Shape, poisson
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run

SEEDS = (1, 2, 3)
LOADS = (0.95, 1.0)
SECONDS = 40.0
WARM_S = 8.0


class PrefillFirst(PairAttempts):
    """Baseline: prefill at once, then look for a decode slot."""

    async def run(self, call: Call, progress: Progress) -> AsyncIterator[list[str]]:
        """Yield the rest of an answer from one pair of endpoints."""
        ask = self._ask_for(call, progress)
        sight = self.placer.sight()
        pair = choose_pair(sight, ask, self.rng, self.clock())
        if pair is None:
            raise StreamFailed(refuse("no_endpoint"))
        source = await self._prefill(call, progress, ask, pair.prefill)
        _, decode = await self._promised(call, progress, ask)
        try:
            async for tokens in self._decode(call, progress, decode, source):
                yield tokens
        finally:
            self._close(decode)


class SlotHeld(PairAttempts):
    """Baseline: hold a decode slot for the whole prefill."""

    def _reservation(self, call: Call, pair: Pair, decode: Attempt) -> Reserve:
        request = super()._reservation(call, pair, decode)
        return msgspec.structs.replace(request, lead=0.0)


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to place requests."""

    name: str
    attempts: type[PairAttempts]
    prefixes: bool = True
    places: int = PLACES


VARIANTS = (
    Variant("prefill first", PrefillFirst),
    Variant("slot held", SlotHeld),
    Variant("timed, without prefix hints", PairAttempts, prefixes=False),
    Variant("timed, at one agent only", PairAttempts, places=1),
    Variant("timed", PairAttempts),
)


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one variant, seed and load.

    Attributes:
        variant: name of the way to place requests.
        load: offered decode slots, as a share of all.
        seed: of the run.
        requests: requests in the measured part.
        goodput: share that met both targets.
        bound: share that a clairvoyant central scheduler gets on time.
        wasted: share of prefilled tokens whose result was not used.
        occupancy: mean share of decode slots in use.
        refused: share that was refused.
        cached: share of prompt tokens found in caches.
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


def load_of(seed: int, load: float, size: Size, seconds: float) -> list[Arrival]:
    """Return requests that keep a share `load` of the decode slots busy."""
    shape = Shape()
    rng = random.Random(seed)
    sample = poisson(random.Random(0), 100.0, 50.0, shape)
    hold = sum(item.length * 0.025 + item.tokens * 5e-6 for item in sample)
    hold /= len(sample)
    rate = load * size.decode * size.slots / hold
    return poisson(rng, rate, seconds, shape)


def measure(variant: Variant, load: float, seed: int, seconds: float = SECONDS) -> Row:
    """Run one variant once."""
    size = Size()
    arrivals = load_of(seed, load, size, seconds)
    bench = Bench(size, seed, {"physics": 1.0}, change_entry=_as(variant))
    outcomes = run(bench.run(arrivals, WARM_S, seconds))
    tally = bench.fleet.tally
    judged = [
        (arrival, outcome)
        for arrival, outcome in zip(arrivals, outcomes, strict=True)
        if arrival.at >= WARM_S
    ]
    good = sum(on_time(outcome) for _, outcome in judged)
    refused = sum(outcome.refusal is not None for _, outcome in judged)
    bound = best_central(arrivals, size, bench.speeds)
    best = sum(bound[index] for index, a in enumerate(arrivals) if a.at >= WARM_S)
    count = len(judged)
    return Row(
        variant.name,
        load,
        seed,
        count,
        good / count,
        best / count,
        tally.wasted / tally.prefilled,
        bench.occupancy,
        refused / count,
        tally.cached / (tally.cached + tally.prefilled),
    )


def measure_all(jobs: int) -> list[Row]:
    """Run all variants, loads and seeds, a few at the same time."""
    tasks = [(v, load, seed) for load in LOADS for v in VARIANTS for seed in SEEDS]
    with multiprocessing.Pool(jobs) as pool:
        return pool.starmap(measure, tasks, chunksize=1)


def table(rows: list[Row]) -> Table:
    """Return the means over seeds."""
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
        f"Seeds {SEEDS}, {SECONDS:.0f} virtual seconds each, the first {WARM_S:.0f} "
        "not judged. Goodput is the share of requests that met both latency "
        "targets; wasted prefill is a share of the prefilled tokens."
    )
    return result


def _cells(load: float, variant: str, group: list[Row]) -> list[str]:
    def mean(pick: Callable[[Row], float]) -> float:
        return statistics.fmean(pick(row) for row in group)

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


def _as(variant: Variant) -> Callable[[EntryCore], None]:
    """Return what makes an entry place requests in this way."""

    def change(core: EntryCore) -> None:
        timed = core.models.attempts
        core.models.attempts = variant.attempts(
            timed.exchange,
            timed.placer,
            timed.clock,
            timed.rng,
            timed.new_id,
            variant.places,
        )
        if not variant.prefixes:
            core.context.handle({CacheChanged: lambda sender, message: None})

    return change
