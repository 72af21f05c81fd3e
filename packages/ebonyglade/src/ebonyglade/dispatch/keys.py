"""Ends what runs under a key once the key is withdrawn."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar
from weakref import WeakValueDictionary

from result import Err, Ok

from ebonyglade.calls import Call, Proceed, Reply, StreamFailed, TokenStream
from ebonyglade.config.view import Owner, View, digest
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.verdict import Verdict, refuse

T = TypeVar("T")


class _Withdrawn(Exception):
    """The key of the work under way no longer counts."""


@dataclass(eq=False, slots=True, weakref_slot=True)
class _Use:
    """One request under a key.

    Attributes:
        owner: whom the key belonged to when the request came.
        over: whether the key no longer counts.
        scope: what to end while the request waits for something.
    """

    owner: Owner
    over: bool = False
    scope: asyncio.Timeout | None = None

    def end(self) -> None:
        """End the wait under way and all later ones."""
        self.over = True
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())

    async def wait(self, start: Callable[[], Awaitable[T]]) -> T:
        """Return the result of the work that `start` begins.

        Raises:
            _Withdrawn: the key was withdrawn before or meanwhile.
        """
        if self.over:
            raise _Withdrawn
        try:
            async with asyncio.timeout(None) as self.scope:
                return await start()
        except TimeoutError:
            if self.over:
                raise _Withdrawn from None
            raise
        finally:
            self.scope = None


class KeyGuard:
    """Filter that ends requests whose key was withdrawn, waiting or running.

    An answer under way is cut off with a marked failure and not finished: a
    stream may last for minutes, and a withdrawn key must stop within seconds.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        # A stream that nobody ever reads must not be kept here.
        self._uses: dict[str, WeakValueDictionary[int, _Use]] = {}
        self._numbers = itertools.count()
        context.events.listen(Event.VIEW_CHANGED, self._on_view)

    @property
    def open_uses(self) -> int:
        """Requests under way that came with a key."""
        return sum(len(uses) for uses in self._uses.values())

    async def guard(self, call: Call, proceed: Proceed) -> Reply:
        """Filter: run a request for as long as its key counts."""
        owner = call.view.owner_of(call.key) if call.key else None
        if owner is None or owner.withdrawn:
            return await proceed(call)
        key_digest = digest(call.key)
        use = _Use(owner)
        number = next(self._numbers)
        self._uses.setdefault(key_digest, WeakValueDictionary())[number] = use
        kept = False
        try:
            reply = await use.wait(lambda: proceed(call))
            if isinstance(reply, Ok) and isinstance(reply.ok_value, TokenStream):
                stream = reply.ok_value
                stream.tokens = self._guarded(key_digest, number, use, stream.tokens)
                kept = True
            return reply
        except _Withdrawn:
            self._context.count("requests_ended_by_withdrawal")
            return Err(refuse("key_withdrawn", verdict=Verdict.MAY_HAVE_RUN))
        finally:
            if not kept:
                self._drop(key_digest, number)

    async def _guarded(
        self,
        key_digest: str,
        number: int,
        use: _Use,
        tokens: AsyncIterator[list[str]],
    ) -> AsyncIterator[list[str]]:
        try:
            while True:
                try:
                    batch = await use.wait(lambda: anext(tokens))
                except StopAsyncIteration:
                    return
                yield batch
        except _Withdrawn:
            self._context.count("requests_ended_by_withdrawal")
            refusal = refuse("key_withdrawn", verdict=Verdict.RAN)
            raise StreamFailed(refusal) from None
        finally:
            self._drop(key_digest, number)
            await tokens.aclose()

    def _drop(self, key_digest: str, number: int) -> None:
        uses = self._uses.get(key_digest)
        if uses is None:
            return
        uses.pop(number, None)
        if not uses:
            del self._uses[key_digest]

    def _on_view(self, view: View) -> None:
        for key_digest, uses in list(self._uses.items()):
            owner = view.keys.get(key_digest)
            for use in list(uses.values()):
                if owner != use.owner:
                    use.end()
