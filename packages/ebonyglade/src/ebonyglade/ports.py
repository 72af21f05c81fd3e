"""Interfaces to clocks, transports, engines and services outside the library."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

from ebonyglade.wire.base import Message

Clock = Callable[[], float]
"""Returns monotonic seconds."""


@dataclass(frozen=True, slots=True)
class Sender:
    """Sender of a message: instance id, incarnation and address."""

    instance: str
    incarnation: str
    address: str = ""


class Transport(Protocol):
    """Sends messages to other instances; never blocks."""

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message; False if the instance is unknown or its queue is full."""
        ...

    def set_address(self, instance: str, address: str) -> None:
        """Store the address of an instance."""
        ...

    def remove_peer(self, instance: str) -> None:
        """Drop the address of an instance and the connection to it."""
        ...

    def reconnect(self, instance: str) -> None:
        """Drop the connection to an instance; the next message opens a new one."""
        ...


class Engine(Protocol):
    """What an agent needs from the model engine at its endpoint."""

    async def prefill(self, job: "PrefillJob") -> "PrefillResult":
        """Compute the KV cache of a prompt and hold it for export."""
        ...

    def decode(self, job: "DecodeJob") -> AsyncIterator["Token"]:
        """Import a KV cache and generate tokens."""
        ...

    async def cancel(self, job: str) -> None:
        """Stop a job or export and free its memory. Idempotent.

        Raises:
            EngineError: the engine did not confirm the cancellation.
        """
        ...

    async def held(self) -> list[str]:
        """Return the ids of the jobs and exports that hold memory.

        Raises:
            EngineError: the engine did not answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """An endpoint's HTTP answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ServiceCaller(Protocol):
    """What an agent needs from the HTTP service at its endpoint."""

    async def call(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        may_send: Callable[[], bool],
    ) -> ServiceReply:
        """Make one HTTP call; raises `EngineError` if it fails.

        `may_send` is called once, right before the first byte is sent; if it
        returns False, nothing is sent and the error says that nothing ran.
        A request is never sent a second time.
        """
        ...


@dataclass(frozen=True, slots=True)
class PrefillJob:
    """Job of prefilling one prompt.

    Attributes:
        job: id of the attempt.
        model: model name.
        prompt: the text.
        priority: lower values run first.
    """

    job: str
    model: str
    prompt: str
    priority: int = 0


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Source from which the KV cache of a prompt can be imported.

    Attributes:
        source: address of the engine that exports it.
        handle: name of the export on that engine.
        tokens: prompt tokens.
        cached: prompt tokens that were found in the prefix cache.
    """

    source: str
    handle: str
    tokens: int
    cached: int = 0


@dataclass(frozen=True, slots=True)
class DecodeJob:
    """Job of generating one answer.

    Attributes:
        job: id of the attempt.
        model: model name.
        prompt: the text; the engine recomputes a lost cache from it.
        source: address of the exporting engine; empty to recompute.
        handle: name of the export.
        max_tokens: most tokens to generate in the whole answer.
        resume: tokens that the caller already has.
        priority: lower values run first.
    """

    job: str
    model: str
    prompt: str
    source: str
    handle: str
    max_tokens: int
    resume: tuple[str, ...] = ()
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Token:
    """One generated token and its position in the answer, from zero."""

    index: int
    text: str


class EngineError(Exception):
    """An engine failed a job, or a service a call.

    Attributes:
        may_have_run: whether the job may have run.
        lost: whether the engine itself seems to be down.
    """

    def __init__(
        self, message: str, may_have_run: bool = True, lost: bool = False
    ) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run
        self.lost = lost
