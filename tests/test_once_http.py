"""The agent's HTTP client sends each call at most once; tickets over HTTP."""

import asyncio
import json

import pytest

from ebonyglade.ports import EngineError
from ebonyglade_agent.engine import HttpService, new_session
from helpers.fleets import fetch, small_fleet


@pytest.fixture
async def endpoint():
    """Run a server that reads each request and closes the connection."""
    seen = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        seen.append(head.split(b" ", 1)[0].decode())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield seen, f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()


@pytest.mark.parametrize("method", ["POST", "GET", "PUT"])
async def test_request_is_not_retried_after_a_lost_connection(endpoint, method):
    seen, url = endpoint
    async with new_session() as session:
        with pytest.raises(EngineError) as failed:
            await HttpService(url, session).call(method, "/", [], b"", lambda: True)
    assert seen == [method]
    assert failed.value.may_have_run
    assert failed.value.lost


async def test_request_is_not_sent_if_may_send_returns_false(endpoint):
    seen, url = endpoint
    async with new_session() as session:
        with pytest.raises(EngineError) as failed:
            await HttpService(url, session).call("POST", "/", [], b"x", lambda: False)
        await asyncio.sleep(0)
    assert not seen
    assert not failed.value.may_have_run
    assert not failed.value.lost


async def test_repeat_through_another_entry_over_http_runs_once():
    async with small_fleet(entries=2, service=2) as fleet:
        first, second = fleet.urls()
        status, _, body = await fetch(first + "/tickets/bookings")
        assert status == 201
        headers = {"Idempotency-Key": json.loads(body)["ticket"]}
        answers = [
            await fetch(url + "/bookings", data="room 7", headers=headers)
            for url in (first, second, first)
        ]
        counts = [item.executions["room 7"] for item in fleet.bookings.values()]
    assert [answer[0] for answer in answers] == [201] * 3
    assert len({answer[2] for answer in answers}) == 1
    assert sum(counts) == 1


async def test_repeat_refused_by_the_http_server_is_not_reported_as_not_run():
    headers = {"Idempotency-Key": "egt1.a.b", "X-Long": "x" * 20_000}
    async with small_fleet() as fleet:
        url = fleet.urls()[0] + "/bookings"
        status, received, _ = await fetch(url, data="x", headers=headers)
    assert (status, received["X-Ebonyglade-Verdict"]) == (431, "may_have_run")
