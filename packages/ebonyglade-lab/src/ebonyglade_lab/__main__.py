"""Development command line: `python -m ebonyglade_lab`."""

import asyncio
import logging
import sys
from pathlib import Path

import fire

from ebonyglade.errors import EXIT_FAILURE, EXIT_USER_ERROR, UserError
from ebonyglade_lab import demo, deployment, operator, reference
from ebonyglade_lab.experiments.commands import ExperimentCommands
from ebonyglade_lab.fleet import KEY, FleetSize
from ebonyglade_lab.fuzz import command


class Commands(ExperimentCommands):
    """Demo, fuzzing and experiments on built-in stand-ins."""

    def demo(self) -> None:
        """Send prompts and bookings through a whole fleet and print a summary."""
        logging.basicConfig(level=logging.ERROR)
        report = asyncio.run(demo.run_demo())
        print(demo.render(report))
        if not report.passed:
            sys.exit(1)

    def fuzz(self, seeds: str = "0:20", steps: int = 1000, jobs: int = 2) -> None:
        """Run the decision code under seeded faults and check it by an oracle."""
        logging.basicConfig(level=logging.CRITICAL)
        try:
            passed = command.fuzz(seeds, steps, jobs)
        except UserError as error:
            print(error, file=sys.stderr)
            sys.exit(EXIT_USER_ERROR)
        if not passed:
            sys.exit(EXIT_FAILURE)

    def plan(self, directory: str, base_port: int = 7400) -> None:
        """Write settings for a fleet of separate processes on loopback.

        Args:
            directory: where to write the settings files.
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

    def reference(self) -> None:
        """Write docs/settings.md from the models of all settings."""
        reference.write()


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="ebonyglade_lab")


if __name__ == "__main__":
    main()
