"""Crowds of callers that don't behave, at all doors of a forwarding entry.

Whatever they send, the process lives, stays within the memory of its machine and keeps
descriptors for itself, and an ordinary request is answered while they are there.
"""

import asyncio
from contextlib import suppress

import pytest

from ebonyglade.completeness import Framing
from helpers.crowded_entry import crowded_entry
from helpers.crowds import (
    CONNECTIONS,
    DESCRIPTORS,
    FREE_DESCRIPTORS,
    Crowd,
    Target,
    body_after_a_waiting_request,
    body_but_a_byte,
    check,
    chunks,
    crowd_at,
    each,
    head_without_end,
    heads_after_a_waiting_request,
    trailers_without_end,
    unread_answers,
    unread_stream,
)
from helpers.scripted_answers import ScriptedAnswer

pytestmark = pytest.mark.crowd

SERVED = Target("/echo/x")
EVENT = b"id: 1\ndata: " + b"x" * 60_000 + b"\n\n"
PATHS = {
    "served": SERVED,
    "public": Target("/open/x", key=""),
    "no route": Target("/none/x"),
    "unknown host": Target("/echo/x", host="other.example"),
    "unknown key": Target("/echo/x", key="Api-Key: other"),
    "no key": Target("/echo/x", key=""),
}
BODIES = {
    "whole but a byte": Crowd(60, body_but_a_byte),
    "in chunks of 1,000": Crowd(60, chunks(1000, 4000)),
    "chunks without end": Crowd(60, chunks(60_000, 100)),
    "chunks of 2": Crowd(100, chunks(2, 60_000)),
}
AHEAD = {
    "body after a waiting request": Crowd(250, body_after_a_waiting_request),
    "heads after a waiting request": Crowd(150, heads_after_a_waiting_request),
}
UNREAD = {
    "answers of the limit": Crowd(40, unread_answers(4_000_000, 1)),
    "answers of 60 kB": Crowd(1000, unread_answers(60_000, 3)),
}
LONG = {
    "head": Crowd(40, head_without_end()),
    "trailers": Crowd(40, trailers_without_end()),
}
STOPPED_BESIDE = {
    "bodies": BODIES["whole but a byte"],
    "answers": UNREAD["answers of the limit"],
    "half heads": CONNECTIONS["half heads"],
}
GRACE_S = 8.0  # of the platform; the entry's settings have 5 s
DOORS = {
    "callers": Target(),
    "ready": Target("/ready"),
    "metrics": Target("/metrics"),
}


@each(PATHS)
@pytest.mark.parametrize("crowd", BODIES.values(), ids=BODIES.keys())
async def test_bodies_that_do_not_end(tmp_path, crowd, case):
    async with crowded_entry(tmp_path) as entry:
        await check(entry, entry.callers, crowd, case)


@each(AHEAD)
async def test_requests_that_are_sent_ahead(tmp_path, case):
    async with crowded_entry(tmp_path) as entry:
        await check(entry, entry.callers, case, SERVED)


@each(UNREAD)
async def test_answers_that_nobody_reads(tmp_path, case):
    async with crowded_entry(tmp_path) as entry:
        await check(entry, entry.callers, case, SERVED)


async def test_streams_that_nobody_reads(tmp_path):
    crowd = Crowd(600, unread_stream, stays_s=9.0)
    async with crowded_entry(tmp_path) as entry:
        entry.workers["decode-1"].answer = ScriptedAnswer(
            Framing.CHUNKS, (EVENT,), "endless", interval_s=0.05
        )
        await check(entry, entry.callers, crowd, Target("/tell/x"))


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd", LONG.values(), ids=LONG.keys())
async def test_fields_without_end(tmp_path, crowd, door):
    async with crowded_entry(tmp_path) as entry:
        await check(entry, getattr(entry, door), crowd, DOORS[door])


# Each of them counted as an active request, so that ordinary ones were refused.
@each(PATHS)
async def test_bodies_that_do_not_end_are_no_active_requests(tmp_path, case):
    crowd = Crowd(60, lambda target: body_but_a_byte(target, 10))
    async with crowded_entry(tmp_path, max_requests=50) as entry:
        await check(entry, entry.callers, crowd, case)


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd", CONNECTIONS.values(), ids=CONNECTIONS.keys())
async def test_connections_leave_descriptors_free(tmp_path, crowd, door):
    async with crowded_entry(tmp_path, open_files=DESCRIPTORS) as entry:
        await check(entry, getattr(entry, door), crowd, DOORS[door])
        assert entry.watch.most_descriptors <= DESCRIPTORS - FREE_DESCRIPTORS


# Who kept a body waiting kept the process for 10 s after the end of its stop. The
# platform sends SIGKILL at the end of the grace period.
@each(STOPPED_BESIDE)
async def test_a_planned_stop_ends_by_itself(tmp_path, case):
    async with (
        crowded_entry(tmp_path) as entry,
        crowd_at(entry.callers, case, SERVED, entry.watch),
    ):
        entry.process.terminate()
        with suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S):
                await entry.process.wait()
        if entry.process.returncode is None:
            entry.process.kill()
        assert await entry.process.wait() == 0
