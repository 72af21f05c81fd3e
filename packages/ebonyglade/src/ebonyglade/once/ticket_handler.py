"""Handles an agent's messages about tickets."""

from collections.abc import Callable

from result import Ok, Result

from ebonyglade.once.ticket import request_digest
from ebonyglade.once.ticket_store import TICKET_LIFETIME_S, TicketStore
from ebonyglade.ports import Clock, Sender, ServiceReply, Transport
from ebonyglade.verdict import Refusal
from ebonyglade.wire.base import Message
from ebonyglade.wire.once import (
    TicketIssued,
    TicketNotStarted,
    TicketRequest,
    TicketStatusRequest,
)
from ebonyglade.wire.work import Failed, ServiceRequest, ServiceResponse

TicketOutcome = Result[ServiceReply | None, Refusal]


class TicketHandler:
    """Issues tickets, and answers repeats from the stored outcome.

    A repeat that arrives during the execution is answered twice: with
    `in_progress` at once, and with the answer when the execution ends.
    """

    def __init__(self, book: TicketStore, transport: Transport, clock: Clock) -> None:
        self._store = book
        self._transport = transport
        self._clock = clock
        self._waiters: dict[str, set[tuple[str, str]]] = {}
        self.handlers: dict[type[Message], Callable[[Sender, Message], None]] = {
            TicketRequest: self._on_ask,
            TicketStatusRequest: self._on_recall,
        }

    def tick(self, now: float) -> None:
        """Remove expired records."""
        self._store.expire(now)

    def answer_repeat(self, sender: Sender, message: ServiceRequest) -> bool:
        """Answer a request whose ticket was used before; return whether it was."""
        if not message.key:
            return False
        digest = request_digest(message.method, message.path, message.body)
        outcome = self._store.lookup(
            message.key, message.workspace, digest, self._clock()
        )
        if outcome == Ok(None):
            return False
        self._answer(sender, message.attempt, message.key, outcome)
        return True

    def claim(self, message: ServiceRequest) -> bool:
        """Claim the ticket's only execution, right before the request is sent."""
        if not message.key:
            return True
        digest = request_digest(message.method, message.path, message.body)
        now = self._clock()
        return self._store.claim(message.key, message.workspace, digest, now) == Ok(
            None
        )

    def finish(self, key: str, answer: ServiceReply) -> None:
        """Store an answer and send it to the repeats that wait for it."""
        if not key:
            return
        self._store.finish(key, answer)
        for instance, attempt in sorted(self._waiters.pop(key, ())):
            self._transport.send(instance, _served(attempt, answer))

    def fail(self, key: str, ran: bool) -> None:
        """Record that the execution failed, and whether it may have run."""
        if not key:
            return
        self._store.fail(key, ran)
        # Entries with waiting repeats ask again and get the new outcome then.
        self._waiters.pop(key, None)

    def _on_ask(self, sender: Sender, message: TicketRequest) -> None:
        text = self._store.issue(message.route, message.workspace, self._clock())
        reply = TicketIssued(message.attempt, text, TICKET_LIFETIME_S)
        self._transport.send(sender.instance, reply)

    def _on_recall(self, sender: Sender, message: TicketStatusRequest) -> None:
        query = self._store.void if message.give_up else self._store.lookup
        outcome = query(
            message.ticket, message.workspace, message.digest, self._clock()
        )
        if outcome == Ok(None):
            self._transport.send(sender.instance, TicketNotStarted(message.attempt))
            return
        self._answer(sender, message.attempt, message.ticket, outcome)

    def _answer(
        self, sender: Sender, attempt: str, key: str, outcome: TicketOutcome
    ) -> None:
        if isinstance(outcome, Ok):
            self._transport.send(sender.instance, _served(attempt, outcome.ok_value))
            return
        refusal = outcome.err_value
        if refusal.code == "in_progress":
            self._waiters.setdefault(key, set()).add((sender.instance, attempt))
        failed = Failed(
            attempt,
            refusal.code,
            refusal.verdict.value,
            refusal.message,
            refusal.retry_after,
        )
        self._transport.send(sender.instance, failed)


def _served(attempt: str, answer: ServiceReply) -> ServiceResponse:
    return ServiceResponse(attempt, answer.status, answer.headers, answer.body)
