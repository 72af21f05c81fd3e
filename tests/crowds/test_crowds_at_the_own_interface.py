"""Crowds of callers that don't behave, at the doors of an entry's own interface.

Whatever they send, the process lives, stays within the memory of its machine and keeps
descriptors for itself, and an ordinary request is answered while they are there.
"""

import pytest

from helpers.crowded_fleet import AUTHORIZATION, crowded_fleet_entry
from helpers.crowds import (
    CONNECTIONS,
    DESCRIPTORS,
    FREE_DESCRIPTORS,
    Crowd,
    Target,
    body_but_a_byte,
    check,
    chunks,
    each,
    head_without_end,
    trailers_without_end,
)

pytestmark = pytest.mark.crowd

PATHS = {
    "service": Target("/bookings", key=AUTHORIZATION),
    "model": Target("/v1/completions", key=AUTHORIZATION),
    "no route": Target("/none", key=AUTHORIZATION),
    "unknown key": Target("/bookings", key="Authorization: Bearer other"),
    "no key": Target("/bookings", key=""),
    "ready": Target("/readyz", key=""),
}
BODIES = {
    "whole but a byte": Crowd(60, body_but_a_byte),
    "chunks of 2": Crowd(100, chunks(2, 60_000)),
}
LONG = {
    "head": Crowd(200, head_without_end(size=8000)),
    "trailers": Crowd(200, trailers_without_end(size=8000)),
}
DOORS = {"callers": Target("/readyz", key=""), "status": Target("/healthz", key="")}


@each(PATHS)
@pytest.mark.parametrize("crowd", BODIES.values(), ids=BODIES.keys())
async def test_bodies_that_do_not_end(tmp_path, crowd, case):
    with crowded_fleet_entry(tmp_path) as entry:
        await check(entry, entry.callers, crowd, case)


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd", LONG.values(), ids=LONG.keys())
async def test_fields_without_end(tmp_path, crowd, door):
    with crowded_fleet_entry(tmp_path) as entry:
        await check(entry, getattr(entry, door), crowd, DOORS[door])


# Each of them counted as an active request, so that ordinary ones were refused.
@each(PATHS)
async def test_bodies_that_do_not_end_are_no_active_requests(tmp_path, case):
    crowd = Crowd(60, lambda target: body_but_a_byte(target, 10))
    with crowded_fleet_entry(tmp_path, max_requests=50) as entry:
        await check(entry, entry.callers, crowd, case)


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd", CONNECTIONS.values(), ids=CONNECTIONS.keys())
async def test_connections_leave_descriptors_free(tmp_path, crowd, door):
    with crowded_fleet_entry(tmp_path, open_files=DESCRIPTORS) as entry:
        await check(entry, getattr(entry, door), crowd, DOORS[door])
        assert entry.watch.most_descriptors <= DESCRIPTORS - FREE_DESCRIPTORS
