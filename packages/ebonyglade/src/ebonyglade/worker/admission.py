"""Admission control of one endpoint: which reservation gets the next slot, and when.

A reservation waits in the fair queue until a slot is predicted to be free by
the time its prefill and transfer would end. Then the slot is promised to the
entry, which starts the prefill. Work that can't start before its deadline is
refused at once.
"""

import itertools
import operator
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ebonyglade.ports import Clock, Sender
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved
from ebonyglade.worker.fair_queue import LOOKAHEAD, FairQueue, QueueItem
from ebonyglade.worker.predict import ExpectedEnd, Forecast, Predictor, expected_ends
from ebonyglade.worker.slots import LeaseState, SlotTable

MIN_RETRY_S = 0.05
MAX_RETRY_S = 30.0

StartJob = Callable[[], None]
_at = operator.attrgetter("at")


@dataclass(slots=True)
class _PromisedReservation:
    """A reservation to which a slot is promised.

    Attributes:
        sender: entry that made the reservation.
        message: the reservation.
        item: its item in the fair queue, for its place in the fair order.
        promised_at: monotonic seconds of the promise.
        start: starts its job; None until the entry has sent the job.
    """

    sender: Sender
    message: Reserve
    item: QueueItem
    promised_at: float
    start: StartJob | None = None


@dataclass(slots=True)
class _QueuedReservation:
    sender: Sender
    message: Reserve
    item: QueueItem


@dataclass(slots=True)
class _Charge:
    """Tokens that a workspace was charged for an attempt.

    Attributes:
        workspace: who was charged.
        tokens: all tokens charged.
        prompt_tokens: tokens of the prompt.
        started: whether the attempt's job has started.
    """

    workspace: str
    tokens: float
    prompt_tokens: int
    started: bool = False


@dataclass(slots=True)
class AdmissionCallbacks:
    """Callbacks through which the admission answers entries.

    Attributes:
        send_reserved: sends a promise or an expected wait to an entry.
        send_refusal: sends a refusal of an attempt to an entry.
    """

    send_reserved: Callable[[Sender, Reserved], None]
    send_refusal: Callable[[Sender, str, Refusal], None]


@dataclass(slots=True)
class Admission:
    """Queue, promises and slots of one endpoint.

    Attributes:
        slots: leases of the endpoint.
        queue: reservations that wait.
        predictor: predicts when running jobs end.
        callbacks: send the answers to entries.
        clock: monotonic seconds.
    """

    slots: SlotTable
    queue: FairQueue
    predictor: Predictor
    callbacks: AdmissionCallbacks
    clock: Clock
    _queued: dict[str, _QueuedReservation] = field(default_factory=dict)
    _promised: dict[str, _PromisedReservation] = field(default_factory=dict)
    _charges: dict[str, _Charge] = field(default_factory=dict)
    _scheduling: bool = False
    _schedule_again: bool = False

    def __post_init__(self) -> None:
        self.slots.on_release = self._on_release

    @property
    def waiting(self) -> int:
        """Number of reservations to which no slot is promised yet."""
        return len(self.queue)

    def reserve(self, sender: Sender, message: Reserve, now: float) -> None:
        """Queue a reservation, or refuse it at once if it can't be fulfilled."""
        if self._answer_duplicate(sender, message, now):
            return
        refusal = self._oversize_refusal(message)
        if refusal is not None:
            self.callbacks.send_refusal(sender, message.attempt, refusal)
            return
        item = self._queue_item(message, now)
        self.slots.add(message.attempt, sender.instance, message.pieces, now)
        self._queued[message.attempt] = _QueuedReservation(sender, message, item)
        dropped = self.queue.add(item)
        if dropped is not None:
            self._refuse(dropped, "overloaded", self.retry_after(now))
        self.schedule(now)
        if message.attempt in self._queued and message.attempt in self.queue:
            self._announce_wait(item, now)

    def claim(self, sender: Sender, attempt: str, start: StartJob, now: float) -> bool:
        """Start a job in its slot, or as soon as its promised slot is free.

        Returns:
            False if the attempt has no promise that is in force.
        """
        lease = self.slots.get(attempt)
        if lease is None or not self.slots.in_force(attempt, sender.instance, now):
            return False
        if lease.state is LeaseState.WAITING:
            return False
        promise = self._promised.get(attempt)
        if promise is None:
            start()
            return True
        promise.start = promise.start or start
        self._start_promised_jobs(now)
        return True

    def resend_promises(self, sender: Sender, attempts: list[str]) -> None:
        """Send the promises again whose jobs have not arrived.

        The first message may have been lost.
        """
        for attempt in attempts:
            promise = self._promised.get(attempt)
            if promise is None or promise.start is not None:
                continue
            if promise.sender.instance == sender.instance:
                reply = Reserved(attempt, 0.0, self.slots.term)
                self.callbacks.send_reserved(sender, reply)

    def record_progress(self, attempt: str, tokens: int, now: float) -> None:
        """Record how many tokens a job has generated."""
        self.predictor.record_progress(attempt, tokens, now)

    def tick(self, now: float) -> None:
        """Refuse work that can't meet its deadline and start work that may start."""
        self._refuse_infeasible(now)
        self.schedule(now)
        self.queue.prune()

    def schedule(self, now: float) -> None:
        """Start promised jobs in free slots and promise the next slots.

        A reentrant call does nothing but make the running one repeat at its end.
        """
        if self._scheduling:
            self._schedule_again = True
            return
        self._scheduling = True
        try:
            self._start_promised_jobs(now)
            self._promise_slots(now)
        finally:
            self._scheduling = False
        if self._schedule_again:
            self._schedule_again = False
            self.schedule(now)

    def ready_in(self, now: float) -> float:
        """Return the predicted seconds until one more job would get a slot."""
        waiting = sum(1.0 / max(1, a.message.places) for a in self._queued.values())
        return self._forecast(now).wait_s(int(waiting) + len(self._promised), 1)

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a full queue is expected to have room."""
        wait_s = self.ready_in(now) / 2
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))

    def _answer_duplicate(self, sender: Sender, message: Reserve, now: float) -> bool:
        """Answer a duplicate of a known reservation, which changes nothing.

        Returns:
            False if the reservation is new.
        """
        lease = self.slots.get(message.attempt)
        if lease is None:
            return False
        if lease.holder == sender.instance and lease.state is not LeaseState.WAITING:
            reply = Reserved(message.attempt, 0.0, self.slots.term)
            self.callbacks.send_reserved(sender, reply)
        return True

    def _oversize_refusal(self, message: Reserve) -> Refusal | None:
        if message.pieces <= self.slots.pieces:
            return None
        return refuse(
            "prompt_too_long",
            message="The request needs more KV cache memory than the endpoint has.",
        )

    def _queue_item(self, message: Reserve, now: float) -> QueueItem:
        expected_output = min(message.output, self.predictor.mean_tokens)
        tokens = max(1.0, message.tokens - message.output + expected_output)
        return QueueItem(
            message.attempt,
            message.workspace,
            tokens,
            max(message.weight, 1e-6),
            now + self._max_wait_s(message),
            message.patient,
            now,
        )

    def _max_wait_s(self, message: Reserve) -> float:
        """Return the seconds for which work can wait and still meet its deadline."""
        if not message.whole:
            return message.within
        # The mean duration is only an estimate, so at most half of the time is
        # set aside for the work itself.
        return message.within - min(self.predictor.mean_duration_s, message.within / 2)

    def _announce_wait(self, item: QueueItem, now: float) -> None:
        """Tell an entry when to expect its slot, or refuse work that is too late."""
        queued = self._queued[item.id]
        wait_s = self._predicted_wait_s(item, now)
        if self._misses_deadline(item, wait_s, now):
            self._refuse(item, "deadline_infeasible", wait_s)
            return
        # Above `lead`, since the entry takes a wait of at most `lead` as a promise
        # of the slot.
        min_wait_s = queued.message.lead + 1e-3
        reply = Reserved(item.id, max(wait_s, min_wait_s), self.slots.term)
        self.callbacks.send_reserved(queued.sender, reply)

    def _predicted_wait_s(self, item: QueueItem, now: float) -> float:
        waits = self._predicted_waits(now, count_in_full=False)
        return next((wait_s for other, wait_s in waits if other.id == item.id), 0.0)

    def _promises_before(self, item: QueueItem, sort_key: tuple[float, int]) -> int:
        """Return how many promises precede a sort key in the fair order."""
        return sum(
            1 for promise in self._promised.values() if promise.item.sort_key < sort_key
        )

    def _forecast(self, now: float) -> "Forecast":
        ends: list[ExpectedEnd] = []
        for lease in self.slots.held_leases():
            remaining = self.predictor.remaining_s(lease.attempt, now)
            ends.extend(expected_ends(remaining, lease.pieces))
        promised_pieces = sum(self.slots.get(name).pieces for name in self._promised)
        return Forecast(
            self.slots.free_slots,
            self.slots.free_pieces - promised_pieces,
            sorted(ends, key=_at),
            self.predictor.mean_duration_s,
            self.predictor.mean_duration_s / self.slots.slots,
        )

    def _promise_slots(self, now: float) -> None:
        """Promise slots, in fair order, to work that should start by now."""
        while len(self.queue) and (found := self._next_to_promise(now)) is not None:
            self._promise(*found, now)

    def _next_to_promise(self, now: float) -> tuple[_QueuedReservation, float] | None:
        """Return the first work that should start now, and its predicted wait."""
        waits = self._predicted_waits(now, count_in_full=True)
        for item, wait_s in itertools.islice(waits, LOOKAHEAD):
            lead = self._queued[item.id].message.lead
            if wait_s <= lead and now <= item.latest_start:
                return self._queued[item.id], wait_s
        return None

    def _predicted_waits(
        self, now: float, count_in_full: bool
    ) -> Iterator[tuple[QueueItem, float]]:
        """Yield waiting work in fair order, with its predicted wait in seconds.

        Args:
            now: monotonic seconds.
            count_in_full: whether work ahead always counts as one job. Otherwise
                work that waits at several agents counts as a fraction, as it will
                mostly start at another one.
        """
        forecast = self._forecast(now)
        ahead, pieces = 0.0, 0.0
        for sort_key, item_id in self.queue.positions(now):
            item = self.queue.item(item_id)
            message = self._queued[item_id].message
            fraction = 1.0 if count_in_full else 1.0 / max(1, message.places)
            jobs_before = int(ahead) + self._promises_before(item, sort_key)
            yield item, forecast.wait_s(jobs_before, pieces + message.pieces)
            ahead += fraction
            pieces += fraction * message.pieces

    def _promise(self, queued: _QueuedReservation, wait_s: float, now: float) -> None:
        item = self.queue.dequeue(queued.item.id, now)
        del self._queued[item.id]
        lease = self.slots.get(item.id)
        prompt_tokens = max(0, queued.message.tokens - queued.message.output)
        self._charges[item.id] = _Charge(item.workspace, item.tokens, prompt_tokens)
        if queued.message.lead == 0 and self.slots.acquire(lease):
            self._record_start(queued.message, now)
        else:
            lease.state = LeaseState.PROMISED
            promise = _PromisedReservation(queued.sender, queued.message, item, now)
            self._promised[item.id] = promise
        announced_wait_s = min(wait_s, queued.message.lead)
        reply = Reserved(item.id, announced_wait_s, self.slots.term)
        self.callbacks.send_reserved(queued.sender, reply)

    def _start_promised_jobs(self, now: float) -> None:
        """Start the promised jobs that entries have sent, in fair order."""
        ready_to_start = [
            promise for promise in self._promised.values() if promise.start is not None
        ]
        for promise in sorted(
            ready_to_start, key=lambda promise: promise.item.sort_key
        ):
            lease = self.slots.get(promise.item.id)
            if not self.slots.acquire(lease):
                continue
            del self._promised[promise.item.id]
            self._record_start(promise.message, now)
            promise.start()

    def _record_start(self, message: Reserve, now: float) -> None:
        prompt_tokens = max(0, message.tokens - message.output)
        self.predictor.job_started(message.attempt, message.output, prompt_tokens, now)
        self._charges[message.attempt].started = True

    def _refuse_infeasible(self, now: float) -> None:
        for item, wait_s in list(self._predicted_waits(now, count_in_full=False)):
            if item.id in self.queue and self._misses_deadline(item, wait_s, now):
                self._refuse(item, "deadline_infeasible", wait_s)

        for promise in list(self._promised.values()):
            if promise.message.whole and now > promise.item.latest_start:
                self._revoke_promise(promise)

    def _revoke_promise(self, promise: _PromisedReservation) -> None:
        """Revoke a promise whose slot did not become free in time."""
        attempt = promise.message.attempt
        self.slots.release(attempt)
        refusal = refuse("deadline_infeasible", retry_after=MIN_RETRY_S)
        self.callbacks.send_refusal(promise.sender, attempt, refusal)

    def _misses_deadline(self, item: QueueItem, wait_s: float, now: float) -> bool:
        if now >= item.latest_start:
            return True
        # Patient work is not refused for a predicted wait: it keeps its place
        # until its latest start has passed.
        return not item.patient and now + wait_s > item.latest_start

    def _refuse(self, item: QueueItem, code: str, wait_s: float) -> None:
        self.queue.remove(item.id)
        queued = self._queued.pop(item.id)
        self.slots.release(item.id)
        retry_after = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        self.callbacks.send_refusal(
            queued.sender, item.id, refuse(code, retry_after=retry_after)
        )

    def _on_release(self, attempt: str) -> None:
        """Remove an attempt whose lease ended and give its slot to the next one."""
        self._queued.pop(attempt, None)
        self._promised.pop(attempt, None)
        self.queue.remove(attempt)
        now = self.clock()
        generated_tokens = self.predictor.job_ended(attempt, now)
        charge = self._charges.pop(attempt, None)
        if charge is not None:
            used_tokens = (
                charge.prompt_tokens + generated_tokens if charge.started else 0
            )
            self.queue.settle(charge.workspace, charge.tokens, used_tokens)
        self.schedule(now)
