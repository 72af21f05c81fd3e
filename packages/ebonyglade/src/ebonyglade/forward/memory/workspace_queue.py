"""An entry's requests of one workspace that wait for memory at agents' endpoints.

Agents order the requests of all entries. An entry has only the first requests of each
workspace queued there, at most one at each endpoint, so that a workspace has as many
places at an agent as it has entries with waiting requests, whatever it sends.
"""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

from ebonyglade.ports import Clock
from ebonyglade.wire.fleet import MemoryRequest

# Endpoints at whose agents one request is queued; the first grant counts. Two even out
# the differences between the queues at the cost of one more message each way.
MAX_PLACES = 2
GRANT_SAMPLES = 8  # newest grants from which the rate of grants follows
GRANT_SAMPLE_MAX_AGE_S = 2.0
MIN_RETRY_AFTER_S = 0.25
RETRY_SPREAD = 0.5  # share of the expected wait over which returning callers spread


@dataclass(slots=True)
class QueuePlace:
    """A request's place in the queue of one agent.

    Attributes:
        message: the request for memory, which is repeated while it waits.
        wait_s: expected wait that the agent stated.
        asked_at: monotonic seconds of the newest message.
    """

    message: MemoryRequest
    wait_s: float
    asked_at: float


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for memory.

    Attributes:
        first_asked_at: when the caller sent the first attempt, in monotonic seconds.
        reserve_by: latest time to reserve memory for an answer that is on time.
        places: its places at agents, by endpoint.
        granted: endpoints whose agents granted memory after it was queued.
        wake: set when the request should look at its places again.
        wait_known: whether its expected wait was known when it last looked.
    """

    first_asked_at: float
    reserve_by: float
    places: dict[str, QueuePlace] = field(default_factory=dict)
    granted: list[str] = field(default_factory=list)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    wait_known: bool = True

    def on_grant(self, endpoint: str) -> None:
        """Record that an agent has granted memory."""
        self.granted.append(endpoint)
        self.wake.set()

    def wait_s(self) -> float | None:
        """Return the expected wait by what agents stated; None if none did.

        It is granted at the first of its endpoints to reach it, so rates add up.
        """
        rate = sum(1.0 / max(item.wait_s, 0.001) for item in self.places.values())
        return 1.0 / rate if rate else None


@dataclass(slots=True)
class WorkspaceQueue:
    """Waiting requests of one workspace and priority at one service.

    Attributes:
        clock: seconds.
    """

    clock: Clock
    _waiting: list[WaitingRequest] = field(default_factory=list)
    _grants: deque[float] = field(default_factory=lambda: deque(maxlen=GRANT_SAMPLES))

    def __len__(self) -> int:
        return len(self._waiting)

    def join(self, request: WaitingRequest) -> None:
        """Add a request."""
        if not self._waiting:
            self._grants.clear()
        self._waiting.append(request)

    def leave(self, request: WaitingRequest) -> None:
        """Remove a request and wake the next one."""
        self._waiting.remove(request)
        self.wake_next()

    def granted(self) -> None:
        """Record that one of the requests was granted memory."""
        self._grants.append(self.clock())

    def wake_next(self) -> None:
        """Wake the first request without a place at an agent."""
        first = self._first_without_place()
        if first is not None:
            first.wake.set()

    def wake_uninformed(self) -> None:
        """Wake the requests whose expected wait was not known before."""
        for request in self._waiting:
            if not request.wait_known:
                request.wake.set()

    def may_ask(self, request: WaitingRequest) -> bool:
        """Return whether a request has a place or is the first one without."""
        return bool(request.places) or self._first_without_place() is request

    def occupied(self, request: WaitingRequest) -> set[str]:
        """Return the endpoints at which a request may not take a place.

        Others have one there. The places of late requests don't count for one that can
        be answered on time, which agents grant memory before them.
        """
        on_time = not self._is_late(request)
        return {
            endpoint
            for item in self._waiting
            if item is not request and not (on_time and self._is_late(item))
            for endpoint in item.places
        }

    def wait_s(self, request: WaitingRequest) -> float | None:
        """Return the expected wait of a request; None if it is not known."""
        stated = [item.wait_s() for item in self._waiting if item.places]
        request.wait_known = bool(stated)
        if request.places or not stated:
            return request.wait_s()
        order = self._order(request)
        position = sum(
            not item.places and self._order(item) <= order for item in self._waiting
        )
        return max(stated) + position * self._grant_interval_s(stated)

    def _is_late(self, request: WaitingRequest) -> bool:
        return self.clock() > request.reserve_by

    def _order(self, request: WaitingRequest) -> tuple[bool, float]:
        """Return the order of a request; those that can be on time go first."""
        return self._is_late(request), request.first_asked_at

    def _first_without_place(self) -> WaitingRequest | None:
        without_place = [item for item in self._waiting if not item.places]
        return min(without_place, key=self._order, default=None)

    def _grant_interval_s(self, stated: list[float]) -> float:
        """Return the expected seconds between two grants to this queue."""
        now = self.clock()
        recent = [at for at in self._grants if now - at < GRANT_SAMPLE_MAX_AGE_S]
        if len(recent) == GRANT_SAMPLES:
            return (now - recent[0]) / GRANT_SAMPLES
        return 1.0 / sum(1.0 / max(wait_s, 0.001) for wait_s in stated)


def retry_after_s(wait_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should return.

    They are spread so that callers who were refused together don't return together.
    """
    return round(
        max(wait_s, MIN_RETRY_AFTER_S) * (1.0 + RETRY_SPREAD * rng.random()), 3
    )
