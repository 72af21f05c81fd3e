"""Waiting for one answer with a deadline."""

import asyncio

from result import Err, Ok, Result

from ebonyglade.dispatch.exchange import Attempt
from ebonyglade.verdict import REFUSALS, Refusal, Verdict, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Failed


async def wait_for(
    attempt: Attempt, within: float, on_timeout: Refusal
) -> Result[Message, Refusal]:
    """Return the next answer of an attempt.

    Args:
        attempt: whose answer is awaited.
        within: seconds to wait.
        on_timeout: the refusal when nothing came in time.
    """
    try:
        async with asyncio.timeout(max(0.0, within)):
            message = await attempt.inbox.get()
    except TimeoutError:
        return Err(on_timeout)
    if isinstance(message, Failed):
        attempt.ended = message.code != "agent_lost"
        return Err(refusal_of(message))
    return Ok(message)


def refusal_of(message: Failed) -> Refusal:
    """Return an agent's failure as a refusal; unknown codes become internal."""
    code = message.code if message.code in REFUSALS else "internal"
    return refuse(
        code,
        message=message.reason or None,
        verdict=Verdict(message.verdict),
        retry_after=message.retry_after,
    )
