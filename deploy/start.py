"""Starts one of the programs from a checkout."""

import sys
from importlib import import_module
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAMS = {"entry": "ebonyglade_entry", "agent": "ebonyglade_agent"}


def main() -> None:
    """Run the program that the first argument names."""
    for source in (*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"):
        sys.path.insert(0, str(source))
    program = PROGRAMS[sys.argv.pop(1)]
    import_module(f"{program}.commands").main()


if __name__ == "__main__":
    main()
