"""What is known of the reports of other availability zones."""

from dataclasses import dataclass, field

import msgspec

from ebonyglade.forward.members import FORGET_AFTER_S, OtherZones
from ebonyglade.wire.fleet import ZoneReport

# Full reports have the totals of all workspaces. With more workspaces than this, only
# one in `COMPLETE_EVERY` does, and the others have the totals that changed lately.
MAX_ALWAYS_COMPLETE = 64
COMPLETE_EVERY = 10
RECENT_TOTALS_S = 3.0  # totals that changed within this time are repeated
REPORT_MAX_AGE_S = 2.0  # reports that are older are not passed on
# A report that was passed on twice seems newer by the difference of the two delays.
MIN_NEWER_S = 0.05


def has_all_totals(number: int, totals: dict[str, float]) -> bool:
    """Return whether the full report with a number has the totals of all workspaces."""
    return len(totals) <= MAX_ALWAYS_COMPLETE or number % COMPLETE_EVERY == 1


@dataclass(slots=True)
class _ReporterState:
    """What one reporter of another zone has reported.

    Attributes:
        report: its newest full report.
        at: time that the report is of.
        number: number of its newest report, full or partial.
        totals: all totals that it reported.
        complete: whether these are all of its totals.
        changed_at: when each total changed.
    """

    report: ZoneReport
    at: float
    number: int = 0
    totals: dict[str, float] = field(default_factory=dict)
    complete: bool = False
    changed_at: dict[str, float] = field(default_factory=dict)

    def has_news(self, report: ZoneReport, at: float) -> bool:
        """Return whether a report says something that is not known already."""
        if report.partial:
            return report.number > self.number
        newly_complete = report.complete and not self.complete
        return newly_complete or at > self.at + MIN_NEWER_S

    def update(self, report: ZoneReport, at: float, now: float) -> None:
        """Apply a full or partial report."""
        if not report.partial:
            self.report, self.at = report, max(self.at, at)
        self.number = report.number
        self.complete = self.complete or report.complete
        for name, total in report.spent.items():
            if self.totals.get(name) != total:
                self.totals[name] = total
                self.changed_at[name] = now

    def to_pass_on(self, round_number: int, now: float) -> ZoneReport:
        """Return the newest full report with the totals known now."""
        complete = self.complete and has_all_totals(round_number, self.totals)
        recent = {
            name: self.totals[name]
            for name, at in self.changed_at.items()
            if now - at < RECENT_TOTALS_S
        }
        return msgspec.structs.replace(
            self.report,
            number=self.number,
            age_s=now - self.at,
            spent=self.totals if complete else recent,
            complete=complete,
        )


@dataclass(slots=True)
class ZoneReportTable:
    """Newest reports of the other zones, by zone and reporter."""

    _by_zone: dict[str, dict[str, _ReporterState]] = field(default_factory=dict)
    _rounds: int = 0

    def add(self, report: ZoneReport, at: float, now: float) -> bool:
        """Apply a report.

        Args:
            report: full or partial report of another zone.
            at: time that the report is of.
            now: seconds.

        Returns:
            Whether it has news. A partial report has none before a full one.
        """
        by_reporter = self._by_zone.setdefault(report.zone, {})
        key = f"{report.reporter} {report.incarnation}"
        known = by_reporter.get(key)
        if known is None:
            if report.partial:
                return False
            known = by_reporter[key] = _ReporterState(report, at)
        elif not known.has_news(report, at):
            return False
        known.update(report, at, now)
        return True

    def to_pass_on(self, now: float) -> list[ZoneReport]:
        """Return what is known of each zone that was reported lately."""
        self._rounds += 1
        return [
            state.to_pass_on(self._rounds, now)
            for state in self._newest_by_zone()
            if now - state.at < REPORT_MAX_AGE_S
        ]

    def other_zones(self) -> OtherZones:
        """Return the members of the other zones according to the newest reports."""
        reports = [state.report for state in self._newest_by_zone()]
        return OtherZones(
            {report.zone: report.reporters for report in reports if report.reporters},
            sum(report.members for report in reports),
            sum(report.entries for report in reports),
            {
                report.zone: report.permit_owner
                for report in reports
                if report.permit_owner
            },
        )

    def forget(self, now: float) -> None:
        """Forget reporters that were silent for `FORGET_AFTER_S`."""
        for zone, by_reporter in list(self._by_zone.items()):
            for key, state in list(by_reporter.items()):
                if now - state.at > FORGET_AFTER_S:
                    del by_reporter[key]
            if not by_reporter:
                del self._by_zone[zone]

    def _newest_by_zone(self) -> list[_ReporterState]:
        return [
            max(by_reporter.values(), key=lambda state: state.at)
            for by_reporter in self._by_zone.values()
            if by_reporter
        ]
