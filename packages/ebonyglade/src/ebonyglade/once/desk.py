"""The agent's answers about tickets."""

from collections.abc import Callable

from result import Ok, Result

from ebonyglade.once.book import START_WITHIN_S, TicketBook
from ebonyglade.once.ticket import request_digest
from ebonyglade.ports import Clock, Sender, ServiceReply, Transport
from ebonyglade.verdict import Refusal
from ebonyglade.wire.base import Message
from ebonyglade.wire.once import Recall, Recalled, TicketAsk, TicketGiven
from ebonyglade.wire.work import Failed, Serve, Served

Standing = Result[ServiceReply | None, Refusal]


class TicketDesk:
    """Issues tickets, and answers repeats from what is remembered.

    A repeat that arrives while the first is running is answered twice: with
    `in_progress` at once, and with the first answer when it is there.
    """

    def __init__(self, book: TicketBook, transport: Transport, clock: Clock) -> None:
        self._book = book
        self._transport = transport
        self._clock = clock
        self._waiting: dict[str, set[tuple[str, str]]] = {}
        self.handlers: dict[type[Message], Callable[[Sender, Message], None]] = {
            TicketAsk: self._on_ask,
            Recall: self._on_recall,
        }

    def tick(self, now: float) -> None:
        """Forget tickets that are over."""
        self._book.expire(now)

    def answers(self, sender: Sender, message: Serve) -> bool:
        """Answer a request whose ticket was used before, if it was."""
        if not message.key:
            return False
        digest = request_digest(message.method, message.path, message.body)
        known = self._book.look(message.key, message.workspace, digest, self._clock())
        if known == Ok(None):
            return False
        self._answer(sender, message.attempt, message.key, known)
        return True

    def claim(self, message: Serve) -> bool:
        """Claim the one execution of a request's ticket, right before it is sent."""
        if not message.key:
            return True
        digest = request_digest(message.method, message.path, message.body)
        now = self._clock()
        return self._book.begin(message.key, message.workspace, digest, now) == Ok(None)

    def finish(self, key: str, answer: ServiceReply) -> None:
        """Remember an answer and hand it to the repeats that wait for it."""
        if not key:
            return
        self._book.finish(key, answer)
        for instance, attempt in sorted(self._waiting.pop(key, ())):
            self._transport.send(instance, _served(attempt, answer))

    def fail(self, key: str, ran: bool) -> None:
        """Note that the execution failed, and whether it may have run."""
        if not key:
            return
        self._book.fail(key, ran)
        # The repeats that wait ask again and learn what is known then.
        self._waiting.pop(key, None)

    def _on_ask(self, sender: Sender, message: TicketAsk) -> None:
        text = self._book.issue(message.route, message.workspace, self._clock())
        reply = TicketGiven(message.attempt, text, START_WITHIN_S)
        self._transport.send(sender.instance, reply)

    def _on_recall(self, sender: Sender, message: Recall) -> None:
        ask = self._book.void if message.give_up else self._book.look
        known = ask(message.ticket, message.workspace, message.digest, self._clock())
        if known == Ok(None):
            self._transport.send(sender.instance, Recalled(message.attempt))
            return
        self._answer(sender, message.attempt, message.ticket, known)

    def _answer(self, sender: Sender, attempt: str, key: str, known: Standing) -> None:
        if isinstance(known, Ok):
            self._transport.send(sender.instance, _served(attempt, known.ok_value))
            return
        refusal = known.err_value
        if refusal.code == "in_progress":
            self._waiting.setdefault(key, set()).add((sender.instance, attempt))
        failed = Failed(
            attempt,
            refusal.code,
            refusal.verdict.value,
            refusal.message,
            refusal.retry_after,
        )
        self._transport.send(sender.instance, failed)


def _served(attempt: str, answer: ServiceReply) -> Served:
    return Served(attempt, answer.status, answer.headers, answer.body)
