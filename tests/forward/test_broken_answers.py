"""Answers that endpoints break off, with each framing, through an entry over HTTP."""

import aiohttp
import pytest

from ebonyglade.completeness import Framing
from helpers.forwarding_path import MODEL, forwarding_setup
from helpers.scripted_answers import ScriptedAnswer

WHOLE = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
CUT = b"id: 3\ndata: ha"
framings = pytest.mark.parametrize("framing", Framing, ids=lambda item: item.value)


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
