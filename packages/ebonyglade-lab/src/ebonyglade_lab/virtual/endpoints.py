"""Fake endpoints that outlive the agents beside them."""

import asyncio
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ebonyglade.ports import (
    DecodeJob,
    EngineError,
    PrefillJob,
    PrefillResult,
    Sender,
    ServiceReply,
    Token,
)
from ebonyglade.wire.base import Message
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.process import Process

PREFILL_S = 0.02
TOKEN_S = 0.005
EXPORT_KEPT_S = 0.8
RESTART_S = 2.0
SERVICE_S = 0.01
CANCEL_S = 0.002
PIECE_TOKENS = 2048  # tokens in one piece of engine memory
CHARS_PER_TOKEN = 4
POISON = "POISON"


class Watcher:
    """Sees what a world does; an oracle overrides what it needs."""

    def heard(self, instance: str, sender: Sender, message: Message) -> None:
        """Note a message before its receiver handles it."""

    def booted(self, core: object) -> None:
        """Note that a process was started."""

    def spent(self, workspace: str, tokens: float) -> None:
        """Note tokens that a caller of a workspace got."""

    def violated(self, instance: str, name: str) -> None:
        """Note an invariant that failed inside a process."""

    def started(self, engine: str, stage: str, job: str, prompt: str) -> None:
        """Note that an engine began a job."""

    def executed(
        self, service: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Note that a service executed a call."""


@dataclass(slots=True)
class EngineState:
    """A model engine; jobs hold memory until they end or are cancelled.

    An agent that dies leaves its jobs behind, as an engine whose client stops
    reading does.

    Attributes:
        name: instance id of the agent beside it.
        slots: most jobs at once.
        pieces: KV pieces of its memory.
        jobs: pieces by job that holds memory.
        exports: pieces by finished prefill that waits for its import.
        down: whether the engine is restarting after a crash.
        unreachable: whether the agent's calls don't get through.
        prefilled: prompts prefilled.
        deaths: crashes so far, by the prompt that caused them.
        stalled: whether imports never finish.
        token_s: seconds between two tokens.
        export_kept_s: seconds until an export is evicted.
        watcher: sees what is executed.
    """

    name: str
    slots: int = 20
    pieces: int = 400
    jobs: dict[str, int] = field(default_factory=dict)
    exports: dict[str, int] = field(default_factory=dict)
    down: bool = False
    unreachable: bool = False
    prefilled: int = 0
    deaths: Counter = field(default_factory=Counter)
    stalled: bool = False
    token_s: float = TOKEN_S
    export_kept_s: float = EXPORT_KEPT_S
    watcher: Watcher = field(default_factory=Watcher)

    @property
    def held_pieces(self) -> int:
        """KV pieces that jobs and exports hold."""
        return sum(self.jobs.values()) + sum(self.exports.values())

    def crash(self, cause: str) -> None:
        """Lose all jobs; the engine is back after `RESTART_S`."""
        self.deaths[cause] += 1
        self.jobs.clear()
        self.exports.clear()
        self.down = True
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self.restart)

    def restart(self) -> None:
        """Take jobs again."""
        self.down = False

    def reach(self) -> None:
        """Raise if a new call does not get through."""
        if self.down or self.unreachable:
            raise EngineError("connection refused", ran=False, lost=True)

    def start(self, job: str, prompt: str, pieces: int = 1, stage: str = "") -> None:
        """Begin a job or refuse it."""
        self.reach()
        if len(self.jobs) >= self.slots or self.held_pieces + pieces > self.pieces:
            raise EngineError("full", ran=False)
        self.jobs[job] = pieces
        self.watcher.started(self.name, stage, job, prompt)
        if POISON in prompt:
            self.crash(prompt)
            raise EngineError("connection lost", ran=True, lost=True)

    def check(self, job: str) -> None:
        """Raise if a job was lost or cancelled, or its stream broke."""
        if self.unreachable:
            raise EngineError("connection lost", ran=True, lost=True)
        if job not in self.jobs:
            raise EngineError("the job is gone", ran=True, lost=self.down)

    def keep(self, job: str) -> None:
        """Turn a finished prefill into an export that is evicted soon."""
        self.exports[job] = self.jobs.pop(job)
        self.prefilled += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self.export_kept_s, self.exports.pop, job, None)


@dataclass(slots=True)
class VirtualEngine:
    """An agent's connection to its engine."""

    state: EngineState
    process: Process
    fleet: dict[str, EngineState]

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute a prompt's KV cache."""
        await self.process.awake()
        tokens = _tokens(job.prompt)
        self.state.start(job.job, job.prompt, _pieces(tokens), "prefill")
        await asyncio.sleep(PREFILL_S)
        self.state.check(job.job)
        self.state.keep(job.job)
        await self.process.awake()
        return PrefillResult(self.state.name, job.job, tokens)

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Generate tokens; the job holds memory until it ends or is cancelled."""
        await self.process.awake()
        size = _pieces(_tokens(job.prompt) + job.max_tokens)
        self.state.start(job.job, job.prompt, size, "decode")
        await self._import(job)
        tokens = answer_tokens(job.prompt, job.max_tokens)
        for index in range(len(job.resume), len(tokens)):
            await asyncio.sleep(self.state.token_s)
            self.state.check(job.job)
            await self.process.awake()
            yield Token(index, tokens[index])
        self.state.jobs.pop(job.job, None)

    async def cancel(self, job: str) -> None:
        """Free what a job holds; raises unless the engine confirms it."""
        await self.process.awake()
        await asyncio.sleep(CANCEL_S)
        self.state.reach()
        self.state.jobs.pop(job, None)
        self.state.exports.pop(job, None)
        await self.process.awake()

    async def held(self) -> list[str]:
        """Return the jobs and exports that hold memory."""
        await self.process.awake()
        self.state.reach()
        return [*self.state.jobs, *self.state.exports]

    async def _import(self, job: DecodeJob) -> None:
        while self.state.stalled:
            await asyncio.sleep(TOKEN_S)
            self.state.check(job.job)
        source = self.fleet.get(job.source)
        if source is not None and job.handle in source.exports:
            del source.exports[job.handle]
            return
        await asyncio.sleep(PREFILL_S)
        self.state.check(job.job)


@dataclass(slots=True)
class ServiceState:
    """A plain service that counts what it executes.

    Attributes:
        name: instance id of the agent beside it.
        executions: how often each body was executed.
        down: whether it can't be reached.
        answer_lost: whether it executes and then loses the connection.
        seconds: how long a call takes.
        slow_s: most seconds by which some calls take longer.
        watcher: sees what is executed.
    """

    name: str
    executions: Counter = field(default_factory=Counter)
    down: bool = False
    answer_lost: bool = False
    seconds: float = SERVICE_S
    slow_s: float = 0.0
    watcher: Watcher = field(default_factory=Watcher)

    def duration(self, body: bytes) -> float:
        """Return how long a call takes, the same at each execution."""
        return self.seconds + self.slow_s * (zlib.crc32(body) / 2**32)


@dataclass(slots=True)
class VirtualService:
    """An agent's connection to its service."""

    state: ServiceState
    process: Process

    async def call(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        may_send: Callable[[], bool],
    ) -> ServiceReply:
        """Execute one call."""
        await self.process.awake()
        if not may_send():
            raise EngineError("given up before it was sent", ran=False)
        if self.state.down:
            raise EngineError("connection refused", ran=False, lost=True)
        self.state.executions[body] += 1
        self.state.watcher.executed(self.state.name, headers, body)
        await asyncio.sleep(self.state.duration(body))
        if self.state.answer_lost:
            raise EngineError("connection lost", ran=True, lost=True)
        await self.process.awake()
        return ServiceReply(201, [("Content-Type", "text/plain")], body)


def _tokens(prompt: str) -> int:
    return -(-len(prompt) // CHARS_PER_TOKEN)


def _pieces(tokens: int) -> int:
    return -(-tokens // PIECE_TOKENS)
