"""Quarantine of requests that crash endpoints: its parts, and a simulated fleet."""

import asyncio

import pytest

from ebonyglade.ports import EngineError
from ebonyglade.quarantine import guard, table
from ebonyglade.quarantine.crash_reporter import CrashReporter
from ebonyglade.quarantine.fingerprint import fingerprint
from ebonyglade.quarantine.table import (
    QUARANTINE_S,
    SUSPICION_S,
    Quarantine,
    Suspicion,
)
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual import endpoints
from ebonyglade_lab.virtual.endpoints import POISON
from helpers.bookings import code_and_verdict
from helpers.failing import prompt, send_steadily
from helpers.worlds import KEY, in_world

MAX_CRASHED = 3  # endpoints that one poison request may crash
TEXT = f"{POISON} of a caller"


def test_second_crash_quarantines_the_only_request_present_at_both():
    quarantine = Quarantine()
    quarantine.record_crash("first", ["poison", "a", "b"], 0.0)
    quarantine.record_crash("second", ["poison", "c"], 1.0)
    suspicions = [quarantine.suspicion(item, 1.0) for item in ("poison", "a", "c", "d")]
    assert suspicions == [
        Suspicion.QUARANTINED,
        Suspicion.SUSPECT,
        Suspicion.SUSPECT,
        Suspicion.FREE,
    ]


def test_several_requests_present_at_both_crashes_are_isolated():
    quarantine = Quarantine()
    quarantine.record_crash("first", ["poison", "a"], 0.0)
    quarantine.record_crash("second", ["poison", "a"], 1.0)
    assert quarantine.suspicion("a", 1.0) is Suspicion.ISOLATED
    quarantine.record_crash("third", ["poison", "b"], 2.0)
    assert quarantine.suspicion("poison", 2.0) is Suspicion.QUARANTINED
    assert quarantine.suspicion("a", 2.0) is Suspicion.ISOLATED


def test_a_crash_that_is_reported_twice_counts_once():
    quarantine = Quarantine()
    quarantine.record_crash("first", ["a"], 0.0)
    quarantine.record_crash("first", ["a"], 1.0)
    assert quarantine.suspicion("a", 1.0) is Suspicion.SUSPECT


def test_suspicion_and_quarantine_expire():
    quarantine = Quarantine()
    quarantine.record_crash("first", ["a"], 0.0)
    assert quarantine.suspicion("a", SUSPICION_S) is Suspicion.FREE
    quarantine.record_crash("second", ["a"], SUSPICION_S)
    assert quarantine.suspicion("a", SUSPICION_S) is Suspicion.SUSPECT
    quarantine.record_crash("third", ["a"], SUSPICION_S)
    now = SUSPICION_S + QUARANTINE_S
    assert quarantine.suspicion("a", now - 1.0) is Suspicion.QUARANTINED
    assert quarantine.suspicion("a", now) is Suspicion.FREE


def test_completion_clears_a_suspected_but_not_a_quarantined_request():
    quarantine = Quarantine()
    quarantine.record_crash("first", ["a", "b"], 0.0)
    quarantine.clear_suspicion("b")
    quarantine.record_crash("second", ["a"], 0.0)
    quarantine.clear_suspicion("a")
    assert quarantine.suspicion("a", 0.0) is Suspicion.QUARANTINED
    assert quarantine.suspicion("b", 0.0) is Suspicion.FREE


def test_table_is_bounded(monkeypatch):
    monkeypatch.setattr(table, "MAX_FINGERPRINTS", 3)
    quarantine = Quarantine()
    quarantine.record_crash("first", [str(number) for number in range(9)], 0.0)
    kept = [
        n for n in range(9) if quarantine.suspicion(str(n), 0.0) is not Suspicion.FREE
    ]
    assert kept == [6, 7, 8]


def test_agent_reports_one_crash_with_all_running_requests():
    sent = []
    crash_reporter = CrashReporter(
        lambda: "d", lambda to, message: sent.append(message), lambda: "e"
    )
    for attempt, item in (("1", "a"), ("2", "b"), ("3", "c")):
        crash_reporter.began(attempt, item)
    crash_reporter.ended("3")
    crash_reporter.failed("1", EngineError("full", may_have_run=False))
    crash_reporter.failed("1", EngineError("refused", may_have_run=False, lost=True))
    crash_reporter.failed("1", EngineError("lost", lost=True))
    crash_reporter.failed("2", EngineError("lost", lost=True))
    assert [message.fingerprints for message in sent] == [["a", "b"]]


def test_agent_admits_one_isolated_request_at_a_time():
    held = {"1"}
    crash_reporter = CrashReporter(lambda: "d", lambda to, message: True, lambda: ())
    assert crash_reporter.admit("1", True, held.__contains__)
    assert not crash_reporter.admit("2", True, held.__contains__)
    assert crash_reporter.admit("1", True, held.__contains__)
    assert crash_reporter.admit("3", False, held.__contains__)
    held.clear()
    assert crash_reporter.admit("2", True, held.__contains__)


def poison(world):
    return world.model_call(KEY, TEXT, max_tokens=8)


def crashes_caused_by(world, text=TEXT):
    return sum(engine.crashes[text] for engine in world.engines.values())


async def _send_repeatedly(world):
    """Send a poison request repeatedly, through all entries in turn."""
    outcomes = []
    for number in range(12):
        outcomes.append(await world.call(f"entry-{number % 3}", poison(world)))
        await asyncio.sleep(0.5)
    return crashes_caused_by(world), outcomes


def test_repeated_poison_crashes_few_endpoints():
    crashed, outcomes = in_world(_send_repeatedly, entries=3, pairs=6)
    assert crashed <= MAX_CRASHED
    assert code_and_verdict(outcomes[-1]) == ("quarantined", "not_run")


@pytest.fixture
def no_quarantine(monkeypatch):
    monkeypatch.setattr(
        guard.QuarantineGuard, "_on_lost", lambda self, sender, message: None
    )


def test_without_quarantine_every_repeat_crashes_endpoints(no_quarantine):
    crashed, _ = in_world(_send_repeatedly, entries=3, pairs=6)
    assert crashed > 2 * MAX_CRASHED


def _crash_during_decode(monkeypatch):
    """Let the poison request pass its prefill and crash a decode engine later."""
    real = endpoints.VirtualEngineState.start

    def start(self, job, prompt, *rest):
        real(self, job, prompt.replace(POISON, "later"), *rest)
        if POISON in prompt and self.name.startswith("decode"):
            asyncio.get_running_loop().call_later(0.02, self.crash, prompt)

    monkeypatch.setattr(endpoints.VirtualEngineState, "start", start)


def test_poison_that_crashes_during_decode_is_found_too(monkeypatch):
    _crash_during_decode(monkeypatch)
    crashed, outcomes = in_world(_send_repeatedly, entries=3, pairs=6)
    assert crashed <= MAX_CRASHED
    assert code_and_verdict(outcomes[-1]) == ("quarantined", "not_run")


def test_crash_during_decode_is_never_reported_as_not_run(monkeypatch):
    _crash_during_decode(monkeypatch)

    async def scenario(world):
        return await world.call("entry-0", poison(world))

    outcome = in_world(scenario, pairs=1)
    assert outcome.refusal.verdict.value in ("may_have_run", "ran")


async def _send_copies_at_once(world):
    """Send the poison request through all entries at the same time, twice."""
    for _ in range(2):
        calls = [world.call(f"entry-{n}", poison(world)) for n in range(3)]
        await asyncio.gather(*calls)
    return crashes_caused_by(world)


def test_concurrent_copies_crash_few_more_endpoints_than_they_started_at():
    # Each of the three copies may crash the endpoint where it runs, and one more
    # endpoint may crash after that.
    assert in_world(_send_copies_at_once, entries=3, pairs=8) <= 3 + 1


def test_without_quarantine_concurrent_copies_crash_more_endpoints(no_quarantine):
    assert in_world(_send_copies_at_once, entries=3, pairs=8) > 3 + 1


async def _send_among_others(world):
    """Send harmless requests while a poison request is repeated."""
    others = asyncio.ensure_future(send_steadily(world, 300, 0.02, prompt_of(world), 3))
    for number in range(6):
        await world.call(f"entry-{number % 3}", poison(world))
        await asyncio.sleep(0.5)
    return crashes_caused_by(world), await others


def prompt_of(world):
    return lambda number: prompt(world, number)


def test_no_harmless_request_is_quarantined():
    crashed, outcomes = in_world(_send_among_others, entries=3, pairs=6)
    assert crashed <= MAX_CRASHED
    codes = [item.refusal.code for item in outcomes if item.refusal is not None]
    assert "quarantined" not in codes
    for number, outcome in enumerate(outcomes):
        if outcome.complete:
            assert outcome.tokens == answer_tokens(f"prompt {number}", 8)


def test_fingerprint_holds_no_text_and_differs_between_workspaces():
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
