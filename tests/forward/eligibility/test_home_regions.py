"""Requests of routes and workspaces that are restricted to home regions."""

import asyncio

import pytest
from result import Ok

from ebonyglade.forward.types import Workspace
from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.loop import run
from helpers.eligibility import AT_ONCE_S, Sender, no_retries, prefill
from helpers.forwarding import at, configuration, decode, endpoint, route

REGIONS = {"z1": "north", "z2": "south", "z3": "east", "z4": "north"}
ZONES = ("z1", "z2", "z3", "z9")  # the region of "z9" is not known


def workspace(*homes):
    return Workspace("w", ("key",), home_regions=homes)


def everywhere(kind):
    """Return an endpoint of a kind in each zone, each with its own address."""
    letter = kind.__name__[0]
    return [
        kind(f"{letter}-{zone}", zone=zone, address=f"10.0.{ord(letter)}.1:80{zone[1]}")
        for zone in ZONES
    ]


def zones_of(names):
    return {name.partition("-")[2] for name in names}


# The zones that requests of a route and of a workspace with home regions reach.
CASES = [
    ((), (), {"z1", "z2", "z3", "z9"}),
    (("north",), (), {"z1"}),
    ((), ("south", "east"), {"z2", "z3"}),
    (("north", "south"), ("south", "east"), {"z2"}),
    (("north", "elsewhere"), ("north",), {"z1"}),
    (("north",), ("south",), set()),
    (("elsewhere",), (), set()),
]


@pytest.mark.parametrize(("of_route", "of_workspace", "expected"), CASES)
def test_plain_requests_reach_their_home_regions_only(of_route, of_workspace, expected):
    async def scenario():
        sender = Sender(*everywhere(endpoint), regions=REGIONS)
        asked = [
            sender.ask(workspace=workspace(*of_workspace), home_regions=of_route)
            for _ in range(20)
        ]
        replies = await asyncio.gather(*asked)
        return replies, zones_of(sender.port.reached()), sender.clock()

    replies, reached, ended = run(scenario())
    assert reached == expected
    if not expected:
        assert {reply.err_value.code for reply in replies} == {"no_endpoint_in_region"}
        assert {reply.err_value.verdict for reply in replies} == {Verdict.NOT_RUN}
        assert all(reply.err_value.retry_after > 0 for reply in replies)
        assert ended <= AT_ONCE_S


@pytest.mark.parametrize(("of_route", "of_workspace", "expected"), CASES)
def test_model_requests_reach_their_home_regions_only(of_route, of_workspace, expected):
    """Guards against reservations, prefills and decodes in another region."""

    async def scenario():
        sender = Sender(*everywhere(decode), *everywhere(prefill), regions=REGIONS)
        asked = [
            sender.generate(workspace=workspace(*of_workspace), home_regions=of_route)
            for _ in range(8)
        ]
        replies = await asyncio.gather(*asked)
        return replies, sender.port, sender.clock()

    replies, port, ended = run(scenario())
    assert zones_of(port.reached()) <= expected
    assert zones_of(port.asked()) <= expected
    if expected:
        assert [reply for reply in replies if not isinstance(reply, Ok)] == []
    else:
        assert {reply.err_value.code for reply in replies} == {"no_endpoint_in_region"}
        assert ended <= AT_ONCE_S


def test_the_memory_of_a_prompt_stays_in_one_of_several_home_regions():
    """Guards against a prompt whose KV cache is fetched from another home region."""

    async def scenario():
        sender = Sender(
            decode("d", zone="z1"), prefill("p", zone="z2"), regions=REGIONS
        )
        homes = ("north", "south")
        first = await sender.generate(home_regions=homes)
        decoded_alone = sender.port.reached()
        sender.port.sent.clear()
        sender.add(prefill("q", zone="z4"))
        second = await sender.generate(home_regions=homes)
        return first, decoded_alone, second, sender.port

    first, decoded_alone, second, port = run(scenario())
    assert isinstance(first, Ok)
    assert decoded_alone == ["d"]
    assert isinstance(second, Ok)
    assert port.reached() == ["q", "d"]
    assert port.sent[1][1].cache_source != ""


def test_a_retry_stays_in_the_home_regions():
    async def scenario():
        sender = Sender(*everywhere(endpoint), regions=REGIONS)
        sender.port.failing = {"e-z1"}
        reply = await sender.ask(home_regions=("north",))
        return reply.err_value, zones_of(sender.port.reached())

    refusal, reached = run(scenario())
    assert reached == {"z1"}
    assert refusal.verdict is Verdict.NOT_RUN


def test_a_resumed_stream_stays_in_the_home_regions():
    async def scenario():
        sender = Sender(
            decode("d", zone="z1", software="v1"),
            decode("e", zone="z2", software="v2"),
            regions=REGIONS,
        )
        return await sender.generate(software="v2", home_regions=("north",)), sender

    reply, sender = run(scenario())
    assert reply.err_value.code == "no_endpoint_in_region"
    assert sender.port.sent == sender.port.controls == []


@pytest.mark.parametrize(
    ("evacuated", "code"),
    [(("z1",), "no_endpoint_in_region"), (ZONES, "zone_evacuated")],
)
def test_home_regions_whose_zones_are_evacuated_have_no_endpoint(evacuated, code):
    """If all zones are evacuated, home regions are not the cause."""

    async def scenario():
        sender = Sender(*everywhere(endpoint), regions=REGIONS)
        for zone in evacuated:
            sender.evacuate(zone)
        reply = await sender.ask(home_regions=("north",))
        return reply.err_value.code, sender.port.sent

    assert run(scenario()) == (code, [])


def test_a_request_that_waits_in_one_region_does_not_hold_up_those_of_another():
    """Guards against one queue for requests that can't run at the same endpoints."""

    async def scenario():
        sender = Sender(
            decode("d-z1", zone="z1"), decode("d-z2", zone="z2"), regions=REGIONS
        )
        sender.port.full = {"d-z1"}
        # Neither is late, so that the one that came first goes first.
        changes = {"target_s": 2.0}
        first = sender.generate(home_regions=("north",), **changes)
        waiting = asyncio.ensure_future(first)
        await asyncio.sleep(0.2)
        started = sender.clock()
        reply = await sender.generate(home_regions=("south",), **changes)
        waited = sender.clock() - started
        waiting.cancel()
        return reply, waited

    reply, waited = run(scenario())
    assert isinstance(reply, Ok)
    assert waited <= 2 * AT_ONCE_S


def test_home_regions_that_are_published_while_a_request_waits_apply_to_it():
    """Guards against a request that keeps the configuration of its admission."""

    async def scenario():
        sender = Sender(
            decode("d-z1", zone="z1"), decode("d-z2", zone="z2"), regions=REGIONS
        )
        sender.attempts.retries = no_retries()
        sender.port.full = {"d-z1", "d-z2"}
        waiting = asyncio.ensure_future(sender.generate())
        await asyncio.sleep(0.5)
        changed = configuration(2, 60, routes=[route(home_regions=("south",))])
        sender.attempts.replica.apply([changed], at(60))
        sender.port.full = set()
        return await waiting, sender.port

    reply, port = run(scenario())
    assert isinstance(reply, Ok)
    assert port.reached() == ["d-z2"]
