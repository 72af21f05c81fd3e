"""Message transport between instances over ZeroMQ.

Each instance receives on one ROUTER socket and sends to each peer through a
separate DEALER socket. If the settings contain a key pair of the fleet, CURVE
authenticates both ends with it and encrypts the messages. Frames that can't be
decoded are counted and dropped.
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
IDLE_TIMEOUT_S = 60.0  # time without use after which a connection is closed
RECEIVE_RETRY_S = 0.1  # after an error of the receiving socket
BATCH_FRAMES = 200  # frames handled before the loop runs other tasks

MessageHandler = Callable[[Sender, Message], None]


@dataclass(slots=True)
class _PeerConnection:
    """The outgoing connection to one instance."""

    address: str
    socket: zmq.Socket
    last_used: float = 0.0


class Link(Service):
    """Sends and receives messages; the transport of one process."""

    def __init__(
        self,
        instance: InstanceSection,
        fleet: FleetSection,
        incarnation: str,
        metrics: Metrics,
        queue_unconnected: bool = True,
    ) -> None:
        """Create the link without opening any socket.

        Args:
            instance: identity and address of this process.
            fleet: key pair of the fleet.
            incarnation: unique for each start of the process.
            metrics: counters of the link.
            queue_unconnected: whether messages are queued until a connection is
                open; if not, they are dropped, which is better for messages
                that would be outdated by then.
        """
        super().__init__()
        self._queue_unconnected = queue_unconnected
        self._instance = instance
        self._fleet = fleet
        self._incarnation = incarnation
        self._metrics = metrics
        self._connections: dict[str, _PeerConnection] = {}
        self._addresses: dict[str, str] = {}
        self._reconnects: Counter[str] = Counter()
        self._context = zmq.asyncio.Context()
        self._sync_context = zmq.Context.shadow(self._context)
        self._router: zmq.asyncio.Socket | None = None
        self._auth: AsyncioAuthenticator | None = None
        self.on_message: MessageHandler = lambda sender, message: None

    def set_address(self, instance: str, address: str) -> None:
        """Set the address of an instance."""
        if address and self._addresses.get(instance) != address:
            self._addresses[instance] = address
            self._disconnect(instance)

    def remove_peer(self, instance: str) -> None:
        """Remove the address of an instance and close the connection to it."""
        self._addresses.pop(instance, None)
        self._reconnects.pop(instance, None)
        self._disconnect(instance)

    def close_idle(self, now: float) -> None:
        """Close the connections that were not used for `IDLE_TIMEOUT_S`."""
        for instance, connection in list(self._connections.items()):
            if now - connection.last_used > IDLE_TIMEOUT_S:
                self._disconnect(instance)

    def reconnect(self, instance: str) -> None:
        """Close the connection to a peer; the next message opens a new one.

        During a rotation of the fleet's key pair, each new connection expects
        the next one of the public keys that the peer may have.
        """
        self._reconnects[instance] += 1
        self._disconnect(instance)

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message; False if the peer is unknown or its queue is full."""
        if instance == self._instance.id:
            asyncio.get_running_loop().call_soon(
                self._deliver, Sender(self._instance.id, self._incarnation), message
            )
            return True
        connection = self._connection_to(instance)
        if connection is None:
            return False
        connection.last_used = asyncio.get_running_loop().time()
        frame = encode(
            self._instance.id, self._incarnation, self._instance.address, message
        )
        try:
            connection.socket.send(frame, zmq.NOBLOCK)
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
        self._router.bind(self._instance.address)

    def _secure_router(self) -> None:
        self._auth = AsyncioAuthenticator(self._context)
        self._auth.start()
        accepted = {self._fleet.public_key, *self._fleet.accept}
        self._auth.configure_curve_callback(
            "*", credentials_provider=_AcceptedKeys(accepted)
        )
        self._router.curve_server = True
        self._router.curve_secretkey = self._fleet.secret_key.encode()
        self._router.curve_publickey = self._fleet.public_key.encode()

    async def on_stop(self) -> None:
        """Close all sockets; queued messages are still sent for `LINGER_MS`."""
        for instance in list(self._connections):
            self._disconnect(instance)
        if self._router is not None:
            self._router.close()
        if self._auth is not None:
            self._auth.stop()
        self._context.term()

    @Service.task
    async def _receive(self) -> None:
        received = 0
        while not self.should_stop:
            try:
                frames = await self._router.recv_multipart()
            except zmq.ZMQError as error:
                if self.should_stop:
                    return
                self._metrics.count("link_receive_errors")
                logger.warning("receiving failed", extra={"reason": str(error)})
                await asyncio.sleep(RECEIVE_RETRY_S)
                continue
            self._handle_frame(frames[-1])
            received += 1
            if received % BATCH_FRAMES == 0:
                await asyncio.sleep(0)

    def _handle_frame(self, frame: bytes) -> None:
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
            # An error in one handler must not end the process.
            self._metrics.count("link_handler_errors")
            logger.exception(
                "message handler failed", extra={"type": message.__struct_config__.tag}
            )

    def _connection_to(self, instance: str) -> _PeerConnection | None:
        connection = self._connections.get(instance)
        if connection is not None:
            return connection
        address = self._addresses.get(instance)
        if address is None:
            return None
        try:
            connection = _PeerConnection(address, self._connect(instance, address))
        except zmq.ZMQError as error:
            # The address comes from a published list and may be invalid; that must
            # not end the caller's handler.
            self._metrics.count("link_bad_addresses")
            logger.warning(
                "invalid peer address", extra={"peer": instance, "reason": str(error)}
            )
            return None
        self._connections[instance] = connection
        return connection

    def _disconnect(self, instance: str) -> None:
        connection = self._connections.pop(instance, None)
        if connection is not None:
            connection.socket.close()

    def _peer_key(self, instance: str) -> str:
        """Return the public key that the next connection expects of a peer."""
        keys = (self._fleet.public_key, *self._fleet.accept)
        return keys[self._reconnects[instance] % len(keys)]

    def _connect(self, instance: str, address: str) -> zmq.Socket:
        socket = self._sync_context.socket(zmq.DEALER)
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


class _AcceptedKeys:
    """Credentials provider: accepts a fixed set of public keys."""

    def __init__(self, accepted: set[str]) -> None:
        self._accepted = {key.encode() for key in accepted}

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a connection with this key is accepted."""
        return key in self._accepted
