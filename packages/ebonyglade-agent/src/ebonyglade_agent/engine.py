"""HTTP clients of the agent for its local endpoint."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from ebonyglade.ports import (
    DecodeJob,
    EngineError,
    PrefillJob,
    PrefillResult,
    ServiceReply,
    Token,
)
from ebonyglade_node.http_bodies import ResetCheckingConnector, ResetCheckingHandler

CONNECT_TIMEOUT_S = 1.0
EVENTS_TIMEOUT_S = 2.0
TOKEN_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
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


class _CheckedConnector(ResetCheckingConnector):
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


def new_session() -> aiohttp.ClientSession:
    """Return a session without a connection limit or a total timeout.

    Response bodies are passed on unchanged, so they are not decompressed. No
    request is retried by aiohttp.
    """
    return aiohttp.ClientSession(
        connector=_CheckedConnector(ResetCheckingHandler, limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def new_query_session() -> aiohttp.ClientSession:
    """Return a session with keep-alive; only for queries that may be repeated."""
    return aiohttp.ClientSession(
        connector=ResetCheckingConnector(ResetCheckingHandler),
        timeout=aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


@dataclass(slots=True)
class HttpEngine:
    """A model engine reached over HTTP.

    Attributes:
        url: base address.
        session: for jobs and commands, each on a new connection.
        query_session: for queries that may be repeated, with keep-alive.
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
        response = await self._post("/v1/prefill", document)
        return PrefillResult(
            response["source"],
            response["handle"],
            response["tokens"],
            response["cached"],
        )

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
        complete = False
        try:
            async with self.session.post(
                self.url + "/v1/decode", json=document
            ) as response:
                await _raise_for_status(response)
                async for line in _read_lines(response):
                    row = json.loads(line)
                    if row.get("done"):
                        complete = True
                        break
                    yield Token(row["index"], row["text"])
        except aiohttp.ClientError as error:
            raise _as_engine_error(error) from error
        if not complete:
            raise EngineError(
                "The engine ended its response before all tokens were sent.", lost=True
            )

    async def cancel(self, job: str) -> None:
        """Stop a job or export; raise `EngineError` unless the engine confirms it."""
        await self._post("/v1/cancel", {"job": job})

    async def held(self) -> list[str]:
        """Return the ids of the jobs that hold memory at the engine."""
        try:
            async with self.query_session.get(self.url + "/v1/held") as response:
                await _raise_for_status(response)
                return (await response.json())["jobs"]
        except aiohttp.ClientError as error:
            raise _as_engine_error(error) from error

    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return the prefix-cache events after a sequence number."""
        url = f"{self.url}/v1/events?since={since}"
        try:
            async with (
                asyncio.timeout(EVENTS_TIMEOUT_S),
                self.query_session.get(url) as response,
            ):
                await _raise_for_status(response)
                rows = (await response.json())["events"]
                return [CacheEvent(*row) for row in rows]
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EngineError(str(error), may_have_run=False, lost=True) from error

    async def _post(self, path: str, document: dict) -> dict:
        try:
            async with self.session.post(self.url + path, json=document) as response:
                await _raise_for_status(response)
                return await response.json()
        except aiohttp.ClientError as error:
            raise _as_engine_error(error) from error


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
                content = await _read_body(response)
                received = [
                    (str(name), value) for name, value in response.headers.items()
                ]
                return ServiceReply(response.status, received, content)
        except SendAborted as error:
            raise EngineError(str(error), may_have_run=False) from error
        except aiohttp.ClientError as error:
            raise _as_engine_error(error, attempt.sent) from error


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body; if it is too large, the request still counts as executed."""
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise EngineError("The endpoint's response is too large.")
        chunks.append(chunk)
    return b"".join(chunks)


async def _raise_for_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    text = (await response.text())[:200]
    # 429 means that the engine is full and has not started the job.
    raise EngineError(
        f"status {response.status}: {text}", may_have_run=response.status != 429
    )


async def _read_lines(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    while True:
        async with asyncio.timeout(TOKEN_TIMEOUT_S):
            line = await response.content.readline()
        if not line:
            return
        yield line


def _as_engine_error(error: aiohttp.ClientError, sent: bool = False) -> EngineError:
    may_have_run = sent or not isinstance(error, NOT_CONNECTED_ERRORS)
    return EngineError(
        f"{type(error).__name__}: {error}", may_have_run=may_have_run, lost=True
    )
