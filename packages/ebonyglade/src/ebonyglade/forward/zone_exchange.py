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
from ebonyglade.forward.evidence_exchange import EvidenceExchange
from ebonyglade.forward.members import REPORTERS_PER_ZONE, FleetMembers, Member
from ebonyglade.forward.zone_reports import (
    RECENT_TOTALS_S,
    ZoneReportTable,
    has_all_totals,
)
from ebonyglade.forward.zone_totals import ZoneTotals
from ebonyglade.ports import Sender
from ebonyglade.quarantine.evidence import Source
from ebonyglade.wire.fleet import (
    EngineRecord,
    EngineState,
    EvidenceNotice,
    FleetHeartbeat,
    LeavingRecord,
    LimitNotice,
    LimitRecord,
    LoadRecord,
    RefusalNotice,
    TokensAdmitted,
    ZoneReport,
    ZoneReports,
)

TICK_S = 0.05  # between two checks for what is to be reported
MIN_PARTIAL_INTERVAL_S = 0.02  # between two reports of totals that changed
REPORT_INTERVAL_S = 0.3  # between two full reports
EVIDENCE_EVERY = 100  # of these repeats the evidence that blocks requests
ENGINE_MAX_AGE_S = 2.0  # engine states that are older are not reported
# A process that has just started does not know the members of its zone yet.
SETTLE_S = 1.0
LISTED_REPORTERS = REPORTERS_PER_ZONE + 1

ReportListener = Callable[[ZoneReport, float], None]
"""Called with a report of another zone and the time that it is of."""
FleetNotice = RefusalNotice | LimitNotice
"""News for the entries of all zones; `relay` if the receiver is to pass it on."""


@dataclass(frozen=True, slots=True)
class _KnownEngine:
    """State of a model endpoint, and when it was received."""

    state: EngineState
    at: float


@dataclass(slots=True)
class ZoneExchange:
    """Reports for the own zone, and passes on the reports of other zones.

    Attributes:
        context: transport, clock and timers.
        members: the members of the fleet.
        entry: whether this process takes callers' requests.
        leaving: returns the endpoints that told this process that they leave.
        evidence_exchange: exchanges evidence of requests that crash endpoints.
        limits: returns the limits of endpoints whose permits this process grants.
        loads: returns the loads that endpoints stated lately to entries of the zone.
        listeners: called with each new report of another zone.
    """

    context: Context
    members: FleetMembers
    entry: bool
    leaving: Callable[[], list[LeavingRecord]]
    evidence_exchange: EvidenceExchange
    limits: Callable[[], list[LimitRecord]] = list
    loads: Callable[[], list[LoadRecord]] = list
    listeners: list[ReportListener] = field(default_factory=list)
    _totals: ZoneTotals = field(default_factory=ZoneTotals)
    _told: dict[str, str] = field(default_factory=dict)
    _leaving: dict[str, list[LeavingRecord]] = field(default_factory=dict)
    _engines: dict[str, _KnownEngine] = field(default_factory=dict)
    _reports: ZoneReportTable = field(default_factory=ZoneReportTable)
    _started_at: float = 0.0
    _next_report_at: float = 0.0
    _number: int = 0
    _full_reports: int = 0
    _changed_since: float | None = None
    _partial_at: float = 0.0

    def start(self) -> None:
        """Register listeners, handlers and the timer."""
        self._started_at = self.context.clock()
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.members.departure_listeners.append(self._on_member_gone)
        self.context.handle(
            {ZoneReports: self._on_reports, EvidenceNotice: self._on_evidence}
        )
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

    def announce(self, notice: FleetNotice) -> None:
        """Send news to the entries of all zones."""
        self.members.broadcast_to_entries(notice)
        if self.members.divided:
            relayed = msgspec.structs.replace(notice, relay=True)
            for addresses in self.members.other_zones.reporters.values():
                self.context.send(addresses[0], relayed)

    def pass_on(self, notice: FleetNotice) -> None:
        """Pass news of another zone on to the entries of the own zone."""
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
            self.members.other_zones = self._reports.other_zones()
        settled = now - self._started_at >= SETTLE_S
        if not settled or not self.members.is_reporter(now):
            return
        if full:
            self._send_to_reporters(self._full_report(now), now)
            self._send_to_zone(self._reports.to_pass_on(now), now)
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
        self._full_reports += 1
        complete = has_all_totals(self._full_reports, self._totals.sums)
        recent = self._totals.changed_since(now - RECENT_TOTALS_S)
        return self._new_report(
            members=1 + len(members),
            entries=int(self.entry) + sum(item.entry for item in members),
            silent=self.members.silent_entries(now),
            reporters=self.members.zone_reporters(now)[:LISTED_REPORTERS],
            spent=dict(self._totals.sums) if complete else recent,
            engines=self._fresh_engines(now),
            leaving=self._leaving_records(),
            complete=complete,
            evidence=self.evidence_exchange.compose(
                now, self._repeats_evidence(), Source.ZONE
            ),
            limits=self.limits(),
            permit_owner=self.members.permit_owners(now).of(self.members.zone),
            loads=self.loads(),
        )

    def _partial_report(self) -> ZoneReport:
        changed = self._totals.changed_since(self._changed_since)
        return self._new_report(spent=changed, partial=True)

    def _new_report(self, **fields: object) -> ZoneReport:
        self._number += 1
        return ZoneReport(
            zone=self.members.zone,
            reporter=self.members.address,
            incarnation=self.context.identity.incarnation,
            number=self._number,
            age_s=0.0,
            **fields,
        )

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

    def _repeats_evidence(self) -> bool:
        return self._full_reports % EVIDENCE_EVERY == 1

    def _leaving_records(self) -> list[LeavingRecord]:
        records = {record.endpoint: record for record in self.leaving()}
        for reported in self._leaving.values():
            records.update({record.endpoint: record for record in reported})
        return list(records.values())

    def _on_evidence(self, sender: Sender, message: EvidenceNotice) -> None:
        self.evidence_exchange.merge(
            message.evidence, self.context.clock(), Source.ZONE
        )

    def _tell_new_member(self, member: Member) -> None:
        """Send the evidence that blocks requests to a process that was just started."""
        if self._told.get(member.address) == member.incarnation:
            return
        listed = {item.address for item in self.members.all()}
        for address in set(self._told) - listed:
            del self._told[address]
        self._told[member.address] = member.incarnation
        now = self.context.clock()
        records = self.evidence_exchange.compose(now, True, Source.ELSEWHERE)
        if records is not None:
            self.context.send(member.address, EvidenceNotice(records))

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        self._tell_new_member(member)
        if heartbeat.evidence is not None:
            now = self.context.clock()
            self.evidence_exchange.merge(heartbeat.evidence, now, Source.ZONE)
        if member.zone == self.members.zone and member.zoned:
            self._record(member.address, member.incarnation, heartbeat)

    def _record(
        self, address: str, incarnation: str, heartbeat: FleetHeartbeat
    ) -> None:
        now = self.context.clock()
        complete = not heartbeat.partial
        if heartbeat.entry:
            self._totals.apply(address, incarnation, heartbeat.spent, complete, now)
        self._leaving[address] = heartbeat.leaving
        if heartbeat.engine is not None:
            self._engines[address] = _KnownEngine(heartbeat.engine, now)

    def _on_reports(self, sender: Sender, message: ZoneReports) -> None:
        now = self.context.clock()
        for report in message.reports:
            if report.zone != self.members.zone:
                self._take(report, now)

    def _take(self, report: ZoneReport, now: float) -> None:
        """Apply a report of another zone unless it is known already."""
        at = now - report.age_s
        if not self._reports.add(report, at, now):
            return
        for address in {*report.reporters, report.permit_owner}:
            self.members.introduce(address, report.zone)
        if self.members.divided:
            if report.evidence is not None:
                self.evidence_exchange.merge(report.evidence, at, Source.ELSEWHERE)
            for listener in self.listeners:
                listener(report, at)
        if report.partial and self._is_first_reporter(now):
            self._send_to_zone([report], now)

    def _is_first_reporter(self, now: float) -> bool:
        return self.members.zone_reporters(now)[0] == self.members.address

    def _on_member_gone(self, member: Member) -> None:
        for known in (self._leaving, self._engines):
            known.pop(member.address, None)

    def _forget(self, now: float) -> None:
        self._reports.forget(now)
        names = {item.address for item in self.members.all()} | {self.members.address}
        self._totals.retain(names)
        for by_address in (self._leaving, self._engines):
            for address in set(by_address) - names:
                del by_address[address]
