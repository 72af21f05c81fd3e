import random

from ebonyglade.forward.rates import SILENT_S, FleetRates, RateTerms
from ebonyglade.forward.types import Workspace

SPACE = Workspace("w", (), rate=1000.0, burst=2000.0)
FRESH = RateTerms(first_start=True)


def entries(count, terms=FRESH):
    return [FleetRates(terms) for _ in range(count)]


def tell(fleet, now, reach=lambda a, b: True):
    for source, sender in enumerate(fleet):
        for target, receiver in enumerate(fleet):
            if source != target and reach(source, target):
                receiver.heard(str(source), "i", dict(sender.spent), now)


def flood(fleet, seconds, reach=lambda a, b: True, step=0.2, start=0.0):
    """Admit whatever can be, with a beat each step; return when and how much."""
    admitted = []
    rng = random.Random(1)
    now = start
    while now < start + seconds:
        tell(fleet, now, reach)
        for entry in rng.sample(fleet, len(fleet)):
            if entry.take(SPACE, 100.0, now) == 0.0:
                admitted.append((now, 100.0))
        now += step
    return admitted


def most_in(admitted, window):
    return max(
        sum(cost for at, cost in admitted if start <= at <= start + window)
        for start, _ in admitted
    )


def test_a_fleet_admits_what_the_rate_and_burst_allow():
    admitted = flood(entries(5), 30.0)
    # What four others admit between two beats is the error.
    assert most_in(admitted, 8.0) <= 8.0 * 1000 + 2000 + 4 * 100
    assert sum(cost for _, cost in admitted) >= 0.95 * (30 * 1000 + 2000)


def test_two_halves_that_do_not_hear_each_other_admit_what_the_whole_may():
    fleet = entries(4)
    flood(fleet, 10.0)

    def apart(source, target):
        return source // 2 == target // 2

    admitted = flood(fleet, 20.0, apart, start=10.0)
    silent = SILENT_S * 1000
    assert most_in(admitted, 8.0) <= 8.0 * 1000 + 2000 + silent + 4 * 100


def test_an_entry_that_ended_leaves_its_part_to_the_others():
    alone, other = entries(2)
    alone.heard("1", "i", {}, 0.0)
    alone.take(SPACE, 2000.0, 0.0)
    alone.gone("1")
    assert alone.take(SPACE, 1900.0, 2.0) == 0.0
    assert other.spent == {}


def test_what_a_silent_entry_spent_is_not_charged_twice():
    here = FleetRates(FRESH)
    here.heard("1", "i", {"w": 0.0}, 0.0)
    here.take(SPACE, 2000.0, 0.0)
    # Five silent seconds count as half of the rate, the beat tells the same.
    assert here.take(SPACE, 2000.0, 3.0) > 0
    here.heard("1", "i", {"w": 1500.0}, 3.0)
    assert here.take(SPACE, 1400.0, 3.0) == 0.0


def test_what_was_admitted_before_this_process_started_is_not_charged():
    here = FleetRates(FRESH)
    here.heard("1", "i", {"w": 1_000_000.0}, 0.0)
    assert here.take(SPACE, 2000.0, 0.0) == 0.0


def test_a_process_that_starts_again_begins_with_a_part_of_the_burst():
    again = FleetRates(RateTerms())
    assert again.take(SPACE, 1100.0, 0.0) > 0
    assert again.take(SPACE, 900.0, 0.0) == 0.0


def test_a_request_above_the_burst_needs_a_full_bucket_and_leaves_a_debt():
    here = FleetRates(FRESH)
    assert here.take(SPACE, 5000.0, 0.0) == 0.0
    wait = here.take(SPACE, 500.0, 0.0)
    assert 3.4 <= wait <= 3.6


def test_a_request_that_did_not_run_gives_its_tokens_back():
    here = FleetRates(FRESH)
    here.take(SPACE, 2000.0, 0.0)
    here.refund(SPACE, 2000.0)
    assert here.take(SPACE, 2000.0, 0.0) == 0.0


def test_the_granted_overage_is_used_and_not_exceeded():
    terms = RateTerms(overage=0.25, slack=1000.0, first_start=True)
    admitted = flood(entries(3, terms), 40.0)
    most = (8.0 * 1000 + 2000) * 1.25 + 1000
    assert 8.0 * 1000 + 2000 < most_in(admitted, 8.0) <= most


def test_a_large_request_told_at_once_is_charged_once():
    here = FleetRates(FRESH)
    here.heard("1", "i", {"w": 0.0}, 0.0)
    here.take(SPACE, 100.0, 0.0)
    here.heard_one("1", "i", "w", 900.0)
    here.heard("1", "i", {"w": 900.0}, 0.0)
    assert here.take(SPACE, 1000.0, 0.0) == 0.0
    assert here.take(SPACE, 10.0, 0.0) > 0
