"""Starts one of the programs that deploy/build installed."""

import os
import sys
from importlib import import_module
from pathlib import Path

APP = Path(__file__).resolve().parent.parent / "target" / "app"
PROGRAMS = {
    "entry": "ebonyglade_entry.forwarding.program",
    "agent": "ebonyglade_agent.staging.program",
}


def main() -> None:
    """Run the program that the first argument names."""
    sys.path.insert(0, str(APP))
    # The HTTP library loads all CA certificates when it is imported, which takes a
    # tenth of the start time. No program here uses TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    import_module(PROGRAMS[sys.argv[1]]).main()


if __name__ == "__main__":
    main()
