"""Stand-in for a booking service that counts what it executes."""

import asyncio
from collections import Counter
from collections.abc import Callable

from aiohttp import web

from ebonyglade_lab.standins.server import StandIn


class Booking(StandIn):
    """Takes bookings, which must not be executed twice, and lists them.

    Attributes:
        executions: how often each booking was executed, by its body.
        seen: the last request.
        respond: replaces the service's response, where a test sets it.
    """

    def __init__(self, port: int = 0, seconds: float = 0.002) -> None:
        super().__init__(port)
        self.duration_s = seconds
        self.executions: Counter[str] = Counter()
        self.last_request: web.Request | None = None
        self.response_override: Callable[[web.Request], web.Response] | None = None
        self.app.router.add_post("/bookings", self._book)
        self.app.router.add_get("/bookings", self._list)
        self.app.router.add_get("/listings", self._list)

    async def _book(self, request: web.Request) -> web.Response:
        self.last_request = request
        body = await request.text()
        self.executions[body] += 1
        await asyncio.sleep(self.duration_s)
        if self.response_override is not None:
            return self.response_override(request)
        return web.json_response(
            {"booked": body, "count": self.executions[body]},
            status=201,
            headers={"Location": "/bookings/1"},
        )

    async def _list(self, request: web.Request) -> web.Response:
        self.last_request = request
        if self.response_override is not None:
            return self.response_override(request)
        return web.json_response({"bookings": sorted(self.executions)})
