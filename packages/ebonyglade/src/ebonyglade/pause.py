"""Notices that the process was paused, before anything else is done.

A pause can't be told by the paused process itself but by the gap it leaves on
the monotonic clock. Every way into the program checks for a gap: timers,
messages that arrive, messages that leave, and orders to the endpoint.
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
from ebonyglade.wire.work import Decode, Prefill, Reserve, Serve

PAUSE_S = 1.0  # a gap between two checks that counts as a pause
NEW_WORK = (Reserve, Prefill, Decode, Serve)


class PauseGuard:
    """Sends `Event.PAUSED` once for each gap, first of all."""

    def __init__(self, clock: Clock, events: Events) -> None:
        self._clock = clock
        self._events = events
        self._last: float | None = None
        self._seen = 0

    @property
    def seen(self) -> int:
        """Pauses so far."""
        return self._seen

    def check(self) -> bool:
        """Return whether this call is the first one after a pause."""
        now = self._clock()
        gap = now - (now if self._last is None else self._last)
        self._last = now
        if gap <= PAUSE_S:
            return False
        self._seen += 1
        self._events.send(Event.PAUSED, gap)
        return True


@dataclass(slots=True)
class GuardedTransport:
    """A transport that drops new work which was decided before a pause."""

    inner: Transport
    guard: PauseGuard

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message; False also for work that a pause made stale."""
        if self.guard.check() and isinstance(message, NEW_WORK):
            return False
        return self.inner.send(instance, message)

    def learn(self, instance: str, address: str) -> None:
        """Remember where an instance takes messages."""
        self.inner.learn(instance, address)

    def forget(self, instance: str) -> None:
        """Drop an instance's address and connection."""
        self.inner.forget(instance)

    def reconnect(self, instance: str) -> None:
        """Drop the connection to an instance."""
        self.inner.reconnect(instance)


class GuardedEngine:
    """An engine that gets no job which was decided before a pause."""

    def __init__(self, inner: Engine, check: Callable[[], bool]) -> None:
        self._inner = inner
        self._check = check

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute the KV cache of a prompt."""
        refuse_stale(self._check)
        return await self._inner.prefill(job)

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Import a KV cache and generate tokens."""
        refuse_stale(self._check)
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
    """A service that gets no call which was decided before a pause."""

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
        """Make one HTTP call; a pause before its first byte ends it."""
        refuse_stale(self._check)

        def may_still_send() -> bool:
            return not self._check() and may_send()

        return await self._inner.call(method, path, headers, body, may_still_send)


def refuse_stale(check: Callable[[], bool]) -> None:
    """Raise instead of doing what was decided before a pause.

    Raises:
        EngineError: the process was paused since; nothing has run.
    """
    if check():
        raise EngineError("The agent was paused.", ran=False)
