"""Listening for callers, and closing of their connections at a planned stop.

A connection that is closed while its caller's next request is on its way cuts that
request off. Closing therefore takes only connections without unread bytes, and the
listening socket is closed only after every connection in its backlog was accepted.
"""

import asyncio
import select
import socket
from collections.abc import Callable, Collection
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import web

from ebonyglade.buffers import BufferBudget
from ebonyglade_node.callers.connection import LimitedHandler
from ebonyglade_node.callers.limits import ConnectionLimits, ConnectionPolicy

if TYPE_CHECKING:
    # The forwarding entry starts without this module.
    import ssl

BACKLOG = 512  # connections that the system keeps until they are accepted
# Accepted at a time, so that those that must be closed for them are closed meanwhile.
ACCEPT_BATCH = 16
# For requests that are still active when all connections are closed. Who stops a
# server has drained it before; what is left waits for its caller.
STOP_S = 0.1
# Time in which requests that were read reach their handlers, also in a busy process.
DISPATCH_S = 0.05


class CallerListener:
    """Serves an application at one address, and closes its connections in order.

    Args:
        app: the HTTP application.
        address: "IP:port" to listen on; port 0 for any free one.
        limits: limits of the connections.
        count: adds to a named counter.
        buffers: memory of the process for callers.
        tls: context of TLS; None for plain HTTP.
        options: options of aiohttp's runner.
    """

    def __init__(
        self,
        app: web.Application,
        address: str,
        limits: ConnectionLimits,
        count: Callable[[str], None],
        buffers: BufferBudget,
        tls: "ssl.SSLContext | None" = None,
        **options: object,
    ) -> None:
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=STOP_S
        )
        self._address = address
        self._policy = ConnectionPolicy(limits, count, buffers)
        self._tls = tls
        self._options = {
            "access_log": None,
            "keepalive_timeout": limits.keepalive_s,
            "max_line_size": limits.head_bytes,
            "max_field_size": limits.head_bytes,
            # The bound on the head's size is the only one on the number of fields.
            "max_headers": limits.head_bytes,
            **options,
        }
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def port(self) -> int:
        """TCP port, once started."""
        return self._port

    @property
    def open_connections(self) -> int:
        """Number of callers' connections."""
        return len(self._runner.server.connections)

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: the address can't be used.
        """
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, int(port)), family=family)
        self._socket.setblocking(False)
        self._port = self._socket.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            self._new_handler, sock=self._socket, ssl=self._tls, backlog=ACCEPT_BATCH
        )
        # asyncio accepts as many at a time as it lets the system keep.
        self._socket.listen(BACKLOG)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    async def stop_accepting(self) -> None:
        """Accept what is in the backlog, then close the listening socket.

        Closing resets connections in the backlog, also those with a complete request.
        """
        if self._server is None:
            return
        server, self._server = self._server, None
        loop = asyncio.get_running_loop()
        # asyncio drops connections whose transports are made after the server closed.
        loop.remove_reader(self._socket)
        await asyncio.sleep(DISPATCH_S)
        accepted = []
        with suppress(BlockingIOError):
            while True:
                accepted.append(self._socket.accept()[0])
        server.close()
        for connection in accepted:
            connection.setblocking(False)
            await loop.connect_accepted_socket(
                self._new_handler, connection, ssl=self._tls
            )

    async def close_idle(self, active: Collection[web.RequestHandler]) -> None:
        """Close the connections on which no request is active or has arrived.

        Reading pauses first, so that what was read until then reaches its handler and
        what arrives later stays visible in the socket.

        Args:
            active: connections with an active request; changes while this runs.
        """
        handlers = [
            handler
            for handler in self._runner.server.connections
            if handler not in active and handler.transport is not None
        ]
        for handler in handlers:
            handler.transport.pause_reading()
        await asyncio.sleep(DISPATCH_S)
        for handler in handlers:
            if handler.transport is None:
                continue
            if handler in active or _has_unread_bytes(handler.transport):
                handler.transport.resume_reading()
            else:
                handler.force_close()

    def _new_handler(self) -> LimitedHandler:
        return LimitedHandler(self._runner.server, self._policy, **self._options)


def _has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
