"""Messages about idempotency tickets."""

from ebonyglade.wire.base import Message


class TicketAsk(Message, frozen=True):
    """Asks an agent for an idempotency ticket for one call of a route."""

    attempt: str
    workspace: str
    route: str


class TicketGiven(Message, frozen=True):
    """A new ticket that only the sender accepts, for `term` seconds."""

    attempt: str
    ticket: str
    term: float


class Recall(Message, frozen=True):
    """Asks a ticket's owner what became of the ticket.

    The answer is `Recalled` while nothing was started, `Served` with the first
    answer, or `Failed`.

    Attributes:
        attempt: id of the attempt.
        workspace: who asks.
        ticket: the ticket.
        digest: digest of the request that came with the ticket.
        give_up: whether a ticket that was not started is to be closed.
    """

    attempt: str
    workspace: str
    ticket: str
    digest: str
    give_up: bool = False


class Recalled(Message, frozen=True):
    """Nothing was started under the ticket so far."""

    attempt: str


MESSAGES = (TicketAsk, TicketGiven, Recall, Recalled)
