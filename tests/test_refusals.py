"""Every error path over real sockets has a clear body and the true verdict."""

import asyncio
import json

import aiohttp
import pytest

from ebonyglade_entry.drain import ServingState
from ebonyglade_lab.fleet import KEY, publish
from ebonyglade_lab.standins.engine import EngineTimes
from helpers.fleets import fetch, small_fleet

PROMPT = {"model": "abstracts", "prompt": "a prompt", "max_tokens": 16}


@pytest.fixture
async def fleet():
    async with small_fleet() as fleet:
        yield fleet


def entry_of(fleet):
    return next(iter(fleet.entries.values()))


async def in_force(fleet, revision):
    entry = entry_of(fleet)
    async with asyncio.timeout(4):
        while entry.node.config.view.revision < revision:
            await asyncio.sleep(0.01)


def check(answer, status, code, verdict):
    got, headers, body = answer
    error = json.loads(body)["error"]
    assert (got, error["code"], error["verdict"]) == (status, code, verdict)
    assert error["message"]
    assert headers["X-Request-Id"] == error["request_id"]
    assert headers["X-Ebonyglade-Verdict"] == verdict
    return headers


async def test_key_that_is_unknown_missing_or_withdrawn(fleet):
    url = fleet.urls()[0] + "/v1/completions"
    headers = check(
        await fetch(url, key="nobody", json=PROMPT), 401, "key_unknown", "not_run"
    )
    assert headers["WWW-Authenticate"] == "Bearer"
    check(await fetch(url, key="", json=PROMPT), 401, "key_missing", "not_run")
    await in_force(fleet, fleet.platform.delete("teams/aula/keys/secretary"))
    check(await fetch(url, json=PROMPT), 401, "key_unknown", "not_run")
    assert fleet.engines["prefill-1"].executions["prefill"] == 0


@pytest.mark.parametrize(
    ("target", "body"),
    [
        ("/nowhere", {"data": b"x"}),
        ("/v1/completions", {"json": {**PROMPT, "model": "other"}}),
        ("/bookingsandmore", {"data": b"x"}),
    ],
)
async def test_unknown_route(fleet, target, body):
    answer = await fetch(fleet.urls()[0] + target, **body)
    check(answer, 404, "route_unknown", "not_run")


async def test_method_not_allowed(fleet):
    answer = await fetch(fleet.urls()[0] + "/bookings", method="DELETE")
    check(answer, 405, "method_not_allowed", "not_run")


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b'{"model": "abstracts"}',
        b'{"model": "abstracts", "prompt": "x", "max_tokens": 0}',
        b'{"model": "abstracts", "prompt": "\xff"}',
    ],
)
async def test_body_that_is_not_understood(fleet, body):
    answer = await fetch(fleet.urls()[0] + "/v1/completions", data=body)
    check(answer, 400, "body_invalid", "not_run")


async def test_body_and_headers_that_are_too_large(fleet):
    url = fleet.urls()[0] + "/bookings"
    check(await fetch(url, data=b"x" * 5_000_000), 413, "body_too_large", "not_run")
    big = {f"X-Filler-{number}": "x" * 4000 for number in range(5)}
    check(await fetch(url, headers=big), 431, "headers_too_large", "not_run")
    assert not fleet.bookings["rooms-1"].executions


async def chunked(size):
    for _ in range(size // 100_000):
        yield b"x" * 100_000


async def test_body_of_unknown_length_that_is_too_large(fleet):
    answer = await fetch(fleet.urls()[0] + "/bookings", data=chunked(5_000_000))
    check(answer, 413, "body_too_large", "not_run")


@pytest.mark.parametrize(
    "target",
    [
        "/listings/../bookings",
        "/listings/%2e%2e/bookings",
        "/listings/..%2fbookings",
        "//listings",
        "/listings/./x",
        "/listings\\x",
    ],
)
async def test_ambiguous_path(fleet, target):
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", entry_of(fleet).http.port
    )
    writer.write(
        f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
    )
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b'"path_invalid"' in answer


async def test_endpoint_down_before_anything_is_sent(fleet):
    async with fleet.bookings["rooms-1"].down():
        answer = await fetch(fleet.urls()[0] + "/bookings", data=b"x")
    assert answer[0] == 503
    assert json.loads(answer[2])["error"]["verdict"] == "not_run"
    assert "Retry-After" in answer[1]


async def test_endpoint_that_dies_in_mid_stream_with_no_other():
    async with small_fleet() as fleet:
        fleet.engines["decode-1"]._times = EngineTimes(decode_token=0.02)
        # On a route for patient work, the request would wait for another engine until
        # its deadline.
        revision = publish(
            fleet.platform,
            "teams/aula/routes/abstracts",
            kind="model",
            model="abstracts",
            pool="abstracts",
        )
        await in_force(fleet, revision)
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                fleet.urls()[0] + "/v1/completions",
                json={**PROMPT, "stream": True, "max_tokens": 64},
                headers={"Authorization": f"Bearer {KEY}"},
            ) as answer,
        ):
            assert answer.status == 200
            first = await answer.content.readline()
            assert first.startswith(b"data: ")
            await fleet.engines["decode-1"].crash()
            rest = await answer.content.read()
    assert b"[DONE]" not in rest
    error = json.loads(rest.split(b"event: error\ndata: ")[1])["error"]
    assert error["verdict"] == "ran"


async def test_deadline_that_passes(fleet):
    # The first request of a fleet waits for an owner of its workspace's rate.
    first = await fetch(fleet.urls()[0] + "/bookings", data=b"first")
    assert first[0] == 201
    fleet.bookings["rooms-1"].duration_s = 5.0
    revision = publish(
        fleet.platform,
        "teams/aula/routes/bookings",
        kind="service",
        path="/bookings",
        pool="rooms",
        methods=["POST"],
        deadline_s=0.3,
    )
    await in_force(fleet, revision)
    answer = await fetch(fleet.urls()[0] + "/bookings", data=b"x")
    check(answer, 504, "deadline_exceeded", "may_have_run")


async def test_stopping_entry_refuses_new_requests_and_finishes_old_ones(fleet):
    entry = entry_of(fleet)
    fleet.bookings["rooms-1"].duration_s = 1.0
    url = fleet.urls()[0] + "/bookings"
    open_request = asyncio.ensure_future(fetch(url, data=b"x"))
    async with asyncio.timeout(4):
        while not fleet.bookings["rooms-1"].executions:
            await asyncio.sleep(0.01)
    stop = asyncio.ensure_future(entry.drain())
    while entry.http.drainer.state is not ServingState.CLOSED:
        await asyncio.sleep(0.01)
    check(await fetch(url, data=b"y"), 503, "stopping", "not_run")
    ready = await fetch(fleet.urls()[0] + "/readyz", method="GET")
    assert ready[0] == 503
    assert (await open_request)[0] == 201
    await stop
