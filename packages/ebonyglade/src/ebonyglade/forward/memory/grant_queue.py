"""Queue of the requests that wait for one endpoint's memory, over all entries.

More urgent requests go first, and at the same priority those that can still be
answered on time: late ones that went first would make the others late, too. Among these
the order between workspaces is that of start-time fair queueing
(`worker/fair_queue.py`), and in one workspace those that have waited the longest go
first.
"""

from dataclasses import dataclass, field

from ebonyglade.worker.fair_queue import FairQueue, QueueItem
from ebonyglade.worker.predict import MovingAverage

WAITER_EXPIRY_S = 0.2  # a waiting request that does not ask again is dropped
# The same for a queued request. Its entry repeats the request every 0.5 s.
QUEUED_EXPIRY_S = 1.5
MAX_WAITING = 512

Urgency = tuple[int, bool]
"""Priority of requests, and whether they can no longer be answered on time."""


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Priority of a waiting request, and its order within its workspace.

    Attributes:
        priority: 0 is the most urgent.
        late: whether the request can no longer be answered on time.
        negative_wait_s: negated seconds that the request has waited.
    """

    priority: int
    late: bool
    negative_wait_s: float

    @property
    def urgency(self) -> Urgency:
        """What goes before the shares of workspaces."""
        return self.priority, self.late


@dataclass(frozen=True, slots=True)
class Claim:
    """On whose behalf memory is requested.

    Attributes:
        workspace: name of the workspace; "" if there is none.
        weight: its share in proportion to others; 0 if not stated.
        queued: whether the grant is sent to the entry when it is the request's turn;
            else it is given when the entry asks again.
        entry: address of the entry.
        ask: id of the entry's message.
    """

    workspace: str = ""
    weight: float = 0.0
    queued: bool = False
    entry: str = ""
    ask: str = ""


UNNAMED_CLAIM = Claim()


@dataclass(slots=True)
class WaitingGrant:
    """A request that waits for memory.

    Attributes:
        request: id of the request.
        prompt_tokens: tokens of its prompt.
        answer_tokens: expected tokens of its answer.
        rank: its urgency and its order within the workspace.
        claim: on whose behalf it asks.
        asked_at: monotonic seconds of the entry's newest message.
    """

    request: str
    prompt_tokens: int
    answer_tokens: int
    rank: Rank
    claim: Claim
    asked_at: float

    @property
    def cost(self) -> int:
        """Tokens that the workspace is charged."""
        return self.prompt_tokens + self.answer_tokens

    @property
    def order(self) -> tuple[float]:
        """Order within the workspace; does not change while the request waits."""
        return (self.asked_at + self.rank.negative_wait_s,)

    @property
    def expires_at(self) -> float:
        """When it is dropped unless the entry asks again."""
        expiry_s = QUEUED_EXPIRY_S if self.claim.queued else WAITER_EXPIRY_S
        return self.asked_at + expiry_s


@dataclass(slots=True)
class GrantQueue:
    """Requests that wait for memory, in the order in which they are granted it."""

    _waiting: dict[str, WaitingGrant] = field(default_factory=dict)
    _by_urgency: dict[Urgency, FairQueue] = field(default_factory=dict)
    _mean_weight: MovingAverage = field(default_factory=MovingAverage)

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request: str) -> bool:
        return request in self._waiting

    def get(self, request: str) -> WaitingGrant:
        """Return a waiting request."""
        return self._waiting[request]

    def put(self, waiting: WaitingGrant) -> None:
        """Add a request, or update one that asks again.

        Its place changes only if it has become late meanwhile.
        """
        known = self._waiting.get(waiting.request)
        if known is not None and known.rank.late == waiting.rank.late:
            known.asked_at, known.claim = waiting.asked_at, waiting.claim
            return
        self.remove(waiting.request)
        self._waiting[waiting.request] = waiting
        queue = self._by_urgency.setdefault(
            waiting.rank.urgency, FairQueue(MAX_WAITING)
        )
        dropped = queue.add(
            QueueItem(
                waiting.request,
                waiting.claim.workspace,
                waiting.cost,
                self._weight(waiting.claim),
                float("inf"),
                arrived_at=waiting.asked_at,
                order=waiting.order,
            )
        )
        if dropped is not None:
            del self._waiting[dropped.id]

    def first(self, now: float) -> WaitingGrant | None:
        """Return the request that is granted memory next; None if none waits."""
        for urgency in sorted(self._by_urgency):
            item = next(self._by_urgency[urgency].in_order(now), None)
            if item is not None:
                return self._waiting[item.id]
        return None

    def ahead_of(self, request: str, now: float) -> list[WaitingGrant]:
        """Return the requests that are granted memory before a waiting one."""
        own = self._waiting[request].rank.urgency
        ahead = []
        for urgency in sorted(self._by_urgency):
            if urgency > own:
                break
            for item in self._by_urgency[urgency].in_order(now):
                if item.id == request:
                    break
                ahead.append(self._waiting[item.id])
        return ahead

    def grant(self, request: str, now: float) -> None:
        """Remove a request that is granted memory and charge its workspace."""
        waiting = self._waiting.pop(request)
        self._by_urgency[waiting.rank.urgency].dequeue(request, now)

    def remove(self, request: str) -> None:
        """Remove a request that does not wait any longer."""
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            self._by_urgency[waiting.rank.urgency].remove(request)

    def refund(self, urgency: Urgency, claim: Claim, cost: int) -> None:
        """Return what a workspace was charged for a request that did not run."""
        queue = self._by_urgency.get(urgency)
        if queue is not None:
            queue.settle(claim.workspace, cost, 0.0)

    def expire(self, now: float) -> None:
        """Drop the requests whose entries stopped asking."""
        expired = [
            name for name, item in self._waiting.items() if item.expires_at < now
        ]
        for request in expired:
            self.remove(request)

    def of_entry(self, entry: str) -> list[str]:
        """Return the waiting requests of an entry."""
        return [
            name for name, item in self._waiting.items() if item.claim.entry == entry
        ]

    def clear(self) -> None:
        """Drop all requests; what workspaces were charged is kept."""
        for request in list(self._waiting):
            self.remove(request)

    def _weight(self, claim: Claim) -> float:
        """Return a workspace's weight; without a stated one the usual weight."""
        if claim.weight > 0:
            self._mean_weight.observe(claim.weight)
            return claim.weight
        return self._mean_weight.value or 1.0
