"""Exchange of what members know between the availability zones of a large fleet.

The first members of each zone report for all of it. They send their report to those
that report for the other zones, which pass it on to the members of their own zone. Two
report at a time, so that nothing is missing while one is replaced; who receives both
counts what they have in common once, see `FleetRates.apply_zone`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ebonyglade.context import Context
from ebonyglade.forward.members import (
    FORGET_AFTER_S,
    REPORTERS_PER_ZONE,
    FleetMembers,
    Member,
    OtherZones,
)
from ebonyglade.forward.zone_totals import ZoneTotals
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    EngineRecord,
    EngineState,
    FleetHeartbeat,
    LeavingRecord,
    RefusalNotice,
    TokensAdmitted,
    ZoneReport,
    ZoneReports,
)

TICK_S = 0.05  # between two checks for what is to be reported
MIN_PARTIAL_INTERVAL_S = 0.02  # between two reports of totals that changed
REPORT_INTERVAL_S = 0.3  # between two full reports
# Full reports have the totals of all workspaces. With more workspaces than this, only
# one in `COMPLETE_EVERY` does, and the others have the totals that changed lately.
MAX_ALWAYS_COMPLETE = 64
COMPLETE_EVERY = 10
RECENT_TOTALS_S = 3.0  # totals that changed within this time are repeated
ENGINE_MAX_AGE_S = 2.0  # engine states that are older are not reported
REPORT_MAX_AGE_S = 2.0  # reports that are older are not passed on
# A process that has just started does not know the members of its zone yet.
SETTLE_S = 1.0
# A report that was passed on twice seems newer by the difference of the two delays.
MIN_NEWER_S = 0.05
LISTED_REPORTERS = REPORTERS_PER_ZONE + 1

ReportListener = Callable[[ZoneReport, float], None]
"""Called with a report of another zone and the time that it is of."""


@dataclass(frozen=True, slots=True)
class _KnownEngine:
    """State of a model endpoint, and when it was received."""

    state: EngineState
    at: float


@dataclass(slots=True)
class _KnownReport:
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

    def update_totals(self, report: ZoneReport, now: float) -> None:
        self.number = report.number
        self.complete = self.complete or report.complete
        for name, total in report.spent.items():
            if self.totals.get(name) != total:
                self.totals[name] = total
                self.changed_at[name] = now

    def recent_totals(self, now: float) -> dict[str, float]:
        return {
            name: self.totals[name]
            for name, at in self.changed_at.items()
            if now - at < RECENT_TOTALS_S
        }


@dataclass(slots=True)
class ZoneExchange:
    """Reports for the own zone, and passes on the reports of other zones.

    Attributes:
        context: transport, clock and timers.
        members: the members of the fleet.
        entry: whether this process takes callers' requests.
        leaving: returns the endpoints that told this process that they leave.
        listeners: called with each new report of another zone.
    """

    context: Context
    members: FleetMembers
    entry: bool
    leaving: Callable[[], list[LeavingRecord]]
    listeners: list[ReportListener] = field(default_factory=list)
    _totals: ZoneTotals = field(default_factory=ZoneTotals)
    _crashes: dict[str, dict[str, int]] = field(default_factory=dict)
    _leaving: dict[str, list[LeavingRecord]] = field(default_factory=dict)
    _engines: dict[str, _KnownEngine] = field(default_factory=dict)
    _reports: dict[str, dict[str, _KnownReport]] = field(default_factory=dict)
    _started_at: float = 0.0
    _next_report_at: float = 0.0
    _number: int = 0
    _full_reports: int = 0
    _rounds: int = 0
    _changed_since: float | None = None
    _partial_at: float = 0.0

    def start(self) -> None:
        """Register listeners, handlers and the timer."""
        self._started_at = self.context.clock()
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.members.departure_listeners.append(self._on_member_gone)
        self.context.handle({ZoneReports: self._on_reports})
        self.context.every(TICK_S, self._tick)

    def record_own(self, heartbeat: FleetHeartbeat) -> None:
        """Record this process' own heartbeat as one of its zone."""
        self._record(self.members.address, self.context.identity.incarnation, heartbeat)

    def record_admitted(
        self, entry: str, incarnation: str, message: TokensAdmitted
    ) -> None:
        """Record tokens that an entry of the zone reported ahead of its heartbeat."""
        now = self.context.clock()
        spent = {message.workspace: message.total}
        if not self._totals.apply(entry, incarnation, spent, False, now):
            return
        if self._changed_since is None:
            self._changed_since = now
        if self.members.divided:
            self._report_changes(now)

    def announce_admitted(self, message: TokensAdmitted) -> None:
        """Tell those that report for the zone what this entry admitted."""
        if not self.members.divided:
            return
        now = self.context.clock()
        incarnation = self.context.identity.incarnation
        self.record_admitted(self.members.address, incarnation, message)
        for member in self.members.zone_members(now):
            if not member.entry:
                self.context.send(member.address, message)

    def announce_refusal(self, notice: RefusalNotice) -> None:
        """Send a refusal to the entries of all zones."""
        self.members.broadcast_to_entries(notice)
        if self.members.divided:
            relayed = msgspec.structs.replace(notice, relay=True)
            for addresses in self.members.other_zones.reporters.values():
                self.context.send(addresses[0], relayed)

    def pass_on_refusal(self, notice: RefusalNotice) -> None:
        """Pass a refusal of another zone on to the entries of the own zone."""
        if notice.relay:
            notice = msgspec.structs.replace(notice, relay=False)
            self.members.broadcast_to_entries(notice)

    def _tick(self, now: float) -> None:
        if not self.members.divided:
            self._changed_since = None
            return
        full = now >= self._next_report_at
        if full:
            self._next_report_at = now + REPORT_INTERVAL_S
            self._forget(now)
            self._update_other_zones()
        settled = now - self._started_at >= SETTLE_S
        if not settled or not self.members.is_reporter(now):
            return
        if full:
            self._send_to_reporters(self._full_report(now), now)
            self._send_to_zone(self._reports_to_pass_on(now), now)
            self._changed_since = None
        self._report_changes(now)

    def _report_changes(self, now: float) -> None:
        """Report changed totals at once, as the first of the zone's reporters."""
        if (
            self._changed_since is None
            or now - self._partial_at < MIN_PARTIAL_INTERVAL_S
            or now - self._started_at < SETTLE_S
            or not self._is_first_reporter(now)
        ):
            return
        self._send_to_reporters(self._partial_report(), now)
        self._partial_at, self._changed_since = now, None

    def _send_to_reporters(self, report: ZoneReport, now: float) -> None:
        message = ZoneReports([report])
        for address in self.members.reporters_elsewhere(now):
            self.context.send(address, message)

    def _send_to_zone(self, reports: list[ZoneReport], now: float) -> None:
        if not reports:
            return
        message = ZoneReports(reports)
        for member in self.members.zone_members(now):
            self.context.send(member.address, message)

    def _full_report(self, now: float) -> ZoneReport:
        members = self.members.zone_members(now)
        self._number += 1
        self._full_reports += 1
        complete = _is_complete(self._full_reports, self._totals.sums)
        recent = self._totals.changed_since(now - RECENT_TOTALS_S)
        return ZoneReport(
            zone=self.members.zone,
            reporter=self.members.address,
            incarnation=self.context.identity.incarnation,
            number=self._number,
            age_s=0.0,
            members=1 + len(members),
            entries=self._count_entries(members),
            reporters=self.members.zone_reporters(now)[:LISTED_REPORTERS],
            spent=dict(self._totals.sums) if complete else recent,
            engines=self._fresh_engines(now),
            crashes=self._crash_counts(),
            leaving=self._leaving_records(),
            complete=complete,
        )

    def _partial_report(self) -> ZoneReport:
        self._number += 1
        return ZoneReport(
            zone=self.members.zone,
            reporter=self.members.address,
            incarnation=self.context.identity.incarnation,
            number=self._number,
            age_s=0.0,
            spent=self._totals.changed_since(self._changed_since),
            partial=True,
        )

    def _count_entries(self, members: list[Member]) -> int:
        return int(self.entry) + sum(item.entry for item in members)

    def _fresh_engines(self, now: float) -> list[EngineRecord]:
        return [
            EngineRecord(
                agent,
                msgspec.structs.replace(
                    known.state, age_s=round(known.state.age_s + now - known.at, 3)
                ),
            )
            for agent, known in self._engines.items()
            if now - known.at < ENGINE_MAX_AGE_S
        ]

    def _crash_counts(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for counts in self._crashes.values():
            for key, count in counts.items():
                sums[key] = sums.get(key, 0) + count
        return sums

    def _leaving_records(self) -> list[LeavingRecord]:
        records = {record.endpoint: record for record in self.leaving()}
        for reported in self._leaving.values():
            records.update({record.endpoint: record for record in reported})
        return list(records.values())

    def _reports_to_pass_on(self, now: float) -> list[ZoneReport]:
        """Return what is known of each other zone."""
        self._rounds += 1
        found = []
        for by_reporter in self._reports.values():
            known = max(by_reporter.values(), key=lambda item: item.at)
            age_s = now - known.at
            if age_s >= REPORT_MAX_AGE_S:
                continue
            complete = known.complete and _is_complete(self._rounds, known.totals)
            spent = known.totals if complete else known.recent_totals(now)
            found.append(
                msgspec.structs.replace(
                    known.report,
                    number=known.number,
                    age_s=age_s,
                    spent=spent,
                    complete=complete,
                )
            )
        return found

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        if member.zone == self.members.zone and member.zoned:
            self._record(member.address, member.incarnation, heartbeat)

    def _record(
        self, address: str, incarnation: str, heartbeat: FleetHeartbeat
    ) -> None:
        now = self.context.clock()
        complete = not heartbeat.partial
        if heartbeat.entry:
            self._totals.apply(address, incarnation, heartbeat.spent, complete, now)
        _set_or_drop(self._crashes, address, heartbeat.crashes)
        _set_or_drop(self._leaving, address, heartbeat.leaving)
        if heartbeat.engine is not None:
            self._engines[address] = _KnownEngine(heartbeat.engine, now)

    def _on_reports(self, sender: Sender, message: ZoneReports) -> None:
        now = self.context.clock()
        for report in message.reports:
            if report.zone != self.members.zone:
                self._take(report, now)

    def _take(self, report: ZoneReport, now: float) -> None:
        """Apply a report of another zone unless it is known already."""
        by_reporter = self._reports.setdefault(report.zone, {})
        key = f"{report.reporter} {report.incarnation}"
        known = by_reporter.get(key)
        at = now - report.age_s
        if known is not None and not _is_news(report, at, known):
            return
        if not report.partial:
            if known is None:
                known = by_reporter[key] = _KnownReport(report, at)
            known.report, known.at = report, max(known.at, at)
            for address in report.reporters:
                self.members.introduce(address, report.zone)
        if known is None:
            return
        known.update_totals(report, now)
        if self.members.divided:
            for listener in self.listeners:
                listener(report, at)
        if report.partial and self._is_first_reporter(now):
            self._send_to_zone([report], now)

    def _is_first_reporter(self, now: float) -> bool:
        return self.members.zone_reporters(now)[0] == self.members.address

    def _on_member_gone(self, member: Member) -> None:
        for known in (self._crashes, self._leaving, self._engines):
            known.pop(member.address, None)

    def _update_other_zones(self) -> None:
        """Update what the members know of other zones from the newest reports."""
        newest = [
            max(by_reporter.values(), key=lambda item: item.at).report
            for by_reporter in self._reports.values()
        ]
        self.members.other_zones = OtherZones(
            {report.zone: report.reporters for report in newest if report.reporters},
            sum(report.members for report in newest),
            sum(report.entries for report in newest),
        )

    def _forget(self, now: float) -> None:
        for zone, by_reporter in list(self._reports.items()):
            for key, known in list(by_reporter.items()):
                if now - known.at > FORGET_AFTER_S:
                    del by_reporter[key]
            if not by_reporter:
                del self._reports[zone]
        names = {item.address for item in self.members.all()} | {self.members.address}
        self._totals.retain(names)
        for by_address in (self._crashes, self._leaving, self._engines):
            for address in set(by_address) - names:
                del by_address[address]


def _is_complete(number: int, totals: dict[str, float]) -> bool:
    """Return whether the report with a number has the totals of all workspaces."""
    return len(totals) <= MAX_ALWAYS_COMPLETE or number % COMPLETE_EVERY == 1


def _is_news(report: ZoneReport, at: float, known: _KnownReport) -> bool:
    """Return whether a report says something that is not known already."""
    if report.partial:
        return report.number > known.number
    newly_complete = report.complete and not known.complete
    return newly_complete or at > known.at + MIN_NEWER_S


def _set_or_drop(known: dict, key: str, value: object) -> None:
    """Set a value, or drop the key if the value is empty."""
    if value:
        known[key] = value
    else:
        known.pop(key, None)
