"""Waits for one answer of an attempt with a timeout."""

import asyncio

from result import Err, Ok, Result

from ebonyglade.dispatch.exchange import Attempt
from ebonyglade.verdict import REFUSALS, Refusal, Verdict, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Failed


async def wait_for_answer(
    attempt: Attempt, timeout: float, on_timeout: Refusal
) -> Result[Message, Refusal]:
    """Return the next answer of an attempt.

    Args:
        attempt: the attempt whose answer is awaited.
        timeout: seconds to wait.
        on_timeout: refusal to return if no answer came in time.
    """
    try:
        async with asyncio.timeout(max(0.0, timeout)):
            message = await attempt.inbox.get()
    except TimeoutError:
        return Err(on_timeout)
    if isinstance(message, Failed):
        # After `agent_lost` the agent may still hold a slot, so `Exchange.close` must
        # send a cancellation.
        attempt.ended = message.code != "agent_lost"
        return Err(refusal_of(message))
    return Ok(message)


def refusal_of(message: Failed) -> Refusal:
    """Convert an agent's failure to a refusal; unknown codes become `internal`."""
    code = message.code if message.code in REFUSALS else "internal"
    return refuse(
        code,
        message=message.reason or None,
        verdict=Verdict(message.verdict),
        retry_after=message.retry_after,
    )
