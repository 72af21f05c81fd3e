"""Calls that may not be repeated: tickets, and repeats sent to their owner."""

import asyncio
from dataclasses import dataclass

import msgspec
from result import Err, Ok

from ebonyglade.calls import Call, Proceed, Reply, WholeAnswer
from ebonyglade.dispatch.exchange import Attempt
from ebonyglade.dispatch.services import ServiceDispatcher
from ebonyglade.dispatch.waiting import wait_for
from ebonyglade.once import ticket as tickets
from ebonyglade.once.ticket import request_digest
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.once import Recall, Recalled, TicketAsk, TicketGiven
from ebonyglade.wire.work import Served

TICKETS_PATH = "/tickets"
ASK_TIMEOUT_S = 0.5
RECHECK_S = 1.0
SILENT_ASKS = 4  # asks without any answer, after which the owner is given up
PAUSE_S = 0.05
MAX_PAUSE_S = 0.5

_OWNER_SILENT = refuse(
    "agent_lost",
    message="The ticket's owner does not answer; send again with the ticket.",
    retry_after=2.0,
)
# What another try under the same ticket can mend.
_PASSING = frozenset({"overloaded", "endpoint_down", "in_progress"})


async def read_ticket(call: Call, proceed: Proceed) -> Reply:
    """Note the ticket of a call; refuse in doubt with a cautious verdict.

    A repeat that is refused on its way to the ticket's owner says nothing about
    the first try, so only the owner's own word leaves a `NOT_RUN` standing.
    """
    path = call.path.removeprefix(TICKETS_PATH)
    if call.prompt is None and call.method == "POST" and path != call.path:
        call.wants_ticket, call.path = True, path or "/"
        return await proceed(call)
    if call.prompt is None and tickets.looks_like_ticket(call.idempotency_key):
        call.ticket = tickets.read(call.idempotency_key)
    reply = await proceed(call)
    if call.ticket is None or call.settled or isinstance(reply, Ok):
        return reply
    return Err(cautious(reply.err_value, call.idempotency_key))


def cautious(refusal: Refusal, idempotency_key: str) -> Refusal:
    """Return a refusal that claims nothing about earlier tries under a ticket."""
    if refusal.verdict is not Verdict.NOT_RUN:
        return refusal
    if not tickets.looks_like_ticket(idempotency_key):
        return refusal
    return refusal.because(verdict=Verdict.MAY_HAVE_RUN)


async def require_ticket(call: Call, proceed: Proceed) -> Reply:
    """Refuse idempotency keys that nobody can hold to one execution."""
    if call.prompt is not None or call.wants_ticket:
        return await proceed(call)
    if may_repeat(call):
        call.ticket = None
        return await proceed(call)
    if not call.idempotency_key:
        return await proceed(call)
    if not tickets.looks_like_ticket(call.idempotency_key):
        return Err(refuse("ticket_required"))
    if call.ticket is None or call.ticket.route != call.route.name:
        # No agent issued it for this route, so no agent ever ran it there.
        call.settled = True
        return Err(refuse("ticket_invalid"))
    return await proceed(call)


def may_repeat(call: Call) -> bool:
    """Return whether a service call may run more than once."""
    return call.method in call.route.route.repeatable


class _Body(msgspec.Struct):
    """What a caller gets who asks for a ticket."""

    ticket: str
    expires_in: float


@dataclass(slots=True)
class TicketDispatcher:
    """Issues tickets and sends each ticket's calls to its owner alone."""

    services: ServiceDispatcher

    async def issue(self, call: Call) -> Reply:
        """Return a new ticket from some agent of the call's route."""
        services = self.services
        excluded: set[str] = set()
        while call.deadline > services.clock():
            name = services.choose(call, excluded)
            if name is None:
                break
            excluded.add(name)
            attempt = services.exchange.open(services.new_id(), name)
            ask = TicketAsk(attempt.id, call.workspace, call.route.name)
            answer = await self._ask(call, attempt, ask)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TicketGiven):
                return Ok(_ticket_answer(answer.ok_value))
        return Err(refuse("no_endpoint"))

    async def run(self, call: Call) -> Reply:
        """Return the one answer of a ticket, or what is known of it."""
        pause, silent = PAUSE_S, 0
        while True:
            reply = await self._step(call)
            if isinstance(reply, Ok):
                return reply
            refusal = reply.err_value
            silent = silent + 1 if refusal is _OWNER_SILENT else 0
            passing = refusal.code in _PASSING or 0 < silent < SILENT_ASKS
            if not passing or self._left(call) <= pause + ASK_TIMEOUT_S:
                break
            await asyncio.sleep(pause * self.services.rng.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_PAUSE_S)
        if silent or self._left(call) <= 0:
            return reply
        return await self._give_up(call, refusal)

    async def _step(self, call: Call) -> Reply:
        """Ask the owner; run the call there if nothing was started so far."""
        answer = await self._recall(call)
        if isinstance(answer, Err):
            return answer
        if isinstance(answer.ok_value, Served):
            return Ok(_whole(answer.ok_value))
        if not isinstance(answer.ok_value, Recalled):
            return Err(refuse("internal", message="Unexpected answer."))
        # A lost answer is asked for again; the job at the owner goes on.
        return await self.services.attempt(call, call.ticket.agent, RECHECK_S)

    def _left(self, call: Call) -> float:
        return call.deadline - self.services.clock()

    async def _give_up(self, call: Call, refusal: Refusal) -> Reply:
        """Close the ticket, so that the last answer can be a certain one."""
        answer = await self._recall(call, give_up=True)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, Served):
            return Ok(_whole(answer.ok_value))
        if isinstance(answer, Ok) or answer.err_value is _OWNER_SILENT:
            return Err(refusal.because(verdict=Verdict.MAY_HAVE_RUN))
        known = answer.err_value
        call.settled = known.verdict is Verdict.NOT_RUN and known.code != "overloaded"
        if known.code == "ticket_void" and refusal.code in _PASSING:
            message = f"{refusal.message} Nothing ran; get a new ticket."
            return Err(refusal.because(message=message, verdict=Verdict.NOT_RUN))
        return Err(known)

    async def _recall(self, call: Call, give_up: bool = False) -> Reply:
        services = self.services
        attempt = services.exchange.open(services.new_id(), call.ticket.agent)
        ask = Recall(
            attempt.id,
            call.workspace,
            call.idempotency_key,
            request_digest(call.method, call.path, call.body),
            give_up,
        )
        return await self._ask(call, attempt, ask)

    async def _ask(
        self, call: Call, attempt: Attempt, message: TicketAsk | Recall
    ) -> Reply:
        """Send a question that starts nothing and return its answer."""
        exchange = self.services.exchange
        try:
            if not exchange.send(attempt, message):
                return Err(_OWNER_SILENT)
            within = min(ASK_TIMEOUT_S, self._left(call))
            answer = await wait_for(attempt, within, _OWNER_SILENT)
            if isinstance(answer, Err) and answer.err_value.code == "in_progress":
                # The first answer follows once it is there.
                within = min(ASK_TIMEOUT_S, self._left(call))
                answer = await wait_for(attempt, within, answer.err_value)
            return answer
        finally:
            attempt.ended = True
            exchange.close(attempt)


def _ticket_answer(given: TicketGiven) -> WholeAnswer:
    body = msgspec.json.encode(_Body(given.ticket, given.term))
    headers = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]
    return WholeAnswer(201, headers, body)


def _whole(served: Served) -> WholeAnswer:
    return WholeAnswer(served.status, served.headers, served.body)
