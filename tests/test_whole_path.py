import asyncio

import aiohttp
import pytest

from ebonyglade_lab import demo
from ebonyglade_lab.fleet import publish
from ebonyglade_lab.standins.answers import answer_tokens
from helpers.fleets import small_fleet


@pytest.fixture
async def fleet():
    async with small_fleet() as fleet:
        yield fleet


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def test_streamed_answer_is_complete(fleet, session):
    answer = await demo.ask(session, fleet.urls()[0], "a prompt")
    assert answer == "".join(answer_tokens("a prompt", demo.MAX_TOKENS))


async def test_booking_runs_once_and_its_endpoint_does_not_get_the_api_key(
    fleet, session
):
    assert await demo.book(session, fleet.urls()[0], "room 1") == (201, 1)
    seen = [name.lower() for name in fleet.bookings["rooms-1"].last_request.headers]
    assert "authorization" not in seen


async def test_unknown_key_is_refused_with_verdict_not_run(fleet, session):
    headers = {"Authorization": "Bearer nobody"}
    url = fleet.urls()[0] + "/bookings"
    async with session.post(url, data="x", headers=headers) as answer:
        error = (await answer.json())["error"]
    assert (answer.status, error["code"]) == (401, "key_unknown")
    assert error["verdict"] == "not_run"
    assert not fleet.bookings["rooms-1"].executions


async def test_valid_configuration_change_is_applied_and_an_invalid_one_is_not(
    fleet, session
):
    entry = next(iter(fleet.entries.values()))
    path = "teams/aula/workspaces/physics"
    fleet.platform.put(path, "rate = -1.0\nburst = 1.0\n")
    revision = publish(fleet.platform, "teams/aula/workspaces/new", rate=1.0, burst=2.0)
    async with asyncio.timeout(4.0):
        while entry.node.config.view.revision < revision:
            await asyncio.sleep(0.01)
    view = entry.node.config.view
    assert view.workspaces["aula/new"].burst == 2.0
    assert view.workspaces["aula/physics"].rate == 50_000.0
    rejected = [r for r in entry.node.config.audit.with_path_prefix(path) if r.reason]
    assert "line 1: rate" in rejected[0].reason
