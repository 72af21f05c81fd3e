import random
from dataclasses import replace

import pytest

from ebonyglade.forward.rates.fleet_rates import (
    LEVELS_WAIT_S,
    MAX_REPORTERS,
    SILENT_AFTER_S,
    FleetRates,
)
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.types import Workspace

SPACE = Workspace("w", (), rate=1000.0, burst=2000.0)
FRESH = RateTolerance(first_start=True)


def entries(count, limits=FRESH):
    return [FleetRates(limits) for _ in range(count)]


def exchange_totals(fleet, now, reach=lambda a, b: True):
    for source, sender in enumerate(fleet):
        for target, receiver in enumerate(fleet):
            if source != target and reach(source, target):
                receiver.apply_totals(str(source), "i", dict(sender.spent), now)


def flood(fleet, seconds, reach=lambda a, b: True, step=0.2, start=0.0):
    """Request tokens continuously, with a heartbeat each step.

    Returns:
        Time and cost of each admitted request.
    """
    admitted = []
    rng = random.Random(1)
    now = start
    while now < start + seconds:
        exchange_totals(fleet, now, reach)
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
    # The error is what the four others admit between two heartbeats.
    assert most_in(admitted, 8.0) <= 8.0 * 1000 + 2000 + 4 * 100
    assert sum(cost for _, cost in admitted) >= 0.95 * (30 * 1000 + 2000)


def test_both_sides_of_a_partition_together_admit_the_fleets_rate():
    fleet = entries(4)
    flood(fleet, 10.0)

    def apart(source, target):
        return source // 2 == target // 2

    admitted = flood(fleet, 20.0, apart, start=10.0)
    silent = SILENT_AFTER_S * 1000
    assert most_in(admitted, 8.0) <= 8.0 * 1000 + 2000 + silent + 4 * 100


def test_an_entry_that_ended_leaves_its_share_to_the_others():
    alone, other = entries(2)
    alone.apply_totals("1", "i", {}, 0.0)
    alone.take(SPACE, 2000.0, 0.0)
    alone.remove_entry("1")
    assert alone.take(SPACE, 1900.0, 2.0) == 0.0
    assert other.spent == {}


def test_the_spending_of_a_silent_entry_is_not_charged_twice():
    here = FleetRates(FRESH)
    here.apply_totals("1", "i", {"w": 0.0}, 0.0)
    here.take(SPACE, 2000.0, 0.0)
    # While it is silent, the other entry counts as spending half of the rate; the
    # heartbeat then reports the same amount.
    assert here.take(SPACE, 2000.0, 3.0) > 0
    here.apply_totals("1", "i", {"w": 1500.0}, 3.0)
    assert here.take(SPACE, 1400.0, 3.0) == 0.0


def test_totals_from_before_this_process_started_are_not_charged():
    here = FleetRates(FRESH)
    here.apply_totals("1", "i", {"w": 1_000_000.0}, 0.0)
    assert here.take(SPACE, 2000.0, 0.0) == 0.0


GRANTED = RateTolerance(overage=0.25, slack=1000.0)


def granted(window):
    """Return what the platform grants a workspace in a window."""
    return (window * SPACE.rate + SPACE.burst) * 1.25 + 1000.0


@pytest.mark.parametrize("at", [0.2, 1.0, 3.0, 6.0])
def test_a_fleet_that_restarts_as_a_whole_does_not_get_another_burst(at):
    """A workspace sends at full rate, and all entries are killed in the same window."""
    before = flood(entries(5, replace(GRANTED, first_start=True)), at)
    after = [FleetRates(GRANTED, started_at=at + 0.5) for _ in range(5)]
    admitted = before + flood(after, 8.0, start=at + 0.5)
    assert most_in(admitted, 8.0) <= granted(8.0)


def test_a_starting_entry_adopts_the_levels_of_another_one():
    """A rolling restart while a workspace sends at full rate, and while it is idle."""
    spaces = {"w": SPACE}
    old, new = FleetRates(FRESH, 0.0, spaces.get), FleetRates(RateTolerance(), 5.0)
    old.take(SPACE, 2000.0, 5.0)
    assert new.should_request_levels(5.0) and not new.should_request_levels(5.1)
    new.adopt_levels(old.levels("new", 5.0), 5.0)
    assert new.take(SPACE, 100.0, 5.0) > 0
    quiet = FleetRates(RateTolerance(), 60.0)
    quiet.adopt_levels(old.levels("quiet", 60.0), 60.0)
    assert quiet.take(SPACE, 2000.0, 60.0) == 0.0


def test_levels_count_the_requesters_own_spending_once():
    spaces = {"w": SPACE}
    old = FleetRates(FRESH, 0.0, spaces.get)
    old.apply_totals("new", "i", {}, 5.0)
    new = FleetRates(GRANTED, 5.0)
    assert new.take(SPACE, 50.0, 5.0) == 0.0
    told = old.levels("new", 5.0)
    old.apply_totals("new", "i", {"w": 50.0}, 5.0)
    counted = old.levels("new", 5.0)
    assert counted[0].level == 1950.0 and counted[0].counted == 50.0
    assert told == []


def test_the_history_is_known_only_after_the_wait_for_levels():
    rates = FleetRates(RateTolerance(), 100.0)
    assert not rates.history_known(100.0)
    assert rates.history_known(100.0 + LEVELS_WAIT_S + 0.1)
    assert not rates.should_request_levels(100.0 + LEVELS_WAIT_S + 0.1)


def test_spending_of_others_is_charged_before_the_first_request_here():
    """All callers of a busy workspace use one entry, and then another one."""
    spaces = {"w": SPACE}
    here = FleetRates(FRESH, 0.0, spaces.get)
    here.apply_totals("1", "i", {}, 0.0)
    here.apply_totals("1", "i", {"w": 2000.0}, 0.0)
    assert here.take(SPACE, 500.0, 0.0) > 0


def test_a_request_above_the_burst_needs_a_full_bucket_and_overdraws_it():
    here = FleetRates(FRESH)
    assert here.take(SPACE, 5000.0, 0.0) == 0.0
    wait = here.take(SPACE, 500.0, 0.0)
    assert 3.4 <= wait <= 3.6


def test_the_tokens_of_a_request_that_did_not_run_are_refunded():
    here = FleetRates(FRESH)
    here.take(SPACE, 2000.0, 0.0)
    here.refund(SPACE, 2000.0)
    assert here.take(SPACE, 2000.0, 0.0) == 0.0


def test_the_granted_overage_is_used_and_not_exceeded():
    limits = RateTolerance(overage=0.25, slack=1000.0, first_start=True)
    admitted = flood(entries(3, limits), 40.0)
    most = (8.0 * 1000 + 2000) * 1.25 + 1000
    assert 8.0 * 1000 + 2000 < most_in(admitted, 8.0) <= most


def test_a_large_request_reported_at_once_is_charged_once():
    here = FleetRates(FRESH)
    here.apply_totals("1", "i", {"w": 0.0}, 0.0)
    here.take(SPACE, 100.0, 0.0)
    here.apply_early_total("1", "i", "w", 900.0, 0.0)
    here.apply_totals("1", "i", {"w": 900.0}, 0.0)
    assert here.take(SPACE, 1000.0, 0.0) == 0.0
    assert here.take(SPACE, 10.0, 0.0) > 0


def test_a_zone_with_two_reporters_is_charged_once():
    """Both count the same tokens, from different starts."""
    here = FleetRates(FRESH)
    here.apply_zone("a", "r1", {"w": 500.0}, 0.0, True, 0.0, entries=5)
    here.take(SPACE, 100.0, 0.0)
    here.apply_zone("a", "r2", {}, 0.0, True, 0.0, entries=5)
    for total in (300.0, 600.0, 900.0):
        here.apply_zone("a", "r1", {"w": 500.0 + total}, 0.0, False, 0.0)
        here.apply_zone("a", "r2", {"w": total}, 0.0, False, 0.0)
    assert here.take(SPACE, 1000.0, 0.0) == 0.0
    assert here.take(SPACE, 10.0, 0.0) > 0


def test_the_totals_of_a_reporter_that_takes_over_continue():
    here = FleetRates(FRESH, 0.0, {"w": SPACE}.get)
    here.apply_zone("a", "r1", {"w": 0.0}, 0.0, True, 0.0, entries=5)
    here.apply_zone("a", "r1", {"w": 800.0}, 0.0, True, 0.0)
    here.apply_zone("a", "r2", {"w": 50.0}, 0.0, True, 0.0)
    here.apply_zone("a", "r2", {"w": 250.0}, 0.0, True, 0.0)
    here.apply_zone("a", "r1", {"w": 900.0}, 0.0, True, 0.0)
    assert here.take(SPACE, 1000.0, 0.0) == 0.0
    assert here.take(SPACE, 10.0, 0.0) > 0


def test_reporters_that_restart_again_and_again_take_no_memory():
    here = FleetRates(FRESH)
    for number in range(1000):
        here.apply_zone("a", f"r{number}", {"w": 1.0}, 0.0, True, 0.0)
    assert len(here._others["zone a"].offsets) <= MAX_REPORTERS


def test_a_silent_zone_counts_as_spending_the_shares_of_its_entries():
    here = FleetRates(FRESH)
    here.apply_zone("a", "r1", {"w": 0.0}, 0.0, True, 0.0, entries=3)
    here.take(SPACE, 2000.0, 0.0)
    # Three of four entries are silent, so that a quarter of the rate is left.
    assert here.take(SPACE, 1000.0, 4.0) == 0.0
    assert here.take(SPACE, 100.0, 4.0) > 0


def test_entries_that_are_cut_off_do_not_spend_the_same_burst_again():
    """A third of the entries is cut off while a workspace begins to send much."""
    fleet = entries(12)
    exchange_totals(fleet, 0.0)

    def apart(source, target):
        # Each of the first four is cut off by itself.
        return source >= 4 and target >= 4

    # Nothing is sent until the silence is noticed.
    admitted = flood(fleet, 8.0, apart, start=SILENT_AFTER_S + 0.1)
    assert most_in(admitted, 8.0) <= 8.0 * 1000 + 2000 + 11 * 100
    assert sum(cost for _, cost in admitted) >= 0.8 * (8.0 * 1000 + 2000)


def test_the_part_of_the_burst_returns_when_a_silent_entry_is_heard_again():
    here = FleetRates(FRESH, 0.0, {"w": SPACE}.get)
    here.apply_totals("1", "i", {}, 0.0)
    assert here.take(SPACE, 0.0, 0.0) == 0.0
    assert here.take(SPACE, 1500.0, 1.5) > 0
    here.apply_totals("1", "i", {}, 1.6)
    assert here.take(SPACE, 2000.0, 1.6) == 0.0


def test_the_part_of_the_burst_returns_when_a_silent_entry_has_restarted():
    here = FleetRates(FRESH, 0.0, {"w": SPACE}.get)
    here.apply_totals("1", "i", {}, 0.0)
    assert here.take(SPACE, 0.0, 0.0) == 0.0
    assert here.take(SPACE, 1500.0, 1.5) > 0
    here.remove_entry("1")
    assert here.take(SPACE, 1900.0, 1.6) == 0.0


def test_levels_are_adopted_while_another_entry_is_silent():
    """An entry starts, one of its neighbors falls silent, another one answers."""
    spaces = {"w": SPACE, "v": replace(SPACE, name="v")}
    here = FleetRates(RateTolerance(), 0.0, spaces.get)
    here.apply_totals("silent", "i", {}, 0.0)
    here.take(spaces["v"], 10.0, 2.0)
    assert here.adopt_levels([], 2.0)
    here.apply_totals("silent", "i", {}, 2.1)
    here.remove_entry("silent")
    assert here.take(SPACE, 2000.0, 2.2) == 0.0


def test_random_silences_and_restarts_never_admit_more_than_the_bucket():
    """Seeded: entries and zones fall silent, return, restart and shrink."""
    for seed in range(300):
        rng = random.Random(seed)
        here = FleetRates(FRESH, 0.0, {"w": SPACE}.get)
        admitted, now, spent = 0.0, 0.0, {"e1": 0.0, "e2": 0.0, "z": 0.0}
        for _ in range(200):
            now += rng.random() * 0.6
            entry = rng.choice(("e1", "e2"))
            action = rng.choice(("report", "zone", "take", "restart", "quiet"))
            if action == "report":
                spent[entry] += rng.choice((0.0, 50.0))
                totals = {"w": spent[entry]} if spent[entry] else {}
                here.apply_totals(entry, "i", totals, now, rng.random() < 0.5)
            elif action == "zone":
                spent["z"] += rng.choice((0.0, 80.0))
                silent = rng.choice((0, 0, 1, 3))
                here.apply_zone("a", "r", {"w": spent["z"]}, now, True, now, 5, silent)
            elif action == "restart":
                here.remove_entry(entry)
                spent[entry] = 0.0
            elif action == "take" and here.take(SPACE, 100.0, now) == 0.0:
                admitted += 100.0
            here.take(SPACE, 0.0, now)  # brings the bucket up to date
            assert here.level("w") <= 2000.0, seed
        assert admitted <= now * 1000 + 2000, seed
