"""Interfaces through which the library reaches the outside world."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

from ebonyglade.wire.base import Message

Clock = Callable[[], float]
"""Returns monotonic seconds."""


@dataclass(frozen=True, slots=True)
class Sender:
    """Who sent a message: instance id, its incarnation and its address."""

    instance: str
    incarnation: str
    address: str = ""


class Transport(Protocol):
    """Sends messages to other instances; never blocks."""

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message; False if the instance is unknown or its queue is full."""
        ...

    def learn(self, instance: str, address: str) -> None:
        """Remember where an instance takes messages."""
        ...

    def forget(self, instance: str) -> None:
        """Drop the address of an instance and the connection to it."""
        ...

    def reconnect(self, instance: str) -> None:
        """Drop the connection to an instance; the next message opens a new one."""
        ...


class Engine(Protocol):
    """What an agent needs from the model engine beside it."""

    async def prefill(self, job: "PrefillJob") -> "PrefillResult":
        """Compute the KV cache of a prompt and hold it for export."""
        ...

    def decode(self, job: "DecodeJob") -> AsyncIterator["Token"]:
        """Import a KV cache and generate tokens."""
        ...

    async def cancel(self, job: str) -> None:
        """Stop a job and free its memory."""
        ...

    async def held(self) -> list[str]:
        """Return the ids of the jobs that hold memory."""
        ...


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """An endpoint's HTTP answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ServiceCaller(Protocol):
    """What an agent needs from the plain service beside it."""

    async def call(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        may_send: Callable[[], bool],
    ) -> ServiceReply:
        """Make one HTTP call; raises `EngineError` if it fails.

        `may_send` is asked once, right before the first byte is sent; if it
        returns False, nothing is sent and the error says that nothing ran.
        Nothing is ever sent a second time.
        """
        ...


@dataclass(frozen=True, slots=True)
class PrefillJob:
    """One prompt to prefill.

    Attributes:
        job: id of the attempt.
        model: model name.
        prompt: the text.
        priority: smaller is sooner.
    """

    job: str
    model: str
    prompt: str
    priority: int = 0


@dataclass(frozen=True, slots=True)
class PrefillResult:
    """Where the KV cache of a prompt can be imported from.

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
    """One answer to generate.

    Attributes:
        job: id of the attempt.
        model: model name.
        prompt: the text, from which an engine recomputes a lost cache.
        source: address of the exporting engine; empty to recompute.
        handle: name of the export.
        max_tokens: most tokens to generate in the whole answer.
        resume: tokens that the caller already has.
        priority: smaller is sooner.
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
    """An engine failed a job.

    Attributes:
        ran: whether the job may have run.
        lost: whether the engine itself seems to be gone.
    """

    def __init__(self, message: str, ran: bool = True, lost: bool = False) -> None:
        super().__init__(message)
        self.ran = ran
        self.lost = lost
