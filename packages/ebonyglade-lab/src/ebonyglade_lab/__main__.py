"""Development command line: `python -m ebonyglade_lab`."""

import asyncio
import logging
import sys

import fire

from ebonyglade.errors import EXIT_FAILURE, EXIT_USER_ERROR, UserError
from ebonyglade_lab import demo
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


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="ebonyglade_lab")


if __name__ == "__main__":
    main()
