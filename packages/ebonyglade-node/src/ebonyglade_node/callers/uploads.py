"""Reading of request bodies within limits of size, time and memory."""

import asyncio
import sys
from contextlib import suppress

from aiohttp import web
from result import Err, Ok, Result

from ebonyglade.buffers import REQUEST_BYTES, BufferLease
from ebonyglade.verdict import Refusal, refuse

# A body that is sent on is there once more, as it is written.
COPIES = 2


async def read_upload(
    request: web.BaseRequest, max_bytes: int, timeout_s: float, lease: BufferLease
) -> Result[bytearray, Refusal]:
    """Return a request's whole body, or its refusal.

    Args:
        request: the request.
        max_bytes: limit of the body's size.
        timeout_s: seconds in which it must be whole.
        lease: holds its memory, also after the return. While the body is not whole, the
            lease may be given up for other requests; the request is refused then.
    """
    body = bytearray()
    loop = asyncio.get_running_loop()
    given_up = False
    try:
        async with asyncio.timeout(timeout_s) as limit:

            def give_up() -> None:
                nonlocal given_up
                given_up = True
                if not limit.expired():
                    limit.reschedule(loop.time())

            lease.may_be_given_up(give_up)
            # One array, as the objects of many small parts would take more than they.
            async for part in request.content.iter_any():
                body += part
                if len(body) > max_bytes:
                    return Err(refuse("body_too_large"))
                if not lease.hold(REQUEST_BYTES + sys.getsizeof(body)):
                    return Err(refuse("overloaded"))
    except asyncio.CancelledError:
        discard_upload(body)
        raise
    except TimeoutError:
        return Err(refuse("overloaded" if given_up else "read_timeout"))
    finally:
        lease.may_be_given_up(None)
    if given_up or not lease.hold(REQUEST_BYTES + COPIES * len(body)):
        return Err(refuse("overloaded"))
    return Ok(body)


def discard_upload(body: bytes | bytearray) -> None:
    """Release the memory of a body whose request was cancelled.

    The traceback of the cancellation would keep it until a later collection.
    """
    # What is still being written can't be released.
    with suppress(BufferError):
        if isinstance(body, bytearray):
            body.clear()
