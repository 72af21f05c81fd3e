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
    """Listeners by event, called in the order in which they were added."""

    def __init__(self) -> None:
        self._listeners: dict[Event, list[Callable[..., None]]] = defaultdict(list)

    def listen(self, event: Event, listener: Callable[..., None]) -> None:
        """Call `listener` with the event's arguments each time it is sent."""
        self._listeners[event].append(listener)

    def send(self, event: Event, *args: object) -> None:
        """Call all listeners of an event."""
        for listener in self._listeners[event]:
            listener(*args)
