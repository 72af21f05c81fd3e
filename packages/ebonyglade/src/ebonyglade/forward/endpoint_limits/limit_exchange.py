"""Exchange of the limits of endpoints, and of permits to send to them.

A process that notices a limit tells the others at once. The permits of an endpoint are
granted by one process of its availability zone, see `FleetMembers.permit_owners`, which
also repeats the limit for those that missed it or were started since.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.endpoint_limits.endpoint_limits import EndpointLimits
from ebonyglade.forward.endpoint_limits.permits import (
    BURST_S,
    FREE_PERMIT,
    Permit,
    PermitCounts,
)
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.pending_answers import PendingAnswers
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import Endpoint
from ebonyglade.forward.zone_exchange import SETTLE_S, ZoneExchange
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    LimitNotice,
    LimitRecord,
    PermitRequest,
    PermitResponse,
    ZoneReport,
)

logger = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 0.1  # a response takes a round trip of a few milliseconds
FORGET_INTERVAL_S = 1.0  # between two removals of what is not used any more
UNANSWERED_WAIT_S = 0.2  # until a process that did not answer is asked again
# Age in records of endpoints that never stated a limit. It is older than any statement,
# so that receivers keep what they know.
NEVER_STATED_AGE_S = 1e9


@dataclass(slots=True)
class LimitExchange:
    """Tells others of limits, grants permits, and asks for them.

    Attributes:
        context: transport, clock and ids.
        members: the members of the fleet.
        zones: passes notices on to the other zones of a large fleet.
        limits: limits that endpoints state.
        replica: local replica of the store with the endpoints.
    """

    context: Context
    members: FleetMembers
    zones: ZoneExchange
    limits: EndpointLimits
    replica: StoreReplica
    _counts: PermitCounts = field(default_factory=PermitCounts)
    _pending: PendingAnswers = field(default_factory=PendingAnswers)
    _started_at: float = float("-inf")

    def __post_init__(self) -> None:
        # The first documents arrive before `start`.
        self.replica.endpoint_listeners.append(self.limits.cold.on_listed)

    def start(self) -> None:
        """Register listeners and message handlers."""
        self._started_at = self.context.clock()
        self.zones.limits = self.records
        self.limits.listeners.append(self._announce)
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.zones.listeners.append(self._on_zone_report)
        self.context.handle(
            {
                LimitNotice: self._on_notice,
                PermitRequest: self._on_request,
                PermitResponse: self._on_response,
            }
        )
        self.context.every(FORGET_INTERVAL_S, self._forget)

    def records(self) -> list[LimitRecord]:
        """Return the limits of the endpoints whose permits this process grants."""
        if not self.limits.any_in_force:
            return []
        now = self.context.clock()
        owners = self.members.permit_owners(now)
        return [
            self._record(endpoint.incarnation, now)
            for endpoint in self._listed()
            if self.limits.is_repeated(endpoint.incarnation)
            and owners.of(endpoint.zone) == self.members.address
        ]

    async def acquire(self, endpoint: Endpoint, max_wait_s: float) -> Permit:
        """Ask for a permit to send one request to an endpoint.

        Args:
            endpoint: the endpoint.
            max_wait_s: longest time to wait before the request is sent.
        """
        now = self.context.clock()
        if self.limits.limit(endpoint.incarnation) is None:
            return FREE_PERMIT
        owner = self._owner(endpoint, now)
        record = self._record(endpoint.incarnation, now)
        if owner == self.members.address:
            return self._grant_for(record, max_wait_s, now)
        request = PermitRequest(self.context.new_id(), record, max_wait_s)
        return await self._ask(owner, request)

    async def _ask(self, owner: str, request: PermitRequest) -> Permit:
        try:
            response = await self._pending.ask(
                request.ask,
                lambda: self.context.send(owner, request),
                RESPONSE_TIMEOUT_S,
            )
        except TimeoutError:
            response = None
            logger.info(
                "permit not answered",
                extra={"endpoint": request.limit.endpoint, "owner": owner},
            )
        if response is None:
            self.context.count("permits_unanswered")
            return Permit(False, UNANSWERED_WAIT_S)
        return Permit(response.granted, response.wait_s)

    def _grant_for(self, record: LimitRecord, max_wait_s: float, now: float) -> Permit:
        """Grant or refuse a permit for an endpoint, with what the asker knows of it."""
        cold = record.cold is not None and record.cold.left_s > 0
        if cold and not self._may_grant_cold(record.endpoint, now):
            self.context.count("permits_not_counted_here")
            return Permit(False, UNANSWERED_WAIT_S)
        return self._grant(record.endpoint, max_wait_s, now)

    def _may_grant_cold(self, endpoint: str, now: float) -> bool:
        """Return whether this process alone grants the permits of a cold endpoint.

        The published bound of a cold endpoint leaves no room for two processes that
        grant its whole limit. A process that has just started may not have heard of the
        one that does.
        """
        if now - self._started_at < SETTLE_S or not self.limits.cold.is_listed(
            endpoint
        ):
            return False
        zone = self.limits.cold.zone(endpoint)
        return self.members.permit_owners(now).of(zone) == self.members.address

    def _grant(self, endpoint: str, max_wait_s: float, now: float) -> Permit:
        """Grant or refuse a permit as the process that counts them."""
        limit = self.limits.limit(endpoint)
        if limit is None:
            return FREE_PERMIT
        per_s = limit * self.members.live_entry_share(now)
        burst_s = 0.0 if self.limits.cold.is_cold(endpoint) else BURST_S
        return self._counts.take(endpoint, per_s, max_wait_s, now, burst_s)

    def _listed(self) -> Iterable[Endpoint]:
        return self.replica.registry.endpoints.values()

    def _forget(self, now: float) -> None:
        """Forget endpoints that are not listed any more or not used."""
        self._counts.forget(now)
        self.limits.retain({endpoint.incarnation for endpoint in self._listed()})

    def _owner(self, endpoint: Endpoint, now: float) -> str:
        return self.members.permit_owners(now).of(endpoint.zone)

    def _record(self, endpoint: str, now: float) -> LimitRecord:
        stated = self.limits.stated(endpoint)
        cold = self.limits.cold.record(endpoint)
        if stated is None:
            return LimitRecord(endpoint, None, NEVER_STATED_AGE_S, cold)
        return LimitRecord(endpoint, stated.per_s, round(now - stated.at, 3), cold)

    def _announce(self, endpoint: str) -> None:
        """Tell the entries and the owner what an endpoint told this process."""
        now = self.context.clock()
        notice = LimitNotice([self._record(endpoint, now)])
        self.zones.announce(notice)
        for item in self._listed():
            if item.incarnation == endpoint:
                self.context.send(self._owner(item, now), notice)

    def _merge(self, records: Iterable[LimitRecord], at: float) -> None:
        """Record the limits in a message that was composed at a time."""
        for record in records:
            self._merge_cold(record, at)
            stated_at = at - record.age_s
            if self.limits.record(record.endpoint, record.per_s, stated_at):
                logger.info(
                    "limit of an endpoint learned",
                    extra={
                        "endpoint": record.endpoint,
                        "limit_per_s": record.per_s,
                        "age": record.age_s,
                    },
                )

    def _merge_cold(self, record: LimitRecord, at: float) -> None:
        cold = record.cold
        if cold is not None and self.limits.cold.merge(record.endpoint, cold, at):
            logger.info(
                "cold state of an endpoint learned",
                extra={"endpoint": record.endpoint, "seconds_left": cold.left_s},
            )

    def _on_notice(self, sender: Sender, message: LimitNotice) -> None:
        self._merge(message.records, self.context.clock())
        self.zones.pass_on(message)

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        self._merge(heartbeat.limits, self.context.clock())

    def _on_zone_report(self, report: ZoneReport, at: float) -> None:
        self._merge(report.limits, at)

    def _on_request(self, sender: Sender, message: PermitRequest) -> None:
        now = self.context.clock()
        self._merge([message.limit], now)
        permit = self._grant_for(message.limit, message.max_wait_s, now)
        response = PermitResponse(message.ask, permit.granted, round(permit.wait_s, 4))
        self.context.transport.set_address(sender.instance, sender.address)
        self.context.send(sender.instance, response)

    def _on_response(self, sender: Sender, message: PermitResponse) -> None:
        self._pending.resolve(message.ask, message)
