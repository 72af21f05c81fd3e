"""Settings of an agent that sets the stage of its endpoint."""

from ebonyglade_node.forward_settings import ForwardNodeSettings
from ebonyglade_node.settings import Section


class ModelEndpointSection(Section):
    """The model endpoint beside this agent.

    Attributes:
        address: "IP:port" of its HTTP interface; empty if there is none.
        poll_ms: interval at which its state is polled.
    """

    address: str = ""
    poll_ms: int = 200


class StagingSettings(ForwardNodeSettings):
    """All sections of the agent's settings file."""

    endpoint: ModelEndpointSection
