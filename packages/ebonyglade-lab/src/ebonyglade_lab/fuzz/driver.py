"""Chooses rules by a seed and runs them until a check fails."""

import gc
import random
from collections import Counter
from dataclasses import dataclass, field

from ebonyglade_lab.fuzz.faults import FAULTS
from ebonyglade_lab.fuzz.rules import LOAD, Rule
from ebonyglade_lab.fuzz.run import START_S, Run
from ebonyglade_lab.fuzz.violation import Violation
from ebonyglade_lab.virtual.loop import run as run_loop

EPOCH_STEPS = 300
CALM_EPOCHS = 0.25  # share of epochs without faults
FAULT_SHARE = 0.4  # share of the kinds of faults that an epoch has
MOST_FAULTS = 4  # at the same time
FAULTS_PER_STEP = 0.06
MEAN_STEP_S = 0.08


@dataclass(frozen=True, slots=True)
class Result:
    """How a run ended.

    Attributes:
        seed: the run's seed.
        steps: steps done.
        checksum: checksum over the trace, the same for the same seed.
        counts: outcomes of requests and rules applied.
        slowest_free: most seconds until memory of a gone request was free.
        violation: what failed; empty if nothing did.
        trace: events that matter to the violation.
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

    Every step draws from a generator of its own, and its length before anything
    that depends on the fleet's state. The schedule of a seed therefore stays the
    same when the fleet's timing changes.
    """

    def __init__(self, seed: int) -> None:
        self.run = Run(seed)
        self.applied: Counter[str] = Counter()
        self._seed = seed
        self._kinds: list[str] = []

    async def step(self, number: int) -> None:
        """Apply one rule and let some time pass."""
        rng = random.Random(f"{self._seed}/{number}")
        self.run.rng = rng
        seconds = rng.expovariate(1 / MEAN_STEP_S)
        if number % EPOCH_STEPS == 0:
            self._new_epoch(rng)
        name, rule = self._choose(rng)
        self.applied[name] += 1
        rule.apply(self.run)
        await self.run.pass_time(seconds)
        self.run.collect_garbage(number)

    def _new_epoch(self, rng: random.Random) -> None:
        calm = rng.random() < CALM_EPOCHS
        self._kinds = (
            [] if calm else [name for name in FAULTS if rng.random() < FAULT_SHARE]
        )

    def _choose(self, rng: random.Random) -> tuple[str, Rule]:
        drawn = rng.random() < FAULTS_PER_STEP
        table = LOAD
        names = list(LOAD)
        if drawn and self._kinds and self.run.faults < MOST_FAULTS:
            table, names = FAULTS, self._kinds
        weights = [table[name].weight for name in names]
        name = rng.choices(names, weights)[0]
        return name, table[name]


def run_seed(seed: int, steps: int, verbose: bool = False) -> Result:
    """Run one seed and return how it ended; `verbose` traces messages too."""
    gc.disable()
    try:
        return run_loop(_run(seed, steps, verbose))
    finally:
        gc.enable()


async def _run(seed: int, steps: int, verbose: bool) -> Result:
    driver = Driver(seed)
    driver.run.oracle.verbose = verbose
    done = 0
    violation: Exception | None = None
    try:
        await driver.run.pass_time(START_S)
        for number in range(steps):
            await driver.step(number)
            done += 1
        await driver.run.finish()
    except Exception as failure:
        violation = failure
    return _result(driver, seed, done, violation)


def _result(
    driver: Driver, seed: int, done: int, violation: Exception | None
) -> Result:
    run = driver.run
    words = violation.words if isinstance(violation, Violation) else set()
    return Result(
        seed,
        done,
        run.trace.checksum,
        run.oracle.counts + driver.applied,
        run.sweeps.slowest_free,
        f"{type(violation).__name__} {violation}" if violation else "",
        run.trace.about(words) if violation else [],
    )
