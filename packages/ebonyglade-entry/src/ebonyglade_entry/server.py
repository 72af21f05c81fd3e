"""HTTP server for callers: parses requests and writes the responses."""

import asyncio
import logging
import secrets
import ssl
from collections.abc import AsyncIterator

from aiohttp import web
from mode import Service
from result import Err, Result

from ebonyglade.buffers import REQUEST_BYTES, BufferBudget, BufferLease
from ebonyglade.calls import Call, NextHandler, StreamFailed, TokenStream
from ebonyglade.dispatch.tickets import downgrade_not_run
from ebonyglade.verdict import Refusal, refuse
from ebonyglade_entry import completions, headers, paths, responses
from ebonyglade_entry.completions import API_FORMATS, ParsedRequest, ResponseWriter
from ebonyglade_entry.cutting import cut_response
from ebonyglade_entry.drain import RequestDrainer, ServingState
from ebonyglade_entry.settings import HttpSection
from ebonyglade_node.callers.limits import ConnectionLimits
from ebonyglade_node.callers.listener import CallerListener
from ebonyglade_node.callers.uploads import read_upload
from ebonyglade_node.runtime import Node, loop_clock

logger = logging.getLogger(__name__)

REQUEST_ID_BYTES = 12
PARSER_LIMIT_FACTOR = 4  # limit of aiohttp's parser, as a multiple of the header limit


class HttpServer(Service):
    """HTTP server that callers send their requests to."""

    def __init__(self, section: HttpSection, node: Node, handler: NextHandler) -> None:
        super().__init__()
        self._section = section
        self._node = node
        self._handler = handler
        self._listener: CallerListener | None = None
        self._buffers = BufferBudget(section.buffered_bytes)
        self.drainer = RequestDrainer(section.leave_s, section.drain_s)

    @property
    def port(self) -> int:
        """TCP port that callers use, once started."""
        return self._listener.port

    async def on_start(self) -> None:
        """Start to listen for callers."""
        app = web.Application(client_max_size=self._section.max_body_bytes)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        section = self._section
        limits = ConnectionLimits(
            section.max_connections,
            section.head_timeout_s,
            section.max_header_bytes * PARSER_LIMIT_FACTOR,
            section.write_timeout_s,
        )
        self._listener = CallerListener(
            app,
            f"{section.host}:{section.port}",
            limits.within_descriptors(),
            self._node.metrics.count,
            self._buffers,
            _tls_context(section),
        )
        await self._listener.start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.stop()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        if self.drainer.state is not ServingState.OPEN:
            return web.Response(status=503, text="stopping\n")
        if not self._node.config.ready:
            return web.Response(status=503, text="starting\n")
        return web.Response(text="ready\n")

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        started = loop_clock()
        upload = BufferLease(self._buffers)
        self.drainer.request_started()
        try:
            upload.hold(REQUEST_BYTES)
            response = await self._respond_catching_errors(
                request, request_id, started, upload
            )
            self._log_request(request, request_id, started, response.status)
            return response
        finally:
            upload.release()
            self.drainer.request_finished()

    async def _respond_catching_errors(
        self,
        request: web.Request,
        request_id: str,
        started: float,
        upload: BufferLease,
    ) -> web.StreamResponse:
        """Respond; an unexpected exception becomes the refusal `internal`."""
        try:
            response = await self._respond(request, request_id, started, upload)
        except ConnectionError:
            raise
        except Exception:
            logger.exception("request failed", extra={"request": request_id})
            response = self._refusal_response(refuse("internal"), request_id)
        if self.drainer.state is not ServingState.OPEN and not response.prepared:
            # Closing a keep-alive connection makes the caller connect to another entry.
            response.force_close()
        return response

    async def _respond(
        self,
        request: web.Request,
        request_id: str,
        started: float,
        upload: BufferLease,
    ) -> web.StreamResponse:
        key = request.headers.get("Idempotency-Key", "")
        refusal = self._check_head(request)
        if refusal is not None:
            return self._refusal_response(downgrade_not_run(refusal, key), request_id)
        body = await self._read_body(request, upload)
        if isinstance(body, Err):
            return self._refusal_response(
                downgrade_not_run(body.err_value, key), request_id
            )
        call = self._new_call(request, request_id, started, bytes(body.ok_value))
        api_format = API_FORMATS.get(request.path) if request.method == "POST" else None
        if api_format is None:
            return await self._service_response(call)
        parsed = completions.parse_request(api_format, call.body)
        if isinstance(parsed, Err):
            return self._refusal_response(parsed.err_value, request_id)
        call.prompt = parsed.ok_value.prompt
        response_writer = ResponseWriter(api_format, request_id, call.prompt.model)
        return await self._model_response(
            request, call, parsed.ok_value, response_writer
        )

    def _check_head(self, request: web.Request) -> Refusal | None:
        """Return the refusal of a request before its body is read, if any."""
        size = sum(len(name) + len(value) for name, value in request.raw_headers)
        checks = (
            (self.drainer.state is ServingState.CLOSED, "stopping"),
            (not self._node.config.ready, "starting"),
            (self._is_full(), "overloaded"),
            (size > self._section.max_header_bytes, "headers_too_large"),
            (not paths.is_unambiguous(request.raw_path), "path_invalid"),
            (
                (request.content_length or 0) > self._section.max_body_bytes,
                "body_too_large",
            ),
        )
        return next((refuse(code) for failed, code in checks if failed), None)

    def _is_full(self) -> bool:
        """Return whether too many requests are under way."""
        return self.drainer.whole_requests > self._section.max_requests

    async def _read_body(
        self, request: web.Request, upload: BufferLease
    ) -> Result[bytearray, Refusal]:
        section = self._section
        with self.drainer.upload():
            body = await read_upload(
                request, section.max_body_bytes, section.body_timeout_s, upload
            )
        return Err(refuse("overloaded")) if self._is_full() else body

    def _new_call(
        self, request: web.Request, request_id: str, started: float, body: bytes
    ) -> Call:
        return Call(
            id=request_id,
            arrived_at=started,
            view=self._node.config.view,
            method=request.method,
            path=request.raw_path,
            headers=headers.for_endpoint(request.headers.items()),
            body=body,
            key=headers.bearer_token(request.headers.get("Authorization", "")),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
        )

    async def _service_response(self, call: Call) -> web.Response:
        reply = await self._handler(call)
        if isinstance(reply, Err):
            return self._refusal_response(reply.err_value, call.id)
        return responses.endpoint_response(reply.ok_value, call.id)

    async def _model_response(
        self,
        request: web.Request,
        call: Call,
        parsed: ParsedRequest,
        response_writer: ResponseWriter,
    ) -> web.StreamResponse:
        reply = await self._handler(call)
        if isinstance(reply, Err):
            return self._refusal_response(reply.err_value, call.id)
        stream: TokenStream = reply.ok_value
        if parsed.stream:
            return await self._stream_response(request, call, stream, response_writer)
        try:
            tokens = [token async for batch in stream.tokens for token in batch]
        except StreamFailed as failed:
            return self._refusal_response(failed.refusal, call.id)
        reason = _finish_reason(len(tokens), call)
        document = response_writer.full_response(
            "".join(tokens), stream.prompt_tokens, len(tokens), reason
        )
        request_id = {responses.REQUEST_ID_HEADER: call.id}
        return web.json_response(document, headers=request_id)

    async def _stream_response(
        self,
        request: web.Request,
        call: Call,
        stream: TokenStream,
        response_writer: ResponseWriter,
    ) -> web.StreamResponse:
        response = responses.event_stream_response(call.id)
        await response.prepare(request)
        events = self._sse_events(call, stream, response_writer)
        try:
            async for event in events:
                # A caller that does not read must not hold a slot forever.
                async with asyncio.timeout(self._section.write_timeout_s):
                    await response.write(event)
            await response.write_eof()
        except TimeoutError:
            self._node.metrics.count("callers_too_slow")
            cut_response(request)
        except ConnectionError:
            raise
        except Exception:
            # A refusal can't follow the beginning of a response.
            logger.exception("response failed", extra={"request": call.id})
            return cut_response(request)
        finally:
            await events.aclose()
        return response

    async def _sse_events(
        self, call: Call, stream: TokenStream, response_writer: ResponseWriter
    ) -> AsyncIterator[bytes]:
        total = 0
        try:
            async for tokens in stream.tokens:
                if total == 0:
                    elapsed = loop_clock() - call.arrived_at
                    self._node.metrics.observe("first_token", elapsed)
                total += len(tokens)
                yield response_writer.chunk_event(tokens)
        except StreamFailed as failed:
            self._node.metrics.count(f"refused_{failed.refusal.code}")
            yield completions.error_event(failed.refusal, call.id)
            return
        finally:
            await stream.tokens.aclose()
        yield response_writer.final_events(_finish_reason(total, call))

    def _refusal_response(self, refusal: Refusal, request_id: str) -> web.Response:
        self._node.metrics.count(f"refused_{refusal.code}")
        return responses.refusal_response(refusal, request_id)

    def _log_request(
        self, request: web.Request, request_id: str, started: float, status: int
    ) -> None:
        elapsed = loop_clock() - started
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


def _tls_context(section: HttpSection) -> ssl.SSLContext | None:
    if not section.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(section.certificate, section.private_key)
    return context
