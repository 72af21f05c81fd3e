"""Serves callers over HTTP and turns requests into calls."""

import asyncio
import logging
import math
import secrets
from collections.abc import AsyncIterator

from aiohttp import web
from mode import Service
from result import Err, Ok, Result

from ebonyglade.calls import Call, Proceed, StreamFailed, TokenStream, WholeAnswer
from ebonyglade.verdict import Refusal, refuse
from ebonyglade_entry import completions, headers
from ebonyglade_entry.completions import SHAPES, Asked, Writer
from ebonyglade_entry.settings import HttpSection
from ebonyglade_node.runtime import Node, clock

logger = logging.getLogger(__name__)

REQUEST_ID_BYTES = 12
REQUEST_ID_HEADER = "X-Request-Id"
VERDICT_HEADER = "X-Ebonyglade-Verdict"


class HttpServer(Service):
    """The entry's side towards callers."""

    def __init__(self, section: HttpSection, node: Node, run: Proceed) -> None:
        super().__init__()
        self._section = section
        self._node = node
        self._run = run
        self._runner: web.AppRunner | None = None
        self._open = 0
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def port(self) -> int:
        """TCP port that callers use, once started."""
        return self._runner.addresses[0][1]

    @property
    def open_requests(self) -> int:
        """Requests under way."""
        return self._open

    async def on_start(self) -> None:
        """Open the door to callers."""
        app = web.Application(client_max_size=self._section.max_body_bytes)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            max_line_size=self._section.max_header_bytes,
            max_field_size=self._section.max_header_bytes,
            handler_cancellation=True,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._section.host, self._section.port)
        await site.start()

    async def on_stop(self) -> None:
        """Close the door after all answers under way."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self) -> None:
        """Tell the balancer, wait for it, then finish every answer under way.

        Requests that still arrive are served: the balancer takes seconds to
        notice, and refusing them would cut them off.
        """
        self._stopping = True
        await asyncio.sleep(self._section.leave_s)
        try:
            async with asyncio.timeout(self._section.drain_s):
                await self._idle.wait()
        except TimeoutError:
            logger.error("answers were cut off", extra={"open": self._open})

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        if self._stopping:
            return web.Response(status=503, text="stopping\n")
        if not self._node.config.ready:
            return web.Response(status=503, text="starting\n")
        return web.Response(text="ready\n")

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        started = clock()
        self._enter()
        try:
            response = await self._guarded(request, request_id, started)
            self._note(request, request_id, started, response.status)
            return response
        finally:
            self._leave()

    async def _guarded(
        self, request: web.Request, request_id: str, started: float
    ) -> web.StreamResponse:
        """Answer even where the program has a bug."""
        try:
            return await self._answer(request, request_id, started)
        except ConnectionError:
            raise
        except Exception:
            logger.exception("request failed", extra={"request": request_id})
            return self._refuse(refuse("internal"), request_id)

    async def _answer(
        self, request: web.Request, request_id: str, started: float
    ) -> web.StreamResponse:
        if self._open > self._section.max_connections:
            return self._refuse(refuse("overloaded"), request_id)
        if not self._node.config.ready:
            return self._refuse(refuse("starting"), request_id)
        body = await self._body(request)
        if isinstance(body, Err):
            return self._refuse(body.err_value, request_id)
        call = self._call(request, request_id, started, body.ok_value)
        shape = SHAPES.get(request.path) if request.method == "POST" else None
        if shape is None:
            return await self._whole(call)
        asked = completions.read(shape, call.body)
        if isinstance(asked, Err):
            return self._refuse(asked.err_value, request_id)
        call.prompt = asked.ok_value.prompt
        writer = Writer(shape, request_id, call.prompt.model)
        return await self._tokens(request, call, asked.ok_value, writer)

    async def _body(self, request: web.Request) -> Result[bytes, Refusal]:
        try:
            async with asyncio.timeout(self._section.body_timeout_s):
                return Ok(await request.read())
        except web.HTTPRequestEntityTooLarge:
            return Err(refuse("body_too_large"))
        except TimeoutError:
            return Err(refuse("read_timeout"))

    def _call(
        self, request: web.Request, request_id: str, started: float, body: bytes
    ) -> Call:
        return Call(
            id=request_id,
            arrived=started,
            view=self._node.config.view,
            method=request.method,
            path=request.raw_path,
            headers=headers.passed_on(request.headers.items()),
            body=body,
            key=headers.bearer(request.headers.get("Authorization", "")),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
        )

    async def _whole(self, call: Call) -> web.Response:
        reply = await self._run(call)
        if isinstance(reply, Err):
            return self._refuse(reply.err_value, call.id)
        answer: WholeAnswer = reply.ok_value
        response = web.Response(status=answer.status, body=answer.body)
        # An endpoint's own Content-Type replaces the default, repeated ones stay.
        response.headers.popall("Content-Type", None)
        for name, value in headers.passed_back(answer.headers):
            response.headers.add(name, value)
        response.headers[REQUEST_ID_HEADER] = call.id
        return response

    async def _tokens(
        self, request: web.Request, call: Call, asked: Asked, writer: Writer
    ) -> web.StreamResponse:
        reply = await self._run(call)
        if isinstance(reply, Err):
            return self._refuse(reply.err_value, call.id)
        stream: TokenStream = reply.ok_value
        if asked.stream:
            return await self._streamed(request, call, stream, writer)
        try:
            tokens = [token async for batch in stream.tokens for token in batch]
        except StreamFailed as failed:
            return self._refuse(failed.refusal, call.id)
        reason = _finish_reason(len(tokens), call)
        document = writer.whole(
            "".join(tokens), stream.prompt_tokens, len(tokens), reason
        )
        return web.json_response(document, headers={REQUEST_ID_HEADER: call.id})

    async def _streamed(
        self, request: web.Request, call: Call, stream: TokenStream, writer: Writer
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                REQUEST_ID_HEADER: call.id,
            }
        )
        await response.prepare(request)
        async for event in self._events(call, stream, writer):
            await response.write(event)
        await response.write_eof()
        return response

    async def _events(
        self, call: Call, stream: TokenStream, writer: Writer
    ) -> AsyncIterator[bytes]:
        total = 0
        try:
            async for tokens in stream.tokens:
                if total == 0:
                    elapsed = clock() - call.arrived
                    self._node.metrics.observe("first_token", elapsed)
                total += len(tokens)
                yield writer.part(tokens)
        except StreamFailed as failed:
            self._node.metrics.count(f"refused_{failed.refusal.code}")
            yield completions.failure_event(failed.refusal, call.id)
            return
        finally:
            await stream.tokens.aclose()
        yield writer.finish(_finish_reason(total, call))

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        self._node.metrics.count(f"refused_{refusal.code}")
        response = web.json_response(
            completions.failure(refusal, request_id), status=refusal.status
        )
        response.headers[REQUEST_ID_HEADER] = request_id
        response.headers[VERDICT_HEADER] = refusal.verdict.value
        if refusal.retry_after is not None:
            response.headers["Retry-After"] = str(math.ceil(refusal.retry_after))
        if refusal.status == 401:
            response.headers["WWW-Authenticate"] = "Bearer"
        return response

    def _note(
        self, request: web.Request, request_id: str, started: float, status: int
    ) -> None:
        elapsed = clock() - started
        self._node.metrics.count("requests")
        self._node.metrics.observe("request", elapsed)
        logger.info(
            "request",
            extra={
                "request": request_id,
                "method": request.method,
                "path": request.path,
                "status": status,
                "seconds": round(elapsed, 4),
            },
        )

    def _enter(self) -> None:
        self._open += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._open -= 1
        if self._open == 0:
            self._idle.set()


def _finish_reason(tokens: int, call: Call) -> str:
    return "length" if tokens >= call.max_tokens else "stop"
