"""Fake endpoints that outlive the agents beside them."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ebonyglade.ports import (
    DecodeJob,
    EngineError,
    PrefillJob,
    PrefillResult,
    ServiceReply,
    Token,
)
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.process import Process

PREFILL_S = 0.02
TOKEN_S = 0.005
EXPORT_KEPT_S = 0.8
RESTART_S = 2.0
SERVICE_S = 0.01
POISON = "POISON"


@dataclass(slots=True)
class EngineState:
    """A model engine; jobs hold memory until they end or are cancelled.

    Attributes:
        name: instance id of the agent beside it.
        slots: most jobs at once.
        jobs: jobs that hold memory.
        exports: finished prefills that wait for their import.
        down: whether the engine is restarting after a crash.
        prefilled: prompts prefilled.
        deaths: crashes so far, by the prompt that caused them.
        stalled: whether imports never finish.
    """

    name: str
    slots: int = 20
    jobs: set[str] = field(default_factory=set)
    exports: set[str] = field(default_factory=set)
    down: bool = False
    prefilled: int = 0
    deaths: Counter = field(default_factory=Counter)
    stalled: bool = False

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

    def start(self, job: str, prompt: str) -> None:
        """Begin a job or refuse it."""
        if self.down:
            raise EngineError("connection refused", ran=False, lost=True)
        if len(self.jobs) >= self.slots:
            raise EngineError("full", ran=False)
        self.jobs.add(job)
        if POISON in prompt:
            self.crash(prompt)
            raise EngineError("connection lost", ran=True, lost=True)

    def check(self, job: str) -> None:
        """Raise if a job was lost or cancelled."""
        if job not in self.jobs:
            raise EngineError("the job is gone", ran=True, lost=self.down)


@dataclass(slots=True)
class VirtualEngine:
    """An agent's connection to its engine."""

    state: EngineState
    process: Process
    fleet: dict[str, EngineState]

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute a prompt's KV cache."""
        await self.process.awake()
        self.state.start(job.job, job.prompt)
        await asyncio.sleep(PREFILL_S)
        self.state.check(job.job)
        self.state.jobs.discard(job.job)
        self.state.exports.add(job.job)
        self.state.prefilled += 1
        loop = asyncio.get_running_loop()
        loop.call_later(EXPORT_KEPT_S, self.state.exports.discard, job.job)
        await self.process.awake()
        tokens = -(-len(job.prompt) // 4)
        return PrefillResult(self.state.name, job.job, tokens)

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Generate tokens; the job holds memory until it ends or is cancelled."""
        await self.process.awake()
        self.state.start(job.job, job.prompt)
        await self._import(job)
        tokens = answer_tokens(job.prompt, job.max_tokens)
        for index in range(len(job.resume), len(tokens)):
            await asyncio.sleep(TOKEN_S)
            self.state.check(job.job)
            await self.process.awake()
            yield Token(index, tokens[index])
        self.state.jobs.discard(job.job)

    async def cancel(self, job: str) -> None:
        """Free what a job holds."""
        await self.process.awake()
        self.state.jobs.discard(job)
        self.state.exports.discard(job)

    async def held(self) -> list[str]:
        """Return the jobs and exports that hold memory."""
        await self.process.awake()
        return [*self.state.jobs, *self.state.exports]

    async def _import(self, job: DecodeJob) -> None:
        while self.state.stalled:
            await asyncio.sleep(TOKEN_S)
            self.state.check(job.job)
        source = self.fleet.get(job.source)
        if source is not None and job.handle in source.exports:
            source.exports.discard(job.handle)
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
    """

    name: str
    executions: Counter = field(default_factory=Counter)
    down: bool = False
    answer_lost: bool = False
    seconds: float = SERVICE_S


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
        await asyncio.sleep(self.state.seconds)
        if self.state.answer_lost:
            raise EngineError("connection lost", ran=True, lost=True)
        await self.process.awake()
        return ServiceReply(201, [("Content-Type", "text/plain")], body)
