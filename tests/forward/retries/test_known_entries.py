import pytest

from ebonyglade.forward.retries.known_entries import JOIN_S, MEMORY_S, KnownEntries
from helpers.forwarding import Clock


def known_entries(alone=False):
    clock = Clock(0.0)
    return KnownEntries(clock, lambda: alone), clock


# A process that had just started divided what is shared by the few that it knew.
def test_the_number_is_not_known_before_a_process_can_have_heard_of_all():
    known, clock = known_entries()
    known.record_counted(2)
    assert known.number is None
    clock.now = JOIN_S
    assert known.number == 2


# An entry that was cut off from its start took itself for the only one.
def test_the_number_is_not_known_to_a_process_that_hears_no_other():
    known, clock = known_entries()
    known.record_counted(1)
    clock.now = 100.0
    assert known.number is None


def test_a_process_whose_settings_name_no_other_is_the_only_one():
    known, _ = known_entries(alone=True)
    assert known.number == 1
    known.record_counted(3)
    assert known.number == 3


# Entries that fell silent were forgotten, and others took over their share.
@pytest.mark.parametrize("stated", [True, False])
def test_entries_that_fall_silent_count_for_the_time_of_a_long_partition(stated):
    known, clock = known_entries()
    (known.record_stated if stated else known.record_counted)(50)
    for step in range(1, 60):
        clock.now = step * MEMORY_S / 60
        known.record_counted(7)
        assert known.number == 50
    clock.now = 3 * MEMORY_S
    known.record_counted(7)
    clock.now = 4.1 * MEMORY_S
    known.record_counted(7)
    known.record_stated(7)
    assert known.number == 7


def test_a_member_states_only_what_it_counted_itself():
    known, _ = known_entries()
    known.record_stated(50)
    known.record_counted(2)
    assert known.counted == 2
