"""Command line of the agent daemon."""

import asyncio

from ebonyglade_agent.service import Agent
from ebonyglade_agent.settings import AgentSettings
from ebonyglade_agent.staging.service import Staging
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node import logs
from ebonyglade_node.commands import NodeCommands, run_program, serve
from ebonyglade_node.settings import load


class Commands(NodeCommands):
    """ebonyglade-agent runs requests at the endpoint beside it."""

    _settings_model = AgentSettings
    _service = Agent

    def stage(self, settings: str) -> None:
        """Run an agent that orders its endpoint and carries no requests.

        Args:
            settings: path of the TOML settings file.
        """
        loaded = load(settings, StagingSettings)
        logs.configure(loaded.logs, loaded.instance.name)
        asyncio.run(serve(Staging(loaded, settings)))


def main() -> None:
    """Run the command line."""
    run_program("ebonyglade-agent", Commands)
