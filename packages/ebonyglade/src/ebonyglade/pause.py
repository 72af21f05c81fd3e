"""Detects that the process was paused, before it does anything else.

A process can detect its own pause only by the gap on the monotonic clock. Timers,
incoming and outgoing messages, and calls that start work at the endpoint check for a
gap before anything else.
"""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from ebonyglade.events import Event, Events
from ebonyglade.ports import (
    Clock,
    DecodeJob,
    Engine,
    EngineError,
    PrefillJob,
    PrefillResult,
    ServiceCaller,
    ServiceReply,
    Token,
    Transport,
)
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Decode, Prefill, Reserve, ServiceRequest

PAUSE_GAP_S = 1.0  # longer gaps between two checks count as a pause
NEW_WORK_MESSAGES = (Reserve, Prefill, Decode, ServiceRequest)


class PauseGuard:
    """Sends `Event.PAUSED` once for each gap, before anything else runs."""

    def __init__(self, clock: Clock, events: Events) -> None:
        self._clock = clock
        self._events = events
        self._last_check_at: float | None = None
        self._pause_count = 0

    @property
    def pause_count(self) -> int:
        """Number of pauses so far."""
        return self._pause_count

    def check(self) -> bool:
        """Return whether this is the first check after a pause."""
        now = self._clock()
        gap = now - (now if self._last_check_at is None else self._last_check_at)
        self._last_check_at = now
        if gap <= PAUSE_GAP_S:
            return False
        self._pause_count += 1
        self._events.send(Event.PAUSED, gap)
        return True


@dataclass(slots=True)
class GuardedTransport:
    """A transport that drops messages with new work decided before a pause."""

    inner: Transport
    guard: PauseGuard

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message; return False also for new work decided before a pause."""
        if self.guard.check() and isinstance(message, NEW_WORK_MESSAGES):
            return False
        return self.inner.send(instance, message)

    def set_address(self, instance: str, address: str) -> None:
        """Store the address of an instance."""
        self.inner.set_address(instance, address)

    def remove_peer(self, instance: str) -> None:
        """Drop an instance's address and connection."""
        self.inner.remove_peer(instance)

    def reconnect(self, instance: str) -> None:
        """Drop the connection to an instance."""
        self.inner.reconnect(instance)


class GuardedEngine:
    """An engine that rejects jobs decided before a pause."""

    def __init__(self, inner: Engine, check: Callable[[], bool]) -> None:
        self._inner = inner
        self._check = check

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute the KV cache of a prompt."""
        raise_if_paused(self._check)
        return await self._inner.prefill(job)

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Import a KV cache and generate tokens."""
        raise_if_paused(self._check)
        tokens = self._inner.decode(job)
        try:
            async for token in tokens:
                yield token
        finally:
            await tokens.aclose()

    async def cancel(self, job: str) -> None:
        """Stop a job and free its memory."""
        await self._inner.cancel(job)

    async def held(self) -> list[str]:
        """Return the ids of the jobs that hold memory."""
        return await self._inner.held()


class GuardedService:
    """A service that rejects calls decided before a pause."""

    def __init__(self, inner: ServiceCaller, check: Callable[[], bool]) -> None:
        self._inner = inner
        self._check = check

    async def call(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        may_send: Callable[[], bool],
    ) -> ServiceReply:
        """Make one HTTP call, unless a pause is detected before its first byte."""

        def may_still_send() -> bool:
            return not self._check() and may_send()

        raise_if_paused(self._check)
        return await self._inner.call(method, path, headers, body, may_still_send)


def raise_if_paused(check: Callable[[], bool]) -> None:
    """Raise an error if a pause is detected, as the work was decided before it.

    Raises:
        EngineError: the process was paused; nothing has run.
    """
    if check():
        raise EngineError("The agent was paused.", may_have_run=False)
