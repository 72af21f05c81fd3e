"""Messages over real sockets, including malformed and unauthenticated ones."""

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


class ReceivedMessages(list):
    """Messages that a link passed to its handler."""

    async def wait_for(self, count):
        async with asyncio.timeout(5):
            while len(self) < count:
                await asyncio.sleep(0.01)


def new_link(name, keys=KEYS, accept=()):
    address = f"tcp://127.0.0.1:{free_port()}"
    fleet = FleetSection(public_key=keys[0], secret_key=keys[1], accept=accept)
    instance = InstanceSection(id=name, address=address, zone="zone-a")
    link = Link(instance, fleet, f"{name}#1", Metrics())
    link.received = ReceivedMessages()
    link.on_message = lambda sender, message: link.received.append((sender, message))
    return link


@pytest.fixture
async def pair():
    one, two = new_link("one"), new_link("two")
    await one.start()
    await two.start()
    one.set_address("two", two._instance.address)
    yield one, two
    await one.stop()
    await two.stop()


def raw_socket(link, keys):
    socket = zmq.Context.instance().socket(zmq.DEALER)
    socket.curve_serverkey = KEYS[0].encode()
    socket.curve_publickey, socket.curve_secretkey = (key.encode() for key in keys)
    socket.setsockopt(zmq.LINGER, 0)
    socket.connect(link._instance.address)
    return socket


async def test_message_arrives_with_its_sender(pair):
    one, two = pair
    assert one.send("two", Ping(7))
    await two.received.wait_for(1)
    sender, message = two.received[0]
    assert (sender.instance, sender.incarnation, message.seq) == ("one", "one#1", 7)
    assert sender.address == one._instance.address


async def test_malformed_frames_are_counted_and_the_next_valid_one_is_received(pair):
    one, two = pair
    socket = raw_socket(two, KEYS)
    valid = encode("one", "one#1", one._instance.address, Ping(9))
    malformed = [
        b"",
        b"\x00",
        b"\xff" * 100,
        valid[:-1],
        b"\x95" + valid[1:20],
        valid + b"x",
    ]
    for frame in [*malformed, valid]:
        socket.send(frame)
    await two.received.wait_for(1)
    socket.close()
    assert two.received[0][1] == Ping(9)
    assert two._metrics.counter("link_dropped_frames") == len(malformed)


async def test_frame_of_another_version_is_dropped(pair):
    one, two = pair
    socket = raw_socket(two, KEYS)
    valid = encode("one", "one#1", one._instance.address, Ping(9))
    assert valid[1] == 1
    socket.send(valid[:1] + b"\x02" + valid[2:])
    socket.send(valid)
    await two.received.wait_for(1)
    socket.close()
    assert two._metrics.counter("link_dropped_frames") == 1


async def test_messages_of_an_instance_with_an_unknown_key_are_not_received(pair):
    one, two = pair
    unknown = raw_socket(two, new_fleet_key())
    unknown.send(encode("three", "three#1", "tcp://127.0.0.1:1", Ping(1)))
    await asyncio.sleep(0.3)
    one.send("two", Ping(2))
    await two.received.wait_for(1)
    unknown.close()
    assert [message for _, message in two.received] == [Ping(2)]


async def test_instances_with_old_and_new_key_pair_connect_during_a_rotation():
    """The first connection expects the sender's own key, the second an accepted one."""
    new_keys = new_fleet_key()
    old = new_link("old", KEYS, accept=(new_keys[0],))
    new = new_link("new", new_keys, accept=(KEYS[0],))
    for link, peer in ((old, new), (new, old)):
        await link.start()
        link.set_address(peer._instance.id, peer._instance.address)
    for link, peer in ((old, new), (new, old)):
        link.send(peer._instance.id, Ping(1))
        await asyncio.sleep(0.2)
        assert not peer.received
        link.reconnect(peer._instance.id)
        link.send(peer._instance.id, Ping(2))
        await peer.received.wait_for(1)
        assert [message for _, message in peer.received] == [Ping(2)]
    await old.stop()
    await new.stop()


async def test_failed_handler_does_not_stop_the_link(pair):
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
