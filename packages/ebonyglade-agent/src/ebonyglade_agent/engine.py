"""HTTP clients of the agent for its local endpoint."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp.connector import Connection
from yarl import URL

from ebonyglade.bodies import read_document, read_lines
from ebonyglade.buffers import KIB, MIB
from ebonyglade.completeness import Ending, IncompleteResponse
from ebonyglade.ports import (
    DecodeJob,
    EngineError,
    PrefillJob,
    PrefillResult,
    ServiceReply,
    Token,
)
from ebonyglade_node.http_bodies import (
    StrictConnector,
    StrictResponseHandler,
    body_of,
    describe,
)

CONNECT_TIMEOUT_S = 1.0
EVENTS_TIMEOUT_S = 2.0
TOKEN_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 8 * MIB
MAX_LINE_BYTES = MIB
MAX_ERROR_BYTES = 64 * KIB  # of an error response, of which only the start is kept
MAX_ERROR_CHARS = 200
# Headers that aiohttp would add where the caller sent none.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
NOT_CONNECTED_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclass(slots=True)
class _SendAttempt:
    """State of the single attempt to send a service call."""

    may_send: Callable[[], bool]
    sent: bool = False


_current_attempt: ContextVar[_SendAttempt | None] = ContextVar("send", default=None)


class SendAborted(aiohttp.ClientError):
    """A request was aborted after its connection opened, before it was sent."""


class _CheckedConnector(StrictConnector):
    """Sends a service call at most once, if it is still allowed when connected."""

    async def connect(self, *args: object, **options: object) -> Connection:
        """Return an open connection, or raise before a byte is written."""
        attempt = _current_attempt.get()
        if attempt is not None and attempt.sent:
            # aiohttp by itself retries methods that are idempotent in HTTP.
            raise aiohttp.ServerDisconnectedError("connection lost")
        connection = await super().connect(*args, **options)
        if attempt is None:
            return connection
        if not attempt.may_send():
            connection.close()
            raise SendAborted("aborted before the request was sent")
        attempt.sent = True
        return connection


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change to the prefix cache of an engine.

    Attributes:
        seq: sequence number; a gap means that events were lost.
        stored: hashes of new blocks, as made by
            `ebonyglade.placement.prefixes.prompt_blocks`.
        evicted: hashes of removed blocks.
    """

    seq: int
    stored: list[int]
    evicted: list[int]


class _TokenLine(msgspec.Struct):
    """One line of a decode response: a token, or the mark of its end."""

    index: int = -1
    text: str | None = None
    done: bool = False


class _Held(msgspec.Struct):
    jobs: list[str]


class _CacheEvents(msgspec.Struct):
    events: list[tuple[int, list[int], list[int]]]


_prefill_decoder = msgspec.json.Decoder(PrefillResult)
_line_decoder = msgspec.json.Decoder(_TokenLine)
_held_decoder = msgspec.json.Decoder(_Held)
_cache_events_decoder = msgspec.json.Decoder(_CacheEvents)

# How a call to an endpoint fails without a usable response.
CALL_ERRORS = (aiohttp.ClientError, IncompleteResponse, msgspec.MsgspecError)


def new_session() -> aiohttp.ClientSession:
    """Return a session without a connection limit or a total timeout.

    Response bodies are passed on unchanged, so they are not decompressed. No
    request is retried by aiohttp.
    """
    return aiohttp.ClientSession(
        connector=_CheckedConnector(StrictResponseHandler, limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def new_query_session() -> aiohttp.ClientSession:
    """Return a session only for queries that may be repeated.

    Responses carry no id, so that a connection that is used again could bring a late
    second copy of an earlier one.
    """
    return aiohttp.ClientSession(
        connector=StrictConnector(StrictResponseHandler, force_close=True),
        timeout=aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


@dataclass(slots=True)
class HttpEngine:
    """A model engine reached over HTTP.

    Attributes:
        url: base address.
        session: for jobs and commands, each on a new connection.
        query_session: for queries that may be repeated.
    """

    url: str
    session: aiohttp.ClientSession
    query_session: aiohttp.ClientSession

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute the KV cache of a prompt."""
        document = {
            "job": job.job,
            "model": job.model,
            "prompt": job.prompt,
            "priority": job.priority,
        }
        try:
            return _prefill_decoder.decode(await self._post("/v1/prefill", document))
        except CALL_ERRORS as error:
            raise _as_engine_error(error) from error

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Generate tokens; the response has one JSON object per line."""
        document = {
            "job": job.job,
            "model": job.model,
            "prompt": job.prompt,
            "source": job.source,
            "handle": job.handle,
            "max_tokens": job.max_tokens,
            "resume": list(job.resume),
            "priority": job.priority,
        }
        try:
            async with self.session.post(
                self.url + "/v1/decode", json=document
            ) as response:
                await _raise_for_status(response)
                async for line in _timed_lines(response):
                    if line.done:
                        return
                    yield Token(line.index, line.text)
        except CALL_ERRORS as error:
            raise _as_engine_error(error) from error
        raise EngineError(
            "The engine ended its response before all tokens were sent.", lost=True
        )

    async def cancel(self, job: str) -> None:
        """Stop a job or export; raise `EngineError` unless the engine confirms it."""
        try:
            await self._post("/v1/cancel", {"job": job})
        except CALL_ERRORS as error:
            raise _as_engine_error(error) from error

    async def held(self) -> list[str]:
        """Return the ids of the jobs that hold memory at the engine."""
        try:
            return _held_decoder.decode(await self._query("/v1/held")).jobs
        except CALL_ERRORS as error:
            raise _as_engine_error(error) from error

    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return the prefix-cache events after a sequence number."""
        try:
            async with asyncio.timeout(EVENTS_TIMEOUT_S):
                content = await self._query(f"/v1/events?since={since}")
            rows = _cache_events_decoder.decode(content).events
            return [CacheEvent(*row) for row in rows]
        except (*CALL_ERRORS, TimeoutError) as error:
            raise EngineError(describe(error), may_have_run=False, lost=True) from error

    async def _post(self, path: str, document: dict) -> bytes:
        async with self.session.post(self.url + path, json=document) as response:
            await _raise_for_status(response)
            return await _read(response)

    async def _query(self, path: str) -> bytes:
        async with self.query_session.get(self.url + path) as response:
            await _raise_for_status(response)
            return await _read(response)


@dataclass(slots=True)
class HttpService:
    """A plain service reached over HTTP."""

    url: str
    session: aiohttp.ClientSession

    async def call(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        may_send: Callable[[], bool],
    ) -> ServiceReply:
        """Make one call; a redirect is returned and not followed."""
        attempt = _SendAttempt(may_send)
        _current_attempt.set(attempt)
        try:
            async with self.session.request(
                method,
                URL(self.url + path, encoded=True),
                headers=headers,
                data=body or None,
                allow_redirects=False,
                skip_auto_headers=AUTO_HEADERS,
            ) as response:
                content = await _read(response)
                received = [
                    (str(name), value) for name, value in response.headers.items()
                ]
                return ServiceReply(response.status, received, content)
        except SendAborted as error:
            raise EngineError(str(error), may_have_run=False) from error
        except CALL_ERRORS as error:
            raise _as_engine_error(error, attempt.sent) from error


async def _read(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body; raises `IncompleteResponse` unless it is complete."""
    return await read_document(body_of(response), MAX_RESPONSE_BYTES)


async def _raise_for_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    content = await read_document(body_of(response), MAX_ERROR_BYTES)
    text = content.decode(errors="replace")[:MAX_ERROR_CHARS]
    # 429 means that the engine is full and has not started the job.
    raise EngineError(
        f"status {response.status}: {text}", may_have_run=response.status != 429
    )


async def _timed_lines(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[_TokenLine]:
    """Yield the lines of a decode response, each within the time limit of a token."""
    lines = read_lines(body_of(response), MAX_LINE_BYTES)
    while True:
        async with asyncio.timeout(TOKEN_TIMEOUT_S):
            line = await anext(lines, None)
        if line is None:
            return
        decoded = _line_decoder.decode(line)
        if decoded.text is None and not decoded.done:
            raise IncompleteResponse("a line has no token")
        yield decoded


def _as_engine_error(
    error: aiohttp.ClientError | IncompleteResponse | msgspec.MsgspecError,
    sent: bool = False,
) -> EngineError:
    may_have_run = sent or not isinstance(error, NOT_CONNECTED_ERRORS)
    too_large = isinstance(error, IncompleteResponse) and error.cause is Ending.LIMIT
    return EngineError(describe(error), may_have_run=may_have_run, lost=not too_large)
