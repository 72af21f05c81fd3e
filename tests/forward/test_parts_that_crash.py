"""Parts of prompts that crash the endpoints that write on them, over HTTP."""

import asyncio

import pytest

from helpers.crashes import CrashingEndpoint, ask
from helpers.forwarding_path import MODEL, forwarding_setup

# Five endpoints may end under requests with one part, and three more of these may be
# sent before all entries know.
MAX_SENT = 8
REQUESTS = 14

# Parts of the bad requests' prompts, and of the sound ones' between them. The last
# part is a request's own.
PROMPTS = {
    "in_the_middle": (["first", "bad"], ["first"]),
    "first": (["bad"], ["first"]),
    "beside_another_one": (["first", "bad", "second"], ["first", "good", "second"]),
    "alone_with_its_caller": (["first", "bad"], ["other"]),
}


def prompt(parts, number, kind):
    """Return the headers of a model request whose last part is its own."""
    listed = ",".join(f"{part.encode().hex()}:10" for part in parts)
    own = f"{kind}{number}".encode().hex()
    return {**MODEL, "X-Prompt-Prefix": f"{listed},{own}:50"}


def holds_bad_part(headers, body):
    listed = headers.get("X-Prompt-Prefix", "").split(",")
    return f"{b'bad'.hex()}:10" in listed


# Crashes were counted by request, and no two of these requests are alike.
@pytest.mark.parametrize("where", PROMPTS)
@pytest.mark.parametrize("point", ["before_its_head", "after_an_event"])
async def test_requests_with_a_part_that_crashes_endpoints_are_not_sent_on(
    where, point
):
    bad, good = PROMPTS[where]
    async with forwarding_setup() as setup:
        endpoint = CrashingEndpoint(
            setup.store, setup.workers["decode"], holds_bad_part, point
        )
        for number in range(REQUESTS):
            headers = prompt(bad, number, "bad-")
            await ask(setup, endpoint, b"b%d" % number, **headers)
        bad_sent = sum(body.startswith(b"b") for body in endpoint.sent)
        assert bad_sent <= MAX_SENT
        for number in range(3):
            headers = prompt(good, number, "good-")
            assert await ask(setup, endpoint, b"g%d" % number, **headers) == 200


# Sound requests that run beside the bad ones end with their endpoint, so that hardly
# any of them is answered whole until the part is found.
async def test_a_part_that_crashes_endpoints_is_found_among_sound_requests():
    async with forwarding_setup() as setup:
        worker = setup.workers["decode"]
        worker.events, worker.event_interval_s, worker.slots = 5, 0.1, 12
        endpoint = CrashingEndpoint(setup.store, worker, holds_bad_part)
        asked, found = [], []
        for number in range(REQUESTS):
            for sound in range(2):
                headers = prompt(["first", f"good-{sound}"], number, f"s{sound}")
                body = b"g%d-%d" % (number, sound)
                asked.append(asyncio.create_task(ask(setup, endpoint, body, **headers)))
            await asyncio.sleep(0.05)
            headers = prompt(["first", "bad"], number, "bad-")
            found.append(await ask(setup, endpoint, b"b%d" % number, **headers))
            await asyncio.sleep(0.3)
        statuses = await asyncio.gather(*asked)
        assert sum(body.startswith(b"b") for body in endpoint.sent) <= MAX_SENT
        assert statuses[-6:] == [200] * 6


# Requests that share a part are not refused because one of them crashes endpoints.
async def test_one_request_that_crashes_endpoints_does_not_block_the_parts_it_shares():
    async with forwarding_setup() as setup:
        endpoint = CrashingEndpoint(
            setup.store, setup.workers["decode"], lambda headers, body: body == b"bad"
        )
        for _ in range(8):
            await ask(setup, endpoint, b"bad", **prompt(["first"], 0, "bad-"))
        assert endpoint.sent.count(b"bad") == 3
        assert await ask(setup, endpoint, b"good", **prompt(["first"], 1, "g")) == 200
