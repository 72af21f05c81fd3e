import asyncio
from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from ebonyglade.bodies import Body
from ebonyglade.completeness import Framing, IncompleteResponse
from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.call import (
    AttemptFailure,
    EndpointResponse,
    FailureKind,
    StreamedResponse,
)
from ebonyglade.forward.generation import GenerationDispatcher
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.memory.reserver import MAX_MEMORY_WAIT_S
from ebonyglade.forward.plain import PlainDispatcher
from ebonyglade.forward.stage_planning import TO_DECODE_DELAY_S
from ebonyglade.forward.types import ControlResponse, ResponseMetadata, RetryMode, Stage
from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.loop import run
from helpers.forwarding import (
    MODEL,
    attempt_sender,
    context,
    decode,
    endpoint,
    forward_call,
    prompt,
)

NOT_RUN = AttemptFailure(FailureKind.REJECTED, "status 503")


def rejected_with_backoff(seconds):
    """Return a rejection by an endpoint that wants no request for some time."""
    metadata = ResponseMetadata("id-1", False, True, retry_after_s=seconds)
    return AttemptFailure(FailureKind.REJECTED, "status 503", metadata)


LOST = AttemptFailure(FailureKind.LOST, "reset")
UNREACHED = AttemptFailure(FailureKind.NOT_SENT, "refused")


def response(*parts, status=200, broken=False, encoded=False, framing=Framing.CHUNKS):
    async def chunks():
        for part in parts:
            yield part
        if broken:
            raise IncompleteResponse("reset")

    metadata = ResponseMetadata("id-1", True, True, encoded=encoded)
    return Ok(
        EndpointResponse(
            status, [("X", "y")], metadata, Body(framing, chunks()), lambda: None
        )
    )


@dataclass
class Port:
    """Returns scripted responses: to requests in order, to control calls by target."""

    responses: list
    control_responses: dict = field(default_factory=dict)
    sent: list = field(default_factory=list)
    controls: list = field(default_factory=list)

    async def send(self, call, endpoint, instructions, timeout_s):
        self.sent.append((endpoint.id, instructions))
        found = self.responses.pop(0)
        return found if isinstance(found, Ok) else Err(found)

    async def control(self, endpoint, call, timeout_s):
        self.controls.append((endpoint.id, call.method, call.target))
        status, body, *headers = self.control_responses.get(
            (endpoint.id, call.target), (200, b"hold-1")
        )
        return Ok(ControlResponse(status, headers[0] if headers else {}, body))

    @property
    def endpoint_ids(self):
        return [name for name, _ in self.sent]


def plain(responses, repeat, **changes):
    async def scenario():
        clock = asyncio.get_running_loop().time
        port = Port(responses)
        attempts = attempt_sender(
            port, clock, endpoint("a"), endpoint("b"), endpoint("c")
        )
        request = forward_call(clock, repeat=repeat, **changes)
        reply = await PlainDispatcher(attempts).run(request)
        return reply, port, request

    return run(scenario())


def test_a_response_is_passed_on_completely():
    reply, port, _ = plain([response(b"a", b"b")], RetryMode.ONCE)
    assert reply.ok_value.body == b"ab"
    assert len(port.sent) == 1


def test_a_request_that_may_run_once_is_retried_only_if_it_did_not_run():
    reply, port, _ = plain([NOT_RUN, UNREACHED, response(b"x")], RetryMode.ONCE)
    assert isinstance(reply, Ok)
    assert len(set(port.endpoint_ids)) == 3
    reply, port, _ = plain([LOST, response(b"x")], RetryMode.ONCE)
    assert reply.err_value.status == 502
    assert reply.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert len(port.sent) == 1


def test_the_verdict_is_not_run_only_if_no_endpoint_can_have_run_it():
    reply, _, request = plain([NOT_RUN, NOT_RUN, NOT_RUN], RetryMode.ONCE)
    assert reply.err_value.verdict is Verdict.NOT_RUN
    assert reply.err_value.status == 503
    assert reply.err_value.retry_after is not None
    reply, _, request = plain([LOST, NOT_RUN, NOT_RUN], RetryMode.IDEMPOTENT)
    assert request.verdict is Verdict.MAY_HAVE_RUN
    assert reply.err_value.status in (502, 504)


def test_a_truncated_response_is_retried_only_on_idempotent_routes():
    reply, _, _ = plain([response(b"a", broken=True)], RetryMode.ONCE)
    assert reply.err_value.code == "answer_broken"
    broken = [response(b"a", broken=True), response(b"whole")]
    reply, _, _ = plain(broken, RetryMode.IDEMPOTENT)
    assert reply.ok_value.body == b"whole"
    broken = [response(b"a", broken=True), response(b"whole")]
    reply, _, _ = plain(broken, RetryMode.IDEMPOTENT, max_attempts=1)
    assert isinstance(reply, Err)


# An error of another endpoint cleared what was counted.
@pytest.mark.parametrize(("status", "crashes"), [(500, 1), (200, 0)])
def test_an_error_does_not_clear_the_crashes_under_a_request(status, crashes):
    async def scenario():
        clock = asyncio.get_running_loop().time
        port = Port([LOST, response(b"x", status=status)])
        attempts = attempt_sender(port, clock, endpoint("a"), endpoint("b"))
        request = forward_call(clock)
        await PlainDispatcher(attempts).run(request)
        return attempts.crashes.crashes(request.fingerprint, clock())

    assert run(scenario()) == crashes


def test_if_all_endpoints_are_in_backoff_the_refusal_says_when_the_first_one_returns():
    """Three workers turn a request away and say for how long they want none."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        port = Port([rejected_with_backoff(s) for s in (7.0, 3.0, 5.0)])
        names = ("a", "b", "c")
        attempts = attempt_sender(port, clock, *map(endpoint, names))
        dispatcher = PlainDispatcher(attempts)
        first = await dispatcher.run(forward_call(clock, repeat=RetryMode.ONCE))
        second = await dispatcher.run(forward_call(clock, repeat=RetryMode.ONCE))
        at_refusal = clock()
        await asyncio.sleep(3.0)
        port.responses.append(response(b"x"))
        third = await dispatcher.run(forward_call(clock, repeat=RetryMode.ONCE))
        return first, second, at_refusal, third, port

    first, second, at_refusal, third, port = run(scenario())
    for reply in (first, second):
        assert reply.err_value.code == "overloaded"
        assert reply.err_value.verdict is Verdict.NOT_RUN
        assert reply.err_value.retry_after == 3.0
    assert at_refusal == 0
    assert isinstance(third, Ok)
    assert len(port.sent) == 4
    assert port.endpoint_ids[3] == port.endpoint_ids[1]


def test_a_later_and_shorter_backoff_does_not_end_a_longer_one():
    loads = EndpointLoads()
    loads.back_off("a", 9.0)
    loads.back_off("a", 4.0)
    loads.back_off("b", 6.0)
    assert loads.in_backoff("a", 8.9)
    assert not loads.in_backoff("a", 9.0)
    assert loads.backoff_left(["a", "b"], 5.0) == 1.0
    assert loads.backoff_left(["a", "b", "c"], 5.0) == 0.0
    assert loads.backoff_left([], 5.0) == 0.0


def test_an_endpoint_that_says_that_it_leaves_gets_no_new_request():
    async def scenario():
        clock = asyncio.get_running_loop().time
        leaving = ResponseMetadata("id-1", True, True, leaving=True)
        answer = response(b"x").ok_value
        answer.metadata = leaving
        port = Port([Ok(answer), response(b"y"), response(b"z")])
        attempts = attempt_sender(port, clock, endpoint("a"), endpoint("b"))
        for _ in range(3):
            await PlainDispatcher(attempts).run(forward_call(clock))
        return port.endpoint_ids

    first, second, third = run(scenario())
    assert first not in (second, third)


def test_an_unrequested_content_encoding_is_not_passed_on():
    reply, _, _ = plain([response(b"gz", encoded=True)], RetryMode.ONCE)
    assert reply.err_value.verdict is Verdict.MAY_HAVE_RUN


def test_without_an_endpoint_a_request_is_refused_at_once():
    async def scenario():
        clock = asyncio.get_running_loop().time
        started = clock()
        reply = await PlainDispatcher(attempt_sender(Port([]), clock)).run(
            forward_call(clock)
        )
        return reply, clock() - started

    reply, waited = run(scenario())
    assert reply.err_value.code == "no_endpoint"
    assert waited == 0


class _Transport:
    def __init__(self):
        self.sent = []

    def send(self, instance, message):
        self.sent.append((instance, message))
        return True


def generate(responses, control_responses=None, repeat=RetryMode.STREAM, listed=None):
    async def scenario():
        clock = asyncio.get_running_loop().time
        port = Port(responses, control_responses or {})
        listed_now = listed or [
            endpoint("p", "model", stage=Stage.PREFILL),
            decode("d"),
            decode("e"),
        ]
        attempts = attempt_sender(port, clock, *listed_now)
        agent_client = AgentClient(context(clock, _Transport()))
        dispatcher = GenerationDispatcher(attempts, agent_client)
        request = forward_call(clock, MODEL, repeat, prompt())
        reply = await dispatcher.run(request)
        events = []
        if isinstance(reply, Ok) and isinstance(reply.ok_value, StreamedResponse):
            try:
                async for part in reply.ok_value.chunks:
                    events.append(part)
            except IncompleteResponse as error:
                events.append(error)
        await asyncio.sleep(0.1)
        return reply, port, events, clock()

    return run(scenario())


def outstanding(loads):
    return sum(state.in_flight for state in loads._states.values())


# The caller was gone before the first event was read: work counted there for good.
@pytest.mark.parametrize("read", [False, True])
def test_a_stream_that_is_not_read_releases_what_it_holds(read):
    async def scenario():
        clock = asyncio.get_running_loop().time
        stream = response(b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n")
        closed = []
        stream.ok_value.close = lambda: closed.append(clock())
        attempts = attempt_sender(Port([stream]), clock, decode("d"))
        agent_client = AgentClient(context(clock, _Transport()))
        dispatcher = GenerationDispatcher(attempts, agent_client)
        call = forward_call(clock, MODEL, RetryMode.STREAM, prompt())
        reply = (await dispatcher.run(call)).ok_value
        under_way = attempts.loads.snapshot(["d"])
        if read:
            await anext(reply.chunks)
        await reply.chunks.aclose()
        reply.release()
        reply.release()
        return under_way, attempts.loads, closed

    under_way, loads, closed = run(scenario())
    assert outstanding(under_way) > 0
    assert outstanding(loads) == 0
    assert len(closed) == 1


def test_memory_is_reserved_before_the_prompt_is_prefilled():
    _, port, events, _ = generate(
        [response(b"handle"), response(b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n")]
    )
    assert port.controls[0][1:] == ("POST", "/hold")
    prefill, decoded = (instructions for _, instructions in port.sent)
    assert prefill.prefill_only
    assert decoded.hold == "hold-1"
    assert decoded.cache_source.endswith("/handle")
    assert b"".join(events) == b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"


def test_full_endpoints_are_skipped_and_a_full_fleet_is_refused_in_time():
    full = {("d", "/hold"): (503, b""), ("e", "/hold"): (503, b"")}
    reply, port, _, now = generate([], full)
    assert reply.err_value.code == "overloaded"
    assert reply.err_value.verdict is Verdict.NOT_RUN
    assert reply.err_value.retry_after > 0
    assert MAX_MEMORY_WAIT_S <= now <= MAX_MEMORY_WAIT_S + 0.3
    assert not port.sent


def test_a_request_is_refused_at_once_if_all_decode_endpoints_want_none_for_long():
    full = {
        ("d", "/hold"): (503, b"", {"retry-after": "9"}),
        ("e", "/hold"): (503, b"", {"retry-after": "8"}),
    }
    reply, port, _, now = generate([], full)
    assert reply.err_value.code == "overloaded"
    assert 7.5 <= reply.err_value.retry_after <= 8
    assert now <= 0.5
    assert len(port.controls) == 2


def test_a_request_waits_for_an_endpoint_that_is_in_backoff_briefly():
    full = {
        ("d", "/hold"): (503, b"", {"retry-after": "0.5"}),
        ("e", "/hold"): (503, b"", {"retry-after": "60"}),
    }
    _, port, _, now = generate([], full)
    asked = [name for name, _, _ in port.controls]
    assert asked.count("e") == 1
    assert 2 <= asked.count("d") <= 1 + MAX_MEMORY_WAIT_S / 0.5
    assert now >= MAX_MEMORY_WAIT_S


def test_without_a_decode_endpoint_the_refusal_says_when_to_retry():
    """All decode endpoints have left; the prefill endpoint has to change its stage."""
    left = [endpoint("p", "model", stage=Stage.PREFILL)]
    reply, port, _, now = generate([], listed=left)
    assert reply.err_value.code == "no_endpoint"
    assert reply.err_value.retry_after == TO_DECODE_DELAY_S + MODEL.engine.switch_s
    assert now <= 0.2
    assert port.sent == []


def test_without_a_prefill_endpoint_the_decode_endpoint_prefills():
    reply, port, events, _ = generate([response(b"data: x\n\n")], listed=[decode("d")])
    assert isinstance(reply.ok_value, StreamedResponse)
    assert port.sent[0][1].cache_source == ""
    assert events == [b"data: x\n\n"]


def test_a_truncated_stream_does_not_end_as_complete():
    parts = (b"data: x\n\n", b"data: half")
    _, _, events, _ = generate([response(b"handle"), response(*parts, broken=True)])
    assert events[0] == b"data: x\n\n"
    assert isinstance(events[1], IncompleteResponse)


def test_a_stream_that_ends_before_its_first_event_is_a_failure():
    reply, _, _, _ = generate([response(b"handle"), response(b"da", broken=True)])
    assert reply.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert reply.err_value.status == 502


def test_a_rejected_decode_is_retried_elsewhere_with_a_new_prefill():
    responses = [response(b"h1"), NOT_RUN, response(b"h2"), response(b"data: x\n\n")]
    reply, port, _, _ = generate(responses)
    assert isinstance(reply, Ok)
    assert port.endpoint_ids[0] == port.endpoint_ids[2] == "p"
    assert port.endpoint_ids[1] != port.endpoint_ids[3]
    freed = [target for _, method, target in port.controls if method == "DELETE"]
    assert "/handle/h1" in freed


# The refusal of the second reservation said that the request had not run.
def test_a_request_that_may_have_run_is_not_refused_as_not_run_for_want_of_memory():
    reply, port, _, _ = generate(
        [response(b"handle"), LOST],
        {("e", "/hold"): (503, b"")},
        RetryMode.IDEMPOTENT,
    )
    assert port.endpoint_ids == ["p", "d"]
    assert reply.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert reply.err_value.status == 502


def test_an_error_status_of_an_endpoint_is_passed_on():
    reply, _, _, _ = generate([response(b"handle"), response(b"no", status=500)])
    assert reply.ok_value.status == 500
    assert reply.ok_value.body == b"no"
