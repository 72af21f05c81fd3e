"""The program of an entry that sends requests to endpoints itself.

It is apart from the other commands, so that a start loads nothing else.
"""

import sys

from ebonyglade_entry.forwarding.service import Forwarding
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_node.forward_program import run_service
from ebonyglade_node.serving import run_reporting


def forward(path: str) -> None:
    """Run with a settings file until a signal."""
    run_service(path, ForwardSettings, Forwarding)


def main() -> None:
    """Run with the settings file that the last argument names."""
    run_reporting("ebonyglade-entry", lambda: forward(sys.argv[-1]))
