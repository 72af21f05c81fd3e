"""Calls that may not be repeated: issues tickets and sends repeats to their owner.

The owner of a ticket is the agent that issued it; only that agent runs the call.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok

from ebonyglade.calls import Call, CompleteAnswer, NextHandler, Reply
from ebonyglade.config.view import ConfigView
from ebonyglade.dispatch.exchange import Attempt
from ebonyglade.dispatch.services import ServiceDispatcher
from ebonyglade.dispatch.waiting import wait_for_answer
from ebonyglade.once import ticket as tickets
from ebonyglade.once.ticket import request_digest
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.once import (
    TicketIssued,
    TicketNotStarted,
    TicketRequest,
    TicketStatusRequest,
)
from ebonyglade.wire.work import ServiceResponse

TICKETS_PATH = "/tickets"
ASK_TIMEOUT_S = 0.5
RECALL_INTERVAL_S = 1.0
MAX_UNANSWERED_ASKS = 4  # in a row, after which the owner counts as lost
BASE_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5

_OWNER_UNREACHABLE = refuse(
    "agent_lost",
    message="The agent that issued the ticket does not answer; send the request "
    "again with the same ticket.",
    retry_after=2.0,
)
# Refusals after which another attempt under the same ticket may succeed.
_TRANSIENT_CODES = frozenset({"overloaded", "endpoint_down", "in_progress"})


async def read_ticket(call: Call, proceed: NextHandler) -> Reply:
    """Decode a call's ticket, and correct the verdict of refusals for it.

    Refusing a repeat before it reaches the ticket's owner says nothing about
    earlier attempts, so `NOT_RUN` is only passed on if the owner confirmed it.
    """
    path = call.path.removeprefix(TICKETS_PATH)
    if call.prompt is None and call.method == "POST" and path != call.path:
        call.wants_ticket, call.path = True, path or "/"
        return await proceed(call)
    if call.prompt is None and tickets.looks_like_ticket(call.idempotency_key):
        call.ticket = tickets.decode_ticket(call.idempotency_key)
    reply = await proceed(call)
    if call.ticket is None or call.settled or isinstance(reply, Ok):
        return reply
    return Err(downgrade_not_run(reply.err_value, call.idempotency_key))


def downgrade_not_run(refusal: Refusal, idempotency_key: str) -> Refusal:
    """Return a refusal that does not deny earlier attempts under a ticket."""
    if refusal.verdict is not Verdict.NOT_RUN:
        return refusal
    if not tickets.looks_like_ticket(idempotency_key):
        return refusal
    return refusal.with_changes(verdict=Verdict.MAY_HAVE_RUN)


async def require_ticket(call: Call, proceed: NextHandler) -> Reply:
    """Refuse idempotency keys that are not tickets for the route.

    This applies to service calls that may not be repeated, as no agent could enforce
    a single execution for other keys.
    """
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
        # No agent issued this ticket for the route, so none ran the call.
        call.settled = True
        return Err(refuse("ticket_invalid"))
    return await proceed(call)


def may_repeat(call: Call) -> bool:
    """Return whether a service call may run more than once."""
    return call.method in call.route.route.repeatable


class _Body(msgspec.Struct):
    """Body of the response to a request for a ticket."""

    ticket: str
    expires_in: float


@dataclass(slots=True)
class TicketDispatcher:
    """Obtains tickets and sends each ticket's calls only to the ticket's owner.

    Attributes:
        services: sends the calls.
        view: returns the configuration in force.
    """

    services: ServiceDispatcher
    view: Callable[[], ConfigView]

    async def issue(self, call: Call) -> Reply:
        """Return a new ticket from an agent that serves the call's route."""
        services = self.services
        excluded: set[str] = set()
        while call.deadline > services.clock():
            name = services.choose(call, excluded)
            if name is None:
                break
            excluded.add(name)
            attempt = services.exchange.open(services.new_id(), name)
            ask = TicketRequest(attempt.id, call.workspace, call.route.name)
            answer = await self._ask(call, attempt, ask)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TicketIssued):
                return Ok(_ticket_answer(answer.ok_value))
        return Err(refuse("no_endpoint"))

    async def run(self, call: Call) -> Reply:
        """Return the answer of a ticket's only execution, or what is known of it."""
        pause, unanswered = BASE_PAUSE_S, 0
        while True:
            reply = await self._try_once(call)
            if isinstance(reply, Ok):
                return reply
            refusal = reply.err_value
            unanswered = unanswered + 1 if refusal is _OWNER_UNREACHABLE else 0
            transient = (
                refusal.code in _TRANSIENT_CODES or 0 < unanswered < MAX_UNANSWERED_ASKS
            )
            if not transient or self._time_left(call) <= pause + ASK_TIMEOUT_S:
                break
            await asyncio.sleep(pause * self.services.rng.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_PAUSE_S)
        if unanswered or self._time_left(call) <= 0:
            return reply
        return await self._give_up(call, refusal)

    async def _try_once(self, call: Call) -> Reply:
        """Ask the owner for the outcome; run the call there if it has not started."""
        answer = await self._recall(call)
        if isinstance(answer, Err):
            return answer
        if isinstance(answer.ok_value, ServiceResponse):
            return Ok(_whole_answer(answer.ok_value))
        if not isinstance(answer.ok_value, TicketNotStarted):
            return Err(
                refuse("internal", message="The agent sent an unexpected message.")
            )
        if self._is_leaving(call.ticket.agent):
            return Err(refuse("no_endpoint"))
        # If no answer arrives in time, `run` asks the owner again; the call
        # keeps running there.
        return await self.services.attempt(call, call.ticket.agent, RECALL_INTERVAL_S)

    def _is_leaving(self, agent: str) -> bool:
        """Return whether an owner accepts no new work, so its tickets get closed."""
        listed = self.view().instances.get(agent)
        return listed is not None and listed.state != "live"

    def _time_left(self, call: Call) -> float:
        return call.deadline - self.services.clock()

    async def _give_up(self, call: Call, refusal: Refusal) -> Reply:
        """Close the ticket, so that the final refusal can tell whether it ran."""
        answer = await self._recall(call, give_up=True)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, ServiceResponse):
            return Ok(_whole_answer(answer.ok_value))
        if isinstance(answer, Ok) or answer.err_value is _OWNER_UNREACHABLE:
            return Err(refusal.with_changes(verdict=Verdict.MAY_HAVE_RUN))
        known = answer.err_value
        call.settled = known.verdict is Verdict.NOT_RUN and known.code != "overloaded"
        if known.code == "ticket_void" and refusal.code in _TRANSIENT_CODES:
            message = f"{refusal.message} Nothing ran; get a new ticket."
            return Err(refusal.with_changes(message=message, verdict=Verdict.NOT_RUN))
        return Err(known)

    async def _recall(self, call: Call, give_up: bool = False) -> Reply:
        services = self.services
        attempt = services.exchange.open(services.new_id(), call.ticket.agent)
        ask = TicketStatusRequest(
            attempt.id,
            call.workspace,
            call.idempotency_key,
            request_digest(call.method, call.path, call.body),
            give_up,
        )
        return await self._ask(call, attempt, ask)

    async def _ask(
        self, call: Call, attempt: Attempt, message: TicketRequest | TicketStatusRequest
    ) -> Reply:
        """Send a message that starts no execution, and return the answer."""
        exchange = self.services.exchange
        try:
            if not exchange.send(attempt, message):
                return Err(_OWNER_UNREACHABLE)
            timeout = min(ASK_TIMEOUT_S, self._time_left(call))
            answer = await wait_for_answer(attempt, timeout, _OWNER_UNREACHABLE)
            if isinstance(answer, Err) and answer.err_value.code == "in_progress":
                # The owner sends the answer when the first execution ends.
                timeout = min(ASK_TIMEOUT_S, self._time_left(call))
                answer = await wait_for_answer(attempt, timeout, answer.err_value)
            return answer
        finally:
            attempt.ended = True
            exchange.close(attempt)


def _ticket_answer(given: TicketIssued) -> CompleteAnswer:
    body = msgspec.json.encode(_Body(given.ticket, given.term))
    headers = [("Content-Type", "application/json"), ("Cache-Control", "no-store")]
    return CompleteAnswer(201, headers, body)


def _whole_answer(served: ServiceResponse) -> CompleteAnswer:
    return CompleteAnswer(served.status, served.headers, served.body)
