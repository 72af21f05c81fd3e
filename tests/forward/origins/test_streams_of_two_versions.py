"""Streams that callers take up while two software versions serve."""

import asyncio
import random

import aiohttp
import pytest

from ebonyglade.forward.origins.resumed_streams import TAKE_UP_MARGIN_S
from helpers.forwarding_path import MODEL, forwarding_fleet
from helpers.restarts import fleet_of_two

TWO_VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 24
AT_ONCE = 8
LATELY_S = 4.0 + TAKE_UP_MARGIN_S  # the time of a request on the route, and the margin
SPREAD_S = 0.4  # in which streams begin, and are taken up


# What an entry knew of a stream ended with it, and no endpoint had a version.
@pytest.mark.parametrize("wait_s", [0.0, 0.5])
@pytest.mark.parametrize("other_entry", [False, True])
async def test_a_stream_goes_on_at_the_version_that_began_it(wait_s, other_entry):
    async with forwarding_fleet(2, TWO_VERSIONS) as setups:
        streams = [
            begin_and_take_up(setups, number, wait_s, other_entry)
            for number in range(STREAMS)
        ]
        for worker in setups[0].workers.values():
            worker.event_interval_s = 0.1
        versions = []
        for group in range(0, STREAMS, AT_ONCE):
            versions += await asyncio.gather(*streams[group : group + AT_ONCE])
        assert sum(begun != goes_on for begun, goes_on in versions) == 0
        assert {begun for begun, _ in versions} == {"v1", "v2"}


async def begin_and_take_up(setups, number, wait_s, other_entry):
    """Return the software versions that began a stream and that went on with it."""
    first = setups[number % 2]
    second = setups[(number + other_entry) % 2]
    rng = random.Random(number)
    await asyncio.sleep(rng.random() * SPREAD_S)
    begun = await stream(first, f"first-{number}", cut=True)
    await asyncio.sleep(wait_s + rng.random() * SPREAD_S)
    headers = {"Last-Event-Id": "1", "Resumes": f"first-{number}"}
    return begun, await stream(second, f"second-{number}", **headers)


async def stream(setup, request_id, cut=False, body=None, **headers):
    """Ask for a stream; return the software version of the endpoint that wrote it.

    If `cut`, all endpoints break their streams off after an event meanwhile. Each
    stream is of another request, unless its body is given.
    """
    body = request_id.encode() if body is None else body
    decoding = [item for name, item in setup.workers.items() if "decode" in name]
    for worker in decoding:
        worker.abort_ids |= {request_id} if cut else set()
    sent = {**MODEL, **headers, "X-Request-Id": request_id}
    try:
        await setup.ask("/resume/x", "POST", body=body, **sent)
    except aiohttp.ClientError:
        assert cut
    writers = [
        worker.version
        for worker in decoding
        if any(got["X-Request-Id"] == request_id for _, _, got, _ in worker.received)
    ]
    assert len(writers) == 1
    return writers[0]


RESUMED = {**MODEL, "Last-Event-Id": "1", "Resumes": "unheard-of"}


async def test_a_stream_that_nobody_knows_is_refused_while_two_versions_serve():
    async with forwarding_fleet(2, TWO_VERSIONS) as setups:
        answer = await setups[0].ask("/resume/x", "POST", **RESUMED)
        assert is_refused_with(answer, "stream_unknown")


async def test_a_stream_whose_version_is_gone_is_refused_at_once():
    async with forwarding_fleet(2, ("v1", "v2")) as setups:
        begun = await stream(setups[0], "first", cut=True)
        name = "decode" if begun == "v1" else "decode-1"
        await setups[0].store.remove(f"servers/{name}")
        for setup in setups:
            listed = setup.entry.entry.replica.registry.endpoints
            await setup.until(lambda listed=listed: name not in listed)
        started = asyncio.get_running_loop().time()
        headers = {**RESUMED, "Resumes": "first"}
        answer = await setups[1].ask("/resume/x", "POST", **headers)
        assert is_refused_with(answer, "software_gone")
        assert asyncio.get_running_loop().time() - started < 0.5


# An entry that has just started can't know whether another version began the stream.
async def test_a_stream_without_the_attempt_that_began_it_goes_on_at_the_only_version():
    async with forwarding_fleet(1) as (setup,):
        headers = {**RESUMED, "Resumes": ""}
        answer = await setup.ask("/resume/x", "POST", **headers)
        assert is_refused_with(answer, "stream_unknown")
        await setup.until(lambda: has_seen_all_versions(setup), within=LATELY_S + 1)
        status, _, _ = await setup.ask("/resume/x", "POST", **headers)
        assert status == 200


async def test_a_stream_without_the_attempt_goes_on_at_the_version_that_began_it():
    async with forwarding_fleet(2, TWO_VERSIONS) as setups:
        for worker in setups[0].workers.values():
            worker.event_interval_s = 0.1
        streams = [take_up_by_request(setups, number) for number in range(AT_ONCE)]
        versions = await asyncio.gather(*streams)
        assert [begun for begun, _ in versions] == [goes_on for _, goes_on in versions]
        assert {begun for begun, _ in versions} == {"v1", "v2"}


async def take_up_by_request(setups, number):
    """Return the software versions that began a stream and that went on with it."""
    body = b"request-%d" % number
    begun = await stream(setups[0], f"first-{number}", cut=True, body=body)
    headers = {"Last-Event-Id": "1"}
    return begun, await stream(setups[1], f"second-{number}", body=body, **headers)


# All processes were killed; what is listed now may not have been there before.
@pytest.mark.parametrize("resumes", ["", "first"])
async def test_a_stream_of_a_version_that_left_meanwhile_is_not_joined_with_another(
    resumes,
):
    async with fleet_of_two() as (fleet, setups):
        body = b"request"
        assert await stream(setups[0], "first", cut=True, body=body) == "v1"
        await fleet.stop_all()
        for name in ("decode", "prefill"):
            worker = fleet.workers[name]
            worker.version, worker.born_ms = "v2", worker.born_ms + 1
            await fleet.store.put(f"servers/{name}", worker.registration("model"))
        setups = [await fleet.start(number) for number in (1, 2)]
        for setup in setups:
            await setup.until_complete(2)
        await asyncio.sleep(0.5)
        headers = {**RESUMED, "Resumes": resumes}
        answer = await setups[1].ask("/resume/x", "POST", body=body, **headers)
        assert is_refused_with(answer, "stream_unknown")


# Its neighbour has seen all versions, so that streams go on soon after a restart.
async def test_an_entry_that_has_just_started_learns_from_another_of_the_only_version():
    async with fleet_of_two() as (fleet, setups):
        await setups[0].until(
            lambda: has_seen_all_versions(setups[0]), within=LATELY_S + 1
        )
        await fleet.stop(2)
        restarted = await fleet.start(2)
        await restarted.until_complete(2)
        status, _, _ = await restarted.ask("/resume/x", "POST", **RESUMED)
        assert status == 200


def has_seen_all_versions(setup):
    core = setup.entry.entry
    listed = core.origin_exchange.listed
    return listed.complete_since <= core.context.clock() - LATELY_S


def is_refused_with(answer, code):
    status, body, headers = answer
    return status == 503 and code in body.decode() and float(headers["Retry-After"]) > 0
