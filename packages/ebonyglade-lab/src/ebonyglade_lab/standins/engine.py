"""Stand-in for a model engine that runs prefills or decodes."""

import asyncio
import json
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, web

from ebonyglade.placement.prefixes import BLOCK_TOKENS, prompt_blocks
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.standins.cache import PrefixCache
from ebonyglade_lab.standins.server import StandIn

BYTES_PER_TOKEN = 4
PIECE_TOKENS = 2048


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """Durations of the work of a stand-in engine, in seconds.

    Attributes:
        prefill_token: per prompt token that is not cached.
        decode_token: between two tokens of an answer.
        export_kept: how long an export is kept before it is evicted.
    """

    prefill_token: float = 0.0001
    decode_token: float = 0.002
    export_kept: float = 0.8


@dataclass(slots=True)
class _Job:
    pieces: int
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)


class ModelEngine(StandIn):
    """A continuous-batching engine with limited KV memory.

    Attributes:
        executions: number of started jobs, by kind.
        recomputed: decodes that computed the KV cache again, as its import failed.
    """

    def __init__(
        self,
        port: int = 0,
        slots: int = 20,
        pieces: int = 400,
        cache_blocks: int = 256,
        times: EngineTimes | None = None,
    ) -> None:
        super().__init__(port)
        self._slots = slots
        self._pieces = pieces
        self._times = times or EngineTimes()
        self._jobs: dict[str, _Job] = {}
        self._exports: dict[str, int] = {}
        self._cache = PrefixCache(cache_blocks)
        self._session: ClientSession | None = None
        self.executions = {"prefill": 0, "decode": 0}
        self.recomputed = 0
        router = self.app.router
        router.add_post("/v1/prefill", self._prefill)
        router.add_post("/v1/decode", self._decode)
        router.add_post("/v1/cancel", self._cancel)
        router.add_get("/v1/kv/{handle}", self._export)
        router.add_get("/v1/held", self._held)
        router.add_get("/v1/load", self._load)
        router.add_get("/v1/events", self._events)

    @property
    def held_pieces(self) -> int:
        """KV-cache pieces that jobs and exports hold."""
        jobs = sum(job.pieces for job in self._jobs.values())
        return jobs + sum(self._exports.values())

    async def on_start(self) -> None:
        """Start serving, and open a session for imports from other engines."""
        self._session = ClientSession()
        await super().on_start()

    async def on_stop(self) -> None:
        """Stop serving and close the session."""
        await super().on_stop()
        if self._session is not None:
            await self._session.close()

    async def _prefill(self, request: web.Request) -> web.Response:
        body = await request.json()
        tokens = -(-len(body["prompt"].encode()) // BYTES_PER_TOKEN)
        pieces = -(-tokens // PIECE_TOKENS)
        job = self._admit(body["job"], pieces)
        self.executions["prefill"] += 1
        try:
            cached = self._cached_tokens(body["prompt"], tokens)
            await _sleep_unless_cancelled(
                job.cancelled, (tokens - cached) * self._times.prefill_token
            )
        finally:
            self._jobs.pop(body["job"], None)
        if job.cancelled.is_set():
            raise web.HTTPConflict(text="cancelled")
        self._keep_export(body["job"], pieces)
        answer = {"source": self.url, "handle": body["job"]}
        return web.json_response({**answer, "tokens": tokens, "cached": cached})

    async def _decode(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        tokens = answer_tokens(body["prompt"], body["max_tokens"])
        size = len(body["prompt"].encode()) // BYTES_PER_TOKEN + body["max_tokens"]
        job = self._admit(body["job"], -(-size // PIECE_TOKENS))
        self.executions["decode"] += 1
        try:
            await self._import(body, job)
            return await self._generate(request, job, tokens, len(body["resume"]))
        finally:
            self._jobs.pop(body["job"], None)

    async def _generate(
        self, request: web.Request, job: _Job, tokens: list[str], start: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for index in range(start, len(tokens)):
            await _sleep_unless_cancelled(job.cancelled, self._times.decode_token)
            if job.cancelled.is_set():
                return response
            row = {"index": index, "text": tokens[index]}
            await response.write(json.dumps(row).encode() + b"\n")
        await response.write(b'{"done": true}\n')
        return response

    async def _import(self, body: dict, job: _Job) -> None:
        """Fetch the KV cache, or compute it again if the source has evicted it."""
        if body["source"]:
            url = f"{body['source']}/v1/kv/{body['handle']}"
            try:
                async with self._session.get(url) as answer:
                    if answer.status == 200:
                        return
            except ClientError:
                pass
        self.recomputed += 1
        tokens = len(body["prompt"].encode()) // BYTES_PER_TOKEN
        await _sleep_unless_cancelled(job.cancelled, tokens * self._times.prefill_token)

    async def _export(self, request: web.Request) -> web.Response:
        handle = request.match_info["handle"]
        if self._exports.pop(handle, None) is None:
            raise web.HTTPNotFound
        return web.Response()

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await request.json()
        job = self._jobs.get(body["job"])
        if job is not None:
            job.cancelled.set()
        self._exports.pop(body["job"], None)
        return web.json_response({})

    async def _held(self, request: web.Request) -> web.Response:
        return web.json_response({"jobs": [*self._jobs, *self._exports]})

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": len(self._jobs),
                "slots": self._slots,
                "free_pieces": self._pieces - self.held_pieces,
            }
        )

    async def _events(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        return web.json_response({"events": self._cache.events_after(since)})

    def _admit(self, job_id: str, pieces: int) -> _Job:
        full = len(self._jobs) >= self._slots
        if full or self.held_pieces + pieces > self._pieces:
            raise web.HTTPTooManyRequests(text="full")
        job = _Job(pieces)
        self._jobs[job_id] = job
        return job

    def _cached_tokens(self, prompt: str, tokens: int) -> int:
        """Return the number of leading cached tokens, and cache the whole prompt."""
        blocks = prompt_blocks(prompt)
        hits = self._cache.touch(blocks)
        return min(tokens, hits * BLOCK_TOKENS)

    def _keep_export(self, handle: str, pieces: int) -> None:
        self._exports[handle] = pieces
        loop = asyncio.get_running_loop()
        loop.call_later(self._times.export_kept, self._exports.pop, handle, None)


async def _sleep_unless_cancelled(cancelled: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await cancelled.wait()
    except TimeoutError:
        return
