"""Weighted fair queue by start-time fair queueing.

Each workspace has a virtual finish time, which grows with the tokens that it
was granted divided by its weight; the work with the smallest virtual start time
is next (Goyal, Vin and Cheng, 1996). A workspace that lately used less than its
share gets credit for the last few seconds, so that short bursts within its
share do not wait. Patient work gets no such credit. It waits behind the other work
of its workspace until its latest start is near.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from operator import attrgetter

from ebonyglade.invariants import Invariants

# Patient work whose latest start is at most this many seconds away goes first in its
# workspace.
URGENT_S = 5.0
SHARE_CREDIT_S = 5.0  # seconds of unused share that a workspace may use later
SAMPLE_INTERVAL_S = 0.25  # between two samples of virtual time
LOOKAHEAD = 8  # number of first items in fair order from which one may start


@dataclass(slots=True, eq=False)
class QueueItem:
    """One unit of work in the queue.

    Attributes:
        id: id of the attempt.
        workspace: who it is for.
        tokens: tokens that the workspace is charged.
        weight: fair-share weight of the workspace.
        latest_start: monotonic seconds by which it must start.
        patient: whether it waits behind the workspace's other work.
        arrived_at: monotonic seconds of its arrival.
        virtual_start: virtual start time.
        earliest_virtual_start: lower bound of the virtual start time; set for
            patient work only.
        arrival_number: number in order of arrival, which breaks ties.
        order: order among the regular work of the workspace; equal ones go by arrival.
    """

    id: str
    workspace: str
    tokens: float
    weight: float
    latest_start: float
    patient: bool = False
    arrived_at: float = 0.0
    virtual_start: float = 0.0
    earliest_virtual_start: float = 0.0
    arrival_number: int = 0
    order: tuple = ()

    @property
    def virtual_cost(self) -> float:
        """Virtual time that the work takes."""
        return self.tokens / self.weight

    @property
    def sort_key(self) -> tuple[float, int]:
        """Position in the fair order."""
        return (self.virtual_start, self.arrival_number)


QueuePosition = tuple[tuple[float, int], str]
"""Sort key in the fair order, and the id of the work."""


@dataclass(slots=True)
class _Account:
    """Virtual finish time and waiting work of one workspace.

    Attributes:
        virtual_finish: virtual finish time of the work that has started.
        weight: its share relative to others.
        regular: waiting work that is not patient, in order of arrival.
        patient: waiting work that is patient, in order of arrival.
    """

    virtual_finish: float = 0.0
    weight: float = 1.0
    regular: dict[str, QueueItem] = field(default_factory=dict)
    patient: dict[str, QueueItem] = field(default_factory=dict)

    @property
    def queued_tokens(self) -> float:
        """Tokens of the waiting work."""
        return sum(item.tokens for item in self.items())

    def items(self) -> list[QueueItem]:
        """Return all waiting work."""
        regular = sorted(self.regular.values(), key=attrgetter("order"))
        return [*regular, *self.patient.values()]

    def backlog_for(self, item: QueueItem) -> dict[str, QueueItem]:
        """Return the regular or patient backlog, to which an item belongs."""
        return self.patient if item.patient else self.regular

    def scheduling_order(self, now: float) -> list[QueueItem]:
        """Return the waiting work in the order in which it should start.

        Patient work comes last, unless its latest start is near; then it is first.
        """
        patient = self.patient.values()
        urgent = [item for item in patient if item.latest_start - now <= URGENT_S]
        if not urgent:
            return self.items()
        rest = [item for item in patient if item.latest_start - now > URGENT_S]
        regular = sorted(self.regular.values(), key=attrgetter("order"))
        return [*urgent, *regular, *rest]

    def positions(self, now: float) -> list[QueuePosition]:
        """Return the positions of the waiting work, in its scheduling order."""
        virtual_finish = self.virtual_finish
        positions = []
        for item in self.scheduling_order(now):
            virtual_start = max(virtual_finish, item.earliest_virtual_start)
            virtual_finish = virtual_start + item.virtual_cost
            positions.append(((virtual_start, item.arrival_number), item.id))
        return positions


@dataclass(slots=True)
class FairQueue:
    """Waiting work in weighted fair order, bounded in length.

    Attributes:
        max_items: maximum length.
        invariants: checks of what must always hold.
    """

    max_items: int
    invariants: Invariants = field(default_factory=Invariants)
    _virtual_time: float = 0.0
    _credit_floor: float = 0.0
    _virtual_time_samples: deque[tuple[float, float]] = field(default_factory=deque)
    _arrivals: int = 0
    _items: dict[str, QueueItem] = field(default_factory=dict)
    _accounts: dict[str, _Account] = field(default_factory=dict)
    _cached_positions: tuple[float | None, list[QueuePosition]] = (None, [])

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item_id: str) -> bool:
        return item_id in self._items

    def add(self, item: QueueItem) -> QueueItem | None:
        """Queue work and return the work that is dropped if the queue is full.

        The newest work of the workspace with the largest backlog in relation to
        its weight is dropped. This may be the added work itself. Work of other
        workspaces is never dropped.
        """
        self._advance_credit_floor(item.arrived_at)
        account = self._accounts.setdefault(item.workspace, _Account())
        account.weight = item.weight
        account.virtual_finish = max(account.virtual_finish, self._credit_floor)
        self._arrivals += 1
        item.arrival_number = self._arrivals
        self._cached_positions = (None, [])
        item.earliest_virtual_start = self._virtual_time if item.patient else 0.0
        item.virtual_start = max(account.virtual_finish, item.earliest_virtual_start)
        self._items[item.id] = item
        account.backlog_for(item)[item.id] = item
        if len(self._items) <= self.max_items:
            return None
        newest = max(
            self._largest_backlog().items(), key=lambda item: item.arrival_number
        )
        return self.remove(newest.id)

    def remove(self, item_id: str) -> QueueItem | None:
        """Remove work that will not start; its workspace is not charged."""
        item = self._items.pop(item_id, None)
        if item is None:
            return None
        self._cached_positions = (None, [])
        account = self._accounts[item.workspace]
        del account.backlog_for(item)[item.id]
        self._delete_if_idle(item.workspace)
        return item

    def dequeue(self, item_id: str, now: float) -> QueueItem:
        """Remove work that starts, charge it and advance virtual time to its start."""
        first_items = {
            name: sort_key for sort_key, name in self.positions(now)[:LOOKAHEAD]
        }
        item = self._items.pop(item_id)
        require = self.invariants.require
        require(now <= item.latest_start, "nothing_starts_past_its_deadline", item.id)
        require(item_id in first_items, "queue_honours_virtual_time", item.id)
        self._cached_positions = (None, [])
        account = self._accounts[item.workspace]
        del account.backlog_for(item)[item.id]
        item.virtual_start = first_items.get(item_id, item.sort_key)[0]
        account.virtual_finish = (
            max(account.virtual_finish, item.earliest_virtual_start) + item.virtual_cost
        )
        self._virtual_time = max(self._virtual_time, item.virtual_start)
        self._advance_credit_floor(now)
        self._delete_if_idle(item.workspace)
        return item

    def settle(self, workspace: str, charged: float, used: float) -> None:
        """Correct a workspace's account by the tokens that its work really used."""
        account = self._accounts.get(workspace)
        if account is not None:
            self._cached_positions = (None, [])
            account.virtual_finish += (used - charged) / account.weight

    def in_order(self, now: float) -> Iterator[QueueItem]:
        """Yield the work in the order in which it should start."""
        for _, item_id in self.positions(now):
            if item_id in self._items:
                yield self._items[item_id]

    def item(self, item_id: str) -> QueueItem:
        """Return waiting work."""
        return self._items[item_id]

    def tokens(self) -> float:
        """Return the tokens of all waiting work."""
        return sum(item.tokens for item in self._items.values())

    def prune(self) -> None:
        """Delete the idle accounts that are behind the credit floor."""
        for workspace in list(self._accounts):
            self._delete_if_idle(workspace)

    def positions(self, now: float) -> list[QueuePosition]:
        """Return the positions of all waiting work, the next to start first."""
        cached_at, positions = self._cached_positions
        if cached_at == now:
            return positions
        positions = []
        for account in self._accounts.values():
            positions += account.positions(now)
        positions.sort()
        self._cached_positions = (now, positions)
        return positions

    def _advance_credit_floor(self, now: float) -> None:
        """Sample virtual time and set the credit floor to an earlier sample.

        No account starts below the floor, so idle time earns no more than
        `SHARE_CREDIT_S` of credit.
        """
        samples = self._virtual_time_samples
        if not samples or now - samples[-1][0] >= SAMPLE_INTERVAL_S:
            samples.append((now, self._virtual_time))
        while samples and samples[0][0] <= now - SHARE_CREDIT_S:
            self._credit_floor = samples.popleft()[1]

    def _largest_backlog(self) -> _Account:
        return max(
            (account for account in self._accounts.values() if account.items()),
            key=lambda account: account.queued_tokens / account.weight,
        )

    def _delete_if_idle(self, workspace: str) -> None:
        account = self._accounts[workspace]
        if not account.items() and account.virtual_finish <= self._credit_floor:
            del self._accounts[workspace]
