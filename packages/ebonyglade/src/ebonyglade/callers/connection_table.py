"""Callers' connections, and which one is closed when there are too many."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum


class Progress(IntEnum):
    """How far a connection's current request is, in the order of closing."""

    NO_REQUEST = 0  # new, or a part of a request's head has arrived
    BODY_MISSING = 1  # the head has arrived, and not the whole body
    IDLE = 2  # answered; the next request has not begun
    ACTIVE = 3  # a whole request is under way; never closed for others


@dataclass(slots=True, eq=False)
class CallerConnection:
    """One connection.

    Attributes:
        close: closes it at once.
        progress: how far its current request is.
    """

    close: Callable[[], None]
    progress: Progress = Progress.NO_REQUEST


class ConnectionTable:
    """All connections of one address, with a bound on their number.

    Args:
        max_connections: number above which one is closed for each new one.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        # In each dictionary, connections stand in the order in which they came there.
        self._by_progress: dict[Progress, dict[CallerConnection, None]] = {
            progress: {} for progress in Progress
        }

    def __len__(self) -> int:
        return sum(len(connections) for connections in self._by_progress.values())

    def add(self, connection: CallerConnection) -> CallerConnection | None:
        """Add a new connection.

        Returns:
            The connection to close, as there are too many; None if there are not.
        """
        self._by_progress[connection.progress][connection] = None
        return self._first() if len(self) > self._max_connections else None

    def move(self, connection: CallerConnection, progress: Progress) -> None:
        """Change the progress of a connection."""
        if progress is connection.progress:
            return
        self.remove(connection)
        connection.progress = progress
        self._by_progress[progress][connection] = None

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection; nothing happens if it is not in the table."""
        self._by_progress[connection.progress].pop(connection, None)

    def _first(self) -> CallerConnection | None:
        """Return the connection that has waited longest at the least progress.

        A caller that sends its request at once is never the first while there are
        others that don't. If all have whole requests, the new one is.
        """
        for connections in self._by_progress.values():
            for connection in connections:
                return connection
        return None
