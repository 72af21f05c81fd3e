import pytest

from ebonyglade.invariants import Invariants
from ebonyglade.ports import Sender
from ebonyglade.wire.work import Reserve, Reserved
from ebonyglade.worker.admission import Admission, Outlets
from ebonyglade.worker.fair import FairQueue
from ebonyglade.worker.predict import Predictor
from ebonyglade.worker.slots import SlotTable

ENTRY = Sender("entry", "entry#1")
TERM_S = 3.0


class Desk:
    """An admission with a clock and what it answered."""

    def __init__(self, slots=2, pieces=100, most=10):
        self.now = 0.0
        self.told = {}
        self.refused = {}
        self.started = []
        strict = Invariants(strict=True)
        self.table = SlotTable(slots, pieces, TERM_S, strict)
        self.admission = Admission(
            self.table,
            FairQueue(most, strict),
            Predictor(),
            Outlets(
                lambda sender, reply: self.told.__setitem__(reply.attempt, reply),
                lambda sender, attempt, why: self.refused.__setitem__(attempt, why),
            ),
            lambda: self.now,
        )

    def reserve(self, attempt, workspace="w", within=10.0, lead=0.3, **more):
        more = {"pieces": 1, "tokens": 200, "output": 100, **more}
        message = Reserve(attempt, workspace, within=within, lead=lead, **more)
        self.admission.reserve(ENTRY, message, self.now)

    def claim(self, attempt):
        start = lambda: self.started.append(attempt)  # noqa: E731
        return self.admission.claim(ENTRY, attempt, start, self.now)

    def run(self, attempt, seconds, tokens=100):
        """Run a job to its end."""
        self.reserve(attempt)
        assert self.claim(attempt)
        for token in range(1, tokens + 1):
            self.now += seconds / tokens
            self.admission.progressed(attempt, token, self.now)
        self.table.release(attempt)

    def promised(self, attempt):
        reply = self.told.get(attempt)
        return isinstance(reply, Reserved) and reply.ready_in <= 0.3


@pytest.fixture
def busy():
    """Two slots, busy for about a second, at an endpoint that knows its jobs."""
    desk = Desk()
    for number in range(5):
        desk.run(f"past-{number}", 1.0)
    for name in ("a", "b"):
        desk.reserve(name)
        assert desk.claim(name)
        desk.admission.progressed(name, 1, desk.now)
    return desk


def test_a_free_slot_is_promised_at_once_and_only_once():
    desk = Desk(slots=1)
    desk.reserve("a")
    desk.reserve("b")
    assert desk.promised("a") and not desk.promised("b")


def test_a_prefill_starts_when_the_slot_is_due_at_its_end(busy):
    busy.reserve("c", lead=0.3)
    assert not busy.promised("c")
    began = busy.now
    while not busy.promised("c"):
        busy.now += 0.05
        tokens = 1 + round((busy.now - began) * 100)
        for name in ("a", "b"):
            busy.admission.progressed(name, tokens, busy.now)
        busy.admission.tick(busy.now)
    assert 0.5 <= busy.now - began <= 0.8


def test_a_job_that_comes_early_starts_when_a_slot_is_free(busy):
    busy.reserve("c", lead=5.0)
    assert busy.claim("c")
    assert "c" not in busy.started
    busy.table.release("a")
    assert "c" in busy.started


def test_a_lease_that_is_not_renewed_frees_the_place(busy):
    busy.reserve("c", lead=0.1)
    busy.reserve("d", lead=5.0)
    busy.now += TERM_S + 0.1
    busy.table.expire(busy.now)
    assert busy.admission.waiting == 0
    assert busy.table.free_slots == 2
    assert not busy.claim("c") and not busy.claim("d")


def test_what_is_cancelled_leaves_the_queue(busy):
    busy.reserve("c", lead=0.1)
    busy.table.release("c")
    assert busy.admission.waiting == 0


def test_no_room_in_time_is_refused_at_once_with_the_wait(busy):
    for number in range(6):
        busy.reserve(f"q{number}", lead=0.1, within=60.0)
    busy.reserve("late", lead=0.1, within=0.5)
    refusal = busy.refused["late"]
    assert (refusal.code, refusal.verdict.value) == ("deadline_infeasible", "not_run")
    assert refusal.retry_after >= 0.5
    assert busy.admission.waiting == 6


def test_patient_work_keeps_its_place_while_its_deadline_can_hold(busy):
    for number in range(6):
        busy.reserve(f"q{number}", lead=0.1, within=60.0)
    busy.reserve("note", lead=0.1, within=1.0, patient=True)
    busy.admission.tick(busy.now)
    assert "note" not in busy.refused
    busy.now += 1.1
    busy.admission.tick(busy.now)
    assert busy.refused["note"].code == "deadline_infeasible"


def test_a_full_queue_refuses_the_flood_only():
    desk = Desk(slots=1, most=4)
    desk.reserve("run", "flood")
    for number in range(20):
        desk.reserve(f"flood{number}", "flood", within=1e6)
    desk.reserve("small", "small", within=1e6)
    assert "small" not in desk.refused
    assert len(desk.refused) == 17
    assert all(name.startswith("flood") for name in desk.refused)
    assert all(why.retry_after > 0 for why in desk.refused.values())


def test_memory_is_never_oversubscribed():
    desk = Desk(slots=4, pieces=10)
    for name in ("a", "b", "c"):
        desk.reserve(name, pieces=5)
    assert desk.claim("a") and desk.claim("b")
    assert desk.table.free_pieces == 0
    assert not desk.promised("c")
    desk.reserve("huge", pieces=11)
    assert desk.refused["huge"].code == "prompt_too_long"


def test_a_reservation_that_comes_twice_takes_one_slot():
    desk = Desk(slots=2)
    desk.reserve("a", lead=0.0)
    desk.reserve("a", lead=0.0)
    assert desk.table.free_slots == 1
    assert desk.told["a"].ready_in == 0.0


def test_a_promise_is_told_again_until_its_job_comes():
    desk = Desk()
    desk.reserve("a")
    desk.told.clear()
    desk.admission.renewed(ENTRY, ["a"])
    assert desk.promised("a")
    desk.claim("a")
    desk.told.clear()
    desk.admission.renewed(ENTRY, ["a"])
    assert not desk.told


def test_work_that_waited_long_is_not_promised_one_slot_many_times(busy):
    for number in range(6):
        busy.reserve(f"note-{number}", lead=0.3, within=60.0, patient=True)
    began = busy.now
    for _ in range(16):
        busy.now += 0.05
        tokens = 1 + round((busy.now - began) * 100)
        for name in ("a", "b"):
            busy.admission.progressed(name, tokens, busy.now)
            busy.table.renew(name, "entry", busy.now)
        for number in range(6):
            busy.table.renew(f"note-{number}", "entry", busy.now)
        busy.admission.tick(busy.now)
    promised = [number for number in range(6) if busy.promised(f"note-{number}")]
    assert promised == [0, 1]
