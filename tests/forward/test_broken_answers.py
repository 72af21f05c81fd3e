"""Answers that endpoints break off, with each framing, through an entry over HTTP."""

import asyncio
import logging

import aiohttp
import pytest

from ebonyglade.completeness import Framing
from ebonyglade.forward.events import EventSplitter
from helpers.forwarding_path import MODEL, forwarding_setup, raw_request, received
from helpers.scripted_answers import ScriptedAnswer, framings

WHOLE = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
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


async def read_raw_answer(setup, target):
    """Return all bytes that a caller of an older version of HTTP gets."""
    host, _, port = setup.base.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw_request(target, "1.0"))
    try:
        return await reader.read()
    finally:
        writer.close()


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


# The HTTP library logged a traceback for each, at a rate that callers decide.
async def test_a_stream_that_is_broken_off_leaves_no_traceback(caplog):
    caplog.set_level(logging.INFO)
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(Framing.CHUNKS, (*WHOLE, CUT), interval_s=0.05)
        with pytest.raises(aiohttp.ClientError):
            await ask_for_stream(setup, answer)
        with pytest.raises(ConnectionResetError):
            await read_raw_answer(setup, "/write/x")
    assert [record.message for record in caplog.records if record.exc_info] == []
    cuts = [
        record
        for record in caplog.records
        if record.message == "response to the caller cut"
    ]
    assert len(cuts) == 2


async def test_a_stream_that_is_broken_off_is_counted_by_its_cause():
    async with forwarding_setup() as setup:
        answer = ScriptedAnswer(Framing.CONNECTION, (*WHOLE, CUT), interval_s=0.05)
        with pytest.raises(aiohttp.ClientError):
            await ask_for_stream(setup, answer)
        metrics = setup.entry.node.metrics
        assert metrics.counter("responses_incomplete_unfinished_event") == 1
        assert metrics.counter("caller_responses_cut") == 1


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
