"""Reports of load and prefix cache to the entries that use this agent."""

from collections.abc import Callable

from ebonyglade.context import Context
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.cache import CacheChanged
from ebonyglade.wire.control import LoadReport
from ebonyglade.wire.work import Prefill, Reserve

REPORT_INTERVAL_S = 1.0
IDLE_ENTRY_S = 10.0  # an entry that sent no work for so long gets no more reports


class Reporter:
    """Reports load and cache changes to each entry that recently sent work.

    The engine's cache events are passed on with sequence numbers of this process.
    A gap in the engine's sequence numbers becomes a gap in these.
    """

    def __init__(self, context: Context, load: Callable[[], LoadReport]) -> None:
        self._context = context
        self._load = load
        self._last_work_at: dict[str, float] = {}
        self._engine_seq: int | None = None
        self._seq = 0
        self._stored: list[int] = []
        self._evicted: list[int] = []
        self._changed = False
        context.every(REPORT_INTERVAL_S, self.tick)

    def tracking_handlers(
        self, handlers: dict[type[Message], Callable[[Sender, Message], None]]
    ) -> dict[type[Message], Callable[[Sender, Message], None]]:
        """Return handlers that also record which entries send work."""
        tracked = {kind: self._tracking(handlers[kind]) for kind in (Reserve, Prefill)}
        return {**handlers, **tracked}

    def cache_event(self, seq: int, stored: list[int], evicted: list[int]) -> None:
        """Handle one event of the engine's prefix cache."""
        if self._engine_seq is not None and seq <= self._engine_seq:
            return
        if self._engine_seq is not None and seq != self._engine_seq + 1:
            self._seq += 1
            self._stored.clear()
            self._evicted.clear()
        self._engine_seq = seq
        self._stored.extend(stored)
        self._evicted.extend(evicted)
        self._changed = True

    def tick(self, now: float) -> None:
        """Send the load, and the cache changes since the last report."""
        self._last_work_at = {
            name: at
            for name, at in self._last_work_at.items()
            if now - at < IDLE_ENTRY_S
        }
        messages: list[Message] = [self._load()]
        if self._changed:
            messages.append(self._take_changes())
        for entry in self._last_work_at:
            for message in messages:
                self._context.send(entry, message)

    def _take_changes(self) -> CacheChanged:
        self._seq += 1
        # A block that was stored and evicted since the last report counts as evicted.
        evicted = set(self._evicted)
        stored = [block for block in self._stored if block not in evicted]
        changes = CacheChanged(self._seq, stored, list(evicted))
        self._stored, self._evicted, self._changed = [], [], False
        return changes

    def _tracking(
        self, handler: Callable[[Sender, Message], None]
    ) -> Callable[[Sender, Message], None]:
        def record_and_handle(sender: Sender, message: Message) -> None:
            self._last_work_at[sender.instance] = self._context.clock()
            handler(sender, message)

        return record_and_handle
