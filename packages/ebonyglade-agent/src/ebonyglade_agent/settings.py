"""Settings of an agent process."""

from typing import Literal

from pydantic import Field

from ebonyglade_node.settings import NodeSettings, Section


class EndpointSection(Section):
    """The endpoint beside this agent.

    Attributes:
        kind: "engine" for a model engine, "service" for a plain service.
        url: base address of its HTTP interface.
        slots: maximum number of concurrent jobs.
        pieces: number of KV-cache blocks that the engine holds.
        prefill_slots: maximum number of concurrent prefills.
        lease_s: seconds until the lease of a slot expires without renewal.
        resumes: whether the engine can continue a response from given tokens.
        drain_s: seconds that a shutdown waits for active jobs.
        leave_s: seconds that a shutdown waits for entries to notice it.
    """

    kind: Literal["engine", "service"]
    url: str
    slots: int = Field(default=20, gt=0)
    pieces: int = Field(default=400, gt=0)
    prefill_slots: int = Field(default=1, gt=0)
    lease_s: float = Field(default=3.0, gt=0)
    resumes: bool = True
    drain_s: float = Field(default=120.0, gt=0)
    leave_s: float = Field(default=2.0, ge=0)


class AgentSettings(NodeSettings):
    """All sections of an agent's settings file."""

    endpoint: EndpointSection
