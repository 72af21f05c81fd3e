"""Reservation of a slot at an agent, for model and service requests."""

from result import Err, Ok, Result

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
    silent = refuse("endpoint_down")
    if not exchange.send(attempt, request):
        return Err(silent)
    until = clock() + request.within + REFUSAL_MARGIN_S
    answer = await wait_for(attempt, min(ANSWER_TIMEOUT_S, request.within), silent)
    while isinstance(answer, Ok):
        reserved = answer.ok_value
        if not isinstance(reserved, Reserved):
            return Err(refuse("internal", message="Unexpected answer."))
        if starts(reserved, request.lead):
            return answer
        late = refuse("deadline_infeasible")
        answer = await wait_for(attempt, until - clock(), late)
    return answer
