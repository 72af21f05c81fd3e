"""Answers that end before their request was sent whole."""

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import pytest

from helpers.forwarding_path import MODEL, forwarding_setup

UPLOAD = b"x" * 90_000
READ_BYTES = 20_000
SMALL_BUFFER = 4096
PART = b"id: 1\ndata: part\n\n"
TARGETS = {"read": "/read/x", "booking": "/book/x", "stream": "/write/x"}


class EarlyEndpoint:
    """Answers a request before it has read all of it, and ends its answer in order.

    After the end it reads on, so that no reset tells that it has not read the request.

    Attributes:
        fields: lines in the head that frame the body.
        body: what it sends.
        early: whether it answers early; else when it has read the whole request.
    """

    def __init__(self, fields, body, early=True):
        self.fields, self.body, self.early = fields, body, early

    async def serve(self, connection):
        loop = asyncio.get_running_loop()
        got = b""
        while b"\r\n\r\n" not in got or (
            b"POST /hold" not in got[:20] and len(got) < self._enough(got)
        ):
            part = await loop.sock_recv(connection, SMALL_BUFFER)
            if not part:
                return
            got += part
        head, _, _ = got.partition(b"\r\n\r\n")
        request_id = next(
            (
                line.partition(b": ")[2]
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"x-request-id")
            ),
            b"",
        )
        if got.startswith(b"POST /hold"):
            answer = b'HTTP/1.1 200 X\r\nContent-Length: 13\r\n\r\n{"Hold": "h"}'
        elif b"x-stage: prefill" in head.lower():
            # The decode endpoint then prefills the prompt itself.
            answer = b"HTTP/1.1 500 X\r\nX-Request-Id: %b\r\n\r\n" % request_id
        else:
            answer = b"HTTP/1.1 200 X\r\nX-Request-Id: %b\r\n" % request_id
            answer += b"X-Response-Signature: signed-by-it\r\n"
            answer += self.fields + b"\r\n" + self.body
        await loop.sock_sendall(connection, answer)
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.1)
        while await loop.sock_recv(connection, 65536):
            pass

    def _enough(self, got):
        head, _, _ = got.partition(b"\r\n\r\n")
        return READ_BYTES if self.early else len(head) + 4 + len(UPLOAD)


@asynccontextmanager
async def served(endpoint):
    """Serve connections of one address; yield it."""
    loop, tasks = asyncio.get_running_loop(), []
    listener = socket.socket()
    # Accepted connections inherit it, so that the sender can't be rid of all bytes.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)

    async def one(connection):
        try:
            await endpoint.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()

    async def accept():
        while True:
            connection, _ = await loop.sock_accept(listener)
            connection.setblocking(False)
            tasks.append(asyncio.ensure_future(one(connection)))

    accepting = asyncio.ensure_future(accept())
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        for task in (accepting, *tasks):
            task.cancel()
        listener.close()


@asynccontextmanager
async def listed_everywhere(setup, endpoint):
    """Let all endpoints of a setup be an early one, each at an address of its own."""
    listed = setup.entry.entry.replica.registry.endpoints
    async with AsyncExitStack() as stack:
        addresses = {}
        for name, worker in setup.workers.items():
            address = await stack.enter_async_context(served(endpoint))
            service = "model" if worker.stage else "plain"
            document = worker.registration(service, Address=address, born=1)
            await setup.store.put(f"servers/{name}", document)
            addresses[name] = address
        await setup.until(
            lambda: all(listed[name].address == at for name, at in addresses.items())
        )
        yield


async def ask(kind, endpoint):
    """Return the status and body that a caller gets for an upload."""
    async with forwarding_setup() as setup, listed_everywhere(setup, endpoint):
        headers = MODEL if kind == "stream" else {}
        status, body, _ = await setup.ask(TARGETS[kind], "POST", body=UPLOAD, **headers)
        return status, body


# MIXED: part of an answer without a length reached the caller as a whole one. Its
# endpoint had failed while the upload was still being written to it.
@pytest.mark.parametrize("kind", ["read", "booking"])
async def test_an_answer_without_a_length_that_ends_early_is_not_complete(kind):
    status, body = await ask(kind, EarlyEndpoint(b"", PART))
    assert status == 502
    assert PART not in body


async def test_a_stream_that_ends_before_its_request_was_sent_is_cut():
    with pytest.raises(aiohttp.ClientError):
        await ask("stream", EarlyEndpoint(b"", PART))


# An answer that shows its end is complete, however early it comes.
@pytest.mark.parametrize("kind", TARGETS)
async def test_an_early_answer_that_shows_its_end_is_passed_on(kind):
    fields = b"Content-Length: %d\r\n" % len(PART)
    assert await ask(kind, EarlyEndpoint(fields, PART)) == (200, PART)


@pytest.mark.parametrize("kind", TARGETS)
async def test_an_answer_without_a_length_to_a_request_read_whole_is_passed_on(kind):
    endpoint = EarlyEndpoint(b"", PART, early=False)
    assert await ask(kind, endpoint) == (200, PART)
