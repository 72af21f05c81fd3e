"""Streams that break off, and an error of the next endpoint."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from helpers.forwarding_path import MODEL, forwarding_fleet, raw_request
from helpers.raw_endpoints import RawRequest, raw_endpoints, response

EVENT = b"id: 1\ndata: a\n\n"
ERROR = b"the error's text"
ENDPOINTS = ("decode", "decode-1")


class Endpoints:
    """Of all requests the first one gets a stream that breaks off, the others an error.

    Attributes:
        begun: what the first one gets before its connection is closed.
        error: returns the answer to another one.
        requests: the requests that were to run.
    """

    def __init__(self, begun, error):
        self.begun, self.error = begun, error
        self.requests = []

    def respond(self, endpoint, request: RawRequest, state):
        if request.line.startswith("POST /hold-take"):
            return response(200, {}, b'{"Hold": "h"}')
        if "/resume/" not in request.line:
            return response(200, {}, b"{}")
        self.requests.append(request)
        headers = {
            "X-Request-Id": request.id,
            "X-Response-Signature": f"signed-by-{endpoint.name}",
        }
        if len(self.requests) > 1:
            return self.error(headers)
        headers["Content-Type"] = "text/event-stream"
        whole = response(200, headers, self.begun + b"x" * 100)
        return whole[:-100]


def own_error(headers):
    return response(500, headers, ERROR)


def unsigned_error(headers):
    return response(500, {"X-Request-Id": headers["X-Request-Id"]}, ERROR)


def refusal(headers):
    stated = {"X-Request-Id": headers["X-Request-Id"], "X-Not-Executed": "1"}
    return response(503, stated, ERROR)


@asynccontextmanager
async def broken_stream(begun, error):
    endpoints = Endpoints(begun, error)

    def respond(endpoint, request, state):
        if state.get("broken"):
            raise ConnectionError
        answer = endpoints.respond(endpoint, request, state)
        if endpoints.requests == [request]:
            asyncio.get_running_loop().call_later(0.1, state["close"])
        return answer

    async with (
        forwarding_fleet(1, ("v1", "v1")) as (setup,),
        raw_endpoints(setup, respond, ENDPOINTS),
    ):
        yield setup, endpoints


async def read_raw(setup, version="1.1", **headers):
    """Return the bytes that a caller gets until the end of its connection."""
    host, _, port = setup.base.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request = raw_request("/resume/x", version).decode().removesuffix("\r\n")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"{request}{lines}Connection: close\r\n\r\n".encode())
    received = b""
    try:
        while part := await reader.read(1000):
            received += part
    except ConnectionResetError:
        received += b"<reset>"
    writer.close()
    return received


errors = pytest.mark.parametrize("error", [own_error, unsigned_error, refusal])


# Nothing may follow what was passed on: neither another endpoint's error nor an end.
@errors
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_a_stream_that_breaks_off_ends_with_its_last_whole_event(error, version):
    async with broken_stream(EVENT, error) as (setup, endpoints):
        received = await read_raw(setup, version)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(f"HTTP/{version} 200".encode())
        ended = {"1.0": EVENT + b"<reset>", "1.1": b"f\r\n" + EVENT + b"\r\n"}
        assert (
            body.removesuffix(b"<reset>" if version == "1.1" else b"") == ended[version]
        )
        assert len(endpoints.requests) == 1


# The caller takes the stream up; what it gets is the error alone, as an answer.
@pytest.mark.parametrize(
    ("error", "status", "body"),
    [(own_error, 500, ERROR), (unsigned_error, 502, None), (refusal, 503, None)],
)
async def test_an_error_of_the_next_endpoint_is_no_part_of_a_stream(
    error, status, body
):
    async with broken_stream(EVENT, error) as (setup, endpoints):
        await read_raw(setup)
        taken_up = {"X-Request-Id": "id-2", "Last-Event-Id": "1", "Resumes": "id-1"}
        sent = {**MODEL, **taken_up}
        got, content, headers = await setup.ask("/resume/x", **sent)
        assert got == status
        assert body is None or content == body
        assert EVENT not in content
        assert "event-stream" not in headers["Content-Type"]
        assert len(endpoints.requests) >= 2


# Nothing was passed on, so that the answer is the next endpoint's, with its head only.
async def test_a_stream_that_breaks_off_in_its_first_event_leaves_nothing_behind():
    async with broken_stream(b"id: 1\ndata: ha", own_error) as (setup, endpoints):
        received = await read_raw(setup)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 500")
        assert head.count(b"signed-by-") == 1
        assert body == ERROR
        assert len(endpoints.requests) == 2
