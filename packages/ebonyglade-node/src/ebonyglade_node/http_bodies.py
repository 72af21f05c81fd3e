"""Responses that arrive over HTTP; the only reader of aiohttp's responses."""

import array
import asyncio
import fcntl
import logging
import termios
from collections.abc import AsyncIterator
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ebonyglade.bodies import Body
from ebonyglade.buffers import KIB
from ebonyglade.completeness import Ending, Framing, IncompleteResponse
from ebonyglade_node.http_heads import HeadChecker, MalformedHead

logger = logging.getLogger(__name__)

MAX_REASON_CHARS = 200
# Bytes of a response that are no content: its heads, and what frames its body. Sound
# heads are far smaller, and a chunk of one byte has five or six bytes of framing.
MAX_FRAMING_BYTES = 256 * KIB
MAX_FRAMING_PER_BYTE = 16


class ResponseReset(aiohttp.ClientPayloadError):
    """The connection failed before the end of a response."""


class NoResponse(aiohttp.ClientError):
    """What arrived is no response in the protocol."""


class StrictResponseHandler(ResponseHandler):
    """Reports what is no whole response in the protocol as an error.

    These are malformed heads, and bodies that a reset truncates, also without a length,
    or that this process truncates by closing the connection. A body without a length
    whose connection ends before the request was sent whole is not shown to be complete.
    Bytes without end that are no content are given up, too.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._heads = HeadChecker()
        self._received_bytes = 0

    def set_response_params(self, **options: object) -> None:
        """Begin to read the response to a request."""
        self._heads = HeadChecker()
        self._received_bytes = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what arrives, unless it shows that this is no response."""
        if self._parser is None:
            super().data_received(data)
            return
        try:
            self._heads.feed(data)
        except MalformedHead as error:
            self._refuse(NoResponse(str(error)))
            return
        self._received_bytes += len(data)
        super().data_received(data)
        if self._has_too_much_framing():
            self._refuse(NoResponse("too many bytes that are no content"))

    def _has_too_much_framing(self) -> bool:
        content = self._payload.total_bytes if self._payload is not None else 0
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BYTE * content
        return self._received_bytes - content > allowed

    def eof_received(self) -> None:
        """Fail a body whose end is not shown if part of the request was not sent."""
        payload = self._payload
        if payload is not None and not payload.is_eof() and self._unsent_bytes():
            self._refuse(aiohttp.ClientPayloadError("request was not sent whole"))
        super().eof_received()

    def _unsent_bytes(self) -> int:
        """Return the bytes that the other end has not acknowledged."""
        if self.transport is None:
            return 0
        waiting = self.transport.get_write_buffer_size()
        return waiting or _queued_bytes(self.transport.get_extra_info("socket"))

    def _refuse(self, error: aiohttp.ClientError) -> None:
        """Fail the response and close the connection."""
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection and fail a response that this truncates."""
        self._fail_body(aiohttp.ClientPayloadError("connection closed here"))
        super().close()

    def abort(self) -> None:
        """Abort the connection and fail a response that this truncates."""
        self._fail_body(aiohttp.ClientPayloadError("connection closed here"))
        super().abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that a connection reset truncated.

        The error is set again at the end, since the parser may replace it.
        """
        payload = self._payload
        truncated = exc is not None and payload is not None and not payload.is_eof()
        if truncated:
            payload.set_exception(ResponseReset(f"connection reset: {exc!r}"))
        super().connection_lost(exc)
        if truncated:
            payload.set_exception(ResponseReset(f"connection reset: {exc!r}"))

    def _fail_body(self, error: Exception) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
            # Nobody reads it any more.
            payload._buffer.clear()


class StrictConnector(aiohttp.TCPConnector):
    """Opens connections with `StrictResponseHandler`, or with another one like it."""

    def __init__(
        self, handler: type[StrictResponseHandler] | partial, **options: object
    ) -> None:
        super().__init__(**options)
        self._factory = partial(handler, loop=asyncio.get_running_loop())


def _queued_bytes(opened: asyncio.trsock.TransportSocket) -> int:
    """Return the bytes that the system holds to send; 0 where it does not tell."""
    size = array.array("i", [0])
    try:
        fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, size)
    except OSError as error:
        logger.debug("unsent bytes not known", extra={"reason": str(error)})
    return size[0]


def body_of(response: aiohttp.ClientResponse) -> Body:
    """Return the body of a response, which releases the connection at its end."""
    return Body(_framing(response), _parts(response))


def describe(error: Exception) -> str:
    """Return a short description of an error for logs."""
    return f"{type(error).__name__}: {error}"[:MAX_REASON_CHARS]


async def _parts(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for part in response.content.iter_any():
            yield part
    except (aiohttp.ClientError, OSError) as error:
        reset = isinstance(error, ResponseReset | OSError)
        ending = Ending.RESET if reset else Ending.EARLY
        raise IncompleteResponse(describe(error), ending) from error
    response.release()


def _framing(response: aiohttp.ClientResponse) -> Framing:
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    return Framing.CONNECTION if response.content_length is None else Framing.LENGTH
