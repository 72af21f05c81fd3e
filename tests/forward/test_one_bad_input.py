"""One malformed input or unexpected error must not end a process or its tasks."""

import asyncio
import json

import pytest
import zmq
import zmq.asyncio

from ebonyglade.context import Identity
from ebonyglade.events import Event
from ebonyglade.wire.codec import encode
from ebonyglade.wire.fleet import ShutdownNotice
from ebonyglade_agent.staging.service import StagingAgent
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node.clocks import boottime_clock
from ebonyglade_node.link import Link
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.process_context import new_context
from ebonyglade_node.settings import FleetSection, InstanceSection
from ebonyglade_node.timers import TimerRunner
from ebonyglade_platform import read_answer
from helpers.forwarding_path import (
    MODEL,
    ROUTES,
    forwarding_setup,
    settings,
)
from helpers.ports import free_port
from helpers.users_platform import PlatformStore, PlatformWorker, config, route

NESTED_LIST = b"[" * 200_000
NESTED_MAP = b'{"a":' * 200_000
MALFORMED_BODIES = (b"", b"[", b"null", b"\xff", NESTED_LIST, NESTED_MAP, b"{}")


def context_with_errors(link=None):
    metrics = Metrics()
    return new_context(Identity("a", "1"), link, boottime_clock, metrics), metrics


# The error ended the task of all timers, and with it the process.
async def test_an_error_in_a_timer_ends_neither_the_others_nor_itself():
    context, metrics = context_with_errors()
    calls = []

    def fail(now):
        calls.append("failing")
        raise RuntimeError("injected")

    context.every(0.02, fail)
    context.every(0.02, lambda now: calls.append("sound"))
    async with TimerRunner(context) as runner:
        await asyncio.sleep(0.3)
        assert not runner.crashed
    assert min(calls.count("failing"), calls.count("sound")) > 2
    assert metrics.counter("subscriber_errors") == calls.count("failing")


async def test_an_error_in_a_listener_does_not_keep_an_event_from_the_others():
    context, metrics = context_with_errors()
    heard = []

    def fail(seconds):
        raise RuntimeError("injected")

    context.events.listen(Event.PAUSED, fail)
    context.events.listen(Event.PAUSED, heard.append)
    context.events.send(Event.PAUSED, 2.0)
    assert heard == [2.0]
    assert metrics.counter("subscriber_errors") == 1


# A frame that is nested deeply ended the task that receives, and with it the process.
async def test_malformed_frames_are_dropped_and_the_next_one_is_delivered():
    address = f"tcp://127.0.0.1:{free_port()}"
    head = b"\x95\x01\xa1a\xa1b\xa1c"  # an envelope of the version in use
    frames = [b"", b"\xc1", head, head + b"\x91" * 200_000, b"\x81\xa1a" * 100_000]
    received = []
    instance = InstanceSection(id="a", address=address, zone="z")
    link = Link(instance, FleetSection(), "1", Metrics())
    link.on_message = lambda sender, message: received.append(message)
    zmq_context = zmq.asyncio.Context()
    socket = zmq_context.socket(zmq.DEALER)
    async with link:
        socket.connect(address)
        for frame in frames:
            await socket.send(frame)
        await socket.send(encode("b", "1", "", ShutdownNotice()))
        async with asyncio.timeout(3.0):
            while not received:
                await asyncio.sleep(0.01)
        assert not link.crashed
    socket.close(0)
    zmq_context.term()


# A page that is nested deeply ended the reader of the store, and with it the process.
@pytest.mark.parametrize("body", MALFORMED_BODIES, ids=lambda body: repr(body[:6]))
async def test_the_store_is_read_again_after_a_malformed_answer(body):
    async with forwarding_setup() as setup:
        setup.store.malformed = body
        await setup.store.put("op/other", {})
        await setup.until(lambda: setup.store.malformed is None)
        await setup.store.put("op/config", config(2, ROUTES))
        await setup.until(lambda: setup.entry.entry.replica.table.version == 2)
        assert not setup.entry.crashed
        assert (await setup.ask("/read/x"))[0] == 200


BAD_ROUTES = (
    route("/bad/", "none"),
    route("/bad/", "plain", TimeoutMs=0),
    route("", "plain"),
    route("/bad/", "plain", Kind="other"),
    route("/bad/", "plain", TrafficSplit=[{"Service": "plain", "Weight": 0}]),
    route("/bad/", "plain", TrafficSplit=[{"Service": "plain", "Weight": -1}]),
)
BAD_DOCUMENTS = {
    "servers/plain-1": [*MALFORMED_BODIES, b'{"Service": 3}'],
    "servers/": [b"{}"],
    "servers/a/b": [b"{}"],
    "op/evacuate/z9": MALFORMED_BODIES,
    "op/config": [
        *MALFORMED_BODIES,
        *(json.dumps(config(2, [*ROUTES, bad])).encode() for bad in BAD_ROUTES),
        json.dumps(config(2, [*ROUTES, *ROUTES])).encode(),
        json.dumps(config(2, ROUTES, services=())).encode(),
    ],
}


# One document that nobody expects must not spoil the others.
@pytest.mark.parametrize("path", BAD_DOCUMENTS)
async def test_malformed_documents_leave_the_others_in_use(path):
    async with forwarding_setup() as setup:
        replica = setup.entry.entry.replica
        for number, document in enumerate(BAD_DOCUMENTS[path]):
            await setup.store.put(path, document)
            await asyncio.sleep(0.05)
            if path == "op/config":
                await setup.ask("/bad/x")
            version = 10 + number
            await setup.store.put("op/config", config(version, ROUTES))
            await setup.until(lambda wanted=version: replica.table.version == wanted)
            assert (await setup.ask("/read/x"))[0] == 200
        assert not setup.entry.crashed


@pytest.mark.parametrize("body", MALFORMED_BODIES, ids=lambda body: repr(body[:6]))
async def test_an_agent_goes_on_after_a_malformed_report(body):
    async with PlatformStore() as store, PlatformWorker("a", "prefill") as worker:
        await store.put("op/config", config(1, ROUTES))
        await store.put("servers/a", worker.registration("model"))
        endpoint = {"address": f"127.0.0.1:{worker.port}", "poll_ms": 50}
        async with StagingAgent(
            settings(StagingSettings, store, endpoint=endpoint)
        ) as agent:
            worker.malformed_report = body
            await asyncio.sleep(0.3)
            worker.malformed_report = None
            reports = worker.reports
            await asyncio.sleep(0.3)
            assert worker.reports > reports
            assert not agent.crashed


# More digits than Python converts raised an error: the request ended as `internal`.
def test_a_load_with_thousands_of_digits_is_ignored():
    assert read_answer(200, {"x-server-load": f"1,2,{'9' * 5000}"}).load is None


@pytest.mark.parametrize("body", MALFORMED_BODIES, ids=lambda body: repr(body[:6]))
async def test_a_malformed_prefill_answer_is_no_internal_error(body):
    async with forwarding_setup() as setup:
        setup.workers["prefill"].malformed_prefill = body
        status, _, _ = await setup.ask("/write/x", "POST", body=b"p", **MODEL)
        assert status in (200, 502, 503)
        setup.workers["prefill"].malformed_prefill = None
        assert (await setup.ask("/write/x", "POST", body=b"p", **MODEL))[0] == 200
