"""Requests that crash the endpoints that run them, through an entry over HTTP."""

import asyncio

import pytest

from helpers.crashes import CrashingEndpoint, ask
from helpers.forwarding_path import MODEL, forwarding_setup

# Endpoints may end under a request three times, and it may be sent three times more
# before all entries know.
MAX_SENT = 6


# An answer that was broken off after its head did not count as a crash, so that a
# request ended one endpoint after the other.
@pytest.mark.parametrize(
    "point", ["after_its_head", "after_its_head_by_reset", "inside_its_first_event"]
)
async def test_a_request_that_crashes_endpoints_after_their_head_is_not_sent_on(point):
    assert await times_sent(point) <= MAX_SENT


# The first event of an answer cleared the crashes that were counted.
@pytest.mark.parametrize("point", ["after_an_event", "inside_its_second_event"])
async def test_a_request_that_crashes_endpoints_within_its_answer_is_not_sent_on(point):
    assert await times_sent(point) <= MAX_SENT


async def test_a_request_that_crashes_endpoints_before_their_head_is_not_sent_on():
    assert await times_sent("before_its_head") <= MAX_SENT


async def times_sent(point, worker="decode", copies=12, pause_s=0.0):
    async with forwarding_setup() as setup:
        endpoint = CrashingEndpoint(
            setup.store,
            setup.workers[worker],
            lambda headers, body: body == b"bad",
            point,
        )
        for number in range(copies):
            headers = {**MODEL, "X-Request-Id": f"id-{number}"}
            await ask(setup, endpoint, b"bad", **headers)
            await asyncio.sleep(pause_s)
        assert await ask(setup, endpoint, b"good", **MODEL) == 200
        return endpoint.sent.count(b"bad")


# Only a prefill that was lost before its head counted.
@pytest.mark.parametrize("point", ["before_its_head", "after_its_head"])
async def test_a_request_that_crashes_prefill_endpoints_is_not_sent_on(point):
    assert await times_sent(point, "prefill") <= MAX_SENT


# The whole answer of a decode endpoint that had prefilled the prompt itself cleared the
# crashes of prefill endpoints, but for those within a second of the last answer.
async def test_an_answer_without_a_prefill_clears_no_crashes_of_prefill_endpoints():
    sent = await times_sent("after_its_head", "prefill", copies=9, pause_s=1.1)
    assert sent <= MAX_SENT


class SlowPrefill:
    """Delays prefills."""

    def __init__(self, seconds):
        self.seconds = seconds

    async def send(self, request, headers):
        await asyncio.sleep(self.seconds)


# Whether a request is blocked was asked on its arrival only: those that were prefilled
# or waited for memory meanwhile were still sent.
async def test_copies_that_wait_while_a_request_crashes_endpoints_are_not_sent_on():
    async with forwarding_setup() as setup:
        setup.workers["prefill"].prefill_answer = SlowPrefill(0.5)
        endpoint = CrashingEndpoint(
            setup.store,
            setup.workers["decode"],
            lambda headers, body: body == b"bad",
            "before_its_head",
        )
        copies = []
        for number in range(10):
            headers = {**MODEL, "X-Request-Id": f"id-{number}"}
            copies.append(asyncio.create_task(ask(setup, endpoint, b"bad", **headers)))
            await asyncio.sleep(0.15)
        statuses = await asyncio.gather(*copies)
        # Copies that were sent at the same moment may end with one instance; the next
        # ones would reach a fourth.
        assert len(endpoint.ended) == 3
        assert 503 in statuses
