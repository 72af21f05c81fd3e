"""The program of an agent that orders its endpoint and carries no requests.

It is apart from the other commands, so that a start loads nothing else.
"""

import sys

from ebonyglade_agent.staging.service import Staging
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node.forward_program import run_service
from ebonyglade_node.serving import run_reporting


def stage(path: str) -> None:
    """Run with a settings file until a signal."""
    run_service(path, StagingSettings, Staging)


def main() -> None:
    """Run with the settings file that the last argument names."""
    run_reporting("ebonyglade-agent", lambda: stage(sys.argv[-1]))
