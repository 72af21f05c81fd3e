"""HTTP server of a forwarding entry; bodies pass through it unchanged."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from mode import Service
from pydantic import ValidationError
from pydantic_core import to_json
from result import Err, Result

from ebonyglade.buffers import REQUEST_BYTES, BufferLease
from ebonyglade.completeness import Ending, IncompleteResponse
from ebonyglade.forward.call import (
    CompleteResponse,
    ForwardCall,
    Reply,
    StreamedResponse,
)
from ebonyglade.forward.entry import ForwardEntry
from ebonyglade.verdict import Refusal, refuse
from ebonyglade_entry.cutting import cut_response
from ebonyglade_entry.drain import RequestDrainer, ServingState
from ebonyglade_entry.forwarding.settings import ListenSection
from ebonyglade_entry.forwarding.where import WhereQuery
from ebonyglade_node.callers.limits import ConnectionLimits
from ebonyglade_node.callers.listener import CallerListener
from ebonyglade_node.callers.uploads import discard_upload, read_upload
from ebonyglade_node.forward_node import ForwardNode

logger = logging.getLogger(__name__)

WRITE_PART_BYTES = 64 * 1024  # of a large body, written at a time
CALLER_STALL_S = 10.0  # for a caller to read another part of a large body
BODY_TIMEOUT_S = 10.0  # for the whole request body
# The load balancer polls readiness once a second and removes an entry after two
# failed polls; until then new requests are still served.
BALANCER_DELAY_S = 2.6
QUIET_S = 1.0  # without a new request, after which open connections are closed
# Of the grace period, for the refusal of what callers have sent to a closing entry.
CLOSE_S = 0.5
ANSWER_S = 0.1  # of that, for the refusal of requests that are still active
SWEEP_INTERVAL_S = 0.05  # between two times of closing idle connections
EXIT_S = 0.5  # of the grace period, for the end of the process


class ForwardServer(Service):
    """HTTP server that callers send their requests to."""

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
        self._callers = self._new_listener(
            self._callers_app(), section.callers, section.max_connections
        )
        self._probes = self._probe_listeners()
        self._active_handlers: set[web.RequestHandler] = set()
        self._stop_limits: set[asyncio.Timeout] = set()
        drain_s = grace_s - BALANCER_DELAY_S - CLOSE_S - EXIT_S
        self.drainer = RequestDrainer(BALANCER_DELAY_S, max(0.0, drain_s), QUIET_S)

    async def on_start(self) -> None:
        """Start to listen for callers, the load balancer and metrics."""
        for listener in (self._callers, *self._probes):
            await listener.start()

    async def on_stop(self) -> None:
        """Stop listening."""
        for listener in (self._callers, *self._probes):
            await listener.stop()

    async def drain(self) -> None:
        """Report not ready, refuse new requests, then finish the active ones.

        From the start on each response closes its connection. Idle connections stay
        open until their callers have been quiet, or the grace period is over.
        """
        await self.drainer.drain()
        await self._close_connections()

    async def _close_connections(self) -> None:
        """Refuse what was sent until now, then close callers' connections.

        Requests that are still active get until the end of the time for this.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + CLOSE_S
        await self._callers.stop_accepting()
        while self._callers.open_connections and loop.time() < ends_at - ANSWER_S:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self._callers.close_idle(self._active_handlers)
        logger.info(
            "connections closed",
            extra={
                "left_open": self._callers.open_connections,
                "refused_active": len(self._stop_limits),
            },
        )
        for limit in self._stop_limits:
            limit.reschedule(loop.time())
        await asyncio.sleep(max(0.0, ends_at - loop.time()) if self._stop_limits else 0)

    def _new_listener(
        self, app: web.Application, address: str, connections: int
    ) -> CallerListener:
        limits = ConnectionLimits(
            connections,
            self._section.head_timeout_s,
            self._section.max_head_bytes,
            CALLER_STALL_S,
        )
        max_files = self._node.settings.instance.max_files
        return CallerListener(
            app,
            address,
            limits.within_descriptors(max_files),
            self._node.metrics.count,
            self._entry.buffers,
            auto_decompress=False,
        )

    def _probe_listeners(self) -> list[CallerListener]:
        """Return the listeners for the load balancer and, if set, for metrics."""
        section = self._section
        apps = [(self._ready_app(), section.ready)]
        if section.metrics_port:
            apps.append((self._metrics_app(), section.metrics_address))
        return [
            self._new_listener(app, address, section.max_probe_connections)
            for app, address in apps
        ]

    def _callers_app(self) -> web.Application:
        # The body limit depends on the configuration; `_read_body` checks it.
        app = web.Application(client_max_size=0)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    def _ready_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get(self._node.adapter.READY_PATH, self._ready)
        return app

    def _metrics_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/where", self._where)
        return app

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self._node.metrics.render())

    async def _where(self, request: web.Request) -> web.Response:
        """Explain where a request would be sent; nothing is sent or recorded."""
        try:
            query = WhereQuery.model_validate(dict(request.query))
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        table = self._entry.replica.table
        if table is not None and query.body_bytes > table.limits.body_bytes:
            return web.json_response({"refusal": refuse("body_too_large").code})
        call = query.call(self._node.context.clock())
        explanation = self._entry.explain(call, query.workspace)
        return web.Response(body=to_json(explanation), content_type="application/json")

    async def _ready(self, request: web.Request) -> web.Response:
        ready = self.drainer.state is ServingState.OPEN and self._entry.ready
        return web.Response(status=200 if ready else 503)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        started = self._node.context.clock()
        self.drainer.request_started()
        self._active_handlers.add(request.protocol)
        call: ForwardCall | None = None
        upload = BufferLease(self._entry.buffers)
        outcome = "internal"
        try:
            upload.hold(REQUEST_BYTES)
            call = self._new_call(request, started)
            refusal = await self._receive(request, call, upload)
            if refusal is not None:
                outcome = refusal.code
                return self._refusal_response(request, refusal, call.id)
            reply = await self._run(call)
            if isinstance(reply, Err):
                outcome = reply.err_value.code
                return self._refusal_response(request, reply.err_value, call.id)
            response = await self._respond(request, call, reply.ok_value)
            outcome = f"status_{response.status}"
            return response
        except asyncio.CancelledError:
            outcome = "cancelled"
            discard_upload(call.body if call else b"")
            raise
        except (IncompleteResponse, ConnectionError) as error:
            outcome = f"cut: {error}"
            self._log_cut(request, call, error)
            return cut_response(request)
        except Exception:
            logger.exception("request failed", extra={"request": call and call.id})
            return self._refusal_response(
                request, refuse("internal"), call.id if call else ""
            )
        finally:
            if call is not None:
                call.buffers.release()
                # What refers to the call may keep it until a later collection.
                call.body = b""
            upload.release()
            self.drainer.request_finished()
            self._active_handlers.discard(request.protocol)
            self._log_request(request, call, started, outcome)

    async def _run(self, call: ForwardCall) -> Reply:
        """Run a request; one that is active at the end of a planned stop is refused."""
        try:
            async with self._until_stopped() as limit:
                return await self._entry.run(call)
        except TimeoutError:
            if not limit.expired():
                raise
            return Err(refuse("deadline_exceeded" if call.endpoints else "stopping"))

    async def _read_body(
        self, request: web.Request, max_bytes: int, upload: BufferLease
    ) -> Result[bytearray, Refusal]:
        """Read a request's body.

        One that is not whole at the end of a planned stop is refused.
        """
        try:
            with self.drainer.upload():
                async with self._until_stopped() as limit:
                    return await read_upload(request, max_bytes, BODY_TIMEOUT_S, upload)
        except TimeoutError:
            if not limit.expired():
                raise
            return Err(refuse("stopping"))

    @asynccontextmanager
    async def _until_stopped(self) -> AsyncIterator[asyncio.Timeout]:
        """Limit what is done for a caller to the end of a planned stop.

        Raises:
            TimeoutError: the stop ends; `expired` of the limit tells it from others.
        """
        async with asyncio.timeout(None) as limit:
            self._stop_limits.add(limit)
            try:
                yield limit
            finally:
                self._stop_limits.discard(limit)

    def _new_call(self, request: web.Request, started: float) -> ForwardCall:
        """Return a request without its body."""
        headers = [(str(name), str(value)) for name, value in request.headers.items()]
        return ForwardCall(
            metadata=self._node.adapter.read_request(request.headers),
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            headers=headers,
            body=b"",
            arrived_at=started,
            buffers=BufferLease(self._entry.buffers),
        )

    async def _receive(
        self, request: web.Request, call: ForwardCall, upload: BufferLease
    ) -> Refusal | None:
        """Check a request's head, then read its body into the call.

        What the head alone decides needs no body, which would only hold memory.
        """
        refusal = self._check_size(request) or self._check_open()
        if refusal is not None or not request.body_exists:
            return refusal
        refusal = self._entry.check_head(call)
        if refusal is not None:
            return refusal
        max_bytes = self._entry.replica.table.limits.body_bytes
        body = await self._read_body(request, max_bytes, upload)
        if isinstance(body, Err):
            return body.err_value
        call.body = body.ok_value
        # One that is whole only late in a planned stop has little time left to run.
        return self._check_open()

    def _check_size(self, request: web.Request) -> Refusal | None:
        table = self._entry.replica.table
        if table is None:
            return refuse("starting")
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > table.limits.header_bytes:
            return refuse("headers_too_large")
        if (request.content_length or 0) > table.limits.body_bytes:
            return refuse("body_too_large")
        return None

    def _check_open(self) -> Refusal | None:
        """Return the refusal of a request that is one too many, or comes too late."""
        if self.drainer.state is ServingState.CLOSED:
            return refuse("stopping")
        if self.drainer.whole_requests > self._section.max_requests:
            return refuse("overloaded")
        return None

    async def _respond(
        self,
        request: web.Request,
        call: ForwardCall,
        reply: CompleteResponse | StreamedResponse,
    ) -> web.StreamResponse:
        if isinstance(reply, CompleteResponse) and len(reply.body) <= WRITE_PART_BYTES:
            return self._with_head(web.Response(body=reply.body), reply)
        try:
            if isinstance(reply, StreamedResponse):
                return await self._write_stream(request, call, reply)
            return await self._write_large_body(request, call, reply)
        except (IncompleteResponse, ConnectionError):
            raise
        except Exception as error:
            # A refusal can't follow the beginning of a response.
            logger.exception("response failed", extra={"request": call.id})
            raise IncompleteResponse(f"internal error: {error!r}") from error

    def _with_head(
        self,
        response: web.StreamResponse,
        reply: CompleteResponse | StreamedResponse,
    ) -> web.StreamResponse:
        """Return a response with the status and headers of a reply."""
        response.set_status(reply.status)
        _set_headers(response, reply.headers)
        self._close_if_stopping(response)
        return response

    async def _write_stream(
        self, request: web.Request, call: ForwardCall, reply: StreamedResponse
    ) -> web.StreamResponse:
        """Write a stream's events as they come, until the deadline of its request."""
        response = self._with_head(web.StreamResponse(), reply)
        try:
            await response.prepare(request)
            async for chunk in reply.chunks:
                left_s = call.deadline - self._node.context.clock()
                await self._write(response, chunk, left_s)
            await response.write_eof()
        finally:
            await reply.chunks.aclose()
            reply.release()
        return response

    async def _write_large_body(
        self, request: web.Request, call: ForwardCall, reply: CompleteResponse
    ) -> web.StreamResponse:
        """Write a body as fast as its caller reads it, without another copy of it."""
        response = self._with_head(web.StreamResponse(), reply)
        response.content_length = len(reply.body)
        call.buffers.may_be_given_up(lambda: cut_response(request))
        await response.prepare(request)
        for start in range(0, len(reply.body), WRITE_PART_BYTES):
            part = reply.body[start : start + WRITE_PART_BYTES]
            await self._write(response, part, CALLER_STALL_S)
        await response.write_eof()
        return response

    async def _write(
        self, response: web.StreamResponse, part: bytes, timeout_s: float
    ) -> None:
        """Write a part of a response.

        Raises:
            IncompleteResponse: the caller has not read enough of it in time.
        """
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await response.write(part)
        except TimeoutError as error:
            self._node.metrics.count("callers_too_slow")
            raise IncompleteResponse("the caller does not read", Ending.LATE) from error

    def _close_if_stopping(self, response: web.StreamResponse) -> None:
        if self.drainer.state is not ServingState.OPEN:
            # Closing a keep-alive connection makes the caller connect to another entry.
            response.force_close()

    def _refusal_response(
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
        self._close_if_stopping(response)
        return response

    def _log_cut(
        self, request: web.Request, call: ForwardCall | None, error: Exception
    ) -> None:
        """Log a caller's response that ends early, and how its end can be seen.

        Before HTTP/1.1 a response has no chunks, and a streamed one ends with its
        connection.
        """
        self._node.metrics.count("caller_responses_cut")
        logger.info(
            "response to the caller cut",
            extra={
                "request": call.id if call else "",
                "http": f"{request.version.major}.{request.version.minor}",
                "reason": str(error) or type(error).__name__,
            },
        )

    def _log_request(
        self,
        request: web.Request,
        call: ForwardCall | None,
        started: float,
        outcome: str,
    ) -> None:
        now = self._node.context.clock()
        self._node.metrics.count("requests")
        self._node.metrics.observe("request", now - started)
        replica = self._entry.replica
        logger.info(
            "request",
            extra={
                "request": request.headers.get(self._node.adapter.REQUEST_ID, ""),
                "route": call.route.name if call and call.route else "",
                "workspace": call.workspace_name if call else "",
                "endpoints": ",".join(call.endpoints) if call else "",
                "outcome": outcome,
                "seconds": round(now - started, 4),
                **replica.log_fields(now),
            },
        )


def _set_headers(response: web.StreamResponse, headers: list[tuple[str, str]]) -> None:
    # Drop aiohttp's default, so that the endpoint's own Content-Type counts;
    # add() keeps repeated headers.
    response.headers.popall("Content-Type", None)
    for name, value in headers:
        response.headers.add(name, value)
