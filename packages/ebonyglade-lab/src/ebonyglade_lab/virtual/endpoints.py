"""Simulated endpoints, which keep running when their agent is killed."""

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
EXPORT_KEPT_S = 0.8  # until an export is evicted
RESTART_S = 2.0  # from a crash until the engine takes jobs again
SERVICE_S = 0.01
CANCEL_S = 0.002
PIECE_TOKENS = 2048  # tokens in one piece (block) of the KV cache
CHARS_PER_TOKEN = 4
POISON = "POISON"  # a prompt that contains this word crashes the engine


class FleetObserver:
    """Gets the events of a virtual fleet; subclasses override what they need."""

    def message_received(self, instance: str, sender: Sender, message: Message) -> None:
        """Called for each message before its receiver handles it."""

    def process_started(self, core: object) -> None:
        """Called with the core of each process that is started."""

    def tokens_delivered(self, workspace: str, tokens: float) -> None:
        """Called for tokens that a caller of a workspace received."""

    def invariant_violated(self, instance: str, name: str) -> None:
        """Called when an invariant fails inside a process."""

    def job_started(self, engine: str, stage: str, job: str, prompt: str) -> None:
        """Called when an engine starts a job."""

    def service_executed(
        self, service: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Called when a service executes a call."""


@dataclass(slots=True)
class VirtualEngineState:
    """A model engine; jobs hold memory until they end or are cancelled.

    Jobs of an agent that is killed stay in memory, as in an engine whose client
    stops reading.

    Attributes:
        name: instance id of its agent.
        slots: most jobs at the same time.
        pieces: size of its KV cache in pieces.
        jobs: pieces that each job holds.
        exports: pieces that each finished prefill holds until it is imported or
            evicted.
        down: whether the engine is restarting after a crash.
        unreachable: whether the agent can't reach it.
        prefill_count: number of finished prefills.
        crashes: crashes so far, by the prompt that caused them.
        stalled: whether imports make no progress.
        token_s: seconds between two tokens.
        export_kept_s: seconds until an export is evicted.
        slowness: how long work takes, relative to the usual time; may change.
        observer: gets an event for each execution.
    """

    name: str
    slots: int = 20
    pieces: int = 400
    jobs: dict[str, int] = field(default_factory=dict)
    exports: dict[str, int] = field(default_factory=dict)
    down: bool = False
    unreachable: bool = False
    prefill_count: int = 0
    crashes: Counter = field(default_factory=Counter)
    stalled: bool = False
    token_s: float = TOKEN_S
    export_kept_s: float = EXPORT_KEPT_S
    slowness: float = 1.0
    observer: FleetObserver = field(default_factory=FleetObserver)

    @property
    def held_pieces(self) -> int:
        """KV-cache pieces that jobs and exports hold."""
        return sum(self.jobs.values()) + sum(self.exports.values())

    def crash(self, cause: str) -> None:
        """Lose all jobs; the engine restarts after `RESTART_S` seconds."""
        self.crashes[cause] += 1
        self.jobs.clear()
        self.exports.clear()
        self.down = True
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self.restart)

    def restart(self) -> None:
        """Accept jobs again."""
        self.down = False

    def check_reachable(self) -> None:
        """Raise an error if a new call can't reach the engine."""
        if self.down or self.unreachable:
            raise EngineError("connection refused", may_have_run=False, lost=True)

    def start(self, job: str, prompt: str, pieces: int = 1, stage: str = "") -> None:
        """Start a job, or raise an error if the engine can't take it."""
        self.check_reachable()
        if len(self.jobs) >= self.slots or self.held_pieces + pieces > self.pieces:
            raise EngineError("full", may_have_run=False)
        self.jobs[job] = pieces
        self.observer.job_started(self.name, stage, job, prompt)
        if POISON in prompt:
            self.crash(prompt)
            raise EngineError("connection lost", may_have_run=True, lost=True)

    def check_running(self, job: str) -> None:
        """Raise an error if a job was lost or cancelled, or its stream broke."""
        if self.unreachable:
            raise EngineError("connection lost", may_have_run=True, lost=True)
        if job not in self.jobs:
            raise EngineError(
                "the engine has no such job any more", may_have_run=True, lost=self.down
            )

    def export(self, job: str) -> None:
        """Turn a finished prefill into an export, which is evicted after a while."""
        self.exports[job] = self.jobs.pop(job)
        self.prefill_count += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self.export_kept_s, self.exports.pop, job, None)


@dataclass(slots=True)
class VirtualEngine:
    """An agent's connection to its engine."""

    state: VirtualEngineState
    process: Process
    fleet: dict[str, VirtualEngineState]

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute a prompt's KV cache."""
        await self.process.wait_until_running()
        tokens = _token_count(job.prompt)
        self.state.start(job.job, job.prompt, _piece_count(tokens), "prefill")
        await asyncio.sleep(PREFILL_S * self.state.slowness)
        self.state.check_running(job.job)
        self.state.export(job.job)
        await self.process.wait_until_running()
        return PrefillResult(self.state.name, job.job, tokens)

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Generate tokens; the job holds memory until it ends or is cancelled."""
        await self.process.wait_until_running()
        size = _piece_count(_token_count(job.prompt) + job.max_tokens)
        self.state.start(job.job, job.prompt, size, "decode")
        await self._import(job)
        tokens = answer_tokens(job.prompt, job.max_tokens)
        for index in range(len(job.resume), len(tokens)):
            await asyncio.sleep(self.state.token_s * self.state.slowness)
            self.state.check_running(job.job)
            await self.process.wait_until_running()
            yield Token(index, tokens[index])
        self.state.jobs.pop(job.job, None)

    async def cancel(self, job: str) -> None:
        """Free the memory of a job; raises an error unless the engine confirms it."""
        await self.process.wait_until_running()
        await asyncio.sleep(CANCEL_S)
        self.state.check_reachable()
        self.state.jobs.pop(job, None)
        self.state.exports.pop(job, None)
        await self.process.wait_until_running()

    async def held(self) -> list[str]:
        """Return the jobs and exports that hold memory."""
        await self.process.wait_until_running()
        self.state.check_reachable()
        return [*self.state.jobs, *self.state.exports]

    async def _import(self, job: DecodeJob) -> None:
        while self.state.stalled:
            await asyncio.sleep(TOKEN_S)
            self.state.check_running(job.job)
        source = self.fleet.get(job.source)
        if source is not None and job.handle in source.exports:
            del source.exports[job.handle]
            return
        await asyncio.sleep(PREFILL_S)
        self.state.check_running(job.job)


@dataclass(slots=True)
class VirtualServiceState:
    """A plain service that counts what it executes.

    Attributes:
        name: instance id of its agent.
        executions: how often each body was executed.
        down: whether it can't be reached.
        answer_lost: whether connections break after the execution, before the answer.
        seconds: least duration of a call.
        max_extra_s: most seconds by which a call takes longer, by its body.
        slowness: how long work takes, relative to the usual time; may change.
        observer: gets an event for each execution.
    """

    name: str
    executions: Counter = field(default_factory=Counter)
    down: bool = False
    answer_lost: bool = False
    seconds: float = SERVICE_S
    max_extra_s: float = 0.0
    slowness: float = 1.0
    observer: FleetObserver = field(default_factory=FleetObserver)

    def call_duration_s(self, body: bytes) -> float:
        """Return the duration of a call, the same for each execution at one speed."""
        usual_s = self.seconds + self.max_extra_s * (zlib.crc32(body) / 2**32)
        return usual_s * self.slowness


@dataclass(slots=True)
class VirtualService:
    """An agent's connection to its service."""

    state: VirtualServiceState
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
        await self.process.wait_until_running()
        if not may_send():
            raise EngineError(
                "the call was abandoned before it was sent", may_have_run=False
            )
        if self.state.down:
            raise EngineError("connection refused", may_have_run=False, lost=True)
        self.state.executions[body] += 1
        self.state.observer.service_executed(self.state.name, headers, body)
        await asyncio.sleep(self.state.call_duration_s(body))
        if self.state.answer_lost:
            raise EngineError("connection lost", may_have_run=True, lost=True)
        await self.process.wait_until_running()
        return ServiceReply(201, [("Content-Type", "text/plain")], body)


def _token_count(prompt: str) -> int:
    return -(-len(prompt) // CHARS_PER_TOKEN)


def _piece_count(tokens: int) -> int:
    return -(-tokens // PIECE_TOKENS)
