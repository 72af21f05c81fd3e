"""Services that all parts of one process share, such as clocks and transport."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.events import Events
from ebonyglade.invariants import Invariants
from ebonyglade.pause import GuardedTransport, PauseGuard
from ebonyglade.ports import Clock, Sender, Transport
from ebonyglade.timer import Subscription, TimerService
from ebonyglade.wire.base import Message

Handler = Callable[[Sender, Message], None]


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process.

    Attributes:
        instance: instance id as listed by the platform.
        incarnation: new at each start of the process.
        zone: availability zone.
        region: region of the zone.
    """

    instance: str
    incarnation: str
    zone: str = ""
    region: str = ""


def _discard_count(name: str, by: float = 1) -> None:
    """Discard a count if no metrics are collected."""


@dataclass(slots=True)
class Context:
    """Shared by all parts of one process.

    Attributes:
        identity: identity of this process.
        transport: sends messages to other instances.
        clock: monotonic seconds; keeps running while the process is paused.
        wall_clock: seconds of the wall clock, for logs and audit only.
        rng: source of randomness.
        token_bytes: returns unpredictable bytes for secrets.
        count: adds to a named counter.
        timers: calls subscribers at their intervals.
        events: named events that parts subscribe to.
        invariants: runtime assertions.
        handlers: handler of each message type.
        pauses: detects pauses of this process.
    """

    identity: Identity
    transport: Transport
    clock: Clock
    wall_clock: Clock
    rng: random.Random
    token_bytes: Callable[[int], bytes] | None = None
    count: Callable[..., None] = _discard_count
    timers: TimerService = field(default_factory=TimerService)
    events: Events = field(default_factory=Events)
    invariants: Invariants = field(default_factory=Invariants)
    handlers: dict[type[Message], Handler] = field(default_factory=dict)
    pauses: PauseGuard = field(init=False)

    def __post_init__(self) -> None:
        self.pauses = PauseGuard(self.clock, self.events)
        self.transport = GuardedTransport(self.transport, self.pauses)
        if self.token_bytes is None:
            # Deterministic, for reproducible runs; daemons pass a secure source.
            self.token_bytes = random.Random(self.identity.incarnation).randbytes

    def handle(self, handlers: dict[type[Message], Handler]) -> None:
        """Add handlers by message type."""
        self.handlers.update(handlers)

    def every(self, interval: float, callback: Callable[[float], None]) -> Subscription:
        """Call `callback(now)` every `interval` seconds."""
        return self.timers.subscribe(interval, callback, self.clock())

    def send(self, instance: str, message: Message) -> bool:
        """Queue a message to an instance."""
        return self.transport.send(instance, message)

    def new_id(self) -> str:
        """Return an id that is unique over the fleet and time."""
        return f"{self.rng.getrandbits(96):024x}"

    def deliver(self, sender: Sender, message: Message) -> None:
        """Pass a message to its handler; count it if its type has none."""
        self.pauses.check()
        handler = self.handlers.get(type(message))
        if handler is None:
            self.count("messages_unhandled")
            return
        handler(sender, message)
