"""Development command line: `python -m ebonyglade_lab`."""

import asyncio
import logging
import sys
from pathlib import Path

import fire

from ebonyglade.errors import EXIT_FAILURE, EXIT_USER_ERROR, UserError
from ebonyglade_lab import demo, deployment, operator, reference
from ebonyglade_lab.experiments import (
    charging,
    choosing,
    configuration,
    fairness,
    idle,
    limits,
    memory,
    once,
    placement,
    poison,
    retries,
    workload,
)
from ebonyglade_lab.experiments.capacity import page
from ebonyglade_lab.fleet import KEY, FleetSize
from ebonyglade_lab.fuzz import command


class Commands:
    """Demo, loads and experiments on built-in stand-ins."""

    def demo(self) -> None:
        """Run the main job end to end and print a summary."""
        logging.basicConfig(level=logging.ERROR)
        report = asyncio.run(demo.run_demo())
        print(demo.render(report))
        if not report.good:
            sys.exit(1)

    def memory(self) -> None:
        """Print how soon engine memory is free after each fault."""
        logging.basicConfig(level=logging.CRITICAL)
        print(memory.report())

    def fuzz(self, seeds: str = "0:20", steps: int = 1000, jobs: int = 2) -> None:
        """Run the decisions under seeded faults and judge them by an oracle."""
        logging.basicConfig(level=logging.CRITICAL)
        try:
            good = command.fuzz(seeds, steps, jobs)
        except UserError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_USER_ERROR)
        if not good:
            sys.exit(EXIT_FAILURE)

    def charging(self, seeds: int = charging.SEEDS, record: bool = False) -> None:
        """Measure two ways of charging answers to a workspace's rate.

        Args:
            seeds: runs for each way.
            record: write docs/measurements/charging.md.
        """
        logging.disable(logging.ERROR)
        result = charging.measure(seeds)
        print(result.markdown())
        if record:
            result.record("charging")

    def limits(self, seeds: int = limits.SEEDS, record: bool = False) -> None:
        """Measure wrongful refusals and the bound of workspaces' rates.

        Args:
            seeds: runs for each policy and scene.
            record: write docs/measurements/rates.md.
        """
        logging.disable(logging.ERROR)
        result = limits.measure(seeds)
        print(result.markdown())
        if record:
            result.record("rates")

    def once(self, seeds: int = once.SEEDS, record: bool = False) -> None:
        """Measure how often a repeated booking is executed under faults.

        Args:
            seeds: runs for each policy.
            record: write docs/measurements/at-most-once.md.
        """
        logging.disable(logging.ERROR)
        result = once.measure(seeds)
        print(result.markdown())
        if record:
            result.record("at-most-once")

    def retries(self, seeds: int = retries.SEEDS, record: bool = False) -> None:
        """Measure what entries send while endpoints fail.

        Args:
            seeds: runs for each policy and fault.
            record: write docs/measurements/retries.md.
        """
        logging.disable(logging.ERROR)
        result = retries.measure(seeds)
        print(result.markdown())
        if record:
            result.record("retries")

    def workload(self, jobs: int = 4) -> None:
        """Run the workloads of both deployments, and plot them.

        Args:
            jobs: runs at the same time.
        """
        rows = workload.measure_all(jobs)
        table = workload.table(rows)
        table.record("workload")
        workload.plot(rows)
        print(table.markdown())

    def capacity(self) -> None:
        """Measure slopes and write docs/CAPACITY.md."""
        logging.disable(logging.ERROR)
        print(page.write())

    def poison(self, seeds: int = poison.SEEDS, record: bool = False) -> None:
        """Measure the endpoints lost to requests that crash them.

        Args:
            seeds: runs for each policy.
            record: write docs/measurements/poison.md.
        """
        logging.disable(logging.ERROR)
        result = poison.measure(seeds)
        print(result.markdown())
        if record:
            result.record("poison")

    def plan(self, directory: str, base_port: int = 7400) -> None:
        """Write settings for a fleet of separate processes on loopback.

        Args:
            directory: where the settings files go.
            base_port: first of the ports to use.
        """
        plan = deployment.make_plan(FleetSize(), base_port)
        deployment.write_plan(plan, Path(directory))
        print(f"python -m ebonyglade_lab standins {directory}")
        for item in plan.instances:
            program = f"ebonyglade-{item.role}"
            print(f"{program} run --settings {directory}/{item.name}.toml")

    def standins(self, directory: str) -> None:
        """Run the stand-ins of a planned fleet until interrupted.

        Args:
            directory: where `plan` wrote the settings files.
        """
        plan = deployment.read_plan(Path(directory))
        asyncio.run(deployment.run_standins(plan))

    def publish(self, directory: str, path: str, file: str) -> None:
        """Publish a TOML file on the platform's stand-in.

        Args:
            directory: where `plan` wrote the settings files.
            path: configuration path, such as teams/aula/workspaces/physics.
            file: the document.
        """
        plan = deployment.read_plan(Path(directory))
        operator.publish(plan, path, Path(file).read_bytes())

    def remove(self, directory: str, path: str) -> None:
        """Remove a path from the platform's stand-in.

        Args:
            directory: where `plan` wrote the settings files.
            path: configuration path.
        """
        operator.remove(deployment.read_plan(Path(directory)), path)

    def ask(self, directory: str, prompt: str, key: str = KEY) -> None:
        """Send one prompt to the first entry and print the answer.

        Args:
            directory: where `plan` wrote the settings files.
            prompt: the prompt.
            key: the caller's key.
        """
        print(operator.ask(deployment.read_plan(Path(directory)), prompt, key))

    def idle(self, seconds: float = 30.0) -> None:
        """Measure memory, processor time and control bytes of idle daemons.

        Args:
            seconds: how long to measure.
        """
        table = idle.run(seconds)
        table.record("idle")
        print(table.markdown())

    def placement(self, jobs: int = 3) -> None:
        """Compare ways to place requests, with their goodput and waste.

        Args:
            jobs: runs at the same time.
        """
        table = placement.table(placement.measure_all(jobs))
        table.record("placement")
        print(table.markdown())

    def fairness(self, jobs: int = 3) -> None:
        """Compare fair queues with FIFO while one workspace floods.

        Args:
            jobs: runs at the same time.
        """
        table = fairness.table(fairness.measure_all(jobs))
        table.record("fairness")
        print(table.markdown())

    def choosing(self) -> None:
        """Measure herding under lagging reports and what a choice costs."""
        for name, table in (
            ("herding", choosing.herding()),
            ("choice-cost", choosing.cost()),
        ):
            table.record(name)
            print(table.markdown())

    def configuration(self) -> None:
        """Measure how a change spreads and what it costs, by size of fleet."""
        for name, table in (
            ("configuration-spread", configuration.spread_table()),
            ("configuration-cost", configuration.cost_table()),
        ):
            table.record(name)
            print(table.markdown())

    def reference(self) -> None:
        """Write docs/settings.md from the models of all settings."""
        reference.write()


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="ebonyglade_lab")


if __name__ == "__main__":
    main()
