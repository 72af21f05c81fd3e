"""Core of an agent, without I/O; the daemon adds sockets and clocks."""

from collections.abc import Callable
from dataclasses import dataclass

from ebonyglade.config.controller import ConfigController
from ebonyglade.config.freshness import Freshness
from ebonyglade.config.relay import Relay
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.invariants import Invariants
from ebonyglade.members.peers import Peers
from ebonyglade.once.grants import StartGrants
from ebonyglade.once.ticket_handler import TicketHandler
from ebonyglade.once.ticket_store import TicketStore
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.pause import GuardedEngine, GuardedService
from ebonyglade.ports import Engine, Sender, ServiceCaller
from ebonyglade.quarantine.crash_reporter import CrashReporter
from ebonyglade.timer import Subscription
from ebonyglade.wire.control import Leaving
from ebonyglade.worker.fair_queue import FairQueue
from ebonyglade.worker.reports import Reporter
from ebonyglade.worker.serving import Serving
from ebonyglade.worker.slots import SlotTable
from ebonyglade.worker.worker import Worker

EXPIRY_INTERVAL_S = 0.25
ADMIT_INTERVAL_S = 0.05
ADMIT_IDLE_TIMEOUT_S = 10.0  # time after the last reservation that had to wait
TICKET_EXPIRY_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class EndpointLimits:
    """Capacity and abilities of the endpoint that an agent serves.

    Attributes:
        slots: most concurrent jobs.
        pieces: KV cache pieces that the engine holds.
        prefill_slots: most concurrent prefills.
        lease_s: seconds for which an entry holds a slot without renewal.
        resumes: whether the engine can resume an answer from given tokens.
    """

    slots: int = 20
    pieces: int = 400
    prefill_slots: int = 1
    lease_s: float = 3.0
    resumes: bool = True


class AgentCore:
    """Runs jobs at one endpoint; embeddable, does no I/O itself."""

    def __init__(
        self,
        context: Context,
        limits: EndpointLimits,
        engine: Engine | None = None,
        service: ServiceCaller | None = None,
        lease_times: LeaseTimes | None = None,
        new_queue: Callable[[int, Invariants], FairQueue] = FairQueue,
    ) -> None:
        self.context = context
        self.peers = Peers(context)
        self.config = ConfigController(context)
        self.relay = Relay(context, self.peers, self.config)
        self.freshness = Freshness(context, self.peers, self.config, self.relay)
        check_pause = context.pauses.check
        self.ownership = Ownership(
            context, self.config, lease_times or LeaseTimes(), candidate=False
        )
        store = TicketStore(context.identity, context.token_bytes)
        self.tickets = TicketHandler(store, context.transport, context.clock)
        slots = SlotTable(
            limits.slots, limits.pieces, limits.lease_s, context.invariants
        )
        grants = StartGrants(context.new_id)
        guarded = GuardedService(service, check_pause) if service else None
        self.worker = Worker(
            GuardedEngine(engine, check_pause) if engine else None,
            Serving(guarded, slots, self.tickets, grants, context.clock),
            context.transport,
            context.clock,
            slots,
            limits.prefill_slots,
            context.invariants,
            crash_reporter=CrashReporter(context.new_id, context.send, self._entries),
            resumes=limits.resumes,
            new_queue=new_queue,
        )
        context.events.listen(Event.PAUSED, self._on_paused)
        context.handle({Leaving: self._on_leaving})
        self.reports = Reporter(context, self.worker.load)
        context.handle(self.reports.tracking_handlers(self.worker.handlers))
        context.every(EXPIRY_INTERVAL_S, self.worker.tick)
        self._admit_timer: Subscription | None = None
        self._admit_until = 0.0
        self.worker.on_reservation_queued = self._start_admitting
        context.handle(self.tickets.handlers)
        context.every(TICKET_EXPIRY_INTERVAL_S, self.tickets.tick)

    def _entries(self) -> list[str]:
        instances = self.config.view.instances.items()
        return [name for name, instance in instances if instance.role == "entry"]

    def _start_admitting(self) -> None:
        """Check waiting work at short intervals until there is none for a while."""
        self._admit_until = self.context.clock() + ADMIT_IDLE_TIMEOUT_S
        if self._admit_timer is None:
            self._admit_timer = self.context.every(ADMIT_INTERVAL_S, self._admit)

    def _admit(self, now: float) -> None:
        self.worker.admit(now)
        if not self.worker.waiting and now > self._admit_until:
            self._admit_timer.cancel()
            self._admit_timer = None

    def _on_paused(self, seconds: float) -> None:
        """Expire at once what timed out during the pause."""
        self.worker.tick(self.context.clock())

    def _on_leaving(self, sender: Sender, message: Leaving) -> None:
        self.relay.on_peer_leaving(sender.instance)

    def drain(self) -> None:
        """Announce a planned stop and refuse new work."""
        self.worker.drain()
        self.context.events.send(Event.DRAINING)
