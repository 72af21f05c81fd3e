"""The program of an entry that sends requests to endpoints itself.

It is apart from the other commands, so that a start loads nothing else.
"""

import asyncio
import sys

from ebonyglade_entry.forwarding.service import Forwarding
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_node import logs
from ebonyglade_node.serving import run_reporting, serve
from ebonyglade_node.settings import load


def forward(settings: str) -> None:
    """Run until a signal.

    Args:
        settings: path of the TOML settings file.

    Raises:
        UserError: the settings are wrong, or an address can't be used.
    """
    loaded = load(settings, ForwardSettings)
    logs.configure(loaded.logs, loaded.instance.name)
    asyncio.run(serve(Forwarding(loaded, settings)))


def main() -> None:
    """Run with the settings file that the last argument names."""
    run_reporting("ebonyglade-entry", lambda: forward(sys.argv[-1]))
