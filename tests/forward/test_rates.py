import random
from dataclasses import replace

import pytest

from ebonyglade.forward.rates import (
    LEVELS_WAIT_S,
    SILENT_AFTER_S,
    FleetRates,
    RateTerms,
)
from ebonyglade.forward.types import Workspace

SPACE = Workspace("w", (), rate=1000.0, burst=2000.0)
FRESH = RateTerms(first_start=True)


def entries(count, terms=FRESH):
    return [FleetRates(terms) for _ in range(count)]


def tell(fleet, now, reach=lambda a, b: True):
    for source, sender in enumerate(fleet):
        for target, receiver in enumerate(fleet):
            if source != target and reach(source, target):
                receiver.update_totals(str(source), "i", dict(sender.spent), now)


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
    silent = SILENT_AFTER_S * 1000
    assert most_in(admitted, 8.0) <= 8.0 * 1000 + 2000 + silent + 4 * 100


def test_an_entry_that_ended_leaves_its_part_to_the_others():
    alone, other = entries(2)
    alone.update_totals("1", "i", {}, 0.0)
    alone.take(SPACE, 2000.0, 0.0)
    alone.remove_entry("1")
    assert alone.take(SPACE, 1900.0, 2.0) == 0.0
    assert other.spent == {}


def test_what_a_silent_entry_spent_is_not_charged_twice():
    here = FleetRates(FRESH)
    here.update_totals("1", "i", {"w": 0.0}, 0.0)
    here.take(SPACE, 2000.0, 0.0)
    # Five silent seconds count as half of the rate, the beat tells the same.
    assert here.take(SPACE, 2000.0, 3.0) > 0
    here.update_totals("1", "i", {"w": 1500.0}, 3.0)
    assert here.take(SPACE, 1400.0, 3.0) == 0.0


def test_what_was_admitted_before_this_process_started_is_not_charged():
    here = FleetRates(FRESH)
    here.update_totals("1", "i", {"w": 1_000_000.0}, 0.0)
    assert here.take(SPACE, 2000.0, 0.0) == 0.0


GRANTED = RateTerms(overage=0.25, slack=1000.0)


def granted(window):
    """Return what the platform grants a workspace in a window."""
    return (window * SPACE.rate + SPACE.burst) * 1.25 + 1000.0


@pytest.mark.parametrize("at", [0.2, 1.0, 3.0, 6.0])
def test_a_fleet_that_is_killed_as_a_whole_does_not_begin_with_another_burst(at):
    """A workspace turns hot, and all entries are killed in the same window."""
    before = flood(entries(5, replace(GRANTED, first_start=True)), at)
    after = [FleetRates(GRANTED, started_at=at + 0.5) for _ in range(5)]
    admitted = before + flood(after, 8.0, start=at + 0.5)
    assert most_in(admitted, 8.0) <= granted(8.0)


def test_entries_that_start_one_by_one_begin_with_what_the_others_know():
    """A rolling restart beside a hot workspace, and one beside a quiet one."""
    spaces = {"w": SPACE}
    old, new = FleetRates(FRESH, 0.0, spaces.get), FleetRates(RateTerms(), 5.0)
    old.take(SPACE, 2000.0, 5.0)
    assert new.should_request_levels(5.0) and not new.should_request_levels(5.1)
    new.adopt_levels(old.levels("new", 5.0), 5.0)
    assert new.take(SPACE, 100.0, 5.0) > 0
    quiet = FleetRates(RateTerms(), 60.0)
    quiet.adopt_levels(old.levels("quiet", 60.0), 60.0)
    assert quiet.take(SPACE, 2000.0, 60.0) == 0.0


def test_levels_count_once_what_the_asker_admitted_meanwhile():
    spaces = {"w": SPACE}
    old = FleetRates(FRESH, 0.0, spaces.get)
    old.update_totals("new", "i", {}, 5.0)
    new = FleetRates(GRANTED, 5.0)
    assert new.take(SPACE, 50.0, 5.0) == 0.0
    told = old.levels("new", 5.0)
    old.update_totals("new", "i", {"w": 50.0}, 5.0)
    counted = old.levels("new", 5.0)
    assert counted[0].level == 1950.0 and counted[0].counted == 50.0
    assert told == []


def test_who_does_not_know_the_past_tells_no_levels_until_it_does():
    rates = FleetRates(RateTerms(), 100.0)
    assert not rates.history_known(100.0)
    assert rates.history_known(100.0 + LEVELS_WAIT_S + 0.1)
    assert not rates.should_request_levels(100.0 + LEVELS_WAIT_S + 0.1)


def test_what_others_spend_counts_before_the_first_request_here():
    """A hot workspace whose callers all use one entry, and then another one."""
    spaces = {"w": SPACE}
    here = FleetRates(FRESH, 0.0, spaces.get)
    here.update_totals("1", "i", {}, 0.0)
    here.update_totals("1", "i", {"w": 2000.0}, 0.0)
    assert here.take(SPACE, 500.0, 0.0) > 0


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
    here.update_totals("1", "i", {"w": 0.0}, 0.0)
    here.take(SPACE, 100.0, 0.0)
    here.update_total("1", "i", "w", 900.0, 0.0)
    here.update_totals("1", "i", {"w": 900.0}, 0.0)
    assert here.take(SPACE, 1000.0, 0.0) == 0.0
    assert here.take(SPACE, 10.0, 0.0) > 0
