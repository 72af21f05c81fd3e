"""HTTP server of a stand-in, on a loopback port."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from mode import Service

LOOPBACK = "127.0.0.1"
MAX_HEAD_BYTES = 64 * 1024  # of a request, and of each of its fields


class StandIn(Service):
    """Base class of the stand-ins, which serves `self.app`."""

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.app = web.Application(client_max_size=64 * 1024 * 1024)
        self._requested_port = port
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port; only valid after the start."""
        return self._runner.addresses[0][1]

    @property
    def url(self) -> str:
        """Base URL; only valid after the start."""
        return f"http://{LOOPBACK}:{self.port}"

    async def on_start(self) -> None:
        """Start serving."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_BYTES,
        )
        await self._runner.setup()
        # Another socket can then hold the port when this one stops listening.
        site = web.TCPSite(
            self._runner, LOOPBACK, self._requested_port, reuse_port=True
        )
        await site.start()

    async def on_stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    @asynccontextmanager
    async def down(self) -> AsyncIterator[None]:
        """Stop serving; within this context the port stays taken.

        Connections are refused, and no other server can take the port over.
        """
        with socket.socket() as reserved:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            reserved.bind((LOOPBACK, self.port))
            await self.stop()
            yield

    async def crash(self) -> None:
        """Abort all connections and stop serving."""
        for connection in self._runner.server.connections:
            connection.transport.abort()
        await self.stop()
