"""Runs the workloads of both deployments on the router and on baselines."""

import multiprocessing
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ebonyglade.dispatch.attempts import PairAttempts
from ebonyglade.entry import EntryCore
from ebonyglade.placement import choice
from ebonyglade.worker.fair_queue import FairQueue
from ebonyglade_lab.experiments.arrivals import Arrival, RequestSizes, poisson_arrivals
from ebonyglade_lab.experiments.fairness import FifoQueue, worst_share
from ebonyglade_lab.experiments.placement import PrefillFirst
from ebonyglade_lab.experiments.report import MEASUREMENTS, Table
from ebonyglade_lab.experiments.simulation import (
    PlacementSimulation,
    SimulationSize,
    is_on_time,
)
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import MODEL_POOL

SEEDS = (1, 2)
RUN_S = 40.0
WARM_UP_S = 8.0
DEADLINE_S = 30.0
MEAN_SLOT_HOLD_S = (
    2.54  # mean seconds for which a request of `RequestSizes` holds a slot
)
RATE_HEADROOM = 1.5  # a workspace's rate, as a multiple of what it sends on average
BURST_S = 20.0  # a workspace's burst, in seconds of its rate
PATIENT_SHARE = 0.5  # share of the requests that accept waiting


@dataclass(frozen=True, slots=True)
class Deployment:
    """One operator's fleet and its callers.

    Attributes:
        name: name of the operator.
        size: number of processes and slots; its prefill and decode engines together
            run its models.
        delay_s: one-way delay between instances.
        workspaces: share of the requests by workspace; a few are large.
        flooding: workspace that sends several times its rate at peak load.
    """

    name: str
    size: SimulationSize
    delay_s: float
    workspaces: dict[str, float]
    flooding: str


DEPLOYMENTS = (
    Deployment(
        "Aula Abierta",
        SimulationSize(entries=4, prefill=2, decode=2),
        0.001,
        {"physics": 0.4, "history": 0.3, "law": 0.15, "music": 0.1, "guests": 0.05},
        "physics",
    ),
    Deployment(
        "Pham Gia",
        SimulationSize(entries=3, prefill=1, decode=2),
        0.0005,
        {"north": 0.45, "delta": 0.3, "river": 0.1, "hill": 0.1, "mill": 0.05},
        "north",
    ),
)


@dataclass(frozen=True, slots=True)
class WorkloadPolicy:
    """The router, or one baseline.

    Attributes:
        name: name in the table.
        attempts: class that runs the attempts of a request.
        queue: class of each agent's queue.
    """

    name: str
    attempts: type[PairAttempts] = PairAttempts
    queue: type[FairQueue] = FairQueue


POLICIES = (
    WorkloadPolicy("ebonyglade"),
    WorkloadPolicy("FIFO at the agents", queue=FifoQueue),
    WorkloadPolicy("prefill first", attempts=PrefillFirst),
    WorkloadPolicy("prefill first, FIFO", attempts=PrefillFirst, queue=FifoQueue),
)
LOADS = {"usual": 0.8, "peak": 1.2}
FLOOD_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class WorkloadResult:
    """Figures of one policy, load and seed.

    Attributes:
        deployment: name of the operator.
        load: name of the load, a key of `LOADS`.
        policy: name of the policy.
        seed: seed of the run.
        goodput: share of requests that met both latency targets.
        answered: share of requests with a complete answer before the deadline.
        wasted: share of prefilled tokens whose result was not used.
        worst: smallest ratio of a workspace's served tokens to its fair share.
        wrongful: share of the requests within their rate that were refused.
        choice_us: median microseconds that a choice of endpoints takes.
    """

    deployment: str
    load: str
    policy: str
    seed: int
    goodput: float
    answered: float
    wasted: float
    worst: float
    wrongful: float
    choice_us: float


def generate_load(deployment: Deployment, load: float, seed: int) -> list[Arrival]:
    """Return the requests of all workspaces, `PATIENT_SHARE` of them patient.

    At a load above one, one large workspace sends several times its rate.
    """
    rng = random.Random(seed)
    rate = load * deployment.size.decode * deployment.size.slots / MEAN_SLOT_HOLD_S
    arrivals: list[Arrival] = []
    for workspace, share in deployment.workspaces.items():
        floods = load > 1 and workspace == deployment.flooding
        factor = FLOOD_FACTOR if floods else 1.0
        for patient, part in ((True, PATIENT_SHARE), (False, 1 - PATIENT_SHARE)):
            each = rate * share * factor * part
            arrivals += poisson_arrivals(
                rng, each, RUN_S, RequestSizes(), workspace, patient
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def measure(
    deployment: Deployment, load: str, policy: WorkloadPolicy, seed: int
) -> WorkloadResult:
    """Run one load with one policy."""
    arrivals = generate_load(deployment, LOADS[load], seed)
    rate_limits = _rate_limits(deployment)
    choice_times_s: list[float] = []
    simulation = PlacementSimulation(
        deployment.size,
        seed,
        dict.fromkeys(deployment.workspaces, 1.0),
        DEADLINE_S,
        change_entry=_entry_change_for(policy, choice_times_s),
        new_queue=policy.queue,
        rate_limits=rate_limits,
        delay_s=deployment.delay_s,
    )
    outcomes = run(simulation.run(arrivals, WARM_UP_S, RUN_S))
    measured = [
        (arrival, outcome)
        for arrival, outcome in zip(arrivals, outcomes, strict=True)
        if arrival.at >= WARM_UP_S
    ]
    within_rate = [
        outcome
        for arrival, outcome in measured
        if load != "peak" or arrival.workspace != deployment.flooding
    ]
    totals = simulation.fleet.totals
    return WorkloadResult(
        deployment.name,
        load,
        policy.name,
        seed,
        statistics.fmean(is_on_time(outcome) for _, outcome in measured),
        statistics.fmean(outcome.complete for _, outcome in measured),
        totals.wasted / max(1.0, totals.prefilled),
        worst_share(arrivals, outcomes, RUN_S),
        statistics.fmean(outcome.refusal is not None for outcome in within_rate),
        statistics.median(choice_times_s) * 1e6,
    )


def measure_all(jobs: int) -> list[WorkloadResult]:
    """Run all deployments, loads, policies and seeds, `jobs` at the same time."""
    tasks = [
        (deployment, load, policy, seed)
        for deployment in DEPLOYMENTS
        for load in LOADS
        for policy in POLICIES
        for seed in SEEDS
    ]
    with multiprocessing.Pool(jobs) as pool:
        return pool.starmap(measure, tasks, chunksize=1)


def table(rows: list[WorkloadResult]) -> Table:
    """Return a table of the means over seeds, and of the smallest worst share."""
    result = Table(
        "Workloads of both deployments",
        "python -m ebonyglade_lab workload",
        (
            "Deployment",
            "Load",
            "Policy",
            "Goodput",
            "Answered",
            "Wasted prefill",
            "Worst share",
            "Refused within rate",
            "Choice, us",
        ),
    )
    for key, group in _group_results(rows).items():
        result.add(
            *key,
            f"{_mean(group, 'goodput'):.3f}",
            f"{_mean(group, 'answered'):.3f}",
            f"{100 * _mean(group, 'wasted'):.2f}%",
            f"{min(row.worst for row in group):.3f}",
            f"{100 * _mean(group, 'wrongful'):.2f}%",
            f"{_mean(group, 'choice_us'):.0f}",
        )
    result.notes.append(
        f"Seeds {SEEDS}, {RUN_S:.0f} virtual seconds each, the first {WARM_UP_S:.0f} "
        f"not judged. Load is the share of the decode slots asked for: {LOADS}; at "
        "the peak the largest workspace also sends "
        f"{FLOOD_FACTOR:.0f} times its usual rate. Goodput is the share of requests "
        "with a first token within 0.64 s and 48 ms between tokens; half of the "
        "requests are patient, so their first token may be later by choice. "
        "Refused within rate counts the workspaces that keep to their rate. "
        "Plots: workload.png."
    )
    return result


def plot(rows: list[WorkloadResult], directory: Path = MEASUREMENTS) -> None:
    """Write the plots: a panel for each measure, a group of bars for each workload."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels = (
        ("goodput", "goodput, share"),
        ("answered", "answered whole, share"),
        ("wasted", "wasted prefill, share"),
        ("worst", "worst share of the fair share"),
        ("wrongful", "refused within rate, share"),
        ("choice_us", "choice, microseconds"),
    )
    groups = _group_results(rows)
    workloads = list(dict.fromkeys(key[:2] for key in groups))
    figure, axes = pyplot.subplots(2, 3, figsize=(15, 8))
    for axis, (name, title) in zip(axes.flat, panels, strict=True):
        for place, policy in enumerate(POLICIES):
            values = [_mean(groups[*work, policy.name], name) for work in workloads]
            at = [index + 0.2 * place for index in range(len(workloads))]
            axis.bar(at, values, width=0.18, label=policy.name)
        axis.set_title(title)
        axis.set_xticks(
            [index + 0.3 for index in range(len(workloads))],
            ["\n".join(work) for work in workloads],
        )
    axes.flat[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(directory / "workload.png", dpi=80)


def _group_results(
    rows: list[WorkloadResult],
) -> dict[tuple[str, str, str], list[WorkloadResult]]:
    groups: dict[tuple[str, str, str], list[WorkloadResult]] = {}
    for row in rows:
        groups.setdefault((row.deployment, row.load, row.policy), []).append(row)
    return groups


def _mean(group: list[WorkloadResult], name: str) -> float:
    return statistics.fmean(getattr(row, name) for row in group)


def _rate_limits(deployment: Deployment) -> dict[str, tuple[float, float]]:
    """Return rate and burst of each workspace, with headroom over its average load."""
    sample = poisson_arrivals(random.Random(0), 100.0, 20.0, RequestSizes())
    tokens = statistics.fmean(
        item.prompt_tokens + item.answer_tokens for item in sample
    )
    slots = deployment.size.decode * deployment.size.slots
    total_rate = LOADS["peak"] * slots / MEAN_SLOT_HOLD_S * tokens * RATE_HEADROOM
    return {
        name: (total_rate * share, total_rate * share * BURST_S)
        for name, share in deployment.workspaces.items()
    }


def _entry_change_for(
    policy: WorkloadPolicy, choice_times_s: list[float]
) -> Callable[[EntryCore], None]:
    """Return a function that makes an entry use a policy and time its choices."""

    def change(core: EntryCore) -> None:
        original = core.models.attempts
        core.models.attempts = policy.attempts(
            original.exchange,
            original.placement,
            original.clock,
            original.rng,
            original.new_id,
        )
        original_snapshot = core.placement.snapshot

        def snapshot() -> choice.PlacementSnapshot:
            found = original_snapshot()
            ask = choice.PlacementRequest(MODEL_POOL, 1000)
            started = time.perf_counter()
            choice.choose_pair(found, ask, random.Random(1), core.context.clock())
            choice_times_s.append(time.perf_counter() - started)
            return found

        core.placement.snapshot = snapshot

    return change
