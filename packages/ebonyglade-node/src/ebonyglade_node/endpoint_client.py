"""HTTP client for endpoints and the store.

It sends each request at most once, rejects responses that belong to another
request, and reports a truncated response as an error.
"""

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from functools import partial

import aiohttp
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from yarl import URL

from ebonyglade.bodies import read_document
from ebonyglade.buffers import KIB, MIB
from ebonyglade.completeness import IncompleteResponse
from ebonyglade.forward.types import ControlCall, ControlResponse, Headers
from ebonyglade_node.http_bodies import (
    StrictConnector,
    StrictResponseHandler,
    body_of,
)

logger = logging.getLogger(__name__)

# A connection is closed if sent data stays unacknowledged for this time.
UNACKED_TIMEOUT_MS = 1500
IDLE_TIMEOUT_S = 8.0  # idle time after which a connection is not reused
IDLE_MARGIN_S = 0.8  # reuse ends this long before the endpoint's Keep-Alive timeout
MAX_REQUESTS = 256  # on one connection, which holds their ids
MAX_HEADER_LINE_BYTES = 64 * 1024
READ_AHEAD_BYTES = 256 * KIB
# Streams whose callers do not read on are held at a pause, so that less is read ahead.
STREAM_READ_AHEAD_BYTES = 8 * KIB
MAX_CONTROL_BYTES = MIB  # reports and reservations have some kilobytes
MAX_STORE_PAGE_BYTES = 16 * MIB  # a value has up to 1 MiB, a page some hundred of them
# Headers that aiohttp would add where the caller sent none.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """Limits of a call whose response may take long on a slow link, in seconds.

    Attributes:
        headers_s: from the start of the call to the response's headers.
        stall_s: between two parts of its body.
        body_s: from its headers to the end of its body.
    """

    headers_s: float
    stall_s: float
    body_s: float


# How a control call fails.
CALL_ERRORS = (aiohttp.ClientError, IncompleteResponse, TimeoutError, OSError)


class NotSent(aiohttp.ClientError):
    """A request was aborted before its first byte was sent."""


@dataclass(slots=True)
class SendAttempt:
    """State of one attempt to send a request.

    Attributes:
        request_id: id that the response must carry; "" for calls without an id.
        may_send: called once, when the connection is open; whether to send.
        reuse: whether the connection may be one that is open already, and another
            request may use it afterwards. It may not if a late second copy of a
            response would match the other request, too.
        read_ahead: bytes of the response to read at a time; reading pauses after twice
            as many that are not used.
        sent: whether a byte may have been sent.
    """

    request_id: str = ""
    may_send: Callable[[], bool] = field(default=lambda: True)
    reuse: bool = True
    read_ahead: int = READ_AHEAD_BYTES
    sent: bool = False


_current_attempt: ContextVar[SendAttempt | None] = ContextVar("sending", default=None)


class _MatchingResponseHandler(StrictResponseHandler):
    """Passes on only the response that belongs to the active request.

    Endpoints may send a second response, or bytes after a response. They belong to
    no request, and a connection that carried any is not reused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, id_header: str) -> None:
        super().__init__(loop)
        self._id_header = id_header
        self._expected: str | None = None
        self._answered: set[str] = set()
        self._usable_until = time.monotonic() + IDLE_TIMEOUT_S

    def expect(self, request_id: str) -> None:
        """Accept only the response to this request from now on."""
        self._expected = request_id
        if request_id:
            self._answered.add(request_id)

    def is_connected(self) -> bool:
        """Return whether the connection is open and may be reused.

        It may not if it holds unexpected bytes, was idle for too long, or had a request
        with the same id, whose response may come once more.
        """
        if self._buffer or self._exception is not None:
            return False
        if self._expected is None and self._has_answered_current():
            return False
        if self._expected is None and time.monotonic() > self._usable_until:
            return False
        return super().is_connected()

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Pass on the response to the active request; drop others.

        Endpoints repeat the id of a request in their response, so that one without an
        id answers only a request without one. Interim responses (1xx) are always
        passed on.
        """
        message, _ = data
        if 100 <= message.code < 200:
            super().feed_data(data, size)
            return
        response_id = message.headers.get(self._id_header, "")
        if response_id != self._expected:
            self.force_close()
            self._log_dropped(message.code, response_id)
            return
        self._set_idle_limit(message.headers.get("Keep-Alive", ""))
        super().feed_data(data, size)

    def mark_idle(self) -> None:
        """Mark the connection as idle."""
        self._expected = None

    def _has_answered_current(self) -> bool:
        attempt = _current_attempt.get()
        used_up = len(self._answered) >= MAX_REQUESTS
        return used_up or (attempt is not None and attempt.request_id in self._answered)

    def _log_dropped(self, status: int, response_id: str) -> None:
        logger.info(
            "response of no active request dropped",
            extra={
                "status": status,
                "response_to": response_id,
                "active": self._expected,
            },
        )

    def _set_idle_limit(self, value: str) -> None:
        seconds = IDLE_TIMEOUT_S
        for item in value.split(","):
            name, _, number = item.strip().partition("=")
            if name.lower() == "timeout" and number.isdigit():
                seconds = min(seconds, float(number) - IDLE_MARGIN_S)
        self._usable_until = time.monotonic() + seconds


class _Request(ClientRequest):
    """A request that is sent only if its `SendAttempt` still allows it."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request.

        Raises:
            NotSent: the attempt is used up or no longer allowed.
        """
        attempt = _current_attempt.get()
        if attempt is None:
            raise NotSent("request has no send attempt")
        if attempt.sent or not attempt.may_send():
            conn.close()
            raise NotSent("aborted before the request was sent")
        attempt.sent = True
        conn.protocol.expect(attempt.request_id)
        conn.transport.max_size = attempt.read_ahead
        if not attempt.reuse:
            conn.protocol.force_close()
        return await super().send(conn)


class _Connector(StrictConnector):
    """Opens connections with `_MatchingResponseHandler` and a TCP user timeout."""

    def __init__(self, id_header: str, **options: object) -> None:
        handler = partial(_MatchingResponseHandler, id_header=id_header)
        super().__init__(handler, socket_factory=_open_socket, **options)

    async def _get(self, key: object, traces: list) -> Connection | None:
        """Return an open connection that the current attempt may use, if any."""
        attempt = _current_attempt.get()
        if attempt is None or not attempt.reuse:
            return None
        return await super()._get(key, traces)

    def _release(
        self,
        key: object,
        protocol: _MatchingResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.mark_idle()


class EndpointClient:
    """Connection pool for all endpoints and the store; close it after use."""

    def __init__(self, connect_timeout_s: float, id_header: str) -> None:
        """Create the client.

        Args:
            connect_timeout_s: timeout for opening a connection.
            id_header: header that matches responses to requests.
        """
        self._session = aiohttp.ClientSession(
            connector=_Connector(id_header, limit=0, keepalive_timeout=IDLE_TIMEOUT_S),
            request_class=_Request,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, connect=connect_timeout_s),
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        # aiohttp would retry requests with some methods by itself.
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
        attempt: SendAttempt,
    ) -> aiohttp.ClientResponse:
        """Send a request and return its response once the headers have arrived.

        The caller closes the response, or reads it to its end and releases it.

        Raises:
            aiohttp.ClientError: there is no response; `attempt.sent` says
                whether a byte may have been sent.
            TimeoutError: no connection was opened in time.
        """
        if self._session.closed:
            raise NotSent("the client is closed")
        token = _current_attempt.set(attempt)
        try:
            return await self._session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=body or None,
                read_bufsize=attempt.read_ahead,
                allow_redirects=False,
            )
        finally:
            _current_attempt.reset(token)

    async def call(
        self, address: str, call: ControlCall, timeout_s: float, reuse: bool = False
    ) -> ControlResponse:
        """Make a control call, which runs no request; return its response.

        Args:
            address: "IP:port" of the endpoint or the store.
            call: method, target and body.
            timeout_s: seconds for the whole response.
            reuse: whether later calls use the connection; only for calls that may get a
                late copy of an earlier response.

        Raises:
            aiohttp.ClientError: there is no response.
            IncompleteResponse: it is not complete, or too large.
            TimeoutError: the response was not complete within `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            response = await self._start_call(address, call, reuse)
            async with response:
                body = await read_document(body_of(response), MAX_CONTROL_BYTES)
                return ControlResponse(response.status, response.headers, body)

    async def call_while_progressing(
        self,
        address: str,
        call: ControlCall,
        limits: ProgressLimits,
        on_data: Callable[[int], None],
    ) -> ControlResponse:
        """Make a control call whose response may take long on a slow link.

        Args:
            address: "IP:port" of the endpoint or the store.
            call: method, target and body.
            limits: limits of time.
            on_data: called with the number of bytes of each part of the body.

        Raises:
            aiohttp.ClientError: there is no response.
            IncompleteResponse: it is not complete, or too large.
            TimeoutError: nothing arrived within one of the limits.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(limits.headers_s) as limit:
            response = await self._start_call(address, call)
            latest = loop.time() + limits.body_s

            def extend(size: int) -> None:
                on_data(size)
                limit.reschedule(min(latest, loop.time() + limits.stall_s))

            async with response:
                extend(0)
                body = await read_document(
                    body_of(response), MAX_STORE_PAGE_BYTES, on_part=extend
                )
                return ControlResponse(response.status, response.headers, body)

    async def _start_call(
        self, address: str, call: ControlCall, reuse: bool = False
    ) -> aiohttp.ClientResponse:
        headers = [("Content-Type", "application/json")] if call.body else []
        # Responses to these calls carry no id, so that any of them matches any call.
        attempt = SendAttempt(reuse=reuse)
        return await self.request(
            address, call.method, call.target, headers, call.body, attempt
        )


def _open_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    new_socket = socket.socket(family, kind, protocol)
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    new_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS
    )
    return new_socket
