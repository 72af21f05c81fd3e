"""Command line of the agent daemon."""

from ebonyglade_agent.service import Agent
from ebonyglade_agent.settings import AgentSettings
from ebonyglade_agent.staging import program
from ebonyglade_node.commands import NodeCommands, run_program


class Commands(NodeCommands):
    """ebonyglade-agent runs requests at the endpoint beside it."""

    _settings_model = AgentSettings
    _service = Agent

    def stage(self, settings: str) -> None:
        """Run an agent that sets its endpoint's stage and grants its memory.

        Entries send the requests to the endpoint themselves.

        Args:
            settings: path of the TOML settings file.
        """
        program.stage(settings)


def main() -> None:
    """Run the command line."""
    run_program("ebonyglade-agent", Commands)
