"""Answers that arrive late, reordered, duplicated or from the wrong process."""

import asyncio

import pytest

from ebonyglade.dispatch import attempts
from ebonyglade.dispatch.exchange import Exchange
from ebonyglade.ports import Sender
from ebonyglade.wire.work import Cancel, Chunk, DecodeDone, Failed
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.loop import run
from helpers.worlds import KEY, small_world

AGENT = Sender("decode-0", "decode-0#1")


class RecordingTransport(list):
    """A transport that only records what was sent."""

    def send(self, instance, message):
        self.append((instance, message))
        return True


@pytest.fixture
def exchange():
    return Exchange(RecordingTransport())


def received(attempt):
    return [attempt.inbox.get_nowait() for _ in range(attempt.inbox.qsize())]


def test_reordered_answers_reach_their_own_attempts(exchange):
    one, two = exchange.open("a1", "decode-0"), exchange.open("a2", "decode-0")
    exchange.deliver(AGENT, Chunk("a2", 0, ["two"]))
    exchange.deliver(AGENT, Chunk("a1", 0, ["one"]))
    assert received(one) == [Chunk("a1", 0, ["one"])]
    assert received(two) == [Chunk("a2", 0, ["two"])]


def test_late_answer_of_a_closed_attempt_is_dropped(exchange):
    attempt = exchange.open("a1", "decode-0")
    exchange.close(attempt)
    exchange.deliver(AGENT, DecodeDone("a1", 3))
    assert (exchange.dropped, received(attempt)) == (1, [])
    assert exchange._transport == [("decode-0", Cancel("a1"))]


def test_answer_of_another_or_a_restarted_agent_is_dropped(exchange):
    attempt = exchange.open("a1", "decode-0")
    exchange.deliver(Sender("decode-1", "decode-1#1"), DecodeDone("a1", 3))
    exchange.deliver(AGENT, Chunk("a1", 0, ["x"]))
    exchange.deliver(Sender("decode-0", "decode-0#2"), DecodeDone("a1", 3))
    assert received(attempt) == [Chunk("a1", 0, ["x"])]
    assert exchange.dropped == 2


def test_lost_agent_fails_its_attempts_as_may_have_run(exchange):
    attempt, other = exchange.open("a1", "decode-0"), exchange.open("a2", "decode-1")
    exchange.peer_lost("decode-0")
    (failed,) = received(attempt)
    assert isinstance(failed, Failed) and failed.verdict == "may_have_run"
    assert received(other) == []


@pytest.mark.parametrize("seed", range(3))
def test_callers_get_their_own_complete_answers_over_a_faulty_network(seed):
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
    whole = [n for n, outcome in enumerate(outcomes) if outcome.complete]
    for number, outcome in enumerate(outcomes):
        expected = answer_tokens(f"prompt {number}", 64)
        assert outcome.tokens == expected[: len(outcome.tokens)]
        assert not outcome.complete or outcome.tokens == expected
    assert len(whole) >= 20


def test_without_the_check_of_token_indexes_answers_are_wrong(monkeypatch):
    monkeypatch.setattr(attempts, "_new_tokens", lambda chunk, progress: chunk.tokens)
    with pytest.raises(AssertionError):
        test_callers_get_their_own_complete_answers_over_a_faulty_network(0)
