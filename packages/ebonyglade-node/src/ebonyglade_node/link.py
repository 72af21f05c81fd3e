"""Messages between instances over pyzmq.

Each instance takes messages at one ROUTER socket and sends to each peer
through a DEALER socket of its own. Both ends are authenticated by CURVE with
the fleet's key pair; frames that can't be decoded are counted and dropped.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import zmq
import zmq.asyncio
from mode import Service
from zmq.auth.asyncio import AsyncioAuthenticator

from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.codec import MAX_FRAME_BYTES, decode, encode
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.settings import FleetSection, InstanceSection

logger = logging.getLogger(__name__)

SEND_QUEUE_FRAMES = 20_000
RECEIVE_QUEUE_FRAMES = 20_000
LINGER_MS = 500
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000
IDLE_S = 60.0  # after its last use a connection is closed
BATCH_FRAMES = 200  # frames handled before other tasks run

Deliver = Callable[[Sender, Message], None]


@dataclass(slots=True)
class _Peer:
    """The sending side towards one instance."""

    address: str
    socket: zmq.Socket
    used: float = 0.0


class Link(Service):
    """Sends and takes messages; the transport of one process."""

    def __init__(
        self,
        instance: InstanceSection,
        fleet: FleetSection,
        incarnation: str,
        metrics: Metrics,
        queue_unconnected: bool = True,
    ) -> None:
        """Prepare the link.

        Args:
            instance: who this process is.
            fleet: the fleet's key pair.
            incarnation: new at each start of the process.
            metrics: counters.
            queue_unconnected: whether messages wait for a connection; where
                they are out of date by then, they are better dropped.
        """
        super().__init__()
        self._queue_unconnected = queue_unconnected
        self._me = instance
        self._fleet = fleet
        self._incarnation = incarnation
        self._metrics = metrics
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, str] = {}
        self._tries: Counter[str] = Counter()
        self._context = zmq.asyncio.Context()
        self._plain = zmq.Context.shadow(self._context)
        self._router: zmq.asyncio.Socket | None = None
        self._auth: AsyncioAuthenticator | None = None
        self.on_message: Deliver = lambda sender, message: None

    def learn(self, instance: str, address: str) -> None:
        """Remember where an instance takes messages."""
        if address and self._addresses.get(instance) != address:
            self._addresses[instance] = address
            self._drop(instance)

    def forget(self, instance: str) -> None:
        """Drop an instance's address and the connection to it."""
        self._addresses.pop(instance, None)
        self._tries.pop(instance, None)
        self._drop(instance)

    def close_idle(self, now: float) -> None:
        """Close the connections that nothing used for a while."""
        for instance, peer in list(self._peers.items()):
            if now - peer.used > IDLE_S:
                self._drop(instance)

    def reconnect(self, instance: str) -> None:
        """Drop the connection to a peer; the next message opens a new one.

        While the fleet's key pair is changed, the next connection expects the
        next of the keys that the peer may have.
        """
        self._tries[instance] += 1
        self._drop(instance)

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message; False if the peer is unknown or its queue is full."""
        if instance == self._me.id:
            asyncio.get_running_loop().call_soon(
                self._deliver, Sender(self._me.id, self._incarnation), message
            )
            return True
        peer = self._peer(instance)
        if peer is None:
            return False
        peer.used = asyncio.get_running_loop().time()
        frame = encode(self._me.id, self._incarnation, self._me.address, message)
        try:
            peer.socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count("link_queue_full")
            return False
        self._metrics.count("link_sent_frames")
        self._metrics.count("link_sent_bytes", len(frame))
        return True

    async def on_start(self) -> None:
        """Bind the receiving socket."""
        self._router = self._context.socket(zmq.ROUTER)
        if self._fleet.secured:
            self._secure_router()
        self._router.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_FRAMES)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.bind(self._me.address)

    def _secure_router(self) -> None:
        self._auth = AsyncioAuthenticator(self._context)
        self._auth.start()
        accepted = {self._fleet.public_key, *self._fleet.accept}
        self._auth.configure_curve_callback("*", credentials_provider=_Keys(accepted))
        self._router.curve_server = True
        self._router.curve_secretkey = self._fleet.secret_key.encode()
        self._router.curve_publickey = self._fleet.public_key.encode()

    async def on_stop(self) -> None:
        """Close all sockets; what is queued gets a short time to leave."""
        for instance in list(self._peers):
            self._drop(instance)
        if self._router is not None:
            self._router.close()
        if self._auth is not None:
            self._auth.stop()
        self._context.term()

    @Service.task
    async def _receive(self) -> None:
        taken = 0
        while not self.should_stop:
            try:
                frames = await self._router.recv_multipart()
            except zmq.ZMQError:
                return
            self._take(frames[-1])
            taken += 1
            if taken % BATCH_FRAMES == 0:
                await asyncio.sleep(0)

    def _take(self, frame: bytes) -> None:
        self._metrics.count("link_received_bytes", len(frame))
        outcome = decode(frame)
        if outcome.is_err():
            self._metrics.count("link_dropped_frames")
            logger.warning("frame dropped", extra={"reason": outcome.err_value})
            return
        envelope = outcome.ok_value
        sender = Sender(envelope.instance, envelope.incarnation, envelope.address)
        self._deliver(sender, envelope.body)

    def _deliver(self, sender: Sender, message: Message) -> None:
        try:
            self.on_message(sender, message)
        except Exception:
            # One message must never end the process.
            self._metrics.count("link_handler_errors")
            logger.exception("handler failed", extra={"type": type(message).__name__})

    def _peer(self, instance: str) -> _Peer | None:
        peer = self._peers.get(instance)
        if peer is not None:
            return peer
        address = self._addresses.get(instance)
        if address is None:
            return None
        try:
            peer = _Peer(address, self._connect(instance, address))
        except zmq.ZMQError as error:
            # The list may hold anything; a bad address must not end a handler.
            self._metrics.count("link_bad_addresses")
            logger.warning(
                "no such address", extra={"peer": instance, "reason": str(error)}
            )
            return None
        self._peers[instance] = peer
        return peer

    def _drop(self, instance: str) -> None:
        peer = self._peers.pop(instance, None)
        if peer is not None:
            peer.socket.close()

    def _peer_key(self, instance: str) -> str:
        """Return the public key that a peer is expected to have."""
        keys = (self._fleet.public_key, *self._fleet.accept)
        return keys[self._tries[instance] % len(keys)]

    def _connect(self, instance: str, address: str) -> zmq.Socket:
        socket = self._plain.socket(zmq.DEALER)
        if self._fleet.secured:
            socket.curve_serverkey = self._peer_key(instance).encode()
            socket.curve_publickey = self._fleet.public_key.encode()
            socket.curve_secretkey = self._fleet.secret_key.encode()
        if not self._queue_unconnected:
            socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        socket.setsockopt(zmq.LINGER, LINGER_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.connect(address)
        return socket


class _Keys:
    """Tells which public keys may connect."""

    def __init__(self, accepted: set[str]) -> None:
        self._accepted = {key.encode() for key in accepted}

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a connection with this key is accepted."""
        return key in self._accepted
