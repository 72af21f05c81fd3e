"""Service calls and their answers are passed through unchanged."""

import pytest
from aiohttp import web
from yarl import URL

from helpers.fleets import fetch, small_fleet


@pytest.fixture
async def fleet():
    async with small_fleet() as fleet:
        yield fleet


async def test_hop_by_hop_headers_and_keys_are_not_forwarded(fleet):
    booking = fleet.bookings["rooms-1"]
    headers = {"Connection": "close, X-Once", "X-Once": "1", "X-Kept": "yes"}
    await fetch(fleet.urls()[0] + "/bookings", data=b"x", headers=headers)
    seen = {name.lower(): value for name, value in booking.last_request.headers.items()}
    assert seen["x-kept"] == "yes"
    assert not {"x-once", "authorization"} & set(seen)


async def test_request_target_is_forwarded_as_it_was_sent(fleet):
    target = "/bookings?day=2%2F3&x=%20a+b"
    await fetch(URL(fleet.urls()[0] + target, encoded=True), method="GET")
    assert fleet.bookings["rooms-1"].last_request.raw_path == target


@pytest.mark.parametrize("status", [200, 204, 302, 304, 404, 500])
async def test_status_headers_and_body_are_returned(fleet, status):
    def respond(request):
        body = None if status in (204, 304) else b"\x00\xff"
        answer = web.Response(status=status, body=body)
        answer.headers.add("Set-Cookie", "a=1")
        answer.headers.add("Set-Cookie", "b=2")
        answer.headers["Location"] = "/elsewhere"
        answer.headers["Keep-Alive"] = "timeout=9"
        return answer

    fleet.bookings["rooms-1"].response_override = respond
    got, headers, body = await fetch(
        fleet.urls()[0] + "/bookings", method="GET", allow_redirects=False
    )
    assert got == status
    assert headers.getall("Set-Cookie") == ["a=1", "b=2"]
    assert headers["Location"] == "/elsewhere"
    assert "Keep-Alive" not in headers
    assert body == (b"" if status in (204, 304) else b"\x00\xff")


async def test_encoded_answer_is_not_decoded(fleet):
    def respond(request):
        return web.Response(
            body=b"not really gzip", headers={"Content-Encoding": "gzip"}
        )

    fleet.bookings["rooms-1"].response_override = respond
    got, headers, body = await fetch(fleet.urls()[0] + "/bookings", method="GET")
    assert (got, headers["Content-Encoding"]) == (200, "gzip")
    assert body == b"not really gzip"


async def test_open_route_needs_no_key(fleet):
    got, _, body = await fetch(fleet.urls()[0] + "/listings", method="GET", key="")
    assert (got, body) == (200, b'{"bookings": []}')


async def test_answer_that_is_too_large_is_refused_as_may_have_run(fleet):
    fleet.bookings["rooms-1"].response_override = lambda request: web.Response(
        body=b"x" * 9_000_000
    )
    got, headers, _ = await fetch(fleet.urls()[0] + "/bookings", data=b"x")
    assert got == 502
    assert headers["X-Ebonyglade-Verdict"] == "may_have_run"
