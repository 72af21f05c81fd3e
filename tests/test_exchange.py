"""Answers that come late, crossed, doubled or from the wrong process."""

import asyncio

import pytest

from ebonyglade.dispatch import attempts
from ebonyglade.dispatch.exchange import Exchange
from ebonyglade.ports import Sender
from ebonyglade.wire.work import Cancel, Chunk, Done, Failed
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.loop import run
from helpers.worlds import KEY, small_world

AGENT = Sender("decode-0", "decode-0#1")


class Sent(list):
    """A transport that only notes what was sent."""

    def send(self, instance, message):
        self.append((instance, message))
        return True


@pytest.fixture
def exchange():
    return Exchange(Sent())


def taken(attempt):
    return [attempt.inbox.get_nowait() for _ in range(attempt.inbox.qsize())]


def test_crossed_answers_reach_their_own_attempts(exchange):
    one, two = exchange.open("a1", "decode-0"), exchange.open("a2", "decode-0")
    exchange.deliver(AGENT, Chunk("a2", 0, ["two"]))
    exchange.deliver(AGENT, Chunk("a1", 0, ["one"]))
    assert taken(one) == [Chunk("a1", 0, ["one"])]
    assert taken(two) == [Chunk("a2", 0, ["two"])]


def test_late_answer_of_a_closed_attempt_is_dropped(exchange):
    attempt = exchange.open("a1", "decode-0")
    exchange.close(attempt)
    exchange.deliver(AGENT, Done("a1", 3))
    assert (exchange.dropped, taken(attempt)) == (1, [])
    assert exchange._transport == [("decode-0", Cancel("a1"))]


def test_answer_of_another_agent_or_of_a_restarted_one_is_dropped(exchange):
    attempt = exchange.open("a1", "decode-0")
    exchange.deliver(Sender("decode-1", "decode-1#1"), Done("a1", 3))
    exchange.deliver(AGENT, Chunk("a1", 0, ["x"]))
    exchange.deliver(Sender("decode-0", "decode-0#2"), Done("a1", 3))
    assert taken(attempt) == [Chunk("a1", 0, ["x"])]
    assert exchange.dropped == 2


def test_lost_agent_fails_its_attempts_as_perhaps_run(exchange):
    attempt, other = exchange.open("a1", "decode-0"), exchange.open("a2", "decode-1")
    exchange.peer_lost("decode-0")
    (failed,) = taken(attempt)
    assert isinstance(failed, Failed) and failed.verdict == "may_have_run"
    assert taken(other) == []


@pytest.mark.parametrize("seed", range(3))
def test_callers_get_their_own_whole_answers_over_a_bad_network(seed):
    async def scenario():
        world = small_world(seed)
        await asyncio.sleep(3)
        faults = world.network.faults
        faults.late, faults.late_s, faults.repeat = 0.05, 0.3, 0.1
        calls = [world.model_call(KEY, f"prompt {n}") for n in range(40)]
        return await asyncio.gather(
            *(world.call(f"entry-{n % 2}", call) for n, call in enumerate(calls))
        )

    outcomes = run(scenario())
    whole = [n for n, outcome in enumerate(outcomes) if outcome.whole]
    for number, outcome in enumerate(outcomes):
        expected = answer_tokens(f"prompt {number}", 64)
        assert outcome.tokens == expected[: len(outcome.tokens)]
        assert not outcome.whole or outcome.tokens == expected
    assert len(whole) >= 20


def test_without_the_check_of_positions_answers_are_wrong(monkeypatch):
    monkeypatch.setattr(attempts, "_fresh", lambda chunk, progress: chunk.tokens)
    with pytest.raises(AssertionError):
        test_callers_get_their_own_whole_answers_over_a_bad_network(0)
