"""Stores the tickets that an agent issued and the outcome of each."""

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

TICKET_LIFETIME_S = 600.0
RECORD_RETENTION_S = (
    300.0  # time after a ticket's expiry in which repeats are still answered
)
MAX_RECORDS = 65536
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_BYTES = 16 * 1024 * 1024


class State(Enum):
    """Outcome of a ticket; a ticket without a record has not started anything."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


@dataclass(slots=True)
class Record:
    """Record of one ticket that was used.

    Attributes:
        digest: digest of the request that the ticket was first used for.
        forget_at: monotonic seconds after which the record may be removed.
        state: outcome of the ticket.
        answer: answer of the execution, unless it was dropped to save memory.
    """

    digest: str
    forget_at: float
    state: State = State.RUNNING
    answer: ServiceReply | None = None


_REFUSAL_CODES = {
    State.RUNNING: "in_progress",
    State.DONE: "answer_forgotten",
    State.UNKNOWN: "outcome_unknown",
    State.VOID: "ticket_void",
}


@dataclass(slots=True)
class TicketStore:
    """Issues tickets and lets each start at most one execution.

    A record is kept until after its ticket has expired, so removing it can't allow
    a second execution. If there are too many records, new executions are refused
    rather than records removed. All times are monotonic seconds of this process,
    and no other process reads them.
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
        """Number of records."""
        return len(self._records)

    def issue(self, route: str, workspace: str, now: float) -> str:
        """Return the text of a new ticket, without creating a record for it."""
        nonce = self.token_bytes(NONCE_BYTES)
        me = self.me
        item = Ticket(
            me.instance, me.incarnation, route, nonce, now + TICKET_LIFETIME_S
        )
        return tickets.encode_ticket(item, workspace, self._secret)

    def lookup(
        self, text: str, workspace: str, digest: str, now: float
    ) -> Result[ServiceReply | None, Refusal]:
        """Return the first answer, None if nothing was started, or a refusal."""
        ticket = tickets.decode_ticket(text)
        if ticket is None:
            return Err(refuse("ticket_invalid"))
        if ticket.incarnation != self.me.incarnation:
            return Err(refuse("ticket_lost"))
        if not tickets.is_authentic(text, workspace, self._secret):
            return Err(refuse("ticket_invalid"))
        record = self._records.get(text)
        if record is not None:
            return _recorded_outcome(record, digest)
        if now >= ticket.expires:
            return Err(refuse("ticket_lost", message="The ticket has expired."))
        return Ok(None)

    def claim(
        self, text: str, workspace: str, digest: str, now: float
    ) -> Result[ServiceReply | None, Refusal]:
        """Claim the ticket's only execution; on Ok(None) the caller must start it."""
        return self._add_record(text, workspace, digest, now, State.RUNNING)

    def void(
        self, text: str, workspace: str, digest: str, now: float
    ) -> Result[ServiceReply | None, Refusal]:
        """Close a ticket that has started nothing, so that it never will."""
        outcome = self._add_record(text, workspace, digest, now, State.VOID)
        if isinstance(outcome, Ok) and outcome.ok_value is None:
            return Err(refuse("ticket_void"))
        return outcome

    def finish(self, text: str, answer: ServiceReply) -> None:
        """Store the answer of the execution."""
        record = self._records[text]
        record.state = State.DONE
        if len(answer.body) <= MAX_ANSWER_BYTES:
            record.answer = answer
            self._bytes += len(answer.body)
            self._evict_answers()

    def fail(self, text: str, ran: bool) -> None:
        """Record a failed execution; one that did not run may be started again."""
        if ran:
            self._records[text].state = State.UNKNOWN
        else:
            del self._records[text]

    def expire(self, now: float) -> None:
        """Remove the records whose retention time is over."""
        expired = [
            text
            for text, record in self._records.items()
            if record.forget_at <= now and record.state is not State.RUNNING
        ]
        for text in expired:
            record = self._records.pop(text)
            self._drop_answer(record)

    def _add_record(
        self, text: str, workspace: str, digest: str, now: float, state: State
    ) -> Result[ServiceReply | None, Refusal]:
        outcome = self.lookup(text, workspace, digest, now)
        if isinstance(outcome, Err) or outcome.ok_value is not None:
            return outcome
        if len(self._records) >= self.max_records:
            return Err(refuse("overloaded", message="Too many tickets are in use."))
        forget_at = tickets.decode_ticket(text).expires + RECORD_RETENTION_S
        self._records[text] = Record(digest, forget_at, state)
        return outcome

    def _evict_answers(self) -> None:
        """Drop the oldest answers, but not their records, to bound the memory used."""
        for record in self._records.values():
            if self._bytes <= MAX_TOTAL_BYTES:
                return
            self._drop_answer(record)

    def _drop_answer(self, record: Record) -> None:
        if record.answer is not None:
            self._bytes -= len(record.answer.body)
            record.answer = None


def _recorded_outcome(
    record: Record, digest: str
) -> Result[ServiceReply | None, Refusal]:
    if record.state is not State.VOID and record.digest != digest:
        return Err(refuse("key_reused"))
    if record.answer is not None:
        return Ok(record.answer)
    return Err(refuse(_REFUSAL_CODES[record.state]))
