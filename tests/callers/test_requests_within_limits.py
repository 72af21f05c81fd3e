"""Single requests that are as large as the pages allow are served."""

import pytest

from helpers.crowds import BODY_BYTES, PAGE_LIMITS
from helpers.forwarding_path import MODEL, ROUTES, forwarding_setup
from helpers.users_platform import config, route

LARGE_ROUTES = [*ROUTES, route("/large/", "plain", TimeoutMs=20_000)]
LONG = "v" * 15_000


@pytest.fixture
async def setup():
    async with forwarding_setup() as setup:
        await setup.store.put("op/config", config(2, LARGE_ROUTES, Limits=PAGE_LIMITS))
        replica = setup.entry.entry.replica
        await setup.until(lambda: replica.table.version == 2)
        yield setup


async def parts(size, number):
    for _ in range(number):
        yield bytes(size)


# 128 fields were the limit of the HTTP library, which answered 400 in plain text.
@pytest.mark.parametrize("fields", [200, 2000])
async def test_a_request_of_many_short_fields_is_served(setup, fields):
    headers = {f"{number:x}": "" for number in range(fields)}
    status, body, _ = await setup.ask("/read/x", **headers)
    assert (status, body) == (200, b"echo ")
    sent = setup.workers["plain-1"].received + setup.workers["plain-2"].received
    assert set(headers) <= set(sent[-1][2])


async def test_a_request_with_a_long_field_is_served(setup):
    status, _, _ = await setup.ask("/read/x", **{"X-Long": LONG})
    assert status == 200


async def test_a_request_with_a_long_target_is_served(setup):
    assert (await setup.ask(f"/read/{LONG}"))[0] == 200


async def test_a_prompt_of_many_parts_is_served(setup):
    prompt = ",".join(f"{number:x}:1" for number in range(2500))
    status, _, _ = await setup.ask(
        "/write/x", "POST", body=b"p", **MODEL, **{"X-Prompt-Prefix": prompt}
    )
    assert status == 200


@pytest.mark.parametrize(
    ("size", "number"), [(BODY_BYTES, 1), (1000, 4000), (1, 100_000)]
)
@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_a_body_of_the_limit_is_served_whole(setup, framing, size, number):
    body = bytes(size * number) if framing == "length" else parts(size, number)
    status, answer, _ = await setup.ask(
        "/large/x", "POST", body=body, **{"X-Deadline-Ms": "20000"}
    )
    assert status == 200
    assert answer == b"echo " + bytes(size * number)
