"""Starts one of the programs that deploy/build installed."""

import signal
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
    # Until the program handles it, SIGHUP would end the process. The program reads its
    # settings again after the start, so that a change meanwhile is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(APP))
    # No program here uses TLS. Without the module the HTTP library loads neither
    # OpenSSL nor the CA certificates, which saves memory and time at the start.
    sys.modules["ssl"] = None
    import_module(PROGRAMS[sys.argv[1]]).main()


if __name__ == "__main__":
    main()
