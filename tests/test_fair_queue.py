from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from ebonyglade.invariants import Invariants, InvariantViolated
from ebonyglade.worker.fair import LOOKAHEAD, FairQueue, Waiting


def queue_of(most=1000):
    return FairQueue(most, Invariants(strict=True))


def item(number, workspace, tokens=100.0, weight=1.0, patient=False, latest=1e9):
    return Waiting(f"{workspace}:{number}", workspace, tokens, weight, latest, patient)


def drain(queue, count, now=0.0):
    served = Counter()
    for _ in range(count):
        first = next(queue.waiting(now))
        queue.grant(first.id, now)
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


def test_idle_time_earns_no_credit():
    queue = queue_of()
    for number in range(50):
        queue.add(item(number, "busy"))
    drain(queue, 40)
    for number in range(50):
        queue.add(item(number, "late"))
    served = drain(queue, 10)
    assert served["late"] <= served["busy"] + 100


def test_a_full_queue_drops_the_newest_of_the_one_most_over():
    queue = queue_of(most=5)
    for number in range(4):
        assert queue.add(item(number, "flood")) is None
    assert queue.add(item(0, "small")) is None
    assert queue.add(item(1, "small")).id == "flood:3"
    assert queue.add(item(9, "flood")).id == "flood:9"
    assert "small:0" in queue and "small:1" in queue


def test_patient_work_waits_until_its_latest_start_is_near():
    queue = queue_of()
    queue.add(item(0, "a", patient=True, latest=20.0))
    queue.add(item(1, "a"))
    assert [entry.id for entry in queue.waiting(0.0)] == ["a:1", "a:0"]
    assert [entry.id for entry in queue.waiting(16.0)] == ["a:0", "a:1"]


def test_what_is_given_up_is_not_charged():
    queue = queue_of()
    for number in range(10):
        queue.add(item(number, "a"))
    for number in range(9):
        queue.remove(f"a:{number}")
    queue.add(item(0, "b"))
    assert {entry.start for entry in queue.waiting(0.0)} == {0.0}


def test_settling_gives_back_what_was_not_used():
    queue = queue_of()
    queue.add(item(0, "a", tokens=1000))
    queue.add(item(0, "b", tokens=1000))
    drain(queue, 2)
    queue.settle("a", charged=1000, used=100)
    queue.add(item(1, "b", tokens=100))
    queue.add(item(1, "a", tokens=100))
    assert next(queue.waiting(0.0)).workspace == "a"


def test_accounts_are_forgotten():
    queue = queue_of()
    for number in range(100):
        queue.add(item(0, f"w{number}"))
    drain(queue, 100)
    queue.add(item(1, "w0"))
    drain(queue, 1)
    queue.prune()
    assert len(queue._accounts) <= 1


def test_out_of_order_and_late_starts_are_violations():
    queue = queue_of()
    for number in range(LOOKAHEAD + 1):
        queue.add(item(number, "a", latest=5.0))
    with pytest.raises(InvariantViolated, match="virtual_time"):
        queue.grant(f"a:{LOOKAHEAD}", 0.0)
    with pytest.raises(InvariantViolated, match="deadline"):
        queue.grant("a:0", 6.0)


@settings(max_examples=50, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 500)), min_size=30, max_size=80
    )
)
def test_backlogged_workspaces_never_drift_apart(work):
    """Bound of start-time fair queueing: one largest piece of each."""
    queue = queue_of()
    for number, (workspace, tokens) in enumerate(work):
        queue.add(item(number, workspace, tokens=tokens))
    left = Counter(workspace for workspace, _ in work)
    served = Counter()
    while len(left) == 3 and all(left.values()):
        first = next(queue.waiting(0.0))
        queue.grant(first.id, 0.0)
        served[first.workspace] += first.tokens
        left[first.workspace] -= 1
        if all(left.values()):
            assert max(served.values()) - min(served[w] for w in "abc") <= 1000
