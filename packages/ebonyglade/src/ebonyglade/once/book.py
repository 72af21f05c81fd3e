"""An agent's memory of the tickets it issued and what became of them."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from ebonyglade.context import Identity
from ebonyglade.once import ticket as tickets
from ebonyglade.once.ticket import NONCE_BYTES, SECRET_BYTES, Ticket
from ebonyglade.ports import ServiceReply
from ebonyglade.verdict import Refusal, refuse

START_WITHIN_S = 600.0
KEPT_S = 300.0  # seconds past a ticket's expiry in which repeats are answered
MAX_RECORDS = 65536
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_BYTES = 16 * 1024 * 1024


class State(Enum):
    """What became of a ticket; one without a record was not started."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


@dataclass(slots=True)
class Record:
    """What is remembered of one ticket.

    Attributes:
        digest: request that the ticket was first used for.
        forget_at: monotonic seconds until which it is remembered.
        state: what became of it.
        answer: the first answer while it is remembered.
    """

    digest: str
    forget_at: float
    state: State = State.RUNNING
    answer: ServiceReply | None = None


_STANDING = {
    State.RUNNING: "in_progress",
    State.DONE: "answer_forgotten",
    State.UNKNOWN: "outcome_unknown",
    State.VOID: "ticket_void",
}


@dataclass(slots=True)
class TicketBook:
    """Issues tickets and lets each start at most one execution.

    A record is kept longer than its ticket can start anything, so forgetting is
    safe; a full book starts nothing rather than forget. All times are monotonic
    seconds of this process, and no other process reads them.
    """

    me: Identity
    token_bytes: Callable[[int], bytes]
    max_records: int = MAX_RECORDS
    _records: OrderedDict[str, Record] = field(default_factory=OrderedDict)
    _bytes: int = 0
    _secret: bytes = b""

    def __post_init__(self) -> None:
        self._secret = self.token_bytes(SECRET_BYTES)

    @property
    def records(self) -> int:
        """Tickets that are remembered."""
        return len(self._records)

    def issue(self, route: str, workspace: str, now: float) -> str:
        """Return the text of a new ticket; nothing is remembered of it yet."""
        nonce = self.token_bytes(NONCE_BYTES)
        me = self.me
        item = Ticket(me.instance, me.incarnation, route, nonce, now + START_WITHIN_S)
        return tickets.seal(item, workspace, self._secret)

    def look(
        self, text: str, workspace: str, digest: str, now: float
    ) -> Result[ServiceReply | None, Refusal]:
        """Return the first answer, None if nothing was started, or a refusal."""
        ticket = tickets.read(text)
        if ticket is None:
            return Err(refuse("ticket_invalid"))
        if ticket.incarnation != self.me.incarnation:
            return Err(refuse("ticket_lost"))
        if not tickets.genuine(text, workspace, self._secret):
            return Err(refuse("ticket_invalid"))
        record = self._records.get(text)
        if record is not None:
            return _standing(record, digest)
        if now >= ticket.expires:
            return Err(refuse("ticket_lost", message="The ticket has expired."))
        return Ok(None)

    def begin(
        self, text: str, workspace: str, digest: str, now: float
    ) -> Result[ServiceReply | None, Refusal]:
        """Claim the ticket's one execution; Ok(None) lets the caller start it."""
        return self._open(text, workspace, digest, now, State.RUNNING)

    def void(
        self, text: str, workspace: str, digest: str, now: float
    ) -> Result[ServiceReply | None, Refusal]:
        """Close a ticket that was not started, so that it never will be."""
        known = self._open(text, workspace, digest, now, State.VOID)
        if isinstance(known, Ok) and known.ok_value is None:
            return Err(refuse("ticket_void"))
        return known

    def finish(self, text: str, answer: ServiceReply) -> None:
        """Remember the answer of the execution."""
        record = self._records[text]
        record.state = State.DONE
        if len(answer.body) <= MAX_ANSWER_BYTES:
            record.answer = answer
            self._bytes += len(answer.body)
            self._shed()

    def fail(self, text: str, ran: bool) -> None:
        """Note that the execution failed; one that did not run may start again."""
        if ran:
            self._records[text].state = State.UNKNOWN
        else:
            del self._records[text]

    def expire(self, now: float) -> None:
        """Forget the records whose tickets can't start anything any more."""
        over = [
            text
            for text, record in self._records.items()
            if record.forget_at <= now and record.state is not State.RUNNING
        ]
        for text in over:
            record = self._records.pop(text)
            self._drop_answer(record)

    def _open(
        self, text: str, workspace: str, digest: str, now: float, state: State
    ) -> Result[ServiceReply | None, Refusal]:
        known = self.look(text, workspace, digest, now)
        if isinstance(known, Err) or known.ok_value is not None:
            return known
        if len(self._records) >= self.max_records:
            return Err(refuse("overloaded", message="Too many tickets are in use."))
        forget_at = tickets.read(text).expires + KEPT_S
        self._records[text] = Record(digest, forget_at, state)
        return known

    def _shed(self) -> None:
        """Drop the oldest answers, never their records, to bound the memory."""
        for record in self._records.values():
            if self._bytes <= MAX_TOTAL_BYTES:
                return
            self._drop_answer(record)

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self._bytes -= len(record.answer.body)
            record.answer = None


def _standing(record: Record, digest: str) -> Result[ServiceReply | None, Refusal]:
    if record.state is not State.VOID and record.digest != digest:
        return Err(refuse("key_reused"))
    if record.answer is not None:
        return Ok(record.answer)
    return Err(refuse(_STANDING[record.state]))
