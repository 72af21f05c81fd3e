"""Answers whose heads the protocol does not allow, wherever answers are read."""

import asyncio
import json

import pytest

from ebonyglade.forward.types import ControlCall
from ebonyglade_agent.engine import new_query_session, new_session
from ebonyglade_node.endpoint_client import CALL_ERRORS, EndpointClient
from ebonyglade_node.http_heads import MAX_INTERIM, HeadChecker, MalformedHead
from helpers.forwarding_path import MODEL, forwarding_setup
from helpers.raw_endpoints import raw_endpoints, read_request

SIGNED = "X-Response-Signature: signed-by-it\r\n"
BODY = b"id: 1\ndata: booked\n\n"
HOLD = b'{"Hold": "h"}'
HANDLE = json.dumps({"KvHandle": "h", "Tokens": 10, "Version": 1}).encode()
TARGETS = {"read": "/read/x", "booking": "/book/x", "stream": "/write/x"}
STATUS_LINES = (
    "HTTP/1.1 000 X",
    "HTTP/1.1 0 X",
    "HTTP/1.1 001 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/0.9 200 X",
    "HTTP/2.0 200 X",
    "HTTP/1.1 2000 X",
)
STATEMENTS = ("", "X-Not-Executed: 1\r\n")


def head(status_line, request_id="", fields=""):
    echoed = f"X-Request-Id: {request_id}\r\n" if request_id else ""
    return f"{status_line}\r\n{echoed}{SIGNED}{fields}".encode()


def with_length(start, body):
    return start + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Endpoints:
    """Answer soundly, but one kind of request with a head of the test's choice.

    Attributes:
        spoilt: "run", "prefill" or "reservation".
        status_line: of the answers to these.
        fields: further lines in their heads.
    """

    def __init__(self, spoilt, status_line="HTTP/1.1 200 X", fields=""):
        self.spoilt, self.status_line, self.fields = spoilt, status_line, fields

    def respond(self, endpoint, request, state):
        kind, body = "run", BODY
        if request.line.startswith("POST /hold-take"):
            kind, body = "reservation", HOLD
        elif request.headers.get("x-stage") == "prefill":
            kind, body = "prefill", HANDLE
        if kind != self.spoilt:
            return with_length(head("HTTP/1.1 200 X", request.id), body)
        return with_length(head(self.status_line, request.id, self.fields), body)


async def raw_answer(setup, target, headers):
    """Send a request over a plain connection; return the bytes that the entry sends."""
    host, _, port = setup.base.removeprefix("http://").partition(":")
    lines = {
        "Host": "h.example",
        "X-Request-Id": "one",
        "X-Deadline-Ms": "2000",
        "Api-Key": "key-1",
        "Connection": "close",
        "Content-Length": "1",
        **headers,
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST {target} HTTP/1.1\r\n{text}\r\nx".encode())
    try:
        return await asyncio.wait_for(reader.read(), 6.0)
    finally:
        writer.close()


async def refused_bytes(endpoints, kind):
    """Return what a caller gets of an endpoint's spoilt answer, as bytes."""
    names = ("plain-1", "plain-2", "prefill", "decode")
    async with (
        forwarding_setup() as setup,
        raw_endpoints(setup, endpoints.respond, names),
    ):
        headers = MODEL if kind == "stream" else {}
        return await raw_answer(setup, TARGETS[kind], headers)


# MIXED: an answer whose status was 000 reached the caller, signature and body with it,
# and one that also stated "not run" was believed.
@pytest.mark.parametrize("kind", TARGETS)
@pytest.mark.parametrize("fields", STATEMENTS)
@pytest.mark.parametrize("status_line", STATUS_LINES)
async def test_a_status_line_that_is_none_does_not_reach_callers(
    kind, fields, status_line
):
    got = await refused_bytes(Endpoints("run", status_line, fields), kind)
    assert got.startswith(b"HTTP/1.1 50")
    assert not got.startswith(b"HTTP/1.1 503")
    assert b"signed-by-it" not in got
    assert b"booked" not in got


# The decode endpoint prefills the prompt itself.
@pytest.mark.parametrize("status_line", STATUS_LINES)
async def test_a_prefill_with_a_malformed_status_line_is_not_used(status_line):
    got = await refused_bytes(Endpoints("prefill", status_line), "stream")
    assert got.startswith(b"HTTP/1.1 200")
    assert b"booked" in got


@pytest.mark.parametrize("status_line", STATUS_LINES)
async def test_a_reservation_with_a_malformed_status_line_is_none(status_line):
    got = await refused_bytes(Endpoints("reservation", status_line), "stream")
    assert got.startswith(b"HTTP/1.1 503")


async def server_of(answer):
    """Start a server that answers each request with the same bytes."""

    async def connected(reader, writer):
        try:
            await read_request(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def call_by_client(address):
    """Make a call as reports, orders, reservations and the store's reader do."""
    client = EndpointClient(1.0, "X-Request-Id")
    try:
        await client.call(address, ControlCall("GET", "/x"), 2.0)
    finally:
        await client.close()


def call_by_session(new):
    """Return a call as agents of the own interface make it."""

    async def call(address):
        async with new() as session, session.get(f"http://{address}/x") as response:
            await response.read()

    return call


CALLS = {
    "control": call_by_client,
    "engine": call_by_session(new_session),
    "query": call_by_session(new_query_session),
}


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
@pytest.mark.parametrize("status_line", STATUS_LINES)
async def test_a_call_with_a_malformed_status_line_has_failed(call, status_line):
    server, address = await server_of(with_length(head(status_line), b"{}"))
    async with server:
        with pytest.raises(CALL_ERRORS):
            await call(address)


FIELD_LINES = {
    "blank in a name": "X-Re mark: a",
    "blank after a name": "X-Remark : a",
    "tab in a name": "X-Re\tmark: a",
    "control byte in a name": "X-Re\x01mark: a",
    "delete in a name": "X-Re\x7fmark: a",
    "no name": ": a",
    "no colon": "X-Remark",
    "joined by a blank": " and by another",
    "joined by a tab": "\tand by another",
    "only a blank": " ",
    "parentheses in a name": "X(Remark): a",
    "slash in a name": "X/Remark: a",
    "control byte in a value": "X-Remark: a\x02b",
    "delete in a value": "X-Remark: a\x7fb",
    "carriage return in a value": "X-Remark: a\rb",
    "no byte in a value": "X-Remark: a\x00b",
}
all_lines = pytest.mark.parametrize(
    "line", FIELD_LINES.values(), ids=FIELD_LINES.keys()
)


# MIXED: a line that begins with a blank was joined to the signature's and passed on.
@pytest.mark.parametrize("kind", TARGETS)
@all_lines
async def test_a_malformed_field_line_does_not_reach_callers(kind, line):
    got = await refused_bytes(Endpoints("run", fields=f"{line}\r\n"), kind)
    assert got.startswith(b"HTTP/1.1 502")
    assert b"signed-by-it" not in got
    assert b"booked" not in got


@all_lines
async def test_a_prefill_with_a_malformed_field_line_is_not_used(line):
    got = await refused_bytes(Endpoints("prefill", fields=f"{line}\r\n"), "stream")
    assert got.startswith(b"HTTP/1.1 200")
    assert b"booked" in got


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
@all_lines
async def test_a_call_with_a_malformed_field_line_has_failed(call, line):
    start = head("HTTP/1.1 200 X", fields=f"{line}\r\n")
    server, address = await server_of(with_length(start, b"{}"))
    async with server:
        with pytest.raises(CALL_ERRORS):
            await call(address)


SOUND_HEADS = (
    b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    b"HTTP/1.1 200\r\n\r\n",
    b"HTTP/1.0 599 What\r\nA:\r\n\r\n",
    b"\r\nHTTP/1.1 200 OK\r\n\r\n",
    b'HTTP/1.1 200 \xc3\x9c\r\nX_y.z!: \t\xc3\xbc, "q"\r\nB:c\r\n\r\n',
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nA: b\n\n",
)


@pytest.mark.parametrize("sound", SOUND_HEADS)
@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_sound_head_passes_however_it_is_cut_into_parts(sound, size):
    checker = HeadChecker()
    whole = sound + b"\r\n\x00 body that is\r\n\r\n no head \r\n\r\n"
    for start in range(0, len(whole), size):
        checker.feed(whole[start : start + size])


# The cost of each interim response grew with the bytes that followed it.
def test_a_few_interim_responses_pass_and_very_many_do_not():
    interim, final = b"HTTP/1.1 102 X\r\n\r\n", b"HTTP/1.1 200 X\r\n\r\n"
    HeadChecker().feed((MAX_INTERIM - 1) * interim + final)
    with pytest.raises(MalformedHead):
        HeadChecker().feed((MAX_INTERIM + 1) * interim + final)


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_malformed_head_after_an_interim_one_is_found(size):
    whole = b"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 X\r\n\r\n"
    checker = HeadChecker()
    with pytest.raises(MalformedHead):
        for start in range(0, len(whole), size):
            checker.feed(whole[start : start + size])
