"""Tracks the requests at an agent's endpoint and reports them after a crash."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyglade.ports import EngineError
from ebonyglade.wire.base import Message
from ebonyglade.wire.quarantine import EndpointLost


@dataclass(slots=True)
class CrashReporter:
    """Reports to the entries which requests ran when the endpoint crashed.

    Attributes:
        new_id: returns unique ids.
        send: sends a message to an instance.
        entries: returns the entries to notify.
    """

    new_id: Callable[[], str]
    send: Callable[[str, Message], bool]
    entries: Callable[[], Iterable[str]]
    _running: dict[str, str] = field(default_factory=dict)
    _isolated: set[str] = field(default_factory=set)

    def admit(
        self, attempt: str, isolated: bool, holds: Callable[[str], object]
    ) -> bool:
        """Return whether a reservation is allowed: one isolated request at a time.

        `holds` tells whether an attempt still has its reservation.
        """
        self._isolated = {other for other in self._isolated if holds(other)}
        if not isolated or attempt in self._isolated:
            return True
        if self._isolated:
            return False
        self._isolated.add(attempt)
        return True

    def began(self, attempt: str, fingerprint: str) -> None:
        """Record that the endpoint may receive a request from now on."""
        if fingerprint:
            self._running[attempt] = fingerprint

    def ended(self, attempt: str) -> None:
        """Record that a request has ended at the endpoint."""
        self._running.pop(attempt, None)

    def failed(self, attempt: str, error: EngineError) -> None:
        """Report all running requests if a failure means that the endpoint crashed."""
        crashed = error.may_have_run and error.lost
        if not crashed or attempt not in self._running:
            return  # not a crash, or it was reported with another request
        fingerprints = sorted(set(self._running.values()))
        self._running.clear()
        report = EndpointLost(self.new_id(), fingerprints)
        for instance in self.entries():
            self.send(instance, report)
