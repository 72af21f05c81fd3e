"""Limits of time, bytes and memory of answers, through an entry over HTTP."""

import asyncio
import resource
import socket
from contextlib import asynccontextmanager

import aiohttp
import pytest

from ebonyglade.bodies import BodyLimits
from ebonyglade.completeness import Framing
from ebonyglade_entry.forwarding import server
from helpers.forwarding_path import MODEL, forwarding_setup, raw_request, received
from helpers.scripted_answers import UNREAD_BYTES, ScriptedAnswer, framings

WHOLE = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
MAX_GROWTH_BYTES = 32 * 1024 * 1024  # of a process that holds entry and endpoints


@asynccontextmanager
async def unread_answer(setup, target):
    """Send a request and read nothing of its answer."""
    host, _, port = setup.base.removeprefix("http://").partition(":")
    with socket.socket() as opened:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        opened.connect((host, int(port)))
        opened.sendall(raw_request(target, "1.1"))
        yield


async def ask_timed(setup, *arguments, **options):
    """Return the status of an answer and the seconds that it took."""
    started = asyncio.get_running_loop().time()
    status, _, _ = await setup.ask(*arguments, **options)
    return status, asyncio.get_running_loop().time() - started


# Only the headers of an answer had a limit of time.
@framings
async def test_a_body_that_falls_silent_is_refused_at_the_timeout_of_its_route(framing):
    async with forwarding_setup() as setup:
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(framing, (b"a",), end="silent")
        status, seconds = await ask_timed(setup, "/slow/x")
        assert status == 504
        assert 0.2 < seconds < 0.6


async def test_a_body_that_falls_silent_is_read_from_another_endpoint():
    async with forwarding_setup() as setup:
        silent = ScriptedAnswer(Framing.LENGTH, (b"a",), end="silent")
        setup.workers["plain-1"].answer = silent
        answers = [await ask_timed(setup, "/read/x") for _ in range(4)]
        assert [status for status, _ in answers] == [200] * 4
        assert max(seconds for _, seconds in answers) < 2.0


async def test_a_booking_whose_body_falls_silent_is_not_sent_again():
    async with forwarding_setup() as setup:
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(
                Framing.LENGTH, (b"a",), end="silent"
            )
        status, seconds = await ask_timed(setup, "/book/x", "POST", body=b"seat")
        assert status == 504
        assert seconds < 2.5
        assert len(received(setup)) == 1


# The decode endpoint prefills the prompt itself after two failed attempts.
async def test_a_prefill_whose_body_falls_silent_is_given_up():
    async with forwarding_setup() as setup:
        silent = ScriptedAnswer(Framing.LENGTH, (b"{",), end="silent")
        setup.workers["prefill"].prefill_answer = silent
        status, seconds = await ask_timed(setup, "/write/x", "POST", body=b"p", **MODEL)
        assert status == 200
        assert seconds < 3.0


async def test_an_error_of_a_model_endpoint_that_falls_silent_is_refused():
    async with forwarding_setup() as setup:
        silent = ScriptedAnswer(Framing.LENGTH, (b"{",), end="silent", status=500)
        setup.workers["decode"].answer = silent
        status, seconds = await ask_timed(setup, "/write/x", "POST", body=b"p", **MODEL)
        assert status in (502, 504)
        assert seconds < 4.5


async def ask_endless(setup, answers, *arguments, **options):
    """Return the status of an answer without end and the bytes that were read of it."""
    status, _ = await ask_timed(setup, *arguments, **options)
    await setup.until(lambda: not setup.entry.entry.buffers.used)
    return status, sum(answer.sent for answer in answers)


# Such a body used to be collected for as long as it came.
@framings
async def test_a_body_without_end_is_refused_and_its_memory_freed(framing):
    async with forwarding_setup() as setup:
        answers = [
            ScriptedAnswer(framing, (b"x" * 65536,), "endless") for _ in range(2)
        ]
        setup.workers["plain-1"].answer, setup.workers["plain-2"].answer = answers
        status, read = await ask_endless(setup, answers, "/read/x")
        assert status == 502
        assert read <= 2 * (BodyLimits().document_bytes + UNREAD_BYTES)


async def test_a_prefill_without_end_is_given_up():
    async with forwarding_setup() as setup:
        endless = ScriptedAnswer(Framing.CONNECTION, (b"x" * 65536,), "endless")
        setup.workers["prefill"].prefill_answer = endless
        arguments = ("/write/x", "POST")
        status, read = await ask_endless(setup, [endless], *arguments, **MODEL)
        assert status == 200
        assert read <= BodyLimits().document_bytes + UNREAD_BYTES


# Nothing is passed on of an event that has not ended.
@framings
async def test_a_first_event_without_end_is_refused(framing):
    async with forwarding_setup() as setup:
        endless = ScriptedAnswer(framing, (b"data: x" * 8192,), "endless")
        setup.workers["decode"].answer = endless
        arguments = ("/write/x", "POST")
        status, read = await ask_endless(setup, [endless], *arguments, **MODEL)
        assert status == 502
        assert read <= BodyLimits().event_bytes + UNREAD_BYTES


async def test_a_later_event_without_end_cuts_the_stream():
    async with forwarding_setup() as setup:
        parts = (*WHOLE, b"data: x" * 8192)
        endless = ScriptedAnswer(Framing.CHUNKS, parts, "endless")
        setup.workers["decode"].answer = endless
        with pytest.raises(aiohttp.ClientError):
            await setup.ask("/write/x", "POST", body=b"p", **MODEL)
        await setup.until(lambda: not setup.entry.entry.buffers.used)
        assert endless.sent <= BodyLimits().event_bytes + UNREAD_BYTES


async def test_answers_without_end_share_one_limit_of_memory():
    async with forwarding_setup() as setup:
        setup.entry.entry.buffers.max_bytes = 2 * 1024 * 1024
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(
                Framing.LENGTH, (b"x" * 65536,), "endless"
            )
        statuses = await asyncio.gather(
            *(ask_timed(setup, "/book/x", "POST") for _ in range(6))
        )
        assert {status for status, _ in statuses} == {502}
        assert setup.entry.entry.buffers.peak <= 2 * 1024 * 1024
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = None
        assert (await setup.ask("/read/x"))[0] == 200


async def test_a_large_answer_reaches_its_caller_whole():
    async with forwarding_setup() as setup:
        body = bytes(range(256)) * 8192
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(Framing.CHUNKS, (body,))
        status, received_body, headers = await setup.ask("/read/x")
        assert (status, received_body) == (200, body)
        assert int(headers["Content-Length"]) == len(body)
        await setup.until(lambda: not setup.entry.entry.buffers.used)


async def test_small_answers_need_no_memory_that_large_ones_hold():
    async with forwarding_setup() as setup:
        setup.entry.entry.buffers.max_bytes = 0
        assert (await setup.ask("/read/x"))[0] == 200


# The time limit of a stream used to cancel whatever its handler was doing.
async def test_a_stream_whose_caller_does_not_read_is_cut_at_its_deadline():
    async with forwarding_setup() as setup:
        event = b"data: " + b"x" * 65536 + b"\n\n"
        setup.workers["decode"].answer = ScriptedAnswer(
            Framing.CHUNKS, (event,), "endless"
        )
        metrics = setup.entry.node.metrics
        started = asyncio.get_running_loop().time()
        async with unread_answer(setup, "/write/x"):
            await setup.until(lambda: metrics.counter("caller_responses_cut"), 4.5)
            assert asyncio.get_running_loop().time() - started > 3.5
        assert metrics.counter("callers_too_slow") == 1
        assert setup.entry.entry.loads.in_flight("decode") == 0


async def test_a_document_whose_caller_does_not_read_is_cut(monkeypatch):
    monkeypatch.setattr(server, "CALLER_STALL_S", 0.5)
    async with forwarding_setup() as setup:
        body = b"x" * (7 * 1024 * 1024)
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(Framing.LENGTH, (body,))
        metrics = setup.entry.node.metrics
        async with unread_answer(setup, "/read/x"):
            await setup.until(lambda: metrics.counter("callers_too_slow"), 3.0)
            await setup.until(lambda: not setup.entry.entry.buffers.used)


def peak_memory():
    """Return the most bytes of memory that this process has held."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class RawAnswer:
    """Writes a part again and again until the connection is closed."""

    def __init__(self, start, part):
        self.start, self.part, self.sent = start, part, 0

    async def send(self, request, headers):
        transport = request.transport
        transport.write(self.start)
        while not transport.is_closing():
            transport.write(self.part)
            self.sent += len(self.part)
            while transport.get_write_buffer_size() > 65536:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0)
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"", b"x" * 8192),
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"x" * 8192),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 100),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0" * 8192),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x" * 8192),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-A: b\r\n" * 100,
        ),
    ],
    ids=["line", "field", "fields", "interim", "chunk size", "extension", "trailer"],
)
async def test_bytes_without_end_around_a_body_are_refused_in_time(start, part):
    async with forwarding_setup() as setup:
        answers = [RawAnswer(start, part) for _ in range(2)]
        setup.workers["plain-1"].answer, setup.workers["plain-2"].answer = answers
        before = peak_memory()
        status, seconds = await ask_timed(setup, "/read/x")
        assert status in (502, 504)
        assert seconds < 2.5
        assert peak_memory() - before < MAX_GROWTH_BYTES
