"""Sub-commands that run an experiment, print its table and record it."""

import logging

from ebonyglade_lab.experiments import (
    charging,
    choosing,
    configuration,
    fairness,
    idle,
    large_fleets,
    limits,
    memory,
    once,
    placement,
    poison,
    retries,
    workload,
)
from ebonyglade_lab.experiments.capacity import page
from ebonyglade_lab.experiments.report import Table


class ExperimentCommands:
    """Experiments; each records its table under docs/measurements if asked."""

    def memory(self) -> None:
        """Print how soon engine memory is free after each fault."""
        _disable_logs()
        print(memory.report())

    def charging(self, seeds: int = charging.SEEDS, record: bool = False) -> None:
        """Compare charging the longest answer in advance with charging in steps.

        Args:
            seeds: runs for each way of charging.
            record: write docs/measurements/charging.md.
        """
        _disable_logs()
        _print_and_record(charging.measure(seeds), "charging", record)

    def limits(self, seeds: int = limits.SEEDS, record: bool = False) -> None:
        """Measure wrongful refusals, and tokens admitted above rate and burst.

        Args:
            seeds: runs for each policy and scenario.
            record: write docs/measurements/rates.md.
        """
        _disable_logs()
        _print_and_record(limits.measure(seeds), "rates", record)

    def once(self, seeds: int = once.SEEDS, record: bool = False) -> None:
        """Measure how often a repeated booking is executed under faults.

        Args:
            seeds: runs for each policy.
            record: write docs/measurements/at-most-once.md.
        """
        _disable_logs()
        _print_and_record(once.measure(seeds), "at-most-once", record)

    def retries(self, seeds: int = retries.SEEDS, record: bool = False) -> None:
        """Measure what entries send while endpoints fail.

        Args:
            seeds: runs for each policy and fault.
            record: write docs/measurements/retries.md.
        """
        _disable_logs()
        _print_and_record(retries.measure(seeds), "retries", record)

    def poison(self, seeds: int = poison.SEEDS, record: bool = False) -> None:
        """Measure the endpoints lost to requests that crash them.

        Args:
            seeds: runs for each policy.
            record: write docs/measurements/poison.md.
        """
        _disable_logs()
        _print_and_record(poison.measure(seeds), "poison", record)

    def workload(self, jobs: int = 4, record: bool = True) -> None:
        """Run the workloads of both deployments, and plot them.

        Args:
            jobs: runs at the same time.
            record: write docs/measurements/workload.md and workload.png.
        """
        _disable_logs()
        rows = workload.measure_all(jobs)
        _print_and_record(workload.table(rows), "workload", record)
        if record:
            workload.plot(rows)

    def placement(self, jobs: int = 3, record: bool = True) -> None:
        """Compare ways to place requests, with their goodput and waste.

        Args:
            jobs: runs at the same time.
            record: write docs/measurements/placement.md.
        """
        _disable_logs()
        _print_and_record(
            placement.table(placement.measure_all(jobs)), "placement", record
        )

    def fairness(self, jobs: int = 3, record: bool = True) -> None:
        """Compare fair queues with FIFO while one workspace floods.

        Args:
            jobs: runs at the same time.
            record: write docs/measurements/fairness.md.
        """
        _disable_logs()
        _print_and_record(
            fairness.table(fairness.measure_all(jobs)), "fairness", record
        )

    def choosing(self, record: bool = True) -> None:
        """Measure herding under lagging reports and what a choice costs.

        Args:
            record: write docs/measurements/herding.md and choice-cost.md.
        """
        _print_and_record(choosing.herding(), "herding", record)
        _print_and_record(choosing.cost(), "choice-cost", record)

    def configuration(self, record: bool = True) -> None:
        """Measure how a change spreads and what it costs, by size of fleet.

        Args:
            record: write docs/measurements/configuration-*.md.
        """
        _print_and_record(configuration.spread_table(), "configuration-spread", record)
        _print_and_record(configuration.cost_table(), "configuration-cost", record)

    def idle(self, seconds: float = 30.0, record: bool = True) -> None:
        """Measure memory, processor time and control bytes of idle daemons.

        Args:
            seconds: how long to measure.
            record: write docs/measurements/idle.md.
        """
        _print_and_record(idle.run(seconds), "idle", record)

    def large_fleets(self, record: bool = True) -> None:
        """Measure what idle forwarding entries send, by size of the fleet.

        Args:
            record: write docs/measurements/large-fleets.md.
        """
        _disable_logs()
        _print_and_record(large_fleets.measure(), "large-fleets", record)

    def capacity(self) -> None:
        """Measure slopes and write docs/CAPACITY.md."""
        _disable_logs()
        print(page.write())


def _disable_logs() -> None:
    """Disable the logs of faults that experiments cause on purpose."""
    logging.disable(logging.ERROR)


def _print_and_record(table: Table, name: str, record: bool) -> None:
    print(table.markdown())
    if record:
        table.record(name)
