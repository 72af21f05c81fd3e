"""Chooses rules by a seed and applies them until a check fails."""

import gc
import random
from collections import Counter
from dataclasses import dataclass, field

from ebonyglade_lab.fuzz.faults import FAULT_RULES
from ebonyglade_lab.fuzz.rules import LOAD_RULES, Rule
from ebonyglade_lab.fuzz.run import START_S, Run
from ebonyglade_lab.fuzz.violation import Violation
from ebonyglade_lab.virtual.loop import run as run_loop

EPOCH_STEPS = 300
FAULT_FREE_EPOCH_SHARE = 0.25  # share of epochs without faults
FAULT_KIND_SHARE = 0.4  # share of the kinds of faults that an epoch uses
MAX_ACTIVE_FAULTS = 4
FAULT_PROBABILITY = 0.06  # probability that a step begins a fault
MEAN_STEP_S = 0.08


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run.

    Attributes:
        seed: the run's seed.
        steps: completed steps.
        checksum: checksum over the trace, the same for the same seed.
        counts: number of requests by outcome, and of applications by rule.
        slowest_free: longest time, in seconds, for which an engine held the memory of
            a finished request.
        violation: the failed check or exception; empty if there was none.
        trace: events that concern the violation.
    """

    seed: int
    steps: int
    checksum: int
    counts: Counter = field(default_factory=Counter)
    slowest_free: float = 0.0
    violation: str = ""
    trace: list[str] = field(default_factory=list)


class Driver:
    """Applies rules to a run; each epoch has its own mixture of faults.

    Every step uses a random generator of its own. The duration of the step is drawn
    first, before any draw that depends on the fleet's state. The schedule of a seed
    therefore stays the same when the fleet's timing changes.
    """

    def __init__(self, seed: int) -> None:
        self.run = Run(seed)
        self.rule_counts: Counter[str] = Counter()
        self._seed = seed
        self._fault_kinds: list[str] = []

    async def step(self, number: int) -> None:
        """Apply one rule and let virtual time pass."""
        rng = random.Random(f"{self._seed}/{number}")
        self.run.rng = rng
        seconds = rng.expovariate(1 / MEAN_STEP_S)
        if number % EPOCH_STEPS == 0:
            self._start_epoch(rng)
        name, rule = self._choose(rng)
        self.rule_counts[name] += 1
        rule.apply(self.run)
        await self.run.pass_time(seconds)
        self.run.run_periodic_work(number)

    def _start_epoch(self, rng: random.Random) -> None:
        fault_free = rng.random() < FAULT_FREE_EPOCH_SHARE
        self._fault_kinds = (
            []
            if fault_free
            else [name for name in FAULT_RULES if rng.random() < FAULT_KIND_SHARE]
        )

    def _choose(self, rng: random.Random) -> tuple[str, Rule]:
        draw_fault = rng.random() < FAULT_PROBABILITY
        rules = LOAD_RULES
        names = list(LOAD_RULES)
        if (
            draw_fault
            and self._fault_kinds
            and self.run.active_fault_count < MAX_ACTIVE_FAULTS
        ):
            rules, names = FAULT_RULES, self._fault_kinds
        weights = [rules[name].weight for name in names]
        name = rng.choices(names, weights)[0]
        return name, rules[name]


def run_seed(seed: int, steps: int, verbose: bool = False) -> Result:
    """Run one seed and return the result; `verbose` also traces messages."""
    gc.disable()
    try:
        return run_loop(_run(seed, steps, verbose))
    finally:
        gc.enable()


async def _run(seed: int, steps: int, verbose: bool) -> Result:
    driver = Driver(seed)
    driver.run.oracle.verbose = verbose
    steps_done = 0
    violation: Exception | None = None
    try:
        await driver.run.pass_time(START_S)
        for number in range(steps):
            await driver.step(number)
            steps_done += 1
        await driver.run.finish()
    except Exception as failure:
        violation = failure
    return _result(driver, seed, steps_done, violation)


def _result(
    driver: Driver, seed: int, steps_done: int, violation: Exception | None
) -> Result:
    run = driver.run
    subjects = violation.subjects if isinstance(violation, Violation) else set()
    return Result(
        seed,
        steps_done,
        run.trace.checksum,
        run.oracle.counts + driver.rule_counts,
        run.state_checks.slowest_free,
        f"{type(violation).__name__} {violation}" if violation else "",
        run.trace.events_about(subjects) if violation else [],
    )
