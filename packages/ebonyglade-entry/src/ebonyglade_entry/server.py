"""Serves callers over HTTP and turns requests into calls."""

import asyncio
import logging
import secrets
import ssl
from collections.abc import AsyncIterator

from aiohttp import web
from mode import Service
from result import Err, Ok, Result

from ebonyglade.calls import Call, Proceed, StreamFailed, TokenStream
from ebonyglade.dispatch.tickets import cautious
from ebonyglade.verdict import Refusal, refuse
from ebonyglade_entry import completions, headers, paths, responses
from ebonyglade_entry.completions import SHAPES, Asked, Writer
from ebonyglade_entry.doorkeeper import Door, Doorkeeper
from ebonyglade_entry.settings import HttpSection
from ebonyglade_node.runtime import Node, clock

logger = logging.getLogger(__name__)

REQUEST_ID_BYTES = 12
PARSER_MARGIN = 4  # the parser's own limit, as a multiple of the header limit


class HttpServer(Service):
    """The entry's side towards callers."""

    def __init__(self, section: HttpSection, node: Node, run: Proceed) -> None:
        super().__init__()
        self._section = section
        self._node = node
        self._run = run
        self._runner: web.AppRunner | None = None
        self.doorkeeper = Doorkeeper(section.leave_s, section.drain_s)

    @property
    def port(self) -> int:
        """TCP port that callers use, once started."""
        return self._runner.addresses[0][1]

    async def on_start(self) -> None:
        """Open the door to callers."""
        app = web.Application(client_max_size=self._section.max_body_bytes)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_route("*", "/{path:.*}", self._serve)
        parser_limit = self._section.max_header_bytes * PARSER_MARGIN
        self._runner = web.AppRunner(
            app,
            access_log=None,
            max_line_size=parser_limit,
            max_field_size=parser_limit,
            handler_cancellation=True,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._section.host,
            self._section.port,
            ssl_context=_tls(self._section),
        )
        await site.start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        if self.doorkeeper.door is not Door.OPEN:
            return web.Response(status=503, text="stopping\n")
        if not self._node.config.ready:
            return web.Response(status=503, text="starting\n")
        return web.Response(text="ready\n")

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        started = clock()
        self.doorkeeper.enter()
        try:
            response = await self._guarded(request, request_id, started)
            self._note(request, request_id, started, response.status)
            return response
        finally:
            self.doorkeeper.leave()

    async def _guarded(
        self, request: web.Request, request_id: str, started: float
    ) -> web.StreamResponse:
        """Answer even where the program has a bug."""
        try:
            response = await self._answer(request, request_id, started)
        except ConnectionError:
            raise
        except Exception:
            logger.exception("request failed", extra={"request": request_id})
            response = self._refuse(refuse("internal"), request_id)
        if self.doorkeeper.door is not Door.OPEN and not response.prepared:
            # A caller on a kept-alive connection goes to another entry.
            response.force_close()
        return response

    async def _answer(
        self, request: web.Request, request_id: str, started: float
    ) -> web.StreamResponse:
        key = request.headers.get("Idempotency-Key", "")
        refusal = self._at_the_door(request)
        if refusal is not None:
            return self._refuse(cautious(refusal, key), request_id)
        body = await self._body(request)
        if isinstance(body, Err):
            return self._refuse(cautious(body.err_value, key), request_id)
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

    def _at_the_door(self, request: web.Request) -> Refusal | None:
        """Return why a request is refused before its body is read."""
        size = sum(len(name) + len(value) for name, value in request.raw_headers)
        checks = (
            (self.doorkeeper.door is Door.CLOSED, "stopping"),
            (not self._node.config.ready, "starting"),
            (self.doorkeeper.open_requests > self._section.max_requests, "overloaded"),
            (size > self._section.max_header_bytes, "headers_too_large"),
            (not paths.is_plain(request.raw_path), "path_invalid"),
            (
                (request.content_length or 0) > self._section.max_body_bytes,
                "body_too_large",
            ),
        )
        return next((refuse(code) for failed, code in checks if failed), None)

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
        return responses.passed_through(reply.ok_value, call.id)

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
        request_id = {responses.REQUEST_ID_HEADER: call.id}
        return web.json_response(document, headers=request_id)

    async def _streamed(
        self, request: web.Request, call: Call, stream: TokenStream, writer: Writer
    ) -> web.StreamResponse:
        response = responses.event_stream(call.id)
        await response.prepare(request)
        events = self._events(call, stream, writer)
        try:
            async for event in events:
                # A caller that takes nothing must not hold a slot for ever.
                async with asyncio.timeout(self._section.write_timeout_s):
                    await response.write(event)
        except TimeoutError:
            self._node.metrics.count("callers_too_slow")
            request.transport.abort()
        finally:
            await events.aclose()
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
        return responses.refused(refusal, request_id)

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


def _finish_reason(tokens: int, call: Call) -> str:
    return "length" if tokens >= call.max_tokens else "stop"


def _tls(section: HttpSection) -> ssl.SSLContext | None:
    if not section.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(section.certificate, section.private_key)
    return context
