"""Stand-in for a booking service that counts what it executes."""

import asyncio
from collections import Counter

from aiohttp import web

from ebonyglade_lab.standins.server import StandIn


class Booking(StandIn):
    """Takes bookings, which must not be repeated, and lists them.

    Attributes:
        executions: how often each booking was executed, by its body.
        seen_headers: names of the headers that came with the last call.
    """

    def __init__(self, port: int = 0, seconds: float = 0.002) -> None:
        super().__init__(port)
        self._seconds = seconds
        self.executions: Counter[str] = Counter()
        self.seen_headers: list[str] = []
        self.app.router.add_post("/bookings", self._book)
        self.app.router.add_get("/bookings", self._list)
        self.app.router.add_get("/listings", self._list)

    async def _book(self, request: web.Request) -> web.Response:
        self.seen_headers = list(request.headers)
        body = await request.text()
        self.executions[body] += 1
        await asyncio.sleep(self._seconds)
        return web.json_response(
            {"booked": body, "count": self.executions[body]},
            status=201,
            headers={"Location": "/bookings/1"},
        )

    async def _list(self, request: web.Request) -> web.Response:
        self.seen_headers = list(request.headers)
        return web.json_response({"bookings": sorted(self.executions)})
