import pytest

from ebonyglade.invariants import Invariants
from ebonyglade.ports import Sender
from ebonyglade.wire.work import Reserve, Reserved
from ebonyglade.worker.admission import Admission, AdmissionCallbacks
from ebonyglade.worker.fair_queue import FairQueue
from ebonyglade.worker.predict import Predictor
from ebonyglade.worker.slots import SlotTable

ENTRY = Sender("entry", "entry#1")
TERM_S = 3.0


class AdmissionHarness:
    """An admission with a manual clock that records all answers."""

    def __init__(self, slots=2, pieces=100, max_items=10):
        self.now = 0.0
        self.replies = {}
        self.refused = {}
        self.started_jobs = []
        strict = Invariants(strict=True)
        self.slot_table = SlotTable(slots, pieces, TERM_S, strict)
        self.admission = Admission(
            self.slot_table,
            FairQueue(max_items, strict),
            Predictor(),
            AdmissionCallbacks(
                lambda sender, reply: self.replies.__setitem__(reply.attempt, reply),
                lambda sender, attempt, why: self.refused.__setitem__(attempt, why),
            ),
            lambda: self.now,
        )

    def reserve(self, attempt, workspace="w", within=10.0, lead=0.3, **more):
        more = {"pieces": 1, "tokens": 200, "output": 100, **more}
        message = Reserve(attempt, workspace, within=within, lead=lead, **more)
        self.admission.reserve(ENTRY, message, self.now)

    def claim(self, attempt):
        start = lambda: self.started_jobs.append(attempt)  # noqa: E731
        return self.admission.claim(ENTRY, attempt, start, self.now)

    def run(self, attempt, seconds, tokens=100):
        """Run a job to its end."""
        self.reserve(attempt)
        assert self.claim(attempt)
        for token in range(1, tokens + 1):
            self.now += seconds / tokens
            self.admission.record_progress(attempt, token, self.now)
        self.slot_table.release(attempt)

    def promised(self, attempt):
        reply = self.replies.get(attempt)
        return isinstance(reply, Reserved) and reply.ready_in <= 0.3


@pytest.fixture
def busy():
    """Two slots, occupied for about a second, with durations learned from past jobs."""
    harness = AdmissionHarness()
    for number in range(5):
        harness.run(f"past-{number}", 1.0)
    for name in ("a", "b"):
        harness.reserve(name)
        assert harness.claim(name)
        harness.admission.record_progress(name, 1, harness.now)
    return harness


def test_a_free_slot_is_promised_at_once_and_only_once():
    harness = AdmissionHarness(slots=1)
    harness.reserve("a")
    harness.reserve("b")
    assert harness.promised("a") and not harness.promised("b")


def test_a_prefill_starts_when_the_slot_is_due_at_its_end(busy):
    busy.reserve("c", lead=0.3)
    assert not busy.promised("c")
    started_at = busy.now
    while not busy.promised("c"):
        busy.now += 0.05
        tokens = 1 + round((busy.now - started_at) * 100)
        for name in ("a", "b"):
            busy.admission.record_progress(name, tokens, busy.now)
        busy.admission.tick(busy.now)
    assert 0.5 <= busy.now - started_at <= 0.8


def test_a_job_that_arrives_early_starts_when_a_slot_is_free(busy):
    busy.reserve("c", lead=5.0)
    assert busy.claim("c")
    assert "c" not in busy.started_jobs
    busy.slot_table.release("a")
    assert "c" in busy.started_jobs


def test_an_expired_lease_frees_its_slot_and_queue_position(busy):
    busy.reserve("c", lead=0.1)
    busy.reserve("d", lead=5.0)
    busy.now += TERM_S + 0.1
    busy.slot_table.expire(busy.now)
    assert busy.admission.waiting == 0
    assert busy.slot_table.free_slots == 2
    assert not busy.claim("c") and not busy.claim("d")


def test_a_cancelled_reservation_leaves_the_queue(busy):
    busy.reserve("c", lead=0.1)
    busy.slot_table.release("c")
    assert busy.admission.waiting == 0


def test_work_without_a_slot_before_its_deadline_is_refused_with_the_wait(busy):
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


def test_a_full_queue_refuses_only_the_flooding_workspace():
    harness = AdmissionHarness(slots=1, max_items=4)
    harness.reserve("run", "flood")
    for number in range(20):
        harness.reserve(f"flood{number}", "flood", within=1e6)
    harness.reserve("small", "small", within=1e6)
    assert "small" not in harness.refused
    assert len(harness.refused) == 17
    assert all(name.startswith("flood") for name in harness.refused)
    assert all(why.retry_after > 0 for why in harness.refused.values())


def test_memory_is_never_oversubscribed():
    harness = AdmissionHarness(slots=4, pieces=10)
    for name in ("a", "b", "c"):
        harness.reserve(name, pieces=5)
    assert harness.claim("a") and harness.claim("b")
    assert harness.slot_table.free_pieces == 0
    assert not harness.promised("c")
    harness.reserve("huge", pieces=11)
    assert harness.refused["huge"].code == "prompt_too_long"


def test_a_duplicate_reservation_takes_one_slot():
    harness = AdmissionHarness(slots=2)
    harness.reserve("a", lead=0.0)
    harness.reserve("a", lead=0.0)
    assert harness.slot_table.free_slots == 1
    assert harness.replies["a"].ready_in == 0.0


def test_a_promise_is_sent_again_until_its_job_arrives():
    harness = AdmissionHarness()
    harness.reserve("a")
    harness.replies.clear()
    harness.admission.resend_promises(ENTRY, ["a"])
    assert harness.promised("a")
    harness.claim("a")
    harness.replies.clear()
    harness.admission.resend_promises(ENTRY, ["a"])
    assert not harness.replies


def test_one_slot_is_not_promised_to_several_waiting_items(busy):
    for number in range(6):
        busy.reserve(f"note-{number}", lead=0.3, within=60.0, patient=True)
    started_at = busy.now
    for _ in range(16):
        busy.now += 0.05
        tokens = 1 + round((busy.now - started_at) * 100)
        for name in ("a", "b"):
            busy.admission.record_progress(name, tokens, busy.now)
            busy.slot_table.renew(name, "entry", busy.now)
        for number in range(6):
            busy.slot_table.renew(f"note-{number}", "entry", busy.now)
        busy.admission.tick(busy.now)
    promised = [number for number in range(6) if busy.promised(f"note-{number}")]
    assert promised == [0, 1]


def test_work_that_can_not_end_before_its_deadline_does_not_start(busy):
    """Jobs take about a second here, so one that starts too late would be cut off."""
    busy.reserve("note", lead=0.1, within=3.0, patient=True, whole=True)
    started_at = busy.now
    while busy.now < started_at + 2.2:
        busy.now += 0.1
        for name in ("a", "b", "note"):
            busy.slot_table.renew(name, "entry", busy.now)
        busy.admission.tick(busy.now)
    assert busy.refused["note"].code == "deadline_infeasible"
    assert not busy.claim("note")
