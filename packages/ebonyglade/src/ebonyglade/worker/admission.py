"""Who gets the next slot of an endpoint, and when its prefill should start.

A reservation waits in the fair queue until a slot is predicted to be free by
the time its prefill and transfer would end. Then the slot is promised and the
entry starts. Work that can't start in time is refused at once.
"""

import itertools
import operator
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ebonyglade.ports import Clock, Sender
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved
from ebonyglade.worker.fair import LOOKAHEAD, FairQueue, Waiting
from ebonyglade.worker.predict import End, Forecast, Predictor, ends_of
from ebonyglade.worker.slots import Hold, SlotTable

LEAST_RETRY_S = 0.05
MOST_RETRY_S = 30.0

Start = Callable[[], None]
_at = operator.attrgetter("at")


@dataclass(slots=True)
class _Promise:
    """A reservation that was told to start.

    Attributes:
        sender: entry that asked.
        message: what it asked.
        item: its place in the fair order.
        at: monotonic seconds of the promise.
        start: starts its job; None until the entry has sent it.
    """

    sender: Sender
    message: Reserve
    item: Waiting
    at: float
    start: Start | None = None


@dataclass(slots=True)
class _Asked:
    sender: Sender
    message: Reserve
    item: Waiting


@dataclass(slots=True)
class _Charge:
    """What a workspace was charged: all tokens, and the prompt's part."""

    workspace: str
    tokens: float
    prompt: int
    began: bool = False


@dataclass(slots=True)
class Outlets:
    """How the admission answers.

    Attributes:
        reserved: sends a promise to an entry.
        refused: sends a refusal to an entry.
    """

    reserved: Callable[[Sender, Reserved], None]
    refused: Callable[[Sender, str, Refusal], None]


@dataclass(slots=True)
class Admission:
    """Queue, promises and slots of one endpoint.

    Attributes:
        slots: leases of the endpoint.
        queue: reservations that wait.
        predictor: when running jobs end.
        outlets: how answers are sent.
        clock: monotonic seconds.
    """

    slots: SlotTable
    queue: FairQueue
    predictor: Predictor
    outlets: Outlets
    clock: Clock
    _asked: dict[str, _Asked] = field(default_factory=dict)
    _promised: dict[str, _Promise] = field(default_factory=dict)
    _charged: dict[str, _Charge] = field(default_factory=dict)
    _pumping: bool = False
    _again: bool = False

    def __post_init__(self) -> None:
        self.slots.on_release = self._on_release

    @property
    def waiting(self) -> int:
        """Reservations that were not told to start yet."""
        return len(self.queue)

    def reserve(self, sender: Sender, message: Reserve, now: float) -> None:
        """Queue a reservation, or refuse it at once if it can't be met."""
        if self._repeated(sender, message, now):
            return
        refusal = self._impossible(message)
        if refusal is not None:
            self.outlets.refused(sender, message.attempt, refusal)
            return
        item = self._item(message, now)
        self.slots.add(message.attempt, sender.instance, message.pieces, now)
        self._asked[message.attempt] = _Asked(sender, message, item)
        dropped = self.queue.add(item)
        if dropped is not None:
            self._refuse(dropped, "overloaded", self.retry_after(now))
        self.pump(now)
        if message.attempt in self._asked and message.attempt in self.queue:
            self._tell_place(item, now)

    def claim(self, sender: Sender, attempt: str, start: Start, now: float) -> bool:
        """Start a job in its slot, or as soon as its promised slot is free.

        Returns:
            False if the attempt has no promise that is in force.
        """
        lease = self.slots.get(attempt)
        if lease is None or not self.slots.holds(attempt, sender.instance, now):
            return False
        if lease.hold is Hold.WAITING:
            return False
        promise = self._promised.get(attempt)
        if promise is None:
            start()
            return True
        promise.start = promise.start or start
        self._fill(now)
        return True

    def renewed(self, sender: Sender, attempts: list[str]) -> None:
        """Tell promises again whose jobs did not come, in case one was lost."""
        for attempt in attempts:
            promise = self._promised.get(attempt)
            if promise is None or promise.start is not None:
                continue
            if promise.sender.instance == sender.instance:
                reply = Reserved(attempt, 0.0, self.slots.term)
                self.outlets.reserved(sender, reply)

    def progressed(self, attempt: str, tokens: int, now: float) -> None:
        """Note how many tokens a job has generated."""
        self.predictor.progressed(attempt, tokens, now)

    def tick(self, now: float) -> None:
        """Refuse what became hopeless and start what may start."""
        self._give_up(now)
        self.pump(now)
        self.queue.prune()

    def pump(self, now: float) -> None:
        """Give free slots to promises and promise the next ones."""
        if self._pumping:
            self._again = True
            return
        self._pumping = True
        try:
            self._fill(now)
            self._promise_next(now)
        finally:
            self._pumping = False
        if self._again:
            self._again = False
            self.pump(now)

    def ready_in(self, now: float) -> float:
        """Return the predicted seconds until one more would have a slot."""
        waiting = sum(1.0 / max(1, a.message.places) for a in self._asked.values())
        return self._forecast(now).ready(int(waiting) + len(self._promised), 1)

    def retry_after(self, now: float) -> float:
        """Return the seconds after which the queue has room again."""
        wait = self.ready_in(now) / 2
        return min(MOST_RETRY_S, max(LEAST_RETRY_S, wait))

    def _repeated(self, sender: Sender, message: Reserve, now: float) -> bool:
        """Answer a reservation that came twice; it changes nothing."""
        lease = self.slots.get(message.attempt)
        if lease is None:
            return False
        if lease.holder == sender.instance and lease.hold is not Hold.WAITING:
            reply = Reserved(message.attempt, 0.0, self.slots.term)
            self.outlets.reserved(sender, reply)
        return True

    def _impossible(self, message: Reserve) -> Refusal | None:
        if message.pieces <= self.slots.pieces:
            return None
        return refuse(
            "prompt_too_long", message="The work needs more memory than there is."
        )

    def _item(self, message: Reserve, now: float) -> Waiting:
        expected = min(message.output, self.predictor.length)
        tokens = max(1.0, message.tokens - message.output + expected)
        return Waiting(
            message.attempt,
            message.workspace,
            tokens,
            max(message.weight, 1e-6),
            now + message.within,
            message.patient,
            now,
        )

    def _tell_place(self, item: Waiting, now: float) -> None:
        """Tell a waiting entry when to expect its slot, or that it is too late."""
        asked = self._asked[item.id]
        ready = self._ready_of(item, now)
        if self._hopeless(item, ready, now):
            self._refuse(item, "deadline_infeasible", ready)
            return
        least = asked.message.lead + 1e-3
        reply = Reserved(item.id, max(ready, least), self.slots.term)
        self.outlets.reserved(asked.sender, reply)

    def _ready_of(self, item: Waiting, now: float) -> float:
        places = self._places(now, certain=False)
        return next((ready for other, ready in places if other.id == item.id), 0.0)

    def _promised_before(self, item: Waiting, key: tuple[float, int]) -> int:
        """Return how many promises come before work at a place in the order."""
        return sum(
            1
            for promise in self._promised.values()
            if promise.at <= item.arrived or promise.item.key < key
        )

    def _forecast(self, now: float) -> "Forecast":
        ends: list[End] = []
        for lease in self.slots.held():
            choices = self.predictor.ends_in(lease.attempt, now)
            ends.extend(ends_of(choices, lease.pieces))
        promised = sum(self.slots.get(name).pieces for name in self._promised)
        return Forecast(
            self.slots.free_slots,
            self.slots.free_pieces - promised,
            sorted(ends, key=_at),
            self.predictor.duration,
            self.predictor.duration / self.slots.slots,
        )

    def _promise_next(self, now: float) -> None:
        """Promise slots, in fair order, to work that should start by now."""
        while len(self.queue) and (found := self._next(now)) is not None:
            self._promise(*found, now)

    def _next(self, now: float) -> tuple[_Asked, float] | None:
        """Return the first work that should start, and when its slot is free."""
        places = self._places(now, certain=True)
        for item, ready in itertools.islice(places, LOOKAHEAD):
            lead = self._asked[item.id].message.lead
            if ready <= lead and now <= item.latest:
                return self._asked[item.id], ready
        return None

    def _places(self, now: float, certain: bool) -> Iterator[tuple[Waiting, float]]:
        """Yield waiting work in fair order, with its predicted wait.

        Args:
            now: monotonic seconds.
            certain: whether all work ahead counts in full, also what waits at
                other agents too and will mostly start there.
        """
        forecast = self._forecast(now)
        ahead, pieces = 0.0, 0.0
        for key, item_id in self.queue.order(now):
            item = self.queue.item(item_id)
            message = self._asked[item_id].message
            part = 1.0 if certain else 1.0 / max(1, message.places)
            before = int(ahead) + self._promised_before(item, key)
            yield item, forecast.ready(before, pieces + message.pieces)
            ahead += part
            pieces += part * message.pieces

    def _promise(self, asked: _Asked, ready: float, now: float) -> None:
        item = self.queue.grant(asked.item.id, now)
        del self._asked[item.id]
        lease = self.slots.get(item.id)
        prompt = max(0, asked.message.tokens - asked.message.output)
        self._charged[item.id] = _Charge(item.workspace, item.tokens, prompt)
        if asked.message.lead == 0 and self.slots.take(lease):
            self._began(asked.message, now)
        else:
            lease.hold = Hold.PROMISED
            promise = _Promise(asked.sender, asked.message, item, now)
            self._promised[item.id] = promise
        told = min(ready, asked.message.lead)
        reply = Reserved(item.id, told, self.slots.term)
        self.outlets.reserved(asked.sender, reply)

    def _fill(self, now: float) -> None:
        """Start the promised jobs that came in, in fair order."""
        parked = [
            promise for promise in self._promised.values() if promise.start is not None
        ]
        for promise in sorted(parked, key=lambda promise: promise.item.key):
            lease = self.slots.get(promise.item.id)
            if not self.slots.take(lease):
                continue
            del self._promised[promise.item.id]
            self._began(promise.message, now)
            promise.start()

    def _began(self, message: Reserve, now: float) -> None:
        prompt = max(0, message.tokens - message.output)
        self.predictor.began(message.attempt, message.output, prompt, now)
        self._charged[message.attempt].began = True

    def _give_up(self, now: float) -> None:
        for item, ready in list(self._places(now, certain=False)):
            if item.id in self.queue and self._hopeless(item, ready, now):
                self._refuse(item, "deadline_infeasible", ready)

    def _hopeless(self, item: Waiting, ready: float, now: float) -> bool:
        if now >= item.latest:
            return True
        # Patient work keeps its place for as long as its deadline may hold.
        return not item.patient and now + ready > item.latest

    def _refuse(self, item: Waiting, code: str, after: float) -> None:
        self.queue.remove(item.id)
        asked = self._asked.pop(item.id)
        self.slots.release(item.id)
        wait = min(MOST_RETRY_S, max(LEAST_RETRY_S, after))
        self.outlets.refused(asked.sender, item.id, refuse(code, retry_after=wait))

    def _on_release(self, attempt: str) -> None:
        """Take an attempt out of line, or pass its slot on."""
        self._asked.pop(attempt, None)
        self._promised.pop(attempt, None)
        self.queue.remove(attempt)
        now = self.clock()
        generated = self.predictor.ended(attempt, now)
        charge = self._charged.pop(attempt, None)
        if charge is not None:
            used = charge.prompt + generated if charge.began else 0
            self.queue.settle(charge.workspace, charge.tokens, used)
        self.pump(now)
