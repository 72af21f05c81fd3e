"""Program of the entry that forwards requests directly to endpoints.

It is a module of its own, so that a start does not import the other commands.
"""

import sys

from ebonyglade_entry.forwarding.service import ForwardingEntry
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_node.forward_program import run_service
from ebonyglade_node.serving import run_and_exit


def forward(path: str) -> None:
    """Run the entry with a settings file until a signal stops it."""
    run_service(path, ForwardSettings, ForwardingEntry)


def main() -> None:
    """Run the entry; the last command-line argument is the settings file."""
    run_and_exit("ebonyglade-entry", lambda: forward(sys.argv[-1]))
