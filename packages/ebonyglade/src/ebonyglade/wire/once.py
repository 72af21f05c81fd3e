"""Messages about idempotency tickets."""

from ebonyglade.wire.base import Message


class TicketRequest(Message, frozen=True, tag="TicketAsk"):
    """Asks an agent for an idempotency ticket for one call of a route."""

    attempt: str
    workspace: str
    route: str


class TicketIssued(Message, frozen=True, tag="TicketGiven"):
    """A new ticket, which only the sender accepts, for `term` seconds."""

    attempt: str
    ticket: str
    term: float


class TicketStatusRequest(Message, frozen=True, tag="Recall"):
    """Asks the agent that issued a ticket for the outcome of its call.

    The answer is `TicketNotStarted` as long as nothing was started, `ServiceResponse`
    with the first response, or `Failed`.

    Attributes:
        attempt: id of the attempt.
        workspace: workspace that asks.
        ticket: the ticket.
        digest: digest of the request that came with the ticket.
        give_up: whether to close the ticket if nothing was started under it.
    """

    attempt: str
    workspace: str
    ticket: str
    digest: str
    give_up: bool = False


class TicketNotStarted(Message, frozen=True, tag="Recalled"):
    """Nothing has been started under the ticket so far."""

    attempt: str


MESSAGES = (TicketRequest, TicketIssued, TicketStatusRequest, TicketNotStarted)
