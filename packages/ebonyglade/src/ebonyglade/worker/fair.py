"""Weighted fair order of waiting work, by start-time fair queueing.

Each workspace has a virtual finish time, which grows with the tokens that it
was granted divided by its weight; the work with the smallest virtual start time
is next (Goyal, Vin and Cheng, 1996). A workspace that used less than its share
lately may use up what it left of the last seconds, so that short bursts within its
share do not wait. What is patient earns no such credit and waits behind the other
work of its workspace, until its latest start comes near.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from ebonyglade.invariants import Invariants

URGENT_S = 5.0  # before its latest start, patient work goes first in its workspace
CREDIT_S = 5.0  # seconds of its share that a workspace may use up later
SAMPLE_S = 0.25
LOOKAHEAD = 8  # first places of the order from which work may start


@dataclass(slots=True, eq=False)
class Waiting:
    """Work in the queue.

    Attributes:
        id: id of the attempt.
        workspace: who it is for.
        tokens: what it is charged.
        weight: fair-share weight of the workspace.
        latest: monotonic seconds by which it must start.
        patient: whether it waits behind the workspace's other work.
        arrived: monotonic seconds.
        start: virtual start time.
        earliest: virtual time before which patient work has no place.
        order: number of its arrival.
    """

    id: str
    workspace: str
    tokens: float
    weight: float
    latest: float
    patient: bool = False
    arrived: float = 0.0
    start: float = 0.0
    earliest: float = 0.0
    order: int = 0

    @property
    def cost(self) -> float:
        """Virtual time that it takes."""
        return self.tokens / self.weight

    @property
    def key(self) -> tuple[float, int]:
        """Place in the fair order."""
        return (self.start, self.order)


Place = tuple[tuple[float, int], str]
"""Place in the fair order, and the id of the work there."""


@dataclass(slots=True)
class _Account:
    """One workspace: where its next virtual start is, and its waiting work.

    Attributes:
        finish: virtual finish time of what it was granted.
        weight: its share relative to others.
        prompt: waiting work that is not patient, in order of arrival.
        patient: waiting work that is patient, in order of arrival.
    """

    finish: float = 0.0
    weight: float = 1.0
    prompt: dict[str, Waiting] = field(default_factory=dict)
    patient: dict[str, Waiting] = field(default_factory=dict)

    @property
    def queued(self) -> float:
        """Tokens of the waiting work."""
        return sum(item.tokens for item in self.items())

    def items(self) -> list[Waiting]:
        """Return all waiting work."""
        return [*self.prompt.values(), *self.patient.values()]

    def line(self, item: Waiting) -> dict[str, Waiting]:
        """Return the line in which an item waits."""
        return self.patient if item.patient else self.prompt

    def in_order(self, now: float) -> list[Waiting]:
        """Return the waiting work in the order in which the workspace wants it."""
        patient = self.patient.values()
        urgent = [item for item in patient if item.latest - now <= URGENT_S]
        if not urgent:
            return self.items()
        rest = [item for item in patient if item.latest - now > URGENT_S]
        return [*urgent, *self.prompt.values(), *rest]

    def places(self, now: float) -> list[Place]:
        """Return the places of the waiting work, one behind the other."""
        finish = self.finish
        places = []
        for item in self.in_order(now):
            start = max(finish, item.earliest)
            finish = start + item.cost
            places.append(((start, item.order), item.id))
        return places


@dataclass(slots=True)
class FairQueue:
    """Waiting work in weighted fair order, bounded in length.

    Attributes:
        most: longest length.
        invariants: assertions of what must always hold.
    """

    most: int
    invariants: Invariants = field(default_factory=Invariants)
    _now: float = 0.0
    _floor: float = 0.0
    _past: deque[tuple[float, float]] = field(default_factory=deque)
    _orders: int = 0
    _items: dict[str, Waiting] = field(default_factory=dict)
    _accounts: dict[str, _Account] = field(default_factory=dict)
    _known: tuple[float | None, list[Place]] = (None, [])

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item_id: str) -> bool:
        return item_id in self._items

    def add(self, item: Waiting) -> Waiting | None:
        """Queue work and return what is dropped for it, if the queue is full.

        The newest work of the workspace furthest over its share is dropped,
        which may be the work that came; never that of another workspace.
        """
        self._age(item.arrived)
        account = self._accounts.setdefault(item.workspace, _Account())
        account.weight = item.weight
        account.finish = max(account.finish, self._floor)
        self._orders += 1
        item.order = self._orders
        self._known = (None, [])
        item.earliest = self._now if item.patient else 0.0
        item.start = max(account.finish, item.earliest)
        self._items[item.id] = item
        account.line(item)[item.id] = item
        if len(self._items) <= self.most:
            return None
        newest = max(self._most_over().items(), key=lambda item: item.order)
        return self.remove(newest.id)

    def remove(self, item_id: str) -> Waiting | None:
        """Take work out that was given up; its workspace is not charged."""
        item = self._items.pop(item_id, None)
        if item is None:
            return None
        self._known = (None, [])
        account = self._accounts[item.workspace]
        del account.line(item)[item.id]
        self._forget_idle(item.workspace)
        return item

    def grant(self, item_id: str, now: float) -> Waiting:
        """Take work out that starts; virtual time goes on to its start."""
        first = {name: key for key, name in self.order(now)[:LOOKAHEAD]}
        item = self._items.pop(item_id)
        require = self.invariants.require
        require(now <= item.latest, "nothing_starts_past_its_deadline", item.id)
        require(item_id in first, "queue_honours_virtual_time", item.id)
        self._known = (None, [])
        account = self._accounts[item.workspace]
        del account.line(item)[item.id]
        item.start = first.get(item_id, item.key)[0]
        account.finish = max(account.finish, item.earliest) + item.cost
        self._now = max(self._now, item.start)
        self._age(now)
        self._forget_idle(item.workspace)
        return item

    def settle(self, workspace: str, charged: float, used: float) -> None:
        """Correct a workspace's account once it is known what its work took."""
        account = self._accounts.get(workspace)
        if account is not None:
            self._known = (None, [])
            account.finish += (used - charged) / account.weight

    def waiting(self, now: float) -> Iterator[Waiting]:
        """Yield the work in the order in which it should start."""
        for _, item_id in self.order(now):
            if item_id in self._items:
                yield self._items[item_id]

    def item(self, item_id: str) -> Waiting:
        """Return waiting work."""
        return self._items[item_id]

    def tokens(self) -> float:
        """Return the tokens of all waiting work."""
        return sum(item.tokens for item in self._items.values())

    def prune(self) -> None:
        """Forget the accounts of workspaces that virtual time has passed."""
        for workspace in list(self._accounts):
            self._forget_idle(workspace)

    def order(self, now: float) -> list[Place]:
        """Return the places of all waiting work, the next one first."""
        known_at, order = self._known
        if known_at == now:
            return order
        order = []
        for account in self._accounts.values():
            order += account.places(now)
        order.sort()
        self._known = (now, order)
        return order

    def _age(self, now: float) -> None:
        """Remember virtual time, and how far it was some seconds ago."""
        past = self._past
        if not past or now - past[-1][0] >= SAMPLE_S:
            past.append((now, self._now))
        while past and past[0][0] <= now - CREDIT_S:
            self._floor = past.popleft()[1]

    def _most_over(self) -> _Account:
        return max(
            (account for account in self._accounts.values() if account.items()),
            key=lambda account: account.queued / account.weight,
        )

    def _forget_idle(self, workspace: str) -> None:
        account = self._accounts[workspace]
        if not account.items() and account.finish <= self._floor:
            del self._accounts[workspace]
