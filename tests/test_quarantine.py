"""Requests that crash endpoints, alone and in a world."""

import asyncio

import pytest

from ebonyglade.ports import EngineError
from ebonyglade.quarantine import guard, table
from ebonyglade.quarantine.deaths import Deaths
from ebonyglade.quarantine.fingerprint import fingerprint
from ebonyglade.quarantine.table import (
    QUARANTINED_S,
    SUSPECTED_S,
    Quarantine,
    Standing,
)
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual import endpoints
from ebonyglade_lab.virtual.endpoints import POISON
from helpers.bookings import told
from helpers.failing import prompt, steady
from helpers.worlds import KEY, in_world

MOST_LOST = 3  # endpoints that one poison request may take along
TEXT = f"{POISON} of a caller"


def test_second_death_convicts_the_only_one_of_both():
    found = Quarantine()
    found.died("first", ["poison", "a", "b"], 0.0)
    found.died("second", ["poison", "c"], 1.0)
    standings = [found.standing(item, 1.0) for item in ("poison", "a", "c", "d")]
    assert standings == [
        Standing.QUARANTINED,
        Standing.SUSPECT,
        Standing.SUSPECT,
        Standing.FREE,
    ]


def test_companions_of_both_deaths_are_isolated_and_not_convicted():
    found = Quarantine()
    found.died("first", ["poison", "a"], 0.0)
    found.died("second", ["poison", "a"], 1.0)
    assert found.standing("a", 1.0) is Standing.ISOLATED
    found.died("third", ["poison", "b"], 2.0)
    assert found.standing("poison", 2.0) is Standing.QUARANTINED
    assert found.standing("a", 2.0) is Standing.ISOLATED


def test_one_death_told_twice_counts_once():
    found = Quarantine()
    found.died("first", ["a"], 0.0)
    found.died("first", ["a"], 1.0)
    assert found.standing("a", 1.0) is Standing.SUSPECT


def test_suspicion_and_quarantine_expire():
    found = Quarantine()
    found.died("first", ["a"], 0.0)
    assert found.standing("a", SUSPECTED_S) is Standing.FREE
    found.died("second", ["a"], SUSPECTED_S)
    assert found.standing("a", SUSPECTED_S) is Standing.SUSPECT
    found.died("third", ["a"], SUSPECTED_S)
    now = SUSPECTED_S + QUARANTINED_S
    assert found.standing("a", now - 1.0) is Standing.QUARANTINED
    assert found.standing("a", now) is Standing.FREE


def test_end_clears_a_suspect_but_no_convict():
    found = Quarantine()
    found.died("first", ["a", "b"], 0.0)
    found.cleared("b")
    found.died("second", ["a"], 0.0)
    found.cleared("a")
    assert found.standing("a", 0.0) is Standing.QUARANTINED
    assert found.standing("b", 0.0) is Standing.FREE


def test_table_is_bounded(monkeypatch):
    monkeypatch.setattr(table, "MAX_FINGERPRINTS", 3)
    found = Quarantine()
    found.died("first", [str(number) for number in range(9)], 0.0)
    kept = [n for n in range(9) if found.standing(str(n), 0.0) is not Standing.FREE]
    assert kept == [6, 7, 8]


def test_agent_tells_one_death_with_all_that_ran():
    sent = []
    deaths = Deaths(lambda: "d", lambda to, message: sent.append(message), lambda: "e")
    for attempt, item in (("1", "a"), ("2", "b"), ("3", "c")):
        deaths.began(attempt, item)
    deaths.ended("3")
    deaths.failed("1", EngineError("full", ran=False))
    deaths.failed("1", EngineError("refused", ran=False, lost=True))
    deaths.failed("1", EngineError("lost", lost=True))
    deaths.failed("2", EngineError("lost", lost=True))
    assert [message.fingerprints for message in sent] == [["a", "b"]]


def test_agent_admits_one_isolated_request_at_a_time():
    held = {"1"}
    deaths = Deaths(lambda: "d", lambda to, message: True, lambda: ())
    assert deaths.admit("1", True, held.__contains__)
    assert not deaths.admit("2", True, held.__contains__)
    assert deaths.admit("1", True, held.__contains__)
    assert deaths.admit("3", False, held.__contains__)
    held.clear()
    assert deaths.admit("2", True, held.__contains__)


def poison(world):
    return world.model_call(KEY, TEXT, max_tokens=8)


def lost_to(world, text=TEXT):
    return sum(engine.deaths[text] for engine in world.engines.values())


async def _repeated(world):
    """Send a poison request again and again by all entries in turn."""
    outcomes = []
    for number in range(12):
        outcomes.append(await world.call(f"entry-{number % 3}", poison(world)))
        await asyncio.sleep(0.5)
    return lost_to(world), outcomes


def test_repeated_poison_takes_few_endpoints_along():
    lost, outcomes = in_world(_repeated, entries=3, pairs=6)
    assert lost <= MOST_LOST
    assert told(outcomes[-1]) == ("quarantined", "not_run")


@pytest.fixture
def no_quarantine(monkeypatch):
    monkeypatch.setattr(guard.Guard, "_on_lost", lambda self, sender, message: None)


def test_without_quarantine_every_repeat_takes_endpoints_along(no_quarantine):
    lost, _ = in_world(_repeated, entries=3, pairs=6)
    assert lost > 2 * MOST_LOST


def _crash_in_mid_answer(monkeypatch):
    """Let the poison pass its prefill and crash a decode engine later."""
    real = endpoints.EngineState.start

    def start(self, job, prompt, *rest):
        real(self, job, prompt.replace(POISON, "later"), *rest)
        if POISON in prompt and self.name.startswith("decode"):
            asyncio.get_running_loop().call_later(0.02, self.crash, prompt)

    monkeypatch.setattr(endpoints.EngineState, "start", start)


def test_poison_that_crashes_in_mid_answer_is_found_too(monkeypatch):
    _crash_in_mid_answer(monkeypatch)
    lost, outcomes = in_world(_repeated, entries=3, pairs=6)
    assert lost <= MOST_LOST
    assert told(outcomes[-1]) == ("quarantined", "not_run")


def test_engine_that_dies_in_mid_answer_is_never_called_not_run(monkeypatch):
    _crash_in_mid_answer(monkeypatch)

    async def scenario(world):
        return await world.call("entry-0", poison(world))

    outcome = in_world(scenario, pairs=1)
    assert outcome.refusal.verdict.value in ("may_have_run", "ran")


async def _at_once(world):
    """Let all entries have the poison request at the same moment, twice."""
    for _ in range(2):
        calls = [world.call(f"entry-{n}", poison(world)) for n in range(3)]
        await asyncio.gather(*calls)
    return lost_to(world)


def test_copies_at_once_are_bounded_by_those_that_already_ran():
    # One of the three copies at each endpoint that they met, and one more.
    assert in_world(_at_once, entries=3, pairs=8) <= 3 + 1


def test_without_quarantine_copies_at_once_are_not_bounded(no_quarantine):
    assert in_world(_at_once, entries=3, pairs=8) > 3 + 1


async def _mixed(world):
    """Send innocent requests while a poison one is repeated."""
    innocent = asyncio.ensure_future(steady(world, 300, 0.02, prompt_of(world), 3))
    for number in range(6):
        await world.call(f"entry-{number % 3}", poison(world))
        await asyncio.sleep(0.5)
    return lost_to(world), await innocent


def prompt_of(world):
    return lambda number: prompt(world, number)


def test_no_innocent_request_is_quarantined():
    lost, outcomes = in_world(_mixed, entries=3, pairs=6)
    assert lost <= MOST_LOST
    codes = [item.refusal.code for item in outcomes if item.refusal is not None]
    assert "quarantined" not in codes
    for number, outcome in enumerate(outcomes):
        if outcome.whole:
            assert outcome.tokens == answer_tokens(f"prompt {number}", 8)


def test_fingerprint_holds_no_text_and_tells_workspaces_apart():
    async def scenario(world):
        calls = [poison(world) for _ in range(3)]
        for call, workspace in zip(
            calls, ("physics", "physics", "history"), strict=True
        ):
            call.owner = type("Owner", (), {"workspace": workspace})()
        return [fingerprint(call) for call in calls]

    first, again, other = in_world(scenario)
    assert first == again != other
    assert POISON not in first
