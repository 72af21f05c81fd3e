import asyncio
from types import SimpleNamespace

import pytest

from ebonyglade.config.freshness import CONFIRM_TIMEOUT_S, Freshness
from ebonyglade.config.view import hash_key
from ebonyglade.events import Event, Events
from ebonyglade.pause import PAUSE_GAP_S, GuardedService, GuardedTransport, PauseGuard
from ebonyglade.ports import EngineError, Sender
from ebonyglade.verdict import Verdict
from ebonyglade.wire.control import Ping, Pong
from ebonyglade.wire.work import Chunk, Decode, Prefill, Reserve, ServiceRequest
from ebonyglade_lab.virtual.loop import run
from helpers.virtual_fleets import record_answers, serve_message
from helpers.worlds import KEY, small_world

WORK = [
    Reserve("a", "w", 0, 1.0),
    Prefill("a", "w", "m", "p", 1.0),
    Decode("a", "w", "m", "p", "s", "h", 1, 1.0),
    ServiceRequest("a", "w", "GET", "/", [], b"", 1.0),
]


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class Sent(list):
    """A transport that records what is sent."""

    def send(self, instance, message):
        self.append(message)
        return True


@pytest.fixture
def guarded():
    clock, events, pause_events = Clock(), Events(), []
    events.listen(Event.PAUSED, pause_events.append)
    guard = PauseGuard(clock, events)
    guard.check()
    return SimpleNamespace(
        clock=clock, guard=guard, pause_events=pause_events, sent=Sent()
    )


@pytest.mark.parametrize("message", WORK, ids=lambda message: type(message).__name__)
def test_new_work_that_was_decided_before_a_pause_is_not_sent(guarded, message):
    transport = GuardedTransport(guarded.sent, guarded.guard)
    guarded.clock.now = PAUSE_GAP_S + 0.1
    assert transport.send("agent", message) is False
    assert guarded.sent == [] and len(guarded.pause_events) == 1
    # Work decided after the pause is sent.
    assert transport.send("agent", message) is True


def test_messages_without_new_work_are_sent_after_a_pause(guarded):
    transport = GuardedTransport(guarded.sent, guarded.guard)
    guarded.clock.now = PAUSE_GAP_S + 0.1
    assert transport.send("entry", Chunk("a", 0, ["x"]))
    assert len(guarded.pause_events) == 1


async def test_endpoint_gets_no_call_that_was_decided_before_a_pause(guarded):
    calls = []

    class Service:
        async def call(self, method, path, headers, body, may_send):
            guarded.clock.now += connecting
            if may_send():
                calls.append(path)

    service = GuardedService(Service(), guarded.guard.check)
    call = ("POST", "/bookings", [], b"", lambda: True)
    connecting = 0.0
    guarded.clock.now = PAUSE_GAP_S + 0.1
    with pytest.raises(EngineError) as raised:
        await service.call(*call)
    assert not raised.value.may_have_run and not calls
    connecting = PAUSE_GAP_S + 0.1
    await service.call(*call)
    assert not calls
    connecting = 0.0
    await service.call(*call)
    assert len(calls) == 1


def test_message_that_waited_is_handled_after_the_pause_event():
    async def scenario():
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        node, order = world.nodes["entry-0"], []
        node.context.events.listen(Event.PAUSED, lambda gap: order.append("paused"))
        node.context.handle({Ping: lambda sender, message: order.append("message")})
        world.pause("entry-0")
        await asyncio.sleep(3)
        world.nodes["decode-0"].context.send("entry-0", Ping(1))
        await asyncio.sleep(0.1)
        world.resume("entry-0")
        return order[:2]

    assert run(scenario()) == ["paused", "message"]


async def _withdrawn_during_pause():
    world = small_world()
    await asyncio.sleep(2)
    world.pause("entry-0")
    # Its platform copy stays at the revision of its view.
    world.platform.pin_copy("entry-0")
    world.platform.publish(
        "teams/aula/keys/physics",
        digest=hash_key(KEY),
        workspace="physics",
        withdrawn=True,
    )
    await asyncio.sleep(5)
    world.resume("entry-0")
    return await world.call("entry-0", world.model_call(KEY, "on an old view"))


def test_paused_entry_does_not_serve_on_its_old_view(monkeypatch):
    outcome = run(_withdrawn_during_pause())
    assert outcome.refusal.code == "key_withdrawn"
    assert outcome.refusal.verdict is Verdict.NOT_RUN

    async def does_not_wait(self, call, proceed):
        return await proceed(call)

    monkeypatch.setattr(Freshness, "wait_until_fresh", does_not_wait)
    outcome = run(_withdrawn_during_pause())
    # Work had started with the withdrawn key when its withdrawal arrived.
    assert outcome.refusal.verdict is not Verdict.NOT_RUN


def test_wait_for_confirmation_by_a_neighbour_is_bounded():
    async def scenario():
        world = small_world()
        await asyncio.sleep(2)
        entry = world.nodes["entry-0"]
        world.pause("entry-0")
        await asyncio.sleep(5)
        others = set(world.nodes) - {"entry-0"}
        world.network.faults.partitioned = {frozenset(("entry-0", x)) for x in others}
        world.resume("entry-0")
        await asyncio.sleep(0.1)
        held = entry.core.freshness.fresh
        await asyncio.sleep(CONFIRM_TIMEOUT_S)
        return held, entry.core.freshness.fresh

    assert run(scenario()) == (False, True)


def test_neighbour_that_was_paused_too_confirms_nothing():
    async def scenario():
        world = small_world()
        await asyncio.sleep(2)
        for name in world.nodes:
            world.pause(name)
        await asyncio.sleep(5)
        for name in world.nodes:
            world.resume(name)
        await asyncio.sleep(0.5)
        early = world.nodes["entry-0"].core.freshness.fresh
        await asyncio.sleep(CONFIRM_TIMEOUT_S)
        return early, world.nodes["entry-0"].core.freshness.fresh

    assert run(scenario()) == (False, True)


def test_answer_buffered_during_the_pause_confirms_nothing():
    async def scenario():
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        world.pause("entry-0")
        await asyncio.sleep(5)
        world.network.faults.partitioned = {
            frozenset(("entry-0", other)) for other in world.nodes if other != "entry-0"
        }
        core = world.nodes["entry-0"].core
        old = core.peers.seq
        world.resume("entry-0")
        await asyncio.sleep(0.1)
        sender = Sender("decode-0", world.nodes["decode-0"].process.incarnation)
        core.peers._on_pong(sender, Pong(old, core.config.store.revision))
        return core.freshness.fresh

    assert run(scenario()) is False


def test_agent_that_wakes_past_a_lease_does_not_run_the_booking():
    """The sender can't detect a pause between its check and its send."""

    async def scenario(past):
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        entry, agent = world.nodes["entry-0"], world.nodes["rooms-0"]
        answers = record_answers(entry)
        entry.context.send("rooms-0", Reserve("a1", "aula/physics", 0, 1.0))
        await asyncio.sleep(0.1)
        # The message passes the check and is then delayed by the pause.
        world.pause("entry-0")
        entry.transport.send("rooms-0", serve_message("a1", answers))
        await asyncio.sleep(past * agent.core.worker._slots.term)
        world.resume("entry-0")
        await asyncio.sleep(1)
        return world.services["rooms-0"].executions

    assert not run(scenario(1.3))
    # Within the lease the same message runs.
    assert run(scenario(0.5))


def test_leases_that_expire_in_a_pause_are_dropped_before_any_message():
    async def scenario():
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        entry, agent = world.nodes["entry-0"], world.nodes["rooms-0"]
        answers = record_answers(entry)
        entry.context.send("rooms-0", Reserve("a1", "aula/physics", 0, 1.0))
        await asyncio.sleep(0.1)
        world.pause("rooms-0")
        entry.transport.send("rooms-0", serve_message("a1", answers))
        await asyncio.sleep(agent.core.worker._slots.term + 1)
        world.resume("rooms-0")
        await asyncio.sleep(1)
        return world.services["rooms-0"].executions

    assert not run(scenario())
