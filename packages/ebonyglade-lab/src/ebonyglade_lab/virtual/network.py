"""A simulated network between processes, with faults that a test sets."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.codec import decode, encode
from ebonyglade_lab.virtual.process import Process

DELAY_S = 0.001  # one way
JITTER_S = 0.0005


@dataclass(slots=True)
class Faults:
    """The faults of a network.

    Attributes:
        partitioned: pairs of instances that can't reach each other.
        cut_one_way: pairs of a sender and a receiver that it can't reach.
        dead_connections: connections, by sender and receiver, that lose all messages
            until the sender reconnects.
        lose: probability that a message is lost.
        repeat: probability that a message is delivered twice.
        late: probability that a message is delayed and may be overtaken by others.
        late_s: most seconds of that delay.
    """

    partitioned: set[frozenset[str]] = field(default_factory=set)
    cut_one_way: set[tuple[str, str]] = field(default_factory=set)
    dead_connections: set[tuple[str, str]] = field(default_factory=set)
    lose: float = 0.0
    repeat: float = 0.0
    late: float = 0.0
    late_s: float = 0.5


class Network:
    """Delivers frames between processes, in order unless a fault is set.

    Attributes:
        delay_s: one way, without the time that links take.
        faults: faults in force.
    """

    def __init__(self, rng: random.Random, delay_s: float = DELAY_S) -> None:
        self._rng = rng
        self.delay_s = delay_s
        self._link_rates: dict[str, float] = {}
        self._free_at: dict[tuple[str, str], float] = {}
        self._receivers: dict[str, Callable[[bytes], None]] = {}
        self._last_arrival: dict[tuple[str, str], float] = {}
        self.faults = Faults()
        self.frames = 0
        self.bytes = 0

    def set_link_rate(self, instance: str, rate: float | None) -> None:
        """Set the rate of an instance's link, which is then free.

        Args:
            instance: the instance.
            rate: bytes a second, each way; None for a link without limit.
        """
        self._link_rates.pop(instance, None)
        for way in ("in", "out"):
            self._free_at.pop((instance, way), None)
        if rate is not None:
            self._link_rates[instance] = rate

    def attach(self, instance: str, receive: Callable[[bytes], None]) -> None:
        """Deliver an instance's frames to `receive`, in place of an earlier receiver.

        A restarted process replaces its predecessor's receiver.
        """
        self._receivers[instance] = receive

    def detach(self, instance: str) -> None:
        """Drop all frames to an instance from now on."""
        self._receivers.pop(instance, None)

    def close_connections(self, instance: str) -> None:
        """Remove the silent connections of a process that ends."""
        dead_connections = self.faults.dead_connections
        self.faults.dead_connections = {
            pair for pair in dead_connections if instance not in pair
        }

    def send(self, source: str, target: str, frame: bytes) -> None:
        """Send a frame, which is delivered later unless a fault drops it."""
        self.frames += 1
        self.bytes += len(frame)
        if self._is_lost(source, target):
            return
        self._schedule(source, target, frame)
        if self._rng.random() < self.faults.repeat:
            self._schedule(source, target, frame)

    def _is_lost(self, source: str, target: str) -> bool:
        if frozenset((source, target)) in self.faults.partitioned:
            return True
        if (source, target) in self.faults.cut_one_way:
            return True
        if (source, target) in self.faults.dead_connections:
            return True
        return self._rng.random() < self.faults.lose

    def _schedule(self, source: str, target: str, frame: bytes) -> None:
        loop = asyncio.get_running_loop()
        sent_at = self._cross_link(source, "out", loop.time(), len(frame))
        arrives_at = sent_at + self.delay_s + self._rng.random() * JITTER_S
        arrives_at = self._cross_link(target, "in", arrives_at, len(frame))
        if self._rng.random() < self.faults.late:
            arrives_at += self._rng.random() * self.faults.late_s
        else:
            arrives_at = max(
                arrives_at, self._last_arrival.get((source, target), 0.0) + 1e-9
            )
            self._last_arrival[source, target] = arrives_at
        loop.call_at(arrives_at, self._arrive, source, target, frame)

    def _cross_link(self, instance: str, way: str, at: float, size: int) -> float:
        """Return when a frame that reaches a link at a time has crossed it.

        A link carries one frame after the other.
        """
        rate = self._link_rates.get(instance)
        if rate is None:
            return at
        free_at = max(at, self._free_at.get((instance, way), 0.0)) + size / rate
        self._free_at[instance, way] = free_at
        return free_at

    def _arrive(self, source: str, target: str, frame: bytes) -> None:
        if frozenset((source, target)) in self.faults.partitioned:
            return
        receive = self._receivers.get(target)
        if receive is not None:
            receive(frame)


class VirtualTransport:
    """The transport of one process on the simulated network."""

    def __init__(self, process: Process, network: Network) -> None:
        self._process = process
        self._network = network
        self._buffered: list[tuple[str, Message]] = []

    def send(self, instance: str, message: Message) -> bool:
        """Send a message, or buffer it while the process is paused."""
        if self._process.killed:
            return False
        if self._process.paused:
            # The process decided on it before the pause; it leaves after the pause.
            self._buffered.append((instance, message))
            return True
        me = self._process
        frame = encode(me.instance, me.incarnation, me.instance, message)
        self._network.send(me.instance, instance, frame)
        return True

    def send_buffered(self) -> None:
        """Send the messages that were buffered during a pause."""
        buffered, self._buffered = self._buffered, []
        for instance, message in buffered:
            self.send(instance, message)

    def set_address(self, instance: str, address: str) -> None:
        """Do nothing, as addresses are instance ids in this network."""

    def remove_peer(self, instance: str) -> None:
        """Drop the connection to an instance."""
        self.reconnect(instance)

    def reconnect(self, instance: str) -> None:
        """Replace the connection to an instance, which ends a silent one."""
        self._network.faults.dead_connections.discard(
            (self._process.instance, instance)
        )


def open_frame(frame: bytes) -> tuple[Sender, Message]:
    """Return the sender and message of a frame that a process sent."""
    envelope = decode(frame).unwrap()
    sender = Sender(envelope.instance, envelope.incarnation, envelope.address)
    return sender, envelope.body
