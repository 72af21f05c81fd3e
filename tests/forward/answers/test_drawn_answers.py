"""Answers that are drawn, judged by the users' rules; the real client on loopback.

`DRAWN_ANSWERS` sets the number of draws, each of some requests one after the other.
"""

import asyncio
import os

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from helpers.faulty_answers import ENDPOINTS, KINDS, Answer, Caller, Faults
from helpers.forwarding_path import forwarding_fleet
from helpers.raw_endpoints import raw_endpoints

DRAWS = int(os.environ.get("DRAWN_ANSWERS", "300"))

# Most answers have one fault or none, so that a later request meets what is left of it.
rarely = st.sampled_from([False, False, False, True])
answers = st.builds(
    Answer,
    runs=st.sampled_from([True, True, False]),
    status=st.sampled_from([200, 200, 200, 404, 429, 500, 503]),
    id=st.sampled_from(["right"] * 6 + ["none", "foreign", "earlier"]),
    signed=rarely.map(lambda missing: not missing),
    framing=st.sampled_from(["length"] * 4 + ["chunks", "connection"]),
    whole=rarely.map(lambda cut: not cut),
    extra=st.sampled_from([""] * 3 + ["copy", "refusal", "error", "earlier"]),
    late=st.booleans(),
)
requests = st.lists(st.sampled_from(sorted(KINDS)), min_size=2, max_size=5)


@pytest.fixture
def caller():
    """Yield a loop, and a caller on it of an entry before faulty endpoints."""
    loop = asyncio.new_event_loop()
    faults = Faults()

    async def serve(ready, done):
        async with (
            forwarding_fleet(1, ("v1", "v1")) as (setup,),
            raw_endpoints(setup, faults.respond, ENDPOINTS),
        ):
            ready.set_result(Caller(setup, faults))
            await done

    ready, done = loop.create_future(), loop.create_future()
    serving = loop.create_task(serve(ready, done))
    try:
        yield loop, loop.run_until_complete(ready)
    finally:
        done.set_result(None)
        loop.run_until_complete(serving)
        loop.close()


# An answer that no endpoint gave was passed on, or believed to say "not run".
def test_no_drawn_answer_breaks_a_rule(caller):
    loop, asking = caller

    @settings(
        max_examples=DRAWS,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(requests, st.lists(answers, min_size=2, max_size=8))
    def draw(kinds, drawn):
        asking.faults.answers[:] = drawn
        broken = [loop.run_until_complete(asking.ask(kind)) for kind in kinds]
        assert broken == [[]] * len(kinds)

    draw()
