"""Entry filter that refuses or isolates requests that may crash endpoints."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from result import Err

from ebonyglade.calls import Call, NextHandler, Reply
from ebonyglade.placement.subset import rendezvous_score
from ebonyglade.ports import Clock, Sender
from ebonyglade.quarantine.fingerprint import fingerprint
from ebonyglade.quarantine.table import Quarantine, Suspicion
from ebonyglade.retry.ejection import Ejections
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.quarantine import EndpointLost, SuspectCleared

_STAGES = ("prefill", "decode")


@dataclass(slots=True)
class QuarantineGuard:
    """Refuses quarantined requests and restricts suspects to one endpoint a stage.

    Attributes:
        clock: monotonic seconds.
        ejections: endpoints that failed recently.
        send: sends a message to an instance.
        table: suspicion by request.
    """

    clock: Clock
    ejections: Ejections
    send: Callable[[str, Message], bool]
    table: Quarantine = field(default_factory=Quarantine)

    @property
    def handlers(self) -> dict:
        """Handlers for messages of agents and other entries."""
        return {EndpointLost: self._on_lost, SuspectCleared: self._on_cleared}

    async def filter(self, call: Call, proceed: NextHandler) -> Reply:
        """Set a model request's fingerprint, and refuse it if it is quarantined."""
        if call.prompt is not None:
            call.fingerprint = fingerprint(call)
            refusal = self.refusal(call)
            if refusal is not None:
                return Err(refusal)
        return await proceed(call)

    def refusal(self, call: Call) -> Refusal | None:
        """Return a refusal if a request is quarantined; also set `call.isolated`."""
        now = self.clock()
        suspicion = self.table.suspicion(call.fingerprint, now)
        call.isolated = suspicion is Suspicion.ISOLATED
        if suspicion is not Suspicion.QUARANTINED:
            return None
        return refuse(
            "quarantined", retry_after=self.table.quarantine_left(call.fingerprint, now)
        )

    def endpoints_to_avoid(self, call: Call) -> set[str]:
        """Return the endpoints that a suspected request must not use.

        All entries send a suspect's copies to the endpoint that ranks highest for
        its fingerprint, so that they can only crash that one.
        """
        now = self.clock()
        if self.table.suspicion(call.fingerprint, now) is Suspicion.FREE:
            return set()
        ejected = self.ejections.active(now)
        pool = call.route.route.pool
        avoided: set[str] = set()
        for stage in _STAGES:
            names = set(call.view.endpoints(pool, stage))
            avoided |= names - {_assigned_endpoint(call.fingerprint, names - ejected)}
        return avoided

    def finished(self, call: Call) -> None:
        """Clear the suspicion of a request that completed, at all entries."""
        if self.table.suspicion(call.fingerprint, self.clock()) is Suspicion.FREE:
            return
        self.table.clear_suspicion(call.fingerprint)
        for name, instance in call.view.instances.items():
            if instance.role == "entry":
                self.send(name, SuspectCleared(call.fingerprint))

    def _on_lost(self, sender: Sender, message: Message) -> None:
        now = self.clock()
        self.ejections.record_failure(sender.instance, now)
        self.table.record_crash(message.death, message.fingerprints, now)

    def _on_cleared(self, sender: Sender, message: Message) -> None:
        self.table.clear_suspicion(message.fingerprint)


def _assigned_endpoint(fingerprint: str, names: Iterable[str]) -> str | None:
    return max(
        names, key=lambda name: rendezvous_score(fingerprint, name), default=None
    )
