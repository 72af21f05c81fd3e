"""An agent's account of what runs at its endpoint, for when that dies."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyglade.ports import EngineError
from ebonyglade.wire.base import Message
from ebonyglade.wire.quarantine import EndpointLost


@dataclass(slots=True)
class Deaths:
    """Tells entries which requests ran when the endpoint died.

    Attributes:
        new_id: returns unique ids.
        tell: sends a message to an instance.
        entries: returns the entries that are to know.
    """

    new_id: Callable[[], str]
    tell: Callable[[str, Message], bool]
    entries: Callable[[], Iterable[str]]
    _running: dict[str, str] = field(default_factory=dict)
    _isolated: set[str] = field(default_factory=set)

    def admit(
        self, attempt: str, isolated: bool, holds: Callable[[str], object]
    ) -> bool:
        """Return whether a reservation may stand: one isolated at a time."""
        self._isolated = {other for other in self._isolated if holds(other)}
        if not isolated or attempt in self._isolated:
            return True
        if self._isolated:
            return False
        self._isolated.add(attempt)
        return True

    def began(self, attempt: str, fingerprint: str) -> None:
        """Note that the endpoint may see a request from now on."""
        if fingerprint:
            self._running[attempt] = fingerprint

    def ended(self, attempt: str) -> None:
        """Note that the endpoint is rid of a request."""
        self._running.pop(attempt, None)

    def failed(self, attempt: str, error: EngineError) -> None:
        """Note a failure; if the endpoint died, it did so under all requests."""
        died = error.ran and error.lost
        if not died or attempt not in self._running:
            return  # Another request may have told of this death.
        found = sorted(set(self._running.values()))
        self._running.clear()
        report = EndpointLost(self.new_id(), found)
        for instance in self.entries():
            self.tell(instance, report)
