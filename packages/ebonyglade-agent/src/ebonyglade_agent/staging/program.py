"""The program of an agent that orders its endpoint and carries no requests.

It is apart from the other commands, so that a start loads nothing else.
"""

import asyncio
import sys

from ebonyglade_agent.staging.service import Staging
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node import logs
from ebonyglade_node.serving import run_reporting, serve
from ebonyglade_node.settings import load


def stage(settings: str) -> None:
    """Run until a signal.

    Args:
        settings: path of the TOML settings file.

    Raises:
        UserError: the settings are wrong, or an address can't be used.
    """
    loaded = load(settings, StagingSettings)
    logs.configure(loaded.logs, loaded.instance.name)
    asyncio.run(serve(Staging(loaded, settings)))


def main() -> None:
    """Run with the settings file that the last argument names."""
    run_reporting("ebonyglade-agent", lambda: stage(sys.argv[-1]))
