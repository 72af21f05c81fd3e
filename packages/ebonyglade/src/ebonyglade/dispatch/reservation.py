"""Reserves slots at agents, for model and service requests.

A slot is promised once the agent predicts it to be free within the request's `lead`
seconds.
"""

from result import Err, Result

from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.waiting import wait_for_answer
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved

ANSWER_TIMEOUT_S = 1.0  # time for an agent to acknowledge a reservation
REFUSAL_MARGIN_S = 0.5  # extra time for a refusal sent at the deadline to arrive


def may_start(reserved: Reserved, lead: float) -> bool:
    """Return whether work that needs the slot in `lead` seconds may start now."""
    return reserved.ready_in <= lead


async def reserve(
    exchange: Exchange, attempt: Attempt, request: Reserve, clock: Clock
) -> Result[Reserved, Refusal]:
    """Ask for a slot and wait until the work that uses it may start.

    Nothing runs before that, so a lost answer still means `NOT_RUN`.
    """
    answer = await request_slot(exchange, attempt, request)
    if isinstance(answer, Err) or may_start(answer.ok_value, request.lead):
        return answer
    return await wait_for_promise(attempt, request, clock)


async def request_slot(
    exchange: Exchange, attempt: Attempt, request: Reserve
) -> Result[Reserved, Refusal]:
    """Ask for a slot and return the agent's first answer."""
    unreachable = refuse("endpoint_down")
    if not exchange.send(attempt, request):
        return Err(unreachable)
    timeout = min(ANSWER_TIMEOUT_S, request.within + REFUSAL_MARGIN_S)
    return _reserved(await wait_for_answer(attempt, timeout, unreachable))


async def wait_for_promise(
    attempt: Attempt, request: Reserve, clock: Clock
) -> Result[Reserved, Refusal]:
    """Wait until a queued reservation becomes a promised slot."""
    until = clock() + request.within + REFUSAL_MARGIN_S
    late = refuse("deadline_infeasible")
    while True:
        answer = _reserved(await wait_for_answer(attempt, until - clock(), late))
        if isinstance(answer, Err) or may_start(answer.ok_value, request.lead):
            return answer


def _reserved(answer: Result) -> Result[Reserved, Refusal]:
    if isinstance(answer, Err) or isinstance(answer.ok_value, Reserved):
        return answer
    return Err(refuse("internal", message="The agent sent an unexpected message."))
