"""Bytes of endpoints that are no content and do not end."""

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import pytest

from ebonyglade.completeness import IncompleteResponse
from ebonyglade.forward.types import ControlCall
from ebonyglade_node.endpoint_client import EndpointClient, ProgressLimits
from helpers.forwarding_path import MODEL, forwarding_setup
from helpers.raw_endpoints import read_request, response
from helpers.scripted_answers import UNREAD_BYTES

PART_BYTES = 65536
READ_BYTES = 1024 * 1024  # that a process may read of them, besides buffers of sockets
TARGETS = {"read": "/read/x", "booking": "/book/x", "stream": "/write/x"}
HEAD = "HTTP/1.1 200 X\r\nX-Request-Id: {id}\r\nX-Response-Signature: s\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and what comes again and again.
ENDLESS = {
    "empty lines": ("", "\r\n"),
    "interim responses": ("", "HTTP/1.1 102 X\r\n\r\n"),
    "interim fields": ("HTTP/1.1 103 X\r\n", "A: b\r\n"),
    "status line": ("HTTP/1.1 200 ", "x"),
    "field name": (HEAD, "x"),
    "field value": (HEAD + "A: ", "x"),
    "fields": (HEAD, "A: b\r\n"),
    "zeros of a chunk's size": (CHUNKED, "0"),
    "chunk extension": (CHUNKED + "5;a=", "x"),
    "chunk extension after content": (CHUNKED + "5\r\nevent\r\n5;a=", "x"),
    "trailers": (CHUNKED + "5\r\nevent\r\n0\r\n", "A: b\r\n"),
}
all_endless = pytest.mark.parametrize(
    ("start", "again"), ENDLESS.values(), ids=ENDLESS.keys()
)


class EndlessEndpoint:
    """Answers one kind of request with bytes without end, all others soundly.

    Attributes:
        start: its first bytes.
        again: bytes that it repeats until its connection is closed.
        spoilt: "run", "prefill" or "reservation".
        sent: bytes that the longest answer had.
    """

    def __init__(self, start, again, spoilt="run"):
        self.start, self.spoilt, self.sent = start, spoilt, 0
        self.part = (again * (PART_BYTES // len(again))).encode()

    async def serve(self, reader, writer):
        sent = 0
        try:
            while True:
                request = await read_request(reader)
                if self._kind(request) != self.spoilt:
                    writer.write(self._sound(request))
                    continue
                writer.write(self.start.format(id=request.id).encode())
                while not writer.is_closing():
                    writer.write(self.part)
                    sent += len(self.part)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self.sent = max(self.sent, sent)

    def _kind(self, request):
        if request.line.startswith("POST /hold-take"):
            return "reservation"
        return "prefill" if request.headers.get("x-stage") == "prefill" else "run"

    def _sound(self, request):
        if self._kind(request) == "reservation":
            return response(200, {}, b'{"Hold": "h"}')
        headers = {"X-Request-Id": request.id, "X-Response-Signature": "s"}
        if self._kind(request) == "prefill":
            body = json.dumps({"KvHandle": "h", "Tokens": 1, "Version": 1}).encode()
        else:
            body = b"id: 1\ndata: a\n\n"
        return response(200, headers, body)


@asynccontextmanager
async def address_of(endpoint):
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def ask(kind, endpoint):
    """Return the status of a request to such endpoints."""
    async with forwarding_setup() as setup, AsyncExitStack() as stack:
        listed, addresses = setup.entry.entry.replica.registry.endpoints, {}
        for name, worker in setup.workers.items():
            addresses[name] = await stack.enter_async_context(address_of(endpoint))
            service = "model" if worker.stage else "plain"
            document = worker.registration(service, Address=addresses[name], born=1)
            await setup.store.put(f"servers/{name}", document)
        await setup.until(
            lambda: all(listed[name].address == at for name, at in addresses.items())
        )
        headers = MODEL if kind == "stream" else {}
        status, _, _ = await setup.ask(TARGETS[kind], "POST", body=b"x", **headers)
        await asyncio.sleep(0.1)  # for the endpoints to see the closed connections
        return status


# LOST: what was neither head nor content was read on and on until the timeout, in the
# time of the one processor that all callers of the process need.
@pytest.mark.parametrize("kind", TARGETS)
@all_endless
async def test_an_answer_without_end_is_given_up_soon(kind, start, again):
    endpoint = EndlessEndpoint(start, again)
    # One that waited until its timeout gets 504.
    assert await ask(kind, endpoint) == 502
    assert endpoint.sent <= READ_BYTES + UNREAD_BYTES


# The decode endpoint prefills the prompt itself; without memory the request is refused.
@pytest.mark.parametrize(
    ("spoilt", "expected"), [("prefill", 200), ("reservation", 503)]
)
@all_endless
async def test_a_prefill_or_reservation_without_end_is_given_up_soon(
    spoilt, expected, start, again
):
    endpoint = EndlessEndpoint(start, again, spoilt)
    assert await ask("stream", endpoint) == expected
    assert endpoint.sent <= READ_BYTES + UNREAD_BYTES


async def call(client, address):
    await client.call(address, ControlCall("GET", "/x"), 3.0)


async def call_while_progressing(client, address):
    limits = ProgressLimits(3.0, 3.0, 3.0)
    await client.call_while_progressing(
        address, ControlCall("GET", "/x"), limits, lambda size: None
    )


# Reports, orders, reservations and pages of the store.
@pytest.mark.parametrize("make", [call, call_while_progressing])
@all_endless
async def test_a_call_without_end_is_given_up_soon(make, start, again):
    endpoint = EndlessEndpoint(start.replace("X-Request-Id: {id}\r\n", ""), again)
    client = EndpointClient(1.0, "X-Request-Id")
    async with address_of(endpoint) as address:
        # A call that waited until its timeout raises another error.
        with pytest.raises((aiohttp.ClientError, IncompleteResponse)):
            await make(client, address)
        await client.close()
        await asyncio.sleep(0.1)
    assert endpoint.sent <= READ_BYTES + UNREAD_BYTES


# Framing may be most of an answer: each byte in a chunk of its own is sound.
@pytest.mark.parametrize("size", [1, 3])
async def test_an_answer_in_very_small_chunks_is_whole(size):
    content = b"b" * 60_000
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (size, content[at : at + size])
        for at in range(0, len(content), size)
    )

    async def serve(reader, writer):
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunks + b"0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = EndpointClient(1.0, "X-Request-Id")
    async with server:
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        got = await client.call(address, ControlCall("GET", "/x"), 3.0)
        await client.close()
    assert got.body == content
