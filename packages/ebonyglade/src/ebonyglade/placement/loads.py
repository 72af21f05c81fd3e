"""What one entry knows of the load at each endpoint."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from ebonyglade.wire.control import Load

UNKNOWN_PREFILL_TOKEN_S = 0.0001  # until an agent has told its own figure
UNKNOWN_TRANSFER_TOKEN_S = 0.00001
UNKNOWN_SLOTS = 20
OWN_SLOTS = 4  # slots of one agent that one entry uses when all are in use
TRUST_S = 0.5  # age at which a report counts half
REPORT_AGE_S = 10.0  # age at which a report counts no more


@dataclass(slots=True)
class _Report:
    load: Load
    at: float
    begun: int = 0
    begun_tokens: int = 0


@dataclass(slots=True)
class Loads:
    """Own attempts at each agent, what agents reported, and whom to avoid.

    Reports lag, so what this entry itself began since the last one is added.

    Attributes:
        counts: open attempts of this entry.
        avoid: agents that get no new work.
    """

    counts: Counter = field(default_factory=Counter)
    avoid: set[str] = field(default_factory=set)
    _reports: dict[str, _Report] = field(default_factory=dict)

    def report(self, endpoint: str, load: Load, now: float) -> None:
        """Take an agent's report of its load."""
        self._reports[endpoint] = _Report(load, now)

    def found_full(self, endpoint: str, ready_in: float, now: float) -> None:
        """Note that an agent just had no free slot, ahead of its next report."""
        report = self._reports.get(endpoint)
        if report is None:
            return
        load = msgspec.structs.replace(
            report.load, running=report.load.slots, ready_in=ready_in
        )
        self._reports[endpoint] = _Report(load, now)

    def forget(self, endpoint: str) -> None:
        """Drop what a process told that is gone."""
        self._reports.pop(endpoint, None)

    def begun(self, endpoint: str, tokens: int) -> None:
        """Note work that was sent to an agent."""
        self.counts[endpoint] += 1
        report = self._reports.get(endpoint)
        if report is not None:
            report.begun += 1
            report.begun_tokens += tokens

    def ended(self, endpoint: str) -> None:
        """Note that an attempt at an agent is over."""
        self.counts[endpoint] -= 1
        if self.counts[endpoint] <= 0:
            del self.counts[endpoint]

    def slot_wait(self, endpoint: str, now: float) -> float:
        """Return the predicted seconds until an agent has a slot for one more."""
        report = self._fresh(endpoint, now)
        if report is None:
            return 0.0
        load = report.load
        free = load.slots - load.running - load.waiting
        missing = report.begun - max(0, free)
        since = max(0.0, load.ready_in - (now - report.at))
        return since + max(0, missing) * load.interval

    def pressure(self, endpoint: str, now: float) -> float:
        """Return the share of an agent's slots that is probably in use."""
        report = self._fresh(endpoint, now)
        if report is None:
            return self.counts[endpoint] / UNKNOWN_SLOTS
        load = report.load
        told = (load.running + load.waiting + report.begun) / max(1, load.slots)
        # An old report tells little, while the own attempts are always known.
        trust = TRUST_S / (TRUST_S + max(0.0, now - report.at))
        return trust * told + (1.0 - trust) * self.counts[endpoint] / OWN_SLOTS

    def prefill_wait(self, endpoint: str, now: float) -> float:
        """Return the predicted seconds until an agent starts one more prefill."""
        report = self._fresh(endpoint, now)
        if report is None:
            return self.counts[endpoint] * UNKNOWN_PREFILL_TOKEN_S
        load = report.load
        queued = load.ready_in + report.begun_tokens * load.prefill_token_s
        return max(0.0, queued - (now - report.at))

    def prefill_token_s(self, endpoint: str) -> float:
        """Return the seconds of prefill for each token that is not cached."""
        report = self._reports.get(endpoint)
        told = report.load.prefill_token_s if report else 0.0
        return told or UNKNOWN_PREFILL_TOKEN_S

    def transfer_token_s(self, endpoint: str) -> float:
        """Return the seconds of transfer for each token, at the present rate."""
        report = self._reports.get(endpoint)
        told = report.load.transfer_token_s if report else 0.0
        return told or UNKNOWN_TRANSFER_TOKEN_S

    def _fresh(self, endpoint: str, now: float) -> _Report | None:
        report = self._reports.get(endpoint)
        if report is None or now - report.at > REPORT_AGE_S:
            return None
        return report
