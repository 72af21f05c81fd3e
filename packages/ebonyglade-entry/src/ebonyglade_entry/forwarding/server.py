"""Takes callers' requests and passes endpoints' answers on, byte for byte."""

import asyncio
import logging

from aiohttp import web
from mode import Service
from result import Err, Ok, Result

from ebonyglade.forward.call import BrokenOff, ForwardCall, Stream, Whole
from ebonyglade.forward.entry import ForwardEntry
from ebonyglade.verdict import Refusal, refuse
from ebonyglade_entry.doorkeeper import Door, Doorkeeper
from ebonyglade_entry.forwarding.settings import ListenSection
from ebonyglade_node.forward_node import ForwardNode

logger = logging.getLogger(__name__)

PARSER_LIMIT = 64 * 1024  # bytes of one line, above any published limit
MOST_IDLE_S = 75.0  # a caller's idle connection is closed after this time
BODY_S = 10.0  # a body must arrive within this time
# The balancer asks once a second and needs two misses.
LEAVE_S = 2.6


class ForwardServer(Service):
    """The callers' side of a forwarding entry."""

    def __init__(
        self,
        section: ListenSection,
        node: ForwardNode,
        entry: ForwardEntry,
        grace_s: float,
    ) -> None:
        super().__init__()
        self._section = section
        self._node = node
        self._entry = entry
        self._runners: list[web.AppRunner] = []
        self._busy: set[web.RequestHandler] = set()
        self.doorkeeper = Doorkeeper(LEAVE_S, max(0.0, grace_s - LEAVE_S - 0.5))

    async def on_start(self) -> None:
        """Open all doors."""
        await self._open(self._callers_app(), self._section.callers)
        await self._open(self._ready_app(), self._section.ready)
        if self._section.metrics_port:
            host = self._section.callers.rpartition(":")[0]
            address = f"{host}:{self._section.metrics_port}"
            await self._open(self._metrics_app(), address)

    async def on_stop(self) -> None:
        """Close all doors."""
        for runner in self._runners:
            await runner.cleanup()

    def close_idle(self) -> None:
        """Close callers' connections, those under way after their answer."""
        for handler in list(self._runners[0].server.connections):
            if handler in self._busy:
                handler.close()
            else:
                # The library's `close` leaves an idle connection open, and what
                # is sent over it would never be answered.
                handler.force_close()

    async def drain(self) -> None:
        """Leave the balancer, then close the door, then finish what is open."""
        leaving = asyncio.get_running_loop().call_later(LEAVE_S, self.close_idle)
        try:
            await self.doorkeeper.drain()
        finally:
            leaving.cancel()

    async def _open(self, app: web.Application, address: str) -> None:
        runner = web.AppRunner(
            app,
            access_log=None,
            max_line_size=PARSER_LIMIT,
            max_field_size=PARSER_LIMIT,
            handler_cancellation=True,
            keepalive_timeout=MOST_IDLE_S,
            auto_decompress=False,
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=512).start()

    def _callers_app(self) -> web.Application:
        # Each configuration has its own limit, which is checked per request.
        app = web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    def _ready_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get(self._node.adapter.READY_PATH, self._ready)
        return app

    def _metrics_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        return app

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self._node.metrics.render())

    async def _ready(self, request: web.Request) -> web.Response:
        ready = self.doorkeeper.door is Door.OPEN and self._entry.ready
        return web.Response(status=200 if ready else 503)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        started = self._node.context.clock()
        self.doorkeeper.enter()
        self._busy.add(request.protocol)
        call: ForwardCall | None = None
        outcome = "internal"
        try:
            checked = await self._read(request, started)
            if isinstance(checked, Err):
                outcome = checked.err_value.code
                return self._refuse(request, checked.err_value, "")
            call = checked.ok_value
            reply = await self._entry.run(call)
            if isinstance(reply, Err):
                outcome = reply.err_value.code
                return self._refuse(request, reply.err_value, call.id)
            response = await self._answer(request, reply.ok_value)
            outcome = f"status_{response.status}"
            return response
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        except (BrokenOff, ConnectionError) as error:
            outcome = f"cut: {error}"
            if request.transport is not None:
                # Without its last chunk an answer can't look whole.
                request.transport.abort()
            raise ConnectionResetError("answer cut off") from error
        except Exception:
            logger.exception("request failed", extra={"request": call and call.id})
            return self._refuse(request, refuse("internal"), call.id if call else "")
        finally:
            self.doorkeeper.leave()
            self._busy.discard(request.protocol)
            self._note(request, call, started, outcome)

    async def _read(
        self, request: web.Request, started: float
    ) -> Result[ForwardCall, Refusal]:
        table = self._entry.belief.table
        if table is None:
            return Err(refuse("starting"))
        limits = table.limits
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > limits.header_bytes:
            return Err(refuse("headers_too_large"))
        if (request.content_length or 0) > limits.body_bytes:
            return Err(refuse("body_too_large"))
        if self.doorkeeper.door is Door.CLOSED:
            return Err(refuse("stopping"))
        if self.doorkeeper.open_requests > self._section.max_requests:
            return Err(refuse("overloaded"))
        body = await _body(request, limits.body_bytes)
        if isinstance(body, Err):
            return body
        headers = [(str(name), str(value)) for name, value in request.headers.items()]
        return Ok(
            ForwardCall(
                facts=self._node.adapter.read_request(request.headers),
                method=request.method,
                target=request.raw_path,
                host=request.headers.get("Host", ""),
                headers=headers,
                body=body.ok_value,
                arrived=started,
            )
        )

    async def _answer(
        self, request: web.Request, answer: Whole | Stream
    ) -> web.StreamResponse:
        if isinstance(answer, Whole):
            response = web.Response(status=answer.status, body=answer.body)
            _set_headers(response, answer.headers)
            self._leave(response)
            return response
        response = web.StreamResponse(status=answer.status)
        _set_headers(response, answer.headers)
        self._leave(response)
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                await response.write(chunk)
            await response.write_eof()
        finally:
            await answer.chunks.aclose()
        return response

    def _leave(self, response: web.StreamResponse) -> None:
        if self.doorkeeper.door is not Door.OPEN:
            # A caller on a kept connection goes to another entry.
            response.force_close()

    def _refuse(
        self, request: web.Request, refusal: Refusal, request_id: str
    ) -> web.Response:
        self._node.metrics.count(f"refused_{refusal.code}")
        response = web.json_response(
            {
                "error": {
                    "code": refusal.code,
                    "message": refusal.message,
                    "verdict": refusal.verdict.value,
                }
            },
            status=refusal.status,
        )
        if request_id:
            response.headers[self._node.adapter.REQUEST_ID] = request_id
        if refusal.retry_after is not None:
            response.headers["Retry-After"] = f"{refusal.retry_after:.1f}"
        self._leave(response)
        return response

    def _note(
        self,
        request: web.Request,
        call: ForwardCall | None,
        started: float,
        outcome: str,
    ) -> None:
        now = self._node.context.clock()
        self._node.metrics.count("requests")
        self._node.metrics.observe("request", now - started)
        belief = self._entry.belief
        logger.info(
            "request",
            extra={
                "request": request.headers.get(self._node.adapter.REQUEST_ID, ""),
                "route": call.route.name if call and call.route else "",
                "workspace": call.workspace_name if call else "",
                "endpoints": ",".join(call.endpoints) if call else "",
                "outcome": outcome,
                "seconds": round(now - started, 4),
                "store_revision": belief.as_of,
                "store_age": round(min(belief.age(now), 1e6), 3),
            },
        )


async def _body(request: web.Request, most: int) -> Result[bytes, Refusal]:
    parts, size = [], 0
    try:
        async with asyncio.timeout(BODY_S):
            async for part in request.content.iter_any():
                parts.append(part)
                size += len(part)
                if size > most:
                    return Err(refuse("body_too_large"))
    except TimeoutError:
        return Err(refuse("read_timeout"))
    return Ok(b"".join(parts))


def _set_headers(response: web.StreamResponse, headers: list[tuple[str, str]]) -> None:
    # An endpoint's own type replaces the default, repeated headers stay.
    response.headers.popall("Content-Type", None)
    for name, value in headers:
        response.headers.add(name, value)
