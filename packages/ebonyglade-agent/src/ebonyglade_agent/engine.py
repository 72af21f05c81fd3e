"""HTTP clients for the endpoint beside the agent."""

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

CONNECT_TIMEOUT_S = 1.0
EVENTS_TIMEOUT_S = 2.0
TOKEN_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Headers that the HTTP library would add where the caller sent none.
ADDED_BY_LIBRARY = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclass(slots=True)
class _Send:
    """The one sending of a service call."""

    may_send: Callable[[], bool]
    sent: bool = False


_send: ContextVar[_Send | None] = ContextVar("send", default=None)


class GivenUp(aiohttp.ClientError):
    """A request was given up after its connection opened, before it was sent."""


class _CheckedConnector(aiohttp.TCPConnector):
    """Lets a service call be sent once, if it still may be once connected."""

    async def connect(self, *args: object, **options: object) -> Connection:
        """Return an open connection, or give up before a byte is written."""
        send = _send.get()
        if send is not None and send.sent:
            # The library repeats methods that HTTP calls idempotent by itself.
            raise aiohttp.ServerDisconnectedError("connection lost")
        connection = await super().connect(*args, **options)
        if send is None:
            return connection
        if not send.may_send():
            connection.close()
            raise GivenUp("given up before it was sent")
        send.sent = True
        return connection


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    Attributes:
        seq: number of the event; a number that is left out tells of a gap.
        stored: hashes as of `ebonyglade.placement.prefixes.prompt_blocks`.
        evicted: hashes of blocks that are gone.
    """

    seq: int
    stored: list[int]
    evicted: list[int]


def new_session() -> aiohttp.ClientSession:
    """Return a session without limits on connections or total time.

    Answers are passed on as they are, so nothing is decompressed, and no
    request is repeated by the library.
    """
    return aiohttp.ClientSession(
        connector=_CheckedConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def new_query_session() -> aiohttp.ClientSession:
    """Return a session that keeps its connection; only for harmless questions."""
    timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
    return aiohttp.ClientSession(timeout=timeout, cookie_jar=aiohttp.DummyCookieJar())


@dataclass(slots=True)
class HttpEngine:
    """A model engine reached over HTTP.

    Attributes:
        url: base address.
        session: for jobs and orders, each on a connection of its own.
        queries: for questions that may be asked twice, on one connection.
    """

    url: str
    session: aiohttp.ClientSession
    queries: aiohttp.ClientSession

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute a prompt's KV cache."""
        document = {
            "job": job.job,
            "model": job.model,
            "prompt": job.prompt,
            "priority": job.priority,
        }
        answer = await self._post("/v1/prefill", document)
        return PrefillResult(
            answer["source"], answer["handle"], answer["tokens"], answer["cached"]
        )

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Generate tokens, one JSON object a line."""
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
        whole = False
        try:
            async with self.session.post(
                self.url + "/v1/decode", json=document
            ) as answer:
                await _check(answer)
                async for line in _lines(answer):
                    row = json.loads(line)
                    if row.get("done"):
                        whole = True
                        break
                    yield Token(row["index"], row["text"])
        except aiohttp.ClientError as error:
            raise _as_engine_error(error) from error
        if not whole:
            raise EngineError("The engine ended in mid-answer.", lost=True)

    async def cancel(self, job: str) -> None:
        """Stop a job or export; raises unless the engine confirms it."""
        await self._post("/v1/cancel", {"job": job})

    async def held(self) -> list[str]:
        """Return the ids of the jobs that hold memory."""
        try:
            async with self.queries.get(self.url + "/v1/held") as answer:
                await _check(answer)
                return (await answer.json())["jobs"]
        except aiohttp.ClientError as error:
            raise _as_engine_error(error) from error

    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return what changed in the prefix cache after an event's number."""
        url = f"{self.url}/v1/events?since={since}"
        try:
            async with asyncio.timeout(EVENTS_TIMEOUT_S), self.queries.get(url) as got:
                await _check(got)
                rows = (await got.json())["events"]
                return [CacheEvent(*row) for row in rows]
        except (aiohttp.ClientError, TimeoutError) as error:
            raise EngineError(str(error), ran=False, lost=True) from error

    async def _post(self, path: str, document: dict) -> dict:
        try:
            async with self.session.post(self.url + path, json=document) as answer:
                await _check(answer)
                return await answer.json()
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
        """Make one call; redirects go back to the caller."""
        send = _Send(may_send)
        _send.set(send)
        try:
            async with self.session.request(
                method,
                URL(self.url + path, encoded=True),
                headers=headers,
                data=body or None,
                allow_redirects=False,
                skip_auto_headers=ADDED_BY_LIBRARY,
            ) as answer:
                content = await _whole_body(answer)
                received = [
                    (str(name), value) for name, value in answer.headers.items()
                ]
                return ServiceReply(answer.status, received, content)
        except GivenUp as error:
            raise EngineError(str(error), ran=False) from error
        except aiohttp.ClientError as error:
            raise _as_engine_error(error, send.sent) from error


async def _whole_body(answer: aiohttp.ClientResponse) -> bytes:
    """Return an answer's body; one that is too large was still executed."""
    chunks = []
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise EngineError("The endpoint's answer is too large.")
        chunks.append(chunk)
    return b"".join(chunks)


async def _check(answer: aiohttp.ClientResponse) -> None:
    if answer.status == 200:
        return
    text = (await answer.text())[:200]
    # An engine that is full has not started the job.
    raise EngineError(f"status {answer.status}: {text}", ran=answer.status != 429)


async def _lines(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    while True:
        async with asyncio.timeout(TOKEN_TIMEOUT_S):
            line = await answer.content.readline()
        if not line:
            return
        yield line


def _as_engine_error(error: aiohttp.ClientError, sent: bool = False) -> EngineError:
    ran = sent or not isinstance(error, NOT_SENT)
    return EngineError(f"{type(error).__name__}: {error}", ran=ran, lost=True)
