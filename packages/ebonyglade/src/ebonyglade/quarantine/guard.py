"""What an entry does with requests that may crash endpoints."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from result import Err

from ebonyglade.calls import Call, Proceed, Reply
from ebonyglade.placement.subset import rank
from ebonyglade.ports import Clock, Sender
from ebonyglade.quarantine.fingerprint import fingerprint
from ebonyglade.quarantine.table import Quarantine, Standing
from ebonyglade.retry.ejection import Ejections
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.quarantine import Cleared, EndpointLost

_STAGES = ("prefill", "decode")


@dataclass(slots=True)
class Guard:
    """Refuses what is quarantined and keeps suspects apart.

    Attributes:
        clock: monotonic seconds.
        ejections: endpoints that are left alone for a while.
        tell: sends a message to an instance.
        table: what is held against which request.
    """

    clock: Clock
    ejections: Ejections
    tell: Callable[[str, Message], bool]
    table: Quarantine = field(default_factory=Quarantine)

    @property
    def handlers(self) -> dict:
        """Handlers of agents' messages."""
        return {EndpointLost: self._on_lost, Cleared: self._on_cleared}

    async def filter(self, call: Call, proceed: Proceed) -> Reply:
        """Refuse a quarantined model request; note the fingerprint of others."""
        if call.prompt is not None:
            call.fingerprint = fingerprint(call)
            refusal = self.refusal(call)
            if refusal is not None:
                return Err(refusal)
        return await proceed(call)

    def refusal(self, call: Call) -> Refusal | None:
        """Return why a request may not be tried now, if so."""
        now = self.clock()
        standing = self.table.standing(call.fingerprint, now)
        call.isolated = standing is Standing.ISOLATED
        if standing is not Standing.QUARANTINED:
            return None
        return refuse("quarantined", retry_after=self.table.left(call.fingerprint, now))

    def kept_apart(self, call: Call) -> set[str]:
        """Return the endpoints that a suspect must not use.

        All copies of a suspect, by whichever entry, run at the endpoint that ranks
        first for its fingerprint, so that they can only bring down that one.
        """
        now = self.clock()
        if self.table.standing(call.fingerprint, now) is Standing.FREE:
            return set()
        ejected = self.ejections.active(now)
        pool = call.route.route.pool
        apart: set[str] = set()
        for stage in _STAGES:
            names = set(call.view.endpoints(pool, stage))
            apart |= names - {_first(call.fingerprint, names - ejected)}
        return apart

    def finished(self, call: Call) -> None:
        """Drop the suspicion against a request that ran to its end."""
        if self.table.standing(call.fingerprint, self.clock()) is Standing.FREE:
            return
        self.table.cleared(call.fingerprint)
        for name, instance in call.view.instances.items():
            if instance.role == "entry":
                self.tell(name, Cleared(call.fingerprint))

    def _on_lost(self, sender: Sender, message: Message) -> None:
        now = self.clock()
        self.ejections.failed(sender.instance, now)
        self.table.died(message.death, message.fingerprints, now)

    def _on_cleared(self, sender: Sender, message: Message) -> None:
        self.table.cleared(message.fingerprint)


def _first(fingerprint: str, names: Iterable[str]) -> str | None:
    return max(names, key=lambda name: rank(fingerprint, name), default=None)
