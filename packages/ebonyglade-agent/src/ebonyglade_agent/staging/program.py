"""Program of the agent that sets the stage of its endpoint.

It is a module of its own, so that a start does not import the other commands.
"""

import sys

from ebonyglade_agent.staging.service import StagingAgent
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node.forward_program import run_service
from ebonyglade_node.serving import run_and_exit


def stage(path: str) -> None:
    """Run the agent with a settings file until a signal stops it."""
    run_service(path, StagingSettings, StagingAgent)


def main() -> None:
    """Run the agent; the last command-line argument is the settings file."""
    run_and_exit("ebonyglade-agent", lambda: stage(sys.argv[-1]))
