import random

from ebonyglade.forward.room import (
    ASKED_S,
    LAPSE_S,
    TURN_LAPSE_S,
    TURN_PAUSE_S,
    UNSEEN_S,
    Need,
    Rank,
    ReadingTurns,
    RoomBook,
    peak,
)
from ebonyglade.forward.types import RunState

NOW = Rank(1, False, 0.0)


def test_the_peak_is_that_of_runs_which_grow_and_end_one_by_one():
    rng = random.Random(4)
    for _ in range(200):
        needs = [
            Need(rng.randrange(1, 50), rng.randrange(0, 50))
            for _ in range(rng.randrange(1, 8))
        ]
        slow = max(
            sum(need.tokens + step for need in needs if need.growth >= step)
            for step in range(51)
        )
        assert peak(needs) == slow


def test_no_room_is_given_that_growth_would_take_away():
    book = RoomBook(slots=12, memory=100_000)
    given = [book.ask(str(n), 5000, 6000, NOW, 0.0) for n in range(12)]
    # Alike runs grow together: 11 500 tokens each, as nothing ends before.
    assert given.count(True) == 8


def test_runs_that_end_soon_leave_room_for_one_that_grows_later():
    book = RoomBook(slots=12, memory=50_000)
    states = [RunState(str(n), 11_000) for n in range(3)]
    for state in states:
        assert book.ask(state.request, 5000, 6000, NOW, 0.0)
    book.reported(states, 33_000, 50_000, 0.0)
    assert book.ask("new", 5000, 6000, NOW, 0.1)


def test_a_single_request_always_fits_an_empty_endpoint():
    book = RoomBook(slots=12, memory=10_000)
    assert book.ask("huge", 9000, 9000, NOW, 0.0)


def test_slots_bind_where_memory_does_not():
    book = RoomBook(slots=2, memory=1_000_000)
    assert [book.ask(str(n), 1, 1, NOW, 0.0) for n in range(3)] == [True, True, False]


def test_room_whose_request_does_not_come_lapses():
    book = RoomBook(slots=1, memory=10_000)
    assert book.ask("lost", 100, 100, NOW, 0.0)
    assert not book.ask("next", 100, 100, NOW, LAPSE_S)
    assert book.ask("next", 100, 100, NOW, LAPSE_S + 0.01)


def test_a_run_that_the_endpoint_does_not_report_any_more_has_ended():
    book = RoomBook(slots=1, memory=10_000)
    book.ask("done", 100, 100, NOW, 0.0)
    book.reported([RunState("done", 150)], 150, 10_000, 0.1)
    book.reported([], 0, 10_000, 0.2 + UNSEEN_S)
    assert book.ask("next", 100, 100, NOW, 0.2 + UNSEEN_S)


def test_room_is_kept_for_a_request_of_another_entry_that_can_be_on_time():
    book = RoomBook(slots=1, memory=100_000)
    book.ask("first", 100, 100, NOW, 0.0)
    assert not book.ask("on time", 100, 100, Rank(1, False, -0.1), 0.1)
    book.drop("first")
    assert not book.ask("late", 100, 100, Rank(1, True, -3.0), 0.15)
    assert book.ask("on time", 100, 100, Rank(1, False, -0.2), 0.2)


def test_a_request_that_asks_no_more_keeps_nobody_waiting():
    book = RoomBook(slots=1, memory=100_000)
    book.ask("first", 100, 100, NOW, 0.0)
    book.ask("left", 100, 100, Rank(1, False, -0.1), 0.1)
    book.drop("first")
    assert book.ask("late", 100, 100, Rank(1, True, -3.0), 0.11 + ASKED_S)


def test_one_prompt_at_a_time_with_a_pause_between():
    turns = ReadingTurns()
    assert turns.ask("a", 0.0)
    assert turns.ask("a", 0.1)
    assert not turns.ask("b", 0.2)
    turns.done("a", 0.3)
    assert not turns.ask("b", 0.3 + TURN_PAUSE_S / 2)
    assert turns.ask("b", 0.3 + TURN_PAUSE_S)
    assert turns.ask("c", 0.3 + TURN_PAUSE_S + TURN_LAPSE_S)
