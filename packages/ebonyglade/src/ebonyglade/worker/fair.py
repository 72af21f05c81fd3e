"""Weighted fair order of waiting work, by start-time fair queueing.

Each workspace has a virtual finish time, which grows with the tokens that it
was granted divided by its weight; the work with the smallest virtual start time
is next (Goyal, Vin and Cheng, 1996). What is patient waits behind the rest,
until its latest start comes near.
"""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from ebonyglade.invariants import Invariants

URGENT_S = 5.0  # before its latest start, patient work waits behind nobody
LOOKAHEAD = 8  # first places of the order from which work may start


@dataclass(slots=True)
class Waiting:
    """Work in the queue.

    Attributes:
        id: id of the attempt.
        workspace: who it is for.
        tokens: what it is charged.
        weight: fair-share weight of the workspace.
        latest: monotonic seconds by which it must start.
        patient: whether it waits behind work that is not patient.
        arrived: monotonic seconds.
        start: virtual start time.
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
    order: int = 0

    @property
    def key(self) -> tuple[float, int]:
        """Place in the fair order."""
        return (self.start, self.order)


@dataclass(slots=True)
class _Account:
    """Virtual finish time of one workspace and its waiting tokens."""

    finish: float = 0.0
    queued: float = 0.0
    weight: float = 1.0


@dataclass(slots=True)
class FairQueue:
    """Waiting work in weighted fair order, bounded in length.

    Attributes:
        most: longest length.
    """

    most: int
    invariants: Invariants = field(default_factory=Invariants)
    _now: float = 0.0
    _orders: int = 0
    _items: dict[str, Waiting] = field(default_factory=dict)
    _prompt: list[tuple[tuple[float, int], str]] = field(default_factory=list)
    _patient: list[tuple[tuple[float, int], str]] = field(default_factory=list)
    _accounts: dict[str, _Account] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item_id: str) -> bool:
        return item_id in self._items

    def add(self, item: Waiting) -> Waiting | None:
        """Queue work and return what is dropped for it, if the queue is full.

        The newest work of the workspace furthest over its share is dropped,
        which may be the work that came; never that of another workspace.
        """
        account = self._accounts.setdefault(item.workspace, _Account())
        account.weight = item.weight
        account.queued += item.tokens
        self._orders += 1
        item.order = self._orders
        item.start = max(self._now, account.finish)
        account.finish = item.start + item.tokens / item.weight
        self._items[item.id] = item
        bisect.insort(self._line(item), (item.key, item.id))
        if len(self._items) <= self.most:
            return None
        dropped = self._newest(self._most_over())
        self.remove(dropped.id)
        return dropped

    def remove(self, item_id: str) -> Waiting | None:
        """Take work out that was given up; its workspace is not charged."""
        item = self._take(item_id)
        if item is None:
            return None
        account = self._accounts[item.workspace]
        self._move_up(item, account)
        self._forget_idle(item.workspace)
        return item

    def grant(self, item_id: str, now: float) -> Waiting:
        """Take work out that starts; virtual time goes on to its start."""
        place = self._place(item_id)
        item = self._take(item_id)
        require = self.invariants.require
        require(now <= item.latest, "nothing_starts_past_its_deadline", item.id)
        require(place < LOOKAHEAD, "queue_honours_virtual_time", item.id)
        self._now = max(self._now, item.start)
        self._forget_idle(item.workspace)
        return item

    def settle(self, workspace: str, charged: float, used: float) -> None:
        """Correct a workspace's account once it is known what its work took."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.finish += (used - charged) / account.weight

    def waiting(self, now: float) -> Iterator[Waiting]:
        """Yield the work in the order in which it should start."""
        urgent = [
            entry
            for entry in self._patient
            if self._items[entry[1]].latest - now <= URGENT_S
        ]
        first = sorted([*self._prompt, *urgent]) if urgent else list(self._prompt)
        for _, item_id in first:
            yield self._items[item_id]
        late = {item_id for _, item_id in urgent}
        for _, item_id in list(self._patient):
            if item_id not in late:
                yield self._items[item_id]

    def tokens(self) -> float:
        """Return the tokens of all waiting work."""
        return sum(account.queued for account in self._accounts.values())

    def prune(self) -> None:
        """Forget the accounts of workspaces that virtual time has passed."""
        for workspace in list(self._accounts):
            self._forget_idle(workspace)

    def _place(self, item_id: str) -> int:
        item = self._items[item_id]
        return bisect.bisect_left(self._line(item), (item.key, item.id))

    def _line(self, item: Waiting) -> list[tuple[tuple[float, int], str]]:
        return self._patient if item.patient else self._prompt

    def _take(self, item_id: str) -> Waiting | None:
        item = self._items.pop(item_id, None)
        if item is None:
            return None
        line = self._line(item)
        del line[bisect.bisect_left(line, (item.key, item.id))]
        self._accounts[item.workspace].queued -= item.tokens
        return item

    def _move_up(self, gone: Waiting, account: _Account) -> None:
        """Give the workspace's later work the place that one gave up."""
        shift = gone.tokens / gone.weight
        account.finish -= shift
        later = [
            item
            for item in self._items.values()
            if item.workspace == gone.workspace and item.order > gone.order
        ]
        for item in later:
            line = self._line(item)
            del line[bisect.bisect_left(line, (item.key, item.id))]
            item.start = max(gone.start, item.start - shift)
            bisect.insort(line, (item.key, item.id))

    def _most_over(self) -> str:
        accounts = self._accounts
        return max(
            {item.workspace for item in self._items.values()},
            key=lambda name: (accounts[name].queued / accounts[name].weight, name),
        )

    def _newest(self, workspace: str) -> Waiting:
        return max(
            (item for item in self._items.values() if item.workspace == workspace),
            key=lambda item: item.order,
        )

    def _forget_idle(self, workspace: str) -> None:
        account = self._accounts[workspace]
        if account.queued <= 0 and account.finish <= self._now:
            del self._accounts[workspace]
