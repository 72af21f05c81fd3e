"""The one HTTP client for endpoints and the store.

It sends each request once, takes no answer that belongs to another request, and
takes no answer for whole that was cut off.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from yarl import URL

from ebonyglade.forward.types import ControlCall, Headers

# A connection over which nothing that was sent arrives ends after this time.
UNACKNOWLEDGED_MS = 1500
IDLE_S = 8.0  # an idle connection is not used again after this time
IDLE_MARGIN_S = 0.8  # and so long before the endpoint would close it
MAX_HEADER_BYTES = 64 * 1024
# Headers that the library would add where the caller sent none.
NOT_ADDED = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class NotSent(aiohttp.ClientError):
    """A request was given up before its first byte was sent."""


@dataclass(slots=True)
class Sending:
    """One sending of one request.

    Attributes:
        request_id: whose answer is expected; "" for calls without an id.
        may_send: asked once, when the connection is open.
        sent: whether a byte may have left.
    """

    request_id: str = ""
    may_send: Callable[[], bool] = field(default=lambda: True)
    sent: bool = False


_sending: ContextVar[Sending | None] = ContextVar("sending", default=None)


class _Handler(ResponseHandler):
    """Takes the answers that belong to the request under way.

    Endpoints may send a second answer, or bytes after an answer. They belong to
    no request, and a connection that carried any is not used again.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, id_header: str) -> None:
        super().__init__(loop)
        self._id_header = id_header
        self._expected: str | None = None
        self._usable_until = time.monotonic() + IDLE_S

    def expect(self, request_id: str) -> None:
        """Take only answers to this request from now on."""
        self._expected = request_id

    def is_connected(self) -> bool:
        """Return whether the connection is open and holds no foreign bytes."""
        if self._buffer or self._exception is not None:
            return False
        if self._expected is None and time.monotonic() > self._usable_until:
            return False
        return super().is_connected()

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Take one parsed answer, or drop it."""
        message, _ = data
        if 100 <= message.code < 200:
            super().feed_data(data, size)
            return
        found = message.headers.get(self._id_header, "")
        if self._expected is None or found != self._expected:
            self.force_close()
            if self._expected is None or found:
                return
            if self._expected and not found and message.code < 400:
                return
        self._keep_for(message.headers.get("Keep-Alive", ""))
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer without a length that a reset cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)

    def released(self) -> None:
        """Note that the connection is idle."""
        self._expected = None

    def _keep_for(self, value: str) -> None:
        seconds = IDLE_S
        for item in value.split(","):
            name, _, number = item.strip().partition("=")
            if name.lower() == "timeout" and number.isdigit():
                seconds = min(seconds, float(number) - IDLE_MARGIN_S)
        self._usable_until = time.monotonic() + seconds


class _Request(ClientRequest):
    """A request that is sent only if it still may be."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request.

        Raises:
            NotSent: it may not be sent any more.
        """
        sending = _sending.get()
        if sending is None:
            raise NotSent("no sending")
        if sending.sent or not sending.may_send():
            conn.close()
            raise NotSent("given up before it was sent")
        sending.sent = True
        conn.protocol.expect(sending.request_id)
        return await super().send(conn)


class _Connector(aiohttp.TCPConnector):
    """Opens connections that notice a silent peer."""

    def __init__(self, id_header: str, **options: object) -> None:
        super().__init__(socket_factory=_open_socket, **options)
        self._factory = partial(_Handler, loop=self._loop, id_header=id_header)

    def _release(
        self, key: object, protocol: _Handler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.released()


class EndpointClient:
    """Connections to all endpoints and the store; close it after use."""

    def __init__(self, connect_timeout_s: float, id_header: str) -> None:
        """Prepare the client.

        Args:
            connect_timeout_s: seconds in which a connection must be open.
            id_header: header by which answers are matched to requests.
        """
        self._session = aiohttp.ClientSession(
            connector=_Connector(id_header, limit=0, keepalive_timeout=IDLE_S),
            request_class=_Request,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=NOT_ADDED,
            timeout=aiohttp.ClientTimeout(total=None, connect=connect_timeout_s),
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        # The library would send some methods once more by itself.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        sending: Sending,
    ) -> aiohttp.ClientResponse:
        """Send a request and return the head of its answer.

        The caller closes the answer, or reads it to its end and releases it.

        Raises:
            aiohttp.ClientError: there is no answer; `sending.sent` tells
                whether a byte may have left.
            TimeoutError: no connection was opened in time.
        """
        if self._session.closed:
            raise NotSent("this process is ending")
        token = _sending.set(sending)
        try:
            return await self._session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=body or None,
                allow_redirects=False,
            )
        finally:
            _sending.reset(token)

    async def call(
        self, address: str, call: ControlCall, within: float
    ) -> tuple[int, bytes]:
        """Make a call that runs no request; return its status and body.

        Raises:
            aiohttp.ClientError: there is no whole answer.
            TimeoutError: it did not come within so many seconds.
        """
        headers = [("Content-Type", "application/json")] if call.body else []
        async with asyncio.timeout(within):
            response = await self.request(
                address, call.method, call.target, headers, call.body, Sending()
            )
            async with response:
                return response.status, await response.read()


def _open_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return opened
