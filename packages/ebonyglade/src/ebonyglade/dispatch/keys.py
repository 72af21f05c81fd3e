"""Ends the requests of a key once the key is withdrawn."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar
from weakref import WeakValueDictionary

from result import Err, Ok

from ebonyglade.calls import Call, NextHandler, Reply, StreamFailed, TokenStream
from ebonyglade.config.view import ConfigView, KeyOwner, hash_key
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.verdict import Verdict, refuse

T = TypeVar("T")


class _Withdrawn(Exception):
    """The key of the running request is no longer valid."""


@dataclass(eq=False, slots=True, weakref_slot=True)
class _KeyedRequest:
    """One request that came with a key.

    Attributes:
        owner: owner of the key when the request arrived.
        revoked: whether the key was removed or withdrawn, or its owner record changed.
        wait_timeout: timeout around the current wait; it is set to expire at once when
            the key is withdrawn.
    """

    owner: KeyOwner
    revoked: bool = False
    wait_timeout: asyncio.Timeout | None = None

    def revoke(self) -> None:
        """End the current wait and make all later ones fail."""
        self.revoked = True
        if self.wait_timeout is not None:
            self.wait_timeout.reschedule(asyncio.get_running_loop().time())

    async def wait(self, start: Callable[[], Awaitable[T]]) -> T:
        """Await what `start` returns, unless the key is withdrawn.

        Raises:
            _Withdrawn: the key was withdrawn before or during the wait.
        """
        if self.revoked:
            raise _Withdrawn
        try:
            async with asyncio.timeout(None) as self.wait_timeout:
                return await start()
        except TimeoutError:
            if self.revoked:
                raise _Withdrawn from None
            raise
        finally:
            self.wait_timeout = None


class KeyGuard:
    """Filter that ends waiting and running requests whose key was withdrawn.

    A streamed answer is cut off with an explicit failure: a stream may last for
    minutes, but a withdrawn key must stop working within seconds.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        # Weak references, so that a stream that is never read is not kept alive.
        self._requests: dict[str, WeakValueDictionary[int, _KeyedRequest]] = {}
        self._request_ids = itertools.count()
        context.events.listen(Event.VIEW_CHANGED, self._on_view)

    @property
    def open_requests(self) -> int:
        """Number of running requests that came with a key."""
        return sum(len(requests) for requests in self._requests.values())

    async def guard(self, call: Call, proceed: NextHandler) -> Reply:
        """Run a request for as long as its key is valid."""
        owner = call.view.key_owner(call.key) if call.key else None
        if owner is None or owner.withdrawn:
            return await proceed(call)
        key_digest = hash_key(call.key)
        request = _KeyedRequest(owner)
        request_id = next(self._request_ids)
        self._requests.setdefault(key_digest, WeakValueDictionary())[request_id] = (
            request
        )
        is_stream = False
        try:
            reply = await request.wait(lambda: proceed(call))
            if isinstance(reply, Ok) and isinstance(reply.ok_value, TokenStream):
                stream = reply.ok_value
                stream.tokens = self._guarded_stream(
                    key_digest, request_id, request, stream.tokens
                )
                is_stream = True
            return reply
        except _Withdrawn:
            self._context.count("requests_ended_by_withdrawal")
            return Err(refuse("key_withdrawn", verdict=Verdict.MAY_HAVE_RUN))
        finally:
            if not is_stream:
                self._drop(key_digest, request_id)

    async def _guarded_stream(
        self,
        key_digest: str,
        request_id: int,
        request: _KeyedRequest,
        tokens: AsyncIterator[list[str]],
    ) -> AsyncIterator[list[str]]:
        try:
            while True:
                try:
                    batch = await request.wait(lambda: anext(tokens))
                except StopAsyncIteration:
                    return
                yield batch
        except _Withdrawn:
            self._context.count("requests_ended_by_withdrawal")
            refusal = refuse("key_withdrawn", verdict=Verdict.RAN)
            raise StreamFailed(refusal) from None
        finally:
            self._drop(key_digest, request_id)
            await tokens.aclose()

    def _drop(self, key_digest: str, request_id: int) -> None:
        requests = self._requests.get(key_digest)
        if requests is None:
            return
        requests.pop(request_id, None)
        if not requests:
            del self._requests[key_digest]

    def _on_view(self, view: ConfigView) -> None:
        for key_digest, requests in list(self._requests.items()):
            owner = view.keys.get(key_digest)
            for request in list(requests.values()):
                if owner != request.owner:
                    request.revoke()
