"""Command line of the entry daemon."""

from ebonyglade_entry.service import Entry
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_node.commands import NodeCommands, run_program


class Commands(NodeCommands):
    """ebonyglade-entry serves callers and sends their requests to agents."""

    _settings_model = EntrySettings
    _service = Entry


def main() -> None:
    """Run the command line."""
    run_program("ebonyglade-entry", Commands)
