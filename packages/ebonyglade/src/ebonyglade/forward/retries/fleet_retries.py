"""Retries that an entry may send: its own, and those of the fleet's slack."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ebonyglade.forward.retries.retry_budget import OwnRetries
from ebonyglade.ports import Clock

TakeSlack = Callable[[str], Awaitable[bool]]
"""Takes one retry of a service from the slack; False if none is left."""


@dataclass(slots=True)
class FleetRetries:
    """Takes retries where there are any left.

    Attributes:
        own: retries that come with own requests.
        take_slack: takes a retry from the slack of all entries.
        return_slack: returns a retry of a service to it.
        known_entries: returns the number of entries that share the slack; None if it
            is not known.
        clock: seconds.
    """

    own: OwnRetries
    take_slack: TakeSlack
    return_slack: Callable[[str], None]
    known_entries: Callable[[], int | None]
    clock: Clock

    def record_request(self, service: str) -> None:
        """Record a caller's request."""
        self.own.record_request(service, self.clock())

    async def take(self, service: str) -> bool:
        """Take one retry; False if none is left."""
        return self.own.take(service, self.clock()) or await self.take_slack(service)

    def give_back(self, service: str) -> None:
        """Return a retry that was not used."""
        if not self.own.give_back(service):
            self.return_slack(service)

    def log_fields(self, service: str) -> dict[str, object]:
        """Return the log fields that tell what the retries were reckoned from."""
        requests, retries = self.own.counts(service, self.clock())
        return {
            "service": service,
            "entries": self.known_entries(),
            "requests_in_window": requests,
            "own_retries_in_window": retries,
        }
