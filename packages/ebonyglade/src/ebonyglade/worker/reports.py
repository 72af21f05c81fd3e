"""Reports of load and cache to the entries that use this agent."""

from collections.abc import Callable

from ebonyglade.context import Context
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.cache import CacheChanged
from ebonyglade.wire.control import Load
from ebonyglade.wire.work import Prefill, Reserve

REPORT_S = 1.0
FORGET_S = 10.0  # an entry that asked nothing for so long gets no reports


class Reports:
    """Tells each entry that lately sent work how loaded the endpoint is.

    The engine's cache events are passed on with numbers of this process; a gap
    in the engine's own numbers becomes one in these.
    """

    def __init__(self, context: Context, load: Callable[[], Load]) -> None:
        self._context = context
        self._load = load
        self._asked: dict[str, float] = {}
        self._engine_seq: int | None = None
        self._seq = 0
        self._stored: list[int] = []
        self._evicted: list[int] = []
        self._changed = False
        context.every(REPORT_S, self.tick)

    def watch(
        self, handlers: dict[type[Message], Callable[[Sender, Message], None]]
    ) -> dict[type[Message], Callable[[Sender, Message], None]]:
        """Return handlers that also note who sends work."""
        noted = {kind: self._noting(handlers[kind]) for kind in (Reserve, Prefill)}
        return {**handlers, **noted}

    def cache_event(self, seq: int, stored: list[int], evicted: list[int]) -> None:
        """Take one event of the engine's prefix cache."""
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
        """Send what changed since the last report."""
        self._asked = {
            name: at for name, at in self._asked.items() if now - at < FORGET_S
        }
        messages: list[Message] = [self._load()]
        if self._changed:
            messages.append(self._take_changes())
        for entry in self._asked:
            for message in messages:
                self._context.send(entry, message)

    def _take_changes(self) -> CacheChanged:
        self._seq += 1
        # What was stored and evicted within one report ends as evicted.
        gone = set(self._evicted)
        stored = [block for block in self._stored if block not in gone]
        changes = CacheChanged(self._seq, stored, list(gone))
        self._stored, self._evicted, self._changed = [], [], False
        return changes

    def _noting(
        self, handler: Callable[[Sender, Message], None]
    ) -> Callable[[Sender, Message], None]:
        def note(sender: Sender, message: Message) -> None:
            self._asked[sender.instance] = self._context.clock()
            handler(sender, message)

        return note
