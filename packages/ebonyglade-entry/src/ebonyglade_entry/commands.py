"""Command line of the entry daemon."""

from ebonyglade_entry.forwarding import program
from ebonyglade_entry.service import Entry
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_node.commands import NodeCommands, run_program


class Commands(NodeCommands):
    """ebonyglade-entry serves callers and sends their requests to agents."""

    _settings_model = EntrySettings
    _service = Entry

    def forward(self, settings: str) -> None:
        """Run an entry that sends requests directly to endpoints, not through agents.

        Args:
            settings: path of the TOML settings file.
        """
        program.forward(settings)


def main() -> None:
    """Run the command line."""
    run_program("ebonyglade-entry", Commands)
