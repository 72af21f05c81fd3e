"""One caller's HTTP connection, which is given up when its caller takes too much."""

import asyncio
import logging

from aiohttp import EMPTY_PAYLOAD, StreamReader, web
from aiohttp.http_parser import RawRequestMessage

from ebonyglade.buffers import KIB, BufferLease
from ebonyglade.callers.connection_table import CallerConnection, Progress
from ebonyglade_node.callers.limits import ConnectionPolicy
from ebonyglade_node.callers.pacer import COSTLY_LINES, COSTLY_READ_BYTES

logger = logging.getLogger(__name__)

READ_BYTES = 16 * KIB  # read from the system at a time
BODY_AHEAD_BYTES = 8 * KIB  # after twice so much of an unread body, reading pauses
UNSENT_BYTES = 16 * KIB  # after so much that the caller has not read, writing pauses
FIELD_BYTES = 400  # what the objects of one field of a request take, apart from text
RESPONSE_AHEAD_BYTES = 96 * KIB  # what was read of a stream that is not passed on
RESPONSE_COPIES = 2  # what is not sent is there as the response's body, too
TEXT_COPIES = 2  # a field's text is there as bytes and decoded


class LimitedHandler(web.RequestHandler):
    """Follows what has arrived of a caller's requests, and limits it.

    Args:
        server: the application's server.
        policy: what holds for all connections at its address.
        options: options of aiohttp's handler.
    """

    def __init__(
        self,
        server: web.Server,
        policy: ConnectionPolicy,
        **options: object,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(server, loop=loop, read_bufsize=BODY_AHEAD_BYTES, **options)
        self._policy = policy
        self._table = policy.table
        self._connection = CallerConnection(self._close_for_others)
        self._lease = BufferLease(policy.buffers)
        self._last_body: StreamReader = EMPTY_PAYLOAD
        # What has arrived since the last content or the end of the last head.
        self._field_bytes = 0
        self._field_lines = 0
        self._content_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection, for which another one may have to be closed."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(UNSENT_BYTES)
        first = self._table.add(self._connection)
        if first is not None:
            first.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection, and what has arrived on it.

        Objects of a closed connection refer to each other, so that their memory would
        be released only by a later collection.
        """
        self._table.remove(self._connection)
        self._stop_head_timer()
        super().connection_lost(exc)
        self._messages.clear()
        if self._last_body is not EMPTY_PAYLOAD:
            self._last_body._buffer.clear()
        self._lease.release()

    def data_received(self, data: bytes) -> None:
        """Parse what arrives, and follow how far its request is."""
        requests, content = self._request_count, self._content_bytes
        super().data_received(data)
        heads = self._request_count - requests
        self._follow(data, heads)
        content = self._content_bytes - (0 if heads else content)
        if self.transport is not None and is_costly(data, content):
            self.transport.max_size = COSTLY_READ_BYTES
            self._pause_reading_for_buffer()
            self._policy.pacer.wait(self._take_turn)

    def _take_turn(self) -> None:
        """Read on, unless too many requests are queued."""
        if len(self._messages) < self._max_msg_queue_size:
            self._resume_reading_for_buffer()

    def pause_writing(self) -> None:
        """Charge what the caller does not read."""
        super().pause_writing()
        self._charge()

    def resume_writing(self) -> None:
        """Charge no more what the caller has read."""
        super().resume_writing()
        self._charge()

    async def finish_response(
        self, request: web.BaseRequest, *arguments: object
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; the connection may be idle after it."""
        response, reset = await super().finish_response(request, *arguments)
        if isinstance(response, web.Response):
            # The handler keeps the last response while the connection is idle.
            response.body = None
        self._follow(b"", 0, answered=True)
        return response, reset

    async def _drain_helper(self) -> None:
        """Wait until the caller has read enough.

        Raises:
            ConnectionError: it has not in time, and its connection is closed.
        """
        if not self._paused:
            await super()._drain_helper()
            return
        try:
            async with asyncio.timeout(self._policy.limits.unread_s):
                await super()._drain_helper()
        except TimeoutError:
            self._give_up("unread")
            raise ConnectionResetError("the caller does not read") from None

    def _follow(self, data: bytes, heads: int, answered: bool = False) -> None:
        """Set the connection's progress.

        Args:
            data: bytes that have arrived.
            heads: number of heads that they completed.
            answered: whether the request before them was answered.
        """
        if heads:
            self._last_body = self._messages[-1][1]
        body_missing = not self._last_body.is_eof()
        was_missing = self._connection.progress is Progress.BODY_MISSING
        self._count_fields(data, heads, was_missing and not body_missing)
        if body_missing:
            progress = Progress.BODY_MISSING
        elif self._messages or (self._current_request is not None and not answered):
            progress = Progress.ACTIVE
        elif self._field_bytes:
            progress = Progress.NO_REQUEST
        elif answered or self._connection.progress is Progress.BODY_MISSING:
            progress = Progress.IDLE
        else:
            progress = self._connection.progress
        if self.transport is not None:
            self._table.move(self._connection, progress)
            self._limit_fields()
            self._charge()

    def _count_fields(self, data: bytes, heads: int, ends_body: bool) -> None:
        """Count bytes and lines of a head that is not complete, or of trailers.

        They are not told from the framing of chunks, which content follows.
        """
        content = self._last_body.total_bytes
        if heads or ends_body or content != self._content_bytes:
            self._field_bytes = self._field_lines = 0
        else:
            self._field_bytes += len(data)
            self._field_lines += data.count(b"\n")
        self._content_bytes = content

    def _limit_fields(self) -> None:
        """Limit the size of fields that have no end, and the time of a head."""
        if self._field_bytes > self._policy.limits.head_bytes:
            self._give_up("fields_too_large")
        elif self._connection.progress is not Progress.NO_REQUEST:
            self._stop_head_timer()
        elif self._field_bytes and self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self._policy.limits.head_s, self._give_up, "head_late"
            )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _charge(self) -> None:
        """Hold the memory of what has arrived and was not answered, or not read."""
        if self.transport is None:
            return
        unsent = self.transport.get_write_buffer_size()
        size = self._arrived_bytes() + RESPONSE_COPIES * unsent
        if self._paused:
            size += RESPONSE_AHEAD_BYTES
        waits = self._connection.progress is not Progress.ACTIVE
        is_ahead = self._current_request is not None and bool(self._messages)
        may_end = size and (waits or is_ahead or unsent > UNSENT_BYTES)
        self._lease.may_be_given_up(self._give_up_memory if may_end else None)
        if not self._lease.hold(size):
            self._give_up("memory")

    def _arrived_bytes(self) -> int:
        """Return what unanswered requests and an unfinished head take.

        What was read of the current request's body is charged by who reads it.
        """
        fields, size = self._field_lines, self._field_bytes
        for message, body in self._messages:
            size += body.total_bytes
            if isinstance(message, RawRequestMessage):
                fields += len(message.raw_headers)
                size += TEXT_COPIES * _text_bytes(message.raw_headers)
        if self._current_request is not None:
            fields += len(self._current_request.raw_headers)
            size += _unread_bytes(self._current_request.content)
        if self._reading_paused or self._buffer_paused:
            size += READ_BYTES
        return size + fields * FIELD_BYTES

    def _close_for_others(self) -> None:
        self._give_up("connections")

    def _give_up_memory(self) -> None:
        self._give_up("memory")

    def _give_up(self, reason: str) -> None:
        """Close the connection at once, also with bytes that are not yet written."""
        transport = self.transport
        if transport is None:
            return
        self._policy.count(f"callers_given_up_{reason}")
        logger.info(
            "caller's connection given up",
            extra={"reason": reason, "progress": self._connection.progress.name},
        )
        self._table.remove(self._connection)
        transport.abort()
        if reason == "memory":
            self._policy.release_soon()


def is_costly(data: bytes, content: int) -> bool:
    """Return whether bytes are mostly lines that are no content."""
    return 2 * content < len(data) and data.count(b"\n") > COSTLY_LINES


def _unread_bytes(body: StreamReader) -> int:
    return 0 if body is EMPTY_PAYLOAD else body._size


def _text_bytes(fields: tuple[tuple[bytes, bytes], ...]) -> int:
    return sum(len(name) + len(value) for name, value in fields)
