"""Messages over real sockets: foreign and malformed ones do no harm."""

import asyncio

import pytest
import zmq
import zmq.asyncio

from ebonyglade.wire.codec import encode
from ebonyglade.wire.control import Ping
from ebonyglade_lab.fleet import free_port, new_fleet_key
from ebonyglade_node.link import Link
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.settings import FleetSection, InstanceSection

KEYS = new_fleet_key()


class Taken(list):
    """Messages that a link handed on."""

    async def wait_for(self, count):
        async with asyncio.timeout(5):
            while len(self) < count:
                await asyncio.sleep(0.01)


def new_link(name, keys=KEYS, accept=()):
    address = f"tcp://127.0.0.1:{free_port()}"
    fleet = FleetSection(public_key=keys[0], secret_key=keys[1], accept=accept)
    instance = InstanceSection(id=name, address=address, zone="zone-a")
    link = Link(instance, fleet, f"{name}#1", Metrics())
    link.taken = Taken()
    link.on_message = lambda sender, message: link.taken.append((sender, message))
    return link


@pytest.fixture
async def pair():
    one, two = new_link("one"), new_link("two")
    await one.start()
    await two.start()
    one.learn("two", two._me.address)
    yield one, two
    await one.stop()
    await two.stop()


def raw_socket(link, keys):
    socket = zmq.Context.instance().socket(zmq.DEALER)
    socket.curve_serverkey = KEYS[0].encode()
    socket.curve_publickey, socket.curve_secretkey = (key.encode() for key in keys)
    socket.setsockopt(zmq.LINGER, 0)
    socket.connect(link._me.address)
    return socket


async def test_message_arrives_with_its_sender(pair):
    one, two = pair
    assert one.send("two", Ping(7))
    await two.taken.wait_for(1)
    sender, message = two.taken[0]
    assert (sender.instance, sender.incarnation, message.seq) == ("one", "one#1", 7)
    assert sender.address == one._me.address


async def test_malformed_frames_are_counted_and_the_next_one_is_taken(pair):
    one, two = pair
    socket = raw_socket(two, KEYS)
    good = encode("one", "one#1", one._me.address, Ping(9))
    bad = [b"", b"\x00", b"\xff" * 100, good[:-1], b"\x95" + good[1:20], good + b"x"]
    for frame in [*bad, good]:
        socket.send(frame)
    await two.taken.wait_for(1)
    socket.close()
    assert two.taken[0][1] == Ping(9)
    assert two._metrics.counter("link_dropped_frames") == len(bad)


async def test_frame_of_another_version_is_dropped(pair):
    one, two = pair
    socket = raw_socket(two, KEYS)
    good = encode("one", "one#1", one._me.address, Ping(9))
    assert good[1] == 1
    socket.send(good[:1] + b"\x02" + good[2:])
    socket.send(good)
    await two.taken.wait_for(1)
    socket.close()
    assert two._metrics.counter("link_dropped_frames") == 1


async def test_instance_with_a_foreign_key_is_not_heard(pair):
    one, two = pair
    foreign = raw_socket(two, new_fleet_key())
    foreign.send(encode("three", "three#1", "tcp://127.0.0.1:1", Ping(1)))
    await asyncio.sleep(0.3)
    one.send("two", Ping(2))
    await two.taken.wait_for(1)
    foreign.close()
    assert [message for _, message in two.taken] == [Ping(2)]


async def test_old_and_new_key_pair_meet_while_the_fleet_changes_it():
    """Each first expects its own pair at the other; then the accepted one."""
    new_keys = new_fleet_key()
    old = new_link("old", KEYS, accept=(new_keys[0],))
    new = new_link("new", new_keys, accept=(KEYS[0],))
    for link, peer in ((old, new), (new, old)):
        await link.start()
        link.learn(peer._me.id, peer._me.address)
    for link, peer in ((old, new), (new, old)):
        link.send(peer._me.id, Ping(1))
        await asyncio.sleep(0.2)
        assert not peer.taken
        link.reconnect(peer._me.id)
        link.send(peer._me.id, Ping(2))
        await peer.taken.wait_for(1)
        assert [message for _, message in peer.taken] == [Ping(2)]
    await old.stop()
    await new.stop()


async def test_handler_that_fails_does_not_end_the_link(pair):
    one, two = pair
    seen = []

    def fail_once(sender, message):
        seen.append(message)
        if len(seen) == 1:
            raise ValueError("a bug")

    two.on_message = fail_once
    one.send("two", Ping(1))
    one.send("two", Ping(2))
    async with asyncio.timeout(5):
        while len(seen) < 2:
            await asyncio.sleep(0.01)
    assert two._metrics.counter("link_handler_errors") == 1
