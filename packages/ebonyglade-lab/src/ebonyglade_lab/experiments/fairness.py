"""Fair queueing compared with FIFO while one workspace sends ten times its rate."""

import multiprocessing
import random
from collections import Counter
from dataclasses import dataclass

from ebonyglade.worker.fair_queue import FairQueue, QueueItem
from ebonyglade_lab.experiments.arrivals import Arrival, RequestSizes, poisson_arrivals
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.simulation import (
    SETTLE_S,
    PlacementSimulation,
    SimulationSize,
    is_on_time,
)
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import Outcome

SEEDS = (1, 2, 3)
RUN_S = 40.0
WARM_UP_S = 8.0
DEADLINE_S = 30.0
FLOODING_WORKSPACE = "flood"
SMALL_WORKSPACES = ("physics", "history", "biology", "music")
FLOOD_FACTOR = 10.0
PATIENT_SHARE = 0.3
SIZE = SimulationSize(entries=3, prefill=2, decode=2)
MEAN_SLOT_HOLD_S = (
    2.54  # mean seconds for which a request of `RequestSizes` holds a slot
)
LOADS = (0.7, 0.9, 1.2)


class FifoQueue(FairQueue):
    """Baseline: work starts in order of arrival; when full, the newest is dropped."""

    def add(self, item: QueueItem) -> QueueItem | None:
        """Queue work behind all other work, as if one workspace sent it all."""
        item.workspace = ""
        item.weight = 1.0
        item.patient = False
        return super().add(item)

    def settle(self, workspace: str, charged: float, used: float) -> None:
        """Do nothing, since only the order of arrival counts."""


@dataclass(frozen=True, slots=True)
class FairnessResult:
    """Figures of one queue, seed and load.

    Attributes:
        queue: "fair" or "fifo".
        load: rate of each small workspace, as a share of a fifth of all slots.
        seed: seed of the run.
        worst_share: smallest ratio of a workspace's served tokens to its fair share.
        on_time: share of the small workspaces' interactive requests on time.
        patient_refused: patient requests of small workspaces without a complete answer.
        patient_sent: patient requests of small workspaces.
        late_refusals: interactive requests of small workspaces that were refused
            after more than a second.
        occupancy: mean share of decode slots in use.
        wasted_prefill: share of prefilled tokens whose result was not used.
    """

    queue: str
    load: float
    seed: int
    worst_share: float
    on_time: float
    patient_refused: int
    patient_sent: int
    late_refusals: int
    occupancy: float
    wasted_prefill: float


def generate_load(seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return the requests of all workspaces, one of which sends ten times its rate."""
    rng = random.Random(seed)
    share = SIZE.decode * SIZE.slots / MEAN_SLOT_HOLD_S / (len(SMALL_WORKSPACES) + 1)
    arrivals: list[Arrival] = []
    for workspace in (*SMALL_WORKSPACES, FLOODING_WORKSPACE):
        factor = FLOOD_FACTOR if workspace == FLOODING_WORKSPACE else 1.0
        for patient, part in ((True, PATIENT_SHARE), (False, 1.0 - PATIENT_SHARE)):
            rate = load * share * factor * part
            arrivals += poisson_arrivals(
                rng, rate, seconds, RequestSizes(), workspace, patient
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def measure(
    queue: str, load: float, seed: int, seconds: float = RUN_S
) -> FairnessResult:
    """Run one load with one queue."""
    arrivals = generate_load(seed, load, seconds)
    weights = dict.fromkeys((*SMALL_WORKSPACES, FLOODING_WORKSPACE), 1.0)
    simulation = PlacementSimulation(
        SIZE, seed, weights, DEADLINE_S, new_queue=_QUEUES[queue]
    )
    outcomes = run(simulation.run(arrivals, WARM_UP_S, seconds))
    measured = [
        (arrival, outcome)
        for arrival, outcome in zip(arrivals, outcomes, strict=True)
        if arrival.at >= WARM_UP_S
    ]
    small = [pair for pair in measured if pair[0].workspace != FLOODING_WORKSPACE]
    interactive = [outcome for arrival, outcome in small if not arrival.patient]
    patient = [outcome for arrival, outcome in small if arrival.patient]
    return FairnessResult(
        queue,
        load,
        seed,
        worst_share(arrivals, outcomes, seconds),
        sum(map(is_on_time, interactive)) / len(interactive),
        sum(not outcome.complete for outcome in patient),
        len(patient),
        sum(_late_refusal(outcome) for outcome in interactive),
        simulation.occupancy,
        simulation.fleet.totals.wasted / simulation.fleet.totals.prefilled,
    )


def worst_share(
    arrivals: list[Arrival], outcomes: list[Outcome], seconds: float
) -> float:
    """Return the smallest ratio of a workspace's served tokens to its fair share.

    The fair share is the max-min share of all tokens whose answers began during
    the measured time: no workspace gets more than it requested, and the rest is
    split evenly.
    """
    asked: Counter = Counter()
    served: Counter = Counter()
    for arrival, outcome in zip(arrivals, outcomes, strict=True):
        tokens = arrival.prompt_tokens + arrival.answer_tokens
        began = outcome.first_token_at - SETTLE_S
        if WARM_UP_S <= arrival.at < seconds:
            asked[arrival.workspace] += tokens
        if outcome.complete and WARM_UP_S <= began < seconds:
            served[arrival.workspace] += tokens
    fair = max_min_shares(dict(asked), sum(served.values()))
    return min(served[name] / fair[name] for name in fair)


def max_min_shares(asked: dict[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair share of a capacity for each requester."""
    shares: dict[str, float] = {}
    left = capacity
    for count, name in enumerate(sorted(asked, key=asked.__getitem__)):
        shares[name] = min(asked[name], left / (len(asked) - count))
        left -= shares[name]
    return shares


def measure_all(jobs: int) -> list[FairnessResult]:
    """Run both queues with all loads and seeds, `jobs` at the same time."""
    tasks = [(q, load, seed) for load in LOADS for q in _QUEUES for seed in SEEDS]
    with multiprocessing.Pool(jobs) as pool:
        return pool.starmap(measure, tasks, chunksize=1)


def table(rows: list[FairnessResult]) -> Table:
    """Return a table with one row for each run."""
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
            "Wasted prefill",
        ),
    )
    for row in rows:
        result.add(
            f"{row.load:.2f}",
            row.queue,
            row.seed,
            f"{row.worst_share:.3f}",
            f"{row.on_time:.3f}",
            row.patient_refused,
            row.patient_sent,
            row.late_refusals,
            f"{row.occupancy:.3f}",
            f"{100 * row.wasted_prefill:.2f}%",
        )
    result.notes.append(
        f"{len(SMALL_WORKSPACES)} workspaces send at the rate given, as a share of a "
        "fifth of all slots, and one at ten times that rate. Worst share is the "
        "smallest ratio of served tokens to the max-min fair share over all "
        "workspaces. Reads, patient and late count the workspaces that keep their rate."
    )
    return result


def _late_refusal(outcome: Outcome) -> bool:
    return outcome.refusal is not None and outcome.ended_at - outcome.sent_at > 1.0


_QUEUES: dict[str, type[FairQueue]] = {"fifo": FifoQueue, "fair": FairQueue}
