"""Named events of a process, and their listeners."""

from collections import defaultdict
from collections.abc import Callable
from enum import Enum


class Event(Enum):
    """Named events, with the arguments that listeners get."""

    VIEW_CHANGED = "view_changed"  # (view: ConfigView)
    PEER_CHANGED = (
        "peer_changed"  # (instance: str, change: PeerChange, incarnation: str)
    )
    PEER_FORGOTTEN = "peer_forgotten"  # (instance: str), once it is not listed
    PAUSED = "paused"  # (seconds: float), sent before anything else runs
    DRAINING = "draining"  # (), once a planned stop has begun


class Events:
    """Listeners by event, called in the order in which they were added.

    Attributes:
        on_error: called with what a listener raises, after which the others are called;
            None to raise it.
    """

    def __init__(self, on_error: Callable[[Exception], None] | None = None) -> None:
        self.on_error = on_error
        self._listeners: dict[Event, list[Callable[..., None]]] = defaultdict(list)

    def listen(self, event: Event, listener: Callable[..., None]) -> None:
        """Call `listener` with the event's arguments each time it is sent."""
        self._listeners[event].append(listener)

    def send(self, event: Event, *args: object) -> None:
        """Call all listeners of an event."""
        for listener in self._listeners[event]:
            try:
                listener(*args)
            except Exception as error:
                if self.on_error is None:
                    raise
                self.on_error(error)
