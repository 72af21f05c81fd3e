import pytest

from ebonyglade_lab.experiments.fairness import max_min_shares, measure


@pytest.fixture(scope="module")
def flooded():
    return measure("fair", 0.9, seed=3, seconds=16.0)


@pytest.mark.known_red
def test_worst_served_gets_its_share_during_a_flood(flooded):
    assert flooded.worst_share >= 0.95


@pytest.mark.known_red
def test_little_prefill_is_wasted_during_a_flood(flooded):
    assert flooded.wasted_prefill < 0.01


def test_no_patient_work_is_dropped_during_a_flood(flooded):
    assert flooded.patient_sent > 0
    assert flooded.patient_refused == 0


def test_refusals_come_at_once_during_a_flood(flooded):
    assert flooded.late_refusals == 0


def test_max_min_gives_nobody_more_than_it_asked_for():
    shares = max_min_shares({"a": 1.0, "b": 4.0, "c": 100.0}, 10.0)
    assert shares == {"a": 1.0, "b": 4.0, "c": 5.0}
