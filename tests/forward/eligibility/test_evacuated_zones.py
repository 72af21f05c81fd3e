"""Requests, prefills, decodes and reservations while a zone is evacuated."""

import asyncio

import pytest
from result import Ok

from ebonyglade.forward.stage_planning import TO_DECODE_DELAY_S
from ebonyglade.forward.types import RetryMode
from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.loop import run
from helpers.eligibility import AT_ONCE_S, Sender, no_retries, prefill
from helpers.forwarding import MODEL, decode, endpoint


def test_plain_requests_avoid_an_evacuated_zone_until_the_evacuation_ends():
    async def scenario():
        sender = Sender(endpoint("a", zone="z1"), endpoint("b", zone="z2"))
        sender.evacuate("z1")
        for _ in range(20):
            await sender.ask()
        during = set(sender.port.reached())
        sender.evacuate("z1", removed=True)
        await asyncio.gather(*(sender.ask() for _ in range(20)))
        return during, set(sender.port.reached())

    assert run(scenario()) == ({"b"}, {"a", "b"})


def test_requests_are_refused_at_once_if_all_endpoints_are_in_evacuated_zones():
    async def scenario():
        sender = Sender(endpoint("a", zone="z1"), endpoint("b", zone="z2"))
        sender.evacuate("z1")
        sender.evacuate("z2")
        reply = await sender.ask()
        return reply.err_value, sender.clock(), sender.port.sent

    refusal, ended, sent = run(scenario())
    assert (refusal.code, refusal.status) == ("zone_evacuated", 503)
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after > 0
    assert ended <= AT_ONCE_S
    assert sent == []


def test_a_retry_does_not_reach_a_zone_that_was_evacuated_during_the_first_attempt():
    async def scenario():
        sender = Sender(endpoint("a", zone="z1"), endpoint("b", zone="z2"))
        sender.port.failing = {"a", "b"}

        def evacuate_other(name):
            sender.evacuate("z2" if name == "a" else "z1")

        sender.port.before = evacuate_other
        reply = await sender.ask()
        return reply.err_value, sender.port.sent

    refusal, sent = run(scenario())
    assert len(sent) == 1
    assert refusal.verdict is Verdict.NOT_RUN


def test_a_request_whose_connection_opens_too_late_goes_elsewhere_without_a_retry():
    """Guards against the time between the choice of an endpoint and the first byte."""

    async def scenario():
        sender = Sender(endpoint("a", zone="z1"), endpoint("b", zone="z2"))
        sender.attempts.retries = no_retries()
        sender.port.unsent = True

        def evacuate(name):
            sender.port.unsent = not sender.attempts.replica.evacuations.zones
            if sender.port.unsent:
                sender.evacuate("z1" if name == "a" else "z2")

        sender.port.before = evacuate
        reply = await sender.ask()
        ejected = sender.attempts.loads.ejections.active(sender.clock())
        return reply, sender.port, ejected

    reply, port, ejected = run(scenario())
    assert isinstance(reply, Ok)
    assert sorted(port.reached()) == ["a", "b"]
    # The endpoint did not fail: it is used at once when the evacuation ends.
    assert not ejected


def test_the_decode_endpoint_prefills_if_the_only_prefill_endpoint_is_evacuated():
    async def scenario():
        sender = Sender(prefill("p", zone="z1"), decode("d", zone="z2"))
        sender.evacuate("z1")
        return await sender.generate(), sender.port

    reply, port = run(scenario())
    assert isinstance(reply, Ok)
    assert port.reached() == ["d"]
    assert port.sent[0][1].cache_source == ""


def test_a_prompt_that_was_prefilled_in_the_zone_is_decoded_in_another_one():
    async def scenario():
        sender = Sender(prefill("p", zone="z1"), decode("d", zone="z2"))
        sender.port.before = lambda name: name == "p" and sender.evacuate("z1")
        return await sender.generate(), sender.port

    reply, port = run(scenario())
    assert isinstance(reply, Ok)
    assert port.reached() == ["p", "d"]
    assert port.sent[1][1].cache_source != ""


# A second prefill is a repeat of the request; without a retry for it the other decode
# endpoint prefills the prompt itself.
@pytest.mark.parametrize(
    ("retries", "reached"), [(False, ["p", "e"]), (True, ["p", "p", "e"])]
)
@pytest.mark.parametrize("repeat", [RetryMode.ONCE, RetryMode.STREAM])
def test_a_request_with_reserved_memory_in_the_zone_is_placed_elsewhere(
    repeat, retries, reached
):
    """The evacuation arrives while the prompt is prefilled."""

    async def scenario():
        sender = Sender(
            prefill("p", zone="z3"), decode("d", zone="z1"), decode("e", zone="z2")
        )
        if not retries:
            sender.attempts.retries = no_retries()
        sender.port.full = {"e"}

        def evacuate_reserved(name):
            if name == "p" and sender.port.full:
                sender.port.full = set()
                sender.evacuate("z1")
                sender.port.controls.clear()

        sender.port.before = evacuate_reserved
        return await sender.generate(repeat), sender.port

    reply, port = run(scenario())
    assert isinstance(reply, Ok)
    assert port.reached() == reached
    assert "d" not in port.asked()


def test_a_waiting_request_gets_memory_in_another_zone():
    async def scenario():
        sender = Sender(decode("d", zone="z1"), decode("e", zone="z2"))
        sender.port.full = {"d", "e"}
        waiting = asyncio.ensure_future(sender.generate())
        await asyncio.sleep(0.5)
        sender.evacuate("z1")
        sender.port.controls.clear()
        sender.port.full = set()
        return await waiting, sender.port

    reply, port = run(scenario())
    assert isinstance(reply, Ok)
    assert port.reached() == ["e"]
    assert port.asked() == {"e"}


def test_waiting_requests_are_refused_at_once_when_the_last_zone_is_evacuated():
    async def scenario():
        sender = Sender(decode("d", zone="z1"), decode("e", zone="z2"))
        sender.port.full = {"d", "e"}
        waiting = [asyncio.ensure_future(sender.generate()) for _ in range(5)]
        await asyncio.sleep(0.5)
        sender.evacuate("z1")
        sender.evacuate("z2")
        evacuated_at = sender.clock()
        replies = await asyncio.gather(*waiting)
        return replies, sender.clock() - evacuated_at

    replies, waited = run(scenario())
    assert [reply.err_value.code for reply in replies] == ["zone_evacuated"] * 5
    assert waited <= AT_ONCE_S


def test_if_only_prefill_endpoints_are_left_the_refusal_says_when_one_decodes():
    async def scenario():
        sender = Sender(prefill("p", zone="z2"), decode("d", zone="z1"))
        sender.evacuate("z1")
        reply = await sender.generate()
        return reply.err_value, sender.clock(), sender.port

    refusal, ended, port = run(scenario())
    assert refusal.code == "zone_evacuated"
    assert refusal.retry_after == TO_DECODE_DELAY_S + MODEL.engine.switch_s
    assert ended <= AT_ONCE_S
    assert port.sent == port.controls == []


def test_a_resumed_stream_whose_software_runs_in_the_zone_only_is_refused():
    async def scenario():
        sender = Sender(
            decode("d", zone="z1", software="v1"), decode("e", zone="z2", software="v2")
        )
        sender.evacuate("z1")
        return await sender.generate(software="v1"), sender.port

    reply, port = run(scenario())
    assert reply.err_value.code == "zone_evacuated"
    assert port.sent == port.controls == []
