"""Settings of an agent that gives orders and carries no requests."""

from ebonyglade_node.forward_settings import ForwardNodeSettings
from ebonyglade_node.settings import Section


class KeptSection(Section):
    """The model endpoint beside this agent.

    Attributes:
        address: "IP:port" of its HTTP interface; empty if there is none.
        poll_ms: time between two reads of its state.
    """

    address: str = ""
    poll_ms: int = 200


class StagingSettings(ForwardNodeSettings):
    """All sections of the agent's settings file."""

    endpoint: KeptSection
