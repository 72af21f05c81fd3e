"""Small stand-ins of the users' store and workers, as PROTOCOL.md describes them."""

import asyncio
import base64
import json
import time
from itertools import count

from aiohttp import web

MAX_ITEMS = 500
HISTORY = 2000


class StandIn:
    """An HTTP server on a loopback address."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.port = 0
        self.app = web.Application(client_max_size=64 * 1024 * 1024)
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Return "IP:port"."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen, at the port of before if there is one."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port, reuse_address=True)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class Store(StandIn):
    """The platform's store: paged reads and watches."""

    def __init__(self) -> None:
        super().__init__()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 10
        self._changed = asyncio.Condition()
        self.app.router.add_get("/kv-range", self._range)
        self.app.router.add_get("/kv-watch", self._watch)

    async def put(self, key: str, document: dict) -> float:
        """Write a document; return the time of the ack."""
        self._revision += 1
        created = self._items.get(key, {}).get("Created", self._revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(document).encode()).decode(),
            "Revision": self._revision,
            "Created": created,
            "Lease": 0,
        }
        self._items[key] = item
        await self._append(item)
        return time.monotonic()

    async def remove(self, key: str) -> float:
        """Remove a document; return the time of the ack."""
        self._revision += 1
        del self._items[key]
        await self._append({"Key": key, "Revision": self._revision, "Removed": True})
        return time.monotonic()

    async def _append(self, event: dict) -> None:
        self._events = [*self._events, event][-HISTORY:]
        async with self._changed:
            self._changed.notify_all()

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query.get("PathPrefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return web.json_response(
            {
                "items": [self._items[key] for key in keys[:MAX_ITEMS]],
                "Truncated": len(keys) > MAX_ITEMS,
                "AsOf": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        wait_s = min(30.0, int(request.query.get("WaitMs", "0")) / 1000)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._since(after))
        except TimeoutError:
            pass
        return web.json_response({"events": self._since(after), "AsOf": self._revision})

    def _since(self, after: int) -> list[dict]:
        return [event for event in self._events if event["Revision"] > after]


class PlainWorker(StandIn):
    """A worker of a plain service, which records what it runs.

    Attributes:
        runs: time of arrival, id, headers, method, target and body of each run.
        work_s: seconds that a run takes.
    """

    def __init__(self, name: str, service: str, zone: str, slots: int = 6) -> None:
        super().__init__()
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.born = int(time.time() * 1000)
        self.runs: list[tuple] = []
        self.work_s = 0.002
        self._seq = count(1)
        self._free = asyncio.Semaphore(slots)
        self.app.router.add_get("/health", self._health)
        self.app.router.add_get("/report", self._report)
        self.app.router.add_route("*", "/{path:.*}", self._serve)

    def entry(self, state: str = "ready", **changes: object) -> dict:
        """Return the worker's entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": next(self._seq),
            "born": self.born,
            **changes,
        }

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.name})

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response({"born": self.born})

    async def _serve(self, request: web.Request) -> web.Response:
        arrived = time.monotonic()
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if not request_id:
            headers["X-Not-Executed"] = "1"
            return web.Response(status=400, headers=headers)
        if request.headers.get("X-Target-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        async with self._free:
            self.runs.append(
                (
                    arrived,
                    request_id,
                    request.headers,
                    request.method,
                    request.raw_path,
                    body,
                )
            )
            await asyncio.sleep(self.work_s)
        headers["X-Response-Signature"] = f"{self.name}.{request_id}"
        return web.Response(body=b"done " + request_id.encode(), headers=headers)
