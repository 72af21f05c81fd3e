"""Fair shares: one workspace sends ten times its rate, measured against FIFO."""

import multiprocessing
import random
from collections import Counter
from dataclasses import dataclass

from ebonyglade.worker.fair import FairQueue, Waiting
from ebonyglade_lab.experiments.bench import SETTLE_S, Bench, Size, on_time
from ebonyglade_lab.experiments.loads import Arrival, Shape, poisson
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import Outcome

SEEDS = (1, 2, 3)
SECONDS = 40.0
WARM_S = 8.0
DEADLINE_S = 30.0
FLOOD = "flood"
SMALL = ("physics", "history", "biology", "music")
FLOOD_FACTOR = 10.0
PATIENT_SHARE = 0.3
SIZE = Size(entries=3, prefill=2, decode=2)
HOLD_S = 2.54  # mean seconds for which a request of `Shape` holds a slot
LOADS = (0.7, 0.9, 1.2)


class FifoQueue(FairQueue):
    """Baseline: work starts in order of arrival, and the newest is dropped."""

    def add(self, item: Waiting) -> Waiting | None:
        """Queue work behind all other work, as if of one workspace."""
        item.workspace = ""
        item.weight = 1.0
        item.patient = False
        return super().add(item)

    def settle(self, workspace: str, charged: float, used: float) -> None:
        """Arrival alone counts, so nothing is corrected."""


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one queue, seed and load.

    Attributes:
        queue: "fair" or "fifo".
        load: rate of each small workspace, as a share of a fifth of all slots.
        seed: of the run.
        worst: smallest served share of a workspace's fair share.
        on_time: share of the small workspaces' interactive requests on time.
        dropped: patient requests of small workspaces that were refused.
        patient: patient requests of small workspaces.
        late: refusals of small workspaces' reads after more than a second.
        occupancy: mean share of decode slots in use.
    """

    queue: str
    load: float
    seed: int
    worst: float
    on_time: float
    dropped: int
    patient: int
    late: int
    occupancy: float


def load_of(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return the requests of all workspaces; one sends ten times its rate."""
    rng = random.Random(seed)
    share = SIZE.decode * SIZE.slots / HOLD_S / (len(SMALL) + 1)
    arrivals: list[Arrival] = []
    for workspace in (*SMALL, FLOOD):
        factor = FLOOD_FACTOR if workspace == FLOOD else 1.0
        for patient, part in ((True, PATIENT_SHARE), (False, 1.0 - PATIENT_SHARE)):
            rate = load * share * factor * part
            arrivals += poisson(rng, rate, seconds, Shape(), workspace, patient)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def measure(queue: str, load: float, seed: int, seconds: float = SECONDS) -> Row:
    """Run one queue once."""
    arrivals = load_of(seed, load, seconds)
    weights = dict.fromkeys((*SMALL, FLOOD), 1.0)
    bench = Bench(SIZE, seed, weights, DEADLINE_S, new_queue=_QUEUES[queue])
    outcomes = run(bench.run(arrivals, WARM_S, seconds))
    judged = [
        (arrival, outcome)
        for arrival, outcome in zip(arrivals, outcomes, strict=True)
        if arrival.at >= WARM_S
    ]
    small = [pair for pair in judged if pair[0].workspace != FLOOD]
    reads = [outcome for arrival, outcome in small if not arrival.patient]
    patient = [outcome for arrival, outcome in small if arrival.patient]
    return Row(
        queue,
        load,
        seed,
        worst_share(arrivals, outcomes, seconds),
        sum(map(on_time, reads)) / len(reads),
        sum(not outcome.whole for outcome in patient),
        len(patient),
        sum(_late_refusal(outcome) for outcome in reads),
        bench.occupancy,
    )


def worst_share(
    arrivals: list[Arrival], outcomes: list[Outcome], seconds: float
) -> float:
    """Return the smallest ratio of served tokens to the fair share of them.

    The fair share is the max-min share of all tokens whose answers began while
    the load lasted: nobody gets more than it asked for, and what is left is split
    evenly.
    """
    asked: Counter = Counter()
    served: Counter = Counter()
    for arrival, outcome in zip(arrivals, outcomes, strict=True):
        tokens = arrival.tokens + arrival.length
        began = outcome.first - SETTLE_S
        if WARM_S <= arrival.at < seconds:
            asked[arrival.workspace] += tokens
        if outcome.whole and WARM_S <= began < seconds:
            served[arrival.workspace] += tokens
    fair = max_min(dict(asked), sum(served.values()))
    return min(served[name] / fair[name] for name in fair)


def max_min(asked: dict[str, float], capacity: float) -> dict[str, float]:
    """Return each one's max-min fair share of a capacity."""
    shares: dict[str, float] = {}
    left = capacity
    for count, name in enumerate(sorted(asked, key=asked.__getitem__)):
        shares[name] = min(asked[name], left / (len(asked) - count))
        left -= shares[name]
    return shares


def measure_all(jobs: int) -> list[Row]:
    """Run both queues with all loads and seeds, a few at the same time."""
    tasks = [(q, load, seed) for load in LOADS for q in _QUEUES for seed in SEEDS]
    with multiprocessing.Pool(jobs) as pool:
        return pool.starmap(measure, tasks, chunksize=1)


def table(rows: list[Row]) -> Table:
    """Return one line for each run."""
    result = Table(
        "Fair shares while one workspace sends ten times its rate",
        "python -m ebonyglade_lab fairness",
        (
            "Rate / fair share",
            "Queue",
            "Seed",
            "Worst share",
            "Reads on time",
            "Patient refused",
            "Patient sent",
            "Late refusals",
            "Slots in use",
        ),
    )
    for row in rows:
        result.add(
            f"{row.load:.2f}",
            row.queue,
            row.seed,
            f"{row.worst:.3f}",
            f"{row.on_time:.3f}",
            row.dropped,
            row.patient,
            row.late,
            f"{row.occupancy:.3f}",
        )
    result.notes.append(
        f"{len(SMALL)} workspaces send at the rate given, as a share of a fifth of "
        "all slots, and one at ten times that rate. Worst share is the smallest ratio "
        "of served tokens to the max-min fair share over all workspaces. Reads, "
        "patient and late count the workspaces that keep their rate."
    )
    return result


def _late_refusal(outcome: Outcome) -> bool:
    return outcome.refusal is not None and outcome.ended - outcome.started > 1.0


_QUEUES: dict[str, type[FairQueue]] = {"fifo": FifoQueue, "fair": FairQueue}
