"""Answers that endpoints break off, with each framing, through an entry over HTTP."""

import asyncio
import resource
import socket
from contextlib import asynccontextmanager

import aiohttp
import pytest

from ebonyglade.bodies import BodyLimits
from ebonyglade.completeness import Framing
from ebonyglade.forward.events import EventSplitter
from ebonyglade_entry.forwarding import server
from helpers.forwarding_path import MODEL, forwarding_setup, received
from helpers.scripted_answers import UNREAD_BYTES, ScriptedAnswer, framings

WHOLE = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
MAX_GROWTH_BYTES = 32 * 1024 * 1024  # of a process that holds entry and endpoints
CUT = b"id: 3\ndata: ha"


async def ask_for_stream(setup, answer):
    setup.workers["decode"].answer = answer
    return await setup.ask("/write/x", "POST", body=b"p", **MODEL)


@framings
async def test_a_whole_stream_reaches_its_caller(framing):
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(framing, WHOLE)
        status, body, _ = await ask_for_stream(setup, answer)
        assert (status, body) == (200, b"".join(WHOLE))


# Its framing was kept, so that only its last bytes show that it was broken off.
@framings
async def test_a_stream_that_ends_inside_an_event_does_not_look_complete(framing):
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(framing, (*WHOLE, CUT))
        try:
            await ask_for_stream(setup, answer)
        except aiohttp.ClientError:
            return
        raise AssertionError("the caller took the stream for complete")


# Nothing was passed on yet, so that the caller can be told.
@framings
async def test_a_stream_that_ends_inside_its_first_event_is_refused(framing):
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(framing, (CUT,))
        status, _, _ = await ask_for_stream(setup, answer)
        assert status == 502


# An endpoint that crashes before its first event sends just that.
async def test_a_stream_without_events_that_ends_with_its_connection_is_refused():
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(Framing.CONNECTION, ())
        status, _, _ = await ask_for_stream(setup, answer)
        assert status == 502


@framings
async def test_a_stream_that_is_reset_does_not_look_complete(framing):
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(framing, WHOLE, end="reset")
        with pytest.raises(aiohttp.ClientError):
            await ask_for_stream(setup, answer)


def raw_request(target, version):
    headers = {"Host": "h.example", "X-Request-Id": "id-1", "Api-Key": "key-1"} | MODEL
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"GET {target} HTTP/{version}\r\n{lines}\r\n".encode()


async def read_raw_answer(setup, target):
    """Return all bytes that a caller of an older version of HTTP gets."""
    host, _, port = setup.base.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw_request(target, "1.0"))
    try:
        return await reader.read()
    finally:
        writer.close()


@asynccontextmanager
async def unread_answer(setup, target):
    """Send a request and read nothing of its answer."""
    host, _, port = setup.base.removeprefix("http://").partition(":")
    with socket.socket() as opened:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        opened.connect((host, int(port)))
        opened.sendall(raw_request(target, "1.1"))
        yield


# Such a caller gets no chunks: a connection that is closed in order looks like the end.
async def test_a_cut_stream_ends_in_a_reset_for_a_caller_without_chunks():
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(Framing.CHUNKS, (*WHOLE, CUT), interval_s=0.05)
        setup.workers["decode"].answer = answer
        with pytest.raises(ConnectionResetError):
            await read_raw_answer(setup, "/write/x")


async def test_a_whole_stream_ends_in_order_for_a_caller_without_chunks():
    async with forwarding_setup() as setup:
        setup.workers["decode"].answer = ScriptedAnswer(Framing.CHUNKS, WHOLE)
        received = await read_raw_answer(setup, "/write/x")
        assert received.startswith(b"HTTP/1.0 200")
        assert received.endswith(b"".join(WHOLE))


# A refusal that follows the beginning of a stream would be read as a part of it.
async def test_an_internal_error_within_a_stream_cuts_it(monkeypatch):
    def feed(splitter, data):
        if b"id: 2" in data:
            raise RuntimeError("injected")
        return data

    async with forwarding_setup() as setup:
        monkeypatch.setattr(EventSplitter, "feed", feed)
        answer = ScriptedAnswer(Framing.CHUNKS, WHOLE, interval_s=0.05)
        setup.workers["decode"].answer = answer
        with pytest.raises(ConnectionResetError):
            await read_raw_answer(setup, "/write/x")


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
        with pytest.raises(aiohttp.ClientError):
            await ask_for_stream(setup, endless)
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


async def test_a_stream_that_is_broken_off_is_counted_by_its_cause():
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(Framing.CONNECTION, (*WHOLE, CUT), interval_s=0.05)
        with pytest.raises(aiohttp.ClientError):
            await ask_for_stream(setup, answer)
        metrics = setup.entry.node.metrics
        assert metrics.counter("responses_incomplete_unfinished_event") == 1
        assert metrics.counter("caller_responses_cut") == 1


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


# A part of a request must not run as if it was whole.
@pytest.mark.parametrize(
    "head",
    ["Content-Length: 100", "Transfer-Encoding: chunked"],
    ids=["length", "chunks"],
)
async def test_a_request_whose_body_is_broken_off_reaches_no_endpoint(head):
    async with forwarding_setup() as setup:
        host, _, port = setup.base.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = raw_request("/read/x", "1.1").decode().removesuffix("\r\n")
        writer.write(f"{request}{head}\r\n\r\n4\r\nhalf\r\n".encode())
        await asyncio.sleep(0.1)
        writer.write_eof()
        await reader.read()
        writer.close()
        await asyncio.sleep(0.1)
        assert received(setup) == []


# The rows of the table on docs/design/answers.md that no test above goes through.
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
async def test_a_stream_without_events_of_a_kept_framing_is_complete(framing):
    async with forwarding_setup() as setup:
        status, body, _ = await ask_for_stream(setup, ScriptedAnswer(framing, ()))
        assert (status, body) == (200, b"")


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
async def test_a_stream_that_ends_early_does_not_look_complete(framing):
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(framing, WHOLE, end="early")
        with pytest.raises(aiohttp.ClientError):
            await ask_for_stream(setup, answer)


@framings
@pytest.mark.parametrize("parts", [(), (b"a", b"b")], ids=["empty", "document"])
async def test_a_whole_document_reaches_its_caller(framing, parts):
    async with forwarding_setup() as setup:
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(framing, parts)
        status, body, _ = await setup.ask("/book/x", "POST")
        assert (status, body) == (200, b"".join(parts))


@pytest.mark.parametrize(
    ("framing", "end"),
    [
        (Framing.LENGTH, "early"),
        (Framing.LENGTH, "reset"),
        (Framing.CHUNKS, "early"),
        (Framing.CHUNKS, "reset"),
        (Framing.CONNECTION, "reset"),
    ],
)
@pytest.mark.parametrize("parts", [(), (b"a", b"b")], ids=["empty", "document"])
async def test_a_document_that_is_broken_off_is_refused(framing, end, parts):
    async with forwarding_setup() as setup:
        for name in ("plain-1", "plain-2"):
            setup.workers[name].answer = ScriptedAnswer(framing, parts, end)
        status, _, _ = await setup.ask("/book/x", "POST")
        assert status == 502
