"""Tracks the load of each endpoint as one entry knows it."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from ebonyglade.wire.control import LoadReport

UNKNOWN_PREFILL_TOKEN_S = 0.0001  # used until an agent has reported its own
UNKNOWN_TRANSFER_TOKEN_S = 0.00001
UNKNOWN_SLOTS = 20
OWN_SLOTS_AT_CAPACITY = 4  # assumed slots that one entry uses at a full agent
REPORT_HALF_WEIGHT_AGE_S = 0.5  # age at which a report has half its weight
MAX_REPORT_AGE_S = 10.0  # older reports are ignored


@dataclass(slots=True)
class _Report:
    load: LoadReport
    at: float
    begun: int = 0
    begun_tokens: int = 0


@dataclass(slots=True)
class AgentLoads:
    """Reported load of each agent, this entry's attempts, and agents to avoid.

    Reports lag, so the work that this entry sent since the last one is added.

    Attributes:
        counts: open attempts of this entry by agent.
        avoid: agents that get no new work.
    """

    counts: Counter = field(default_factory=Counter)
    avoid: set[str] = field(default_factory=set)
    _reports: dict[str, _Report] = field(default_factory=dict)

    def report(self, endpoint: str, load: LoadReport, now: float) -> None:
        """Store an agent's report of its load."""
        self._reports[endpoint] = _Report(load, now)

    def found_full(self, endpoint: str, ready_in: float, now: float) -> None:
        """Mark an agent as full until its next report."""
        report = self._reports.get(endpoint)
        if report is None:
            return
        load = msgspec.structs.replace(
            report.load, running=report.load.slots, ready_in=ready_in
        )
        self._reports[endpoint] = _Report(load, now)

    def forget(self, endpoint: str) -> None:
        """Remove the report of an agent that died or restarted."""
        self._reports.pop(endpoint, None)

    def begun(self, endpoint: str, tokens: int) -> None:
        """Count an attempt that was sent to an agent."""
        self.counts[endpoint] += 1
        report = self._reports.get(endpoint)
        if report is not None:
            report.begun += 1
            report.begun_tokens += tokens

    def ended(self, endpoint: str) -> None:
        """Uncount an attempt that ended."""
        self.counts[endpoint] -= 1
        if self.counts[endpoint] <= 0:
            del self.counts[endpoint]

    def slot_wait(self, endpoint: str, now: float) -> float:
        """Return the predicted seconds until an agent has a free slot."""
        report = self._recent_report(endpoint, now)
        if report is None:
            return 0.0
        load = report.load
        free = load.slots - load.running - load.waiting
        slots_short = report.begun - max(0, free)
        first_free_s = max(0.0, load.ready_in - (now - report.at))
        return first_free_s + max(0, slots_short) * load.interval

    def utilization(self, endpoint: str, now: float) -> float:
        """Return the estimated share of an agent's slots that is in use."""
        report = self._recent_report(endpoint, now)
        if report is None:
            return self.counts[endpoint] / UNKNOWN_SLOTS
        load = report.load
        reported = (load.running + load.waiting + report.begun) / max(1, load.slots)
        # The weight of a report falls with its age; this entry's own attempts are
        # always known.
        weight = REPORT_HALF_WEIGHT_AGE_S / (
            REPORT_HALF_WEIGHT_AGE_S + max(0.0, now - report.at)
        )
        return (
            weight * reported
            + (1.0 - weight) * self.counts[endpoint] / OWN_SLOTS_AT_CAPACITY
        )

    def prefill_wait(self, endpoint: str, now: float) -> float:
        """Return the predicted seconds until an agent starts one more prefill."""
        report = self._recent_report(endpoint, now)
        if report is None:
            return self.counts[endpoint] * UNKNOWN_PREFILL_TOKEN_S
        load = report.load
        queued = load.ready_in + report.begun_tokens * load.prefill_token_s
        return max(0.0, queued - (now - report.at))

    def prefill_token_s(self, endpoint: str) -> float:
        """Return the seconds of prefill for each uncached token."""
        report = self._reports.get(endpoint)
        reported = report.load.prefill_token_s if report else 0.0
        return reported or UNKNOWN_PREFILL_TOKEN_S

    def transfer_token_s(self, endpoint: str) -> float:
        """Return the seconds of transfer for each token, at the present rate."""
        report = self._reports.get(endpoint)
        reported = report.load.transfer_token_s if report else 0.0
        return reported or UNKNOWN_TRANSFER_TOKEN_S

    def _recent_report(self, endpoint: str, now: float) -> _Report | None:
        report = self._reports.get(endpoint)
        if report is None or now - report.at > MAX_REPORT_AGE_S:
            return None
        return report
