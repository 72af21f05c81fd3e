"""A stand-in's HTTP server on a free loopback port."""

from aiohttp import web
from mode import Service

LOOPBACK = "127.0.0.1"


class StandIn(Service):
    """Base of the stand-ins: serves `self.app`."""

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.app = web.Application(client_max_size=64 * 1024 * 1024)
        self._wanted_port = port
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port, once started."""
        return self._runner.addresses[0][1]

    @property
    def url(self) -> str:
        """Base address, once started."""
        return f"http://{LOOPBACK}:{self.port}"

    async def on_start(self) -> None:
        """Start to serve."""
        self._runner = web.AppRunner(
            self.app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, self._wanted_port).start()

    async def on_stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def crash(self) -> None:
        """Cut all connections at once and stop serving."""
        for connection in self._runner.server.connections:
            connection.transport.abort()
        await self.stop()
