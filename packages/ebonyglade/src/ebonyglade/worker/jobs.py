"""State of one job at the endpoint."""

import asyncio
from dataclasses import dataclass, field

from ebonyglade.ports import Sender

INITIAL_CREDIT_TOKENS = 256


@dataclass(slots=True)
class Job:
    """A job at the endpoint.

    Attributes:
        holder: entry that requested it.
        task: task that runs it.
        started: whether the endpoint may have received it.
        ticket: idempotency ticket whose execution has no recorded outcome yet.
        credit: index of the token before which sending must pause.
        credit_raised: set when the credit grows.
    """

    holder: Sender
    task: asyncio.Task | None = None
    started: bool = False
    ticket: str = ""
    credit: int = INITIAL_CREDIT_TOKENS
    credit_raised: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def outlives_holder(self) -> bool:
        """Whether it goes on without its holder, to answer repeats of its ticket."""
        return self.started and bool(self.ticket)
