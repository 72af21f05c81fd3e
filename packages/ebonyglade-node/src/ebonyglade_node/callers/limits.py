"""Limits of callers' connections, as all HTTP servers of a process apply them."""

import asyncio
import gc
import resource
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ebonyglade.buffers import KIB, BufferBudget
from ebonyglade.callers.connection_table import ConnectionTable
from ebonyglade_node.callers.pacer import Pacer

# Of the descriptors of a process, for callers; endpoints, the store and other
# processes need the rest.
CALLERS_SHARE = 0.5
COLLECT_AFTER_S = 0.2  # between two collections while connections are given up
UNLIMITED_FILES = 1_000_000  # stands for a process without a limit of descriptors


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the connections at one address.

    Attributes:
        connections: most connections at a time; above it, one that has waited longest
            for its caller is closed for each new one.
        head_s: seconds from the first byte of a request's head to its end.
        head_bytes: largest head of a request, with its request line.
        unread_s: seconds in which a caller must read more of a response.
        keepalive_s: seconds after which an idle connection is closed.
    """

    connections: int
    head_s: float = 5.0
    head_bytes: int = 64 * KIB
    unread_s: float = 10.0
    keepalive_s: float = 75.0

    def within_descriptors(self, max_files: int = 0) -> "ConnectionLimits":
        """Return limits that leave descriptors for the process itself.

        Args:
            max_files: descriptors of the process, if its platform tells; 0 if only the
                system's own limit counts.
        """
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if files == resource.RLIM_INFINITY:
            files = UNLIMITED_FILES
        if max_files:
            files = min(files, max_files)
        allowed = max(1, int(files * CALLERS_SHARE))
        return replace(self, connections=min(self.connections, allowed))


@dataclass(slots=True)
class ConnectionPolicy:
    """What all connections at one address share.

    Attributes:
        limits: their limits.
        count: adds to a named counter.
        buffers: memory of the process for callers.
        pacer: turns of connections whose bytes are costly to parse.
        table: the connections.
    """

    limits: ConnectionLimits
    count: Callable[[str], None]
    buffers: BufferBudget
    pacer: Pacer = field(default_factory=Pacer)
    table: ConnectionTable = field(init=False)
    _collects: bool = False

    def __post_init__(self) -> None:
        self.table = ConnectionTable(self.limits.connections)

    def release_soon(self) -> None:
        """Release what connections held that were given up for their memory.

        Objects of a cancelled request refer to each other, so that only a collection
        releases them. One serves all connections of some time.
        """
        if not self._collects:
            self._collects = True
            asyncio.get_running_loop().call_later(COLLECT_AFTER_S, self._collect)

    def _collect(self) -> None:
        self._collects = False
        gc.collect()
