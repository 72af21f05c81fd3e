"""Sharing of the loads that endpoints state, on heartbeats and zone reports."""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ebonyglade.context import Context
from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.zone_exchange import REPORT_INTERVAL_S, ZoneExchange
from ebonyglade.wire.fleet import FleetHeartbeat, LoadRecord, ZoneReport

MAX_REPORTED = 32  # endpoints in one zone report, those heard of last
MAX_KEPT = 512  # endpoints of which a record is kept for zone reports


class _Heard(NamedTuple):
    """A record, and when its endpoint stated the load."""

    stated_at: float
    record: LoadRecord


@dataclass(slots=True)
class LoadExchange:
    """Tells others what endpoints stated here, and records what others tell.

    Agents keep no loads of endpoints, but they may report for their zone.

    Attributes:
        context: clock and counters.
        members: the members of the fleet.
        zones: reports for the zone.
        loads: loads of the endpoints that this process uses; None for an agent.
    """

    context: Context
    members: FleetMembers
    zones: ZoneExchange
    loads: EndpointLoads | None = None
    _heard: dict[int, _Heard] = field(default_factory=dict)

    def start(self) -> None:
        """Register listeners."""
        self.zones.loads = self._zone_records
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.zones.listeners.append(self._on_zone_report)

    def records(self) -> list[LoadRecord]:
        """Return what endpoints stated to this entry since its last heartbeat."""
        now = self.context.clock()
        records = self.loads.shared_records(now)
        if records:
            self.context.count("loads_shared", len(records))
            self._keep(records, now)
        return records

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        if not heartbeat.loads:
            return
        now = self.context.clock()
        if self.loads is not None:
            self.loads.merge(heartbeat.loads, now)
            self.context.count("loads_heard", len(heartbeat.loads))
        if member.zone == self.members.zone:
            self._keep(heartbeat.loads, now)

    def _on_zone_report(self, report: ZoneReport, at: float) -> None:
        if report.loads and self.loads is not None:
            self.loads.merge(report.loads, at)
            self.context.count("loads_heard", len(report.loads))

    def _keep(self, records: list[LoadRecord], now: float) -> None:
        """Keep records of the own zone for its report to other zones."""
        if not self.members.divided:
            return
        for record in records:
            stated_at = now - record.age_ms / 1000
            known = self._heard.get(record.key)
            if known is None or stated_at > known.stated_at:
                self._heard[record.key] = _Heard(stated_at, record)
        if len(self._heard) > MAX_KEPT:
            self._forget(now)

    def _forget(self, now: float) -> None:
        """Forget records that are too old for the next report."""
        since = now - 2 * REPORT_INTERVAL_S
        self._heard = {
            key: heard for key, heard in self._heard.items() if heard.stated_at >= since
        }

    def _zone_records(self) -> list[LoadRecord]:
        now = self.context.clock()
        self._forget(now)
        newest = sorted(self._heard.values(), key=lambda heard: -heard.stated_at)
        return [
            msgspec.structs.replace(
                heard.record, age_ms=max(0, round((now - heard.stated_at) * 1000))
            )
            for heard in newest[:MAX_REPORTED]
        ]
