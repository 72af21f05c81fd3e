"""Development command line: `python -m ebonyglade_lab`."""

import asyncio
import logging
import sys

import fire

from ebonyglade_lab import demo


class Commands:
    """Demo, loads and experiments on built-in stand-ins."""

    def demo(self) -> None:
        """Run the main job end to end and print a summary."""
        logging.basicConfig(level=logging.ERROR)
        report = asyncio.run(demo.run_demo())
        print(demo.render(report))
        if not report.good:
            sys.exit(1)


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="ebonyglade_lab")


if __name__ == "__main__":
    main()
