"""Answers that no endpoint gave, through an entry over HTTP."""

import pytest

from ebonyglade.completeness import Framing
from helpers.forwarding_path import MODEL, forwarding_setup
from helpers.scripted_answers import ScriptedAnswer

PLAIN = ("plain-1", "plain-2")
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


def answer_with(setup, names, status=200, parts=(b"wrong bytes",), without=()):
    for name in names:
        setup.workers[name].answer = ScriptedAnswer(
            Framing.LENGTH, parts, status=status, without=without
        )


async def read_until_asked(setup, name):
    """Read until an endpoint was asked; each read must be served."""
    for number in range(40):
        status, body, _ = await setup.ask("/read/x", body=b"%d" % number)
        assert (status, body) == (200, b"echo %d" % number)
        if setup.workers[name].received:
            return
    raise AssertionError(f"{name} was never asked")


def runs(setup):
    """Return how many requests, prefills apart, reached endpoints."""
    return sum(
        "X-Stage" not in headers
        for worker in setup.workers.values()
        for _, _, headers, _ in worker.received
    )


# A faulty endpoint's bytes read as a 200 with the request's id, and bear no signature.
@pytest.mark.parametrize(
    ("target", "names", "headers"),
    [("/book/x", PLAIN, {}), ("/write/x", ("decode",), MODEL)],
    ids=["booking", "stream"],
)
async def test_a_success_that_no_endpoint_signed_reaches_no_caller(
    target, names, headers
):
    async with forwarding_setup() as setup:
        answer_with(setup, names, parts=EVENTS, without=("X-Response-Signature",))
        status, body, _ = await setup.ask(target, "POST", **headers)
        assert (status, runs(setup)) == (502, 1)
        assert b"may_have_run" in body
        counter = "responses_unproven_not_signed"
        assert setup.entry.node.metrics.counter(counter) == 1


# A caller that is told 400 or 404 does not try again.
@pytest.mark.parametrize("status", [400, 404, 500])
@pytest.mark.parametrize(
    ("target", "names", "headers"),
    [("/book/x", PLAIN, {}), ("/write/x", ("decode",), MODEL)],
    ids=["booking", "stream"],
)
async def test_a_failure_that_no_endpoint_signed_is_not_passed_on_as_its_own(
    target, names, headers, status
):
    async with forwarding_setup() as setup:
        answer_with(setup, names, status, without=("X-Response-Signature",))
        got, body, _ = await setup.ask(target, "POST", **headers)
        assert (got, runs(setup)) == (502, 1)
        assert b"may_have_run" in body


async def test_a_read_whose_success_is_not_signed_is_answered_by_another_endpoint():
    async with forwarding_setup() as setup:
        answer_with(setup, PLAIN[:1], without=("X-Response-Signature",))
        await read_until_asked(setup, PLAIN[0])


# The request ran, and its caller would send it again. Whether the endpoint signed the
# answer, or other bytes took its place, does not matter.
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("without", [(), ("X-Response-Signature",)])
@pytest.mark.parametrize(
    ("target", "names", "headers"),
    [("/book/x", PLAIN, {}), ("/write/x", ("decode",), MODEL)],
    ids=["booking", "stream"],
)
async def test_a_request_that_ran_is_not_answered_with_a_promise_that_it_did_not(
    target, names, headers, status, without
):
    async with forwarding_setup() as setup:
        answer_with(setup, names, status, without=without)
        got, body, _ = await setup.ask(target, "POST", **headers)
        assert (got, runs(setup)) == (502, 1)
        assert b"may_have_run" in body
        counter = "responses_unproven_not_stated"
        assert setup.entry.node.metrics.counter(counter) == 1


async def test_a_read_that_an_endpoint_fails_with_a_promise_is_answered_by_another():
    async with forwarding_setup() as setup:
        answer_with(setup, PLAIN[:1], 503)
        await read_until_asked(setup, PLAIN[0])


# Prefills are answered to the entry, not to a caller; endpoints do not sign them.
async def test_a_prefill_that_is_not_signed_is_used():
    async with forwarding_setup() as setup:
        part = b'{"KvHandle": "h", "Tokens": 10, "Version": 1}'
        setup.workers["prefill"].prefill_answer = ScriptedAnswer(
            Framing.LENGTH, (part,), without=("X-Response-Signature",)
        )
        status, _, _ = await setup.ask("/write/x", "POST", **MODEL)
        (decoded,) = setup.workers["decode"].received
        assert status == 200
        assert decoded[2]["X-Kv-Source"].endswith("/h")
