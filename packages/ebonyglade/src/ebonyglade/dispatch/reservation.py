"""Reservation of a slot at an agent, for model and service requests."""

from result import Err, Result

from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.waiting import wait_for
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved

ANSWER_TIMEOUT_S = 1.0  # an agent says within this that it has the reservation
REFUSAL_MARGIN_S = 0.5  # time for a refusal at the last moment to arrive


def starts(reserved: Reserved, lead: float) -> bool:
    """Return whether an asker that needs `lead` seconds starts now."""
    return reserved.ready_in <= lead


async def reserve(
    exchange: Exchange, attempt: Attempt, request: Reserve, clock: Clock
) -> Result[Reserved, Refusal]:
    """Ask for a slot and wait until the work for it should start.

    Nothing runs before, so a lost answer is still `NOT_RUN`.
    """
    answer = await answer_to(exchange, attempt, request)
    if isinstance(answer, Err) or starts(answer.ok_value, request.lead):
        return answer
    return await promise_of(attempt, request, clock)


async def answer_to(
    exchange: Exchange, attempt: Attempt, request: Reserve
) -> Result[Reserved, Refusal]:
    """Ask for a slot and return the agent's first answer."""
    silent = refuse("endpoint_down")
    if not exchange.send(attempt, request):
        return Err(silent)
    within = min(ANSWER_TIMEOUT_S, request.within + REFUSAL_MARGIN_S)
    return _reserved(await wait_for(attempt, within, silent))


async def promise_of(
    attempt: Attempt, request: Reserve, clock: Clock
) -> Result[Reserved, Refusal]:
    """Wait until a place in the queue becomes a promise."""
    until = clock() + request.within + REFUSAL_MARGIN_S
    late = refuse("deadline_infeasible")
    while True:
        answer = _reserved(await wait_for(attempt, until - clock(), late))
        if isinstance(answer, Err) or starts(answer.ok_value, request.lead):
            return answer


def _reserved(answer: Result) -> Result[Reserved, Refusal]:
    if isinstance(answer, Err) or isinstance(answer.ok_value, Reserved):
        return answer
    return Err(refuse("internal", message="Unexpected answer."))
