"""Refusals that endpoints write once more on kept connections."""

from collections import Counter

import pytest

from helpers.forwarding_path import forwarding_setup
from helpers.raw_endpoints import raw_endpoints, response

BOOKINGS = 12


def refusal(request_id, status=503):
    return response(status, {"X-Request-Id": request_id, "X-Not-Executed": "1"})


def refuse_then_repeat(copy_id):
    """Refuse the first request of a connection, and repeat that with the later ones.

    Args:
        copy_id: returns the id that a copy bears; "" for none.
    """

    def respond(endpoint, request, state):
        if "refused" not in state:
            state["refused"] = request.id
            return refusal(request.id)
        return refusal(copy_id(state["refused"])) + endpoint.run(request)

    return respond


async def book(setup, request_id):
    headers = {"X-Request-Id": request_id} if request_id else {}
    status, _, _ = await setup.ask("/book/x", "POST", **headers)
    return status


# The copy was taken for the next request's own refusal: it ran at two endpoints, or its
# caller was told that it had not run.
@pytest.mark.parametrize(
    "copy_id",
    [lambda earlier: earlier, lambda earlier: ""],
    ids=["its id", "no id"],
)
async def test_an_earlier_refusal_that_comes_once_more_refuses_no_other_request(
    copy_id,
):
    async with (
        forwarding_setup() as setup,
        raw_endpoints(setup, refuse_then_repeat(copy_id)) as endpoints,
    ):
        statuses = {}
        for number in range(BOOKINGS):
            name = f"booking-{number}"
            statuses[name] = await book(setup, name)
        runs = Counter(name for item in endpoints for name in item.runs)
        assert set(runs.values()) == {1}
        assert {name for name, status in statuses.items() if status == 200} == set(runs)
        assert sum(runs.values()) >= BOOKINGS / 2


# A caller that sends one id again gets the answer to the request that it sent last.
async def test_an_earlier_refusal_does_not_refuse_a_later_request_with_the_same_id():
    async with (
        forwarding_setup() as setup,
        raw_endpoints(setup, refuse_then_repeat(lambda earlier: earlier)) as endpoints,
    ):
        ran = 0
        for _ in range(BOOKINGS):
            status = await book(setup, "one-id")
            before, ran = ran, sum(len(item.runs) for item in endpoints)
            assert ran - before == (status == 200)


# Requests and calls without an id can't tell a late response from their own one.
async def test_a_request_without_an_id_uses_no_connection_that_others_have_used():
    def respond(endpoint, request, state):
        state["used"] = state.get("used", 0) + 1
        if state["used"] == 1:
            return endpoint.run(request)
        return refusal("") + endpoint.run(request)

    async with (
        forwarding_setup() as setup,
        raw_endpoints(setup, respond) as endpoints,
    ):
        for number in range(BOOKINGS):
            status, _, _ = await setup.ask(
                "/book/x",
                "POST",
                **{"X-Request-Id": f"b-{number}" if number % 2 else ""},
            )
            assert status == 200
        assert sum(len(item.runs) for item in endpoints) == BOOKINGS
