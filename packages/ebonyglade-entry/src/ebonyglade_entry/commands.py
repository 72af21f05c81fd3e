"""Command line of the entry daemon."""

import asyncio

from ebonyglade_entry.forwarding.service import Forwarding
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_entry.service import Entry
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_node import logs
from ebonyglade_node.commands import NodeCommands, run_program, serve
from ebonyglade_node.settings import load


class Commands(NodeCommands):
    """ebonyglade-entry serves callers and sends their requests to agents."""

    _settings_model = EntrySettings
    _service = Entry

    def forward(self, settings: str) -> None:
        """Run an entry that sends requests to endpoints itself.

        Args:
            settings: path of the TOML settings file.
        """
        loaded = load(settings, ForwardSettings)
        logs.configure(loaded.logs, loaded.instance.name)
        asyncio.run(serve(Forwarding(loaded, settings)))


def main() -> None:
    """Run the command line."""
    run_program("ebonyglade-entry", Commands)
