"""Streams that callers take up while two software versions serve."""

import asyncio
import random

import aiohttp
import pytest

from helpers.forwarding_path import MODEL, forwarding_fleet

TWO_VERSIONS = ("v1", "v1", "v2", "v2")
STREAMS = 24
AT_ONCE = 8
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


async def stream(setup, request_id, cut=False, **headers):
    """Ask for a stream; return the software version of the endpoint that wrote it.

    If `cut`, all endpoints break their streams off after an event meanwhile.
    """
    decoding = [item for name, item in setup.workers.items() if "decode" in name]
    for worker in decoding:
        worker.abort_ids |= {request_id} if cut else set()
    sent = {**MODEL, **headers, "X-Request-Id": request_id}
    try:
        await setup.ask("/resume/x", "POST", body=request_id.encode(), **sent)
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


async def test_a_stream_without_the_attempt_that_began_it_goes_on_at_the_only_version():
    async with forwarding_fleet(1) as (setup,):
        core = setup.entry.entry
        await setup.until(lambda: core.resumed_streams.listed.only_version("model"))
        headers = {**RESUMED, "Resumes": ""}
        status, _, _ = await setup.ask("/resume/x", "POST", **headers)
        assert status == 200


def is_refused_with(answer, code):
    status, body, headers = answer
    return status == 503 and code in body.decode() and float(headers["Retry-After"]) > 0
