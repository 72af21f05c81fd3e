from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from ebonyglade.invariants import Invariants, InvariantViolated
from ebonyglade.worker.fair_queue import LOOKAHEAD, SHARE_CREDIT_S, FairQueue, QueueItem


def queue_of(max_items=1000):
    return FairQueue(max_items, Invariants(strict=True))


def item(number, workspace, tokens=100.0, weight=1.0, patient=False, latest_start=1e9):
    return QueueItem(
        f"{workspace}:{number}", workspace, tokens, weight, latest_start, patient
    )


def drain(queue, count, now=0.0):
    served = Counter()
    for _ in range(count):
        first = next(queue.in_order(now))
        queue.dequeue(first.id, now)
        served[first.workspace] += first.tokens
    return served


def test_a_flood_does_not_delay_the_others():
    queue = queue_of()
    for number in range(100):
        queue.add(item(number, "flood"))
    for number in range(10):
        queue.add(item(number, "small"))
    served = drain(queue, 20)
    assert served == {"flood": 1000, "small": 1000}


def test_shares_follow_weights_and_tokens():
    queue = queue_of()
    for number in range(200):
        queue.add(item(number, "a", tokens=300))
        queue.add(item(number, "b", tokens=100))
        queue.add(item(number, "c", tokens=100, weight=3.0))
    served = drain(queue, 100)
    assert served["a"] == pytest.approx(served["b"], abs=300)
    assert served["c"] == pytest.approx(3 * served["b"], abs=300)


def test_idle_time_earns_a_bounded_credit():
    """A workspace catches up on a few seconds only, however long it was idle."""
    queue = queue_of()
    for number in range(400):
        queue.add(item(number, "busy"))
    for second in range(100):
        drain(queue, 2, now=float(second))
    for number in range(100):
        late = item(number, "late")
        late.arrived_at = 100.0
        queue.add(late)
    # Virtual time advanced by 200 tokens a second while "late" was idle.
    max_catch_up = (SHARE_CREDIT_S + 2) * 200
    served = drain(queue, 40, now=100.0)
    assert served["late"] - served["busy"] <= max_catch_up
    assert served["late"] > served["busy"]


def test_a_full_queue_drops_the_newest_work_of_the_largest_backlog():
    queue = queue_of(max_items=5)
    for number in range(4):
        assert queue.add(item(number, "flood")) is None
    assert queue.add(item(0, "small")) is None
    assert queue.add(item(1, "small")).id == "flood:3"
    assert queue.add(item(9, "flood")).id == "flood:9"
    assert "small:0" in queue and "small:1" in queue


def test_patient_work_waits_behind_its_workspace_until_its_latest_start_is_near():
    queue = queue_of()
    queue.add(item(0, "a", patient=True, latest_start=20.0))
    queue.add(item(1, "a"))
    queue.add(item(2, "a"))
    first = [entry.id for entry in queue.in_order(0.0)]
    assert first == ["a:1", "a:2", "a:0"]
    assert next(queue.in_order(16.0)).id == "a:0"


def test_patient_work_within_its_share_does_not_wait_for_a_flood():
    queue = queue_of()
    for number in range(100):
        queue.add(item(number, "flood"))
    drain(queue, 20)
    queue.add(item(0, "small", patient=True, latest_start=1000.0))
    served = drain(queue, 2)
    assert served["small"] == 100


def test_a_flood_of_urgent_patient_work_delays_nobody_else():
    queue = queue_of()
    for number in range(100):
        queue.add(item(number, "flood", patient=True, latest_start=3.0))
    for number in range(100, 200):
        queue.add(item(number, "flood"))
    drain(queue, 20)
    queue.add(item(0, "small"))
    assert drain(queue, 2)["small"] == 100
    assert queue._virtual_time <= 21 * 100


def test_removed_work_is_not_charged():
    queue = queue_of()
    for number in range(10):
        queue.add(item(number, "a"))
    for number in range(9):
        queue.remove(f"a:{number}")
    queue.add(item(0, "b"))
    assert {sort_key[0] for sort_key, _ in queue.positions(0.0)} == {0.0}


def test_settling_refunds_unused_tokens():
    queue = queue_of()
    queue.add(item(0, "a", tokens=1000))
    queue.add(item(0, "b", tokens=1000))
    drain(queue, 2)
    queue.settle("a", charged=1000, used=100)
    queue.add(item(1, "b", tokens=100))
    queue.add(item(1, "a", tokens=100))
    assert next(queue.in_order(0.0)).workspace == "a"


def test_idle_accounts_are_deleted():
    queue = queue_of()
    for number in range(100):
        queue.add(item(0, f"w{number}"))
    drain(queue, 100)
    for second in range(20):
        last = item(second, "w0")
        last.arrived_at = 10.0 + second
        queue.add(last)
        drain(queue, 1, now=10.0 + second)
    queue.prune()
    assert len(queue._accounts) <= 1


def test_urgent_patient_work_overtakes_other_patient_work():
    queue = queue_of()
    for number in range(LOOKAHEAD + 5):
        queue.add(item(number, "a", patient=True, latest_start=1000.0))
    queue.add(item(99, "a", patient=True, latest_start=2.0))
    assert next(queue.in_order(0.0)).id == "a:99"
    queue.dequeue("a:99", 0.0)


def test_out_of_order_and_late_starts_are_violations():
    queue = queue_of()
    for number in range(LOOKAHEAD + 1):
        queue.add(item(number, "a", latest_start=5.0))
    with pytest.raises(InvariantViolated, match="virtual_time"):
        queue.dequeue(f"a:{LOOKAHEAD}", 0.0)
    with pytest.raises(InvariantViolated, match="deadline"):
        queue.dequeue("a:0", 6.0)


@settings(max_examples=50, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 500)), min_size=30, max_size=80
    )
)
def test_backlogged_workspaces_never_drift_apart(work):
    """Start-time fair queueing bounds the difference by one largest item of each."""
    queue = queue_of()
    for number, (workspace, tokens) in enumerate(work):
        queue.add(item(number, workspace, tokens=tokens))
    left = Counter(workspace for workspace, _ in work)
    served = Counter()
    while len(left) == 3 and all(left.values()):
        first = next(queue.in_order(0.0))
        queue.dequeue(first.id, 0.0)
        served[first.workspace] += first.tokens
        left[first.workspace] -= 1
        if all(left.values()):
            assert max(served.values()) - min(served[w] for w in "abc") <= 1000
