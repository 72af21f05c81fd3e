"""One job at the endpoint, from its start to its end."""

import asyncio
from dataclasses import dataclass, field

from ebonyglade.ports import Sender

FIRST_CREDIT_TOKENS = 256


@dataclass(slots=True)
class Job:
    """A job at the endpoint.

    Attributes:
        holder: who asked for it.
        task: runs it.
        started: whether the endpoint may have seen it.
        key: idempotency ticket whose execution has not been settled.
        credit: tokens that may be sent ahead.
        more: set when the credit grows.
    """

    holder: Sender
    task: asyncio.Task | None = None
    started: bool = False
    key: str = ""
    credit: int = FIRST_CREDIT_TOKENS
    more: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def kept(self) -> bool:
        """Whether it goes on without its holder, for repeats of its ticket."""
        return self.started and bool(self.key)
