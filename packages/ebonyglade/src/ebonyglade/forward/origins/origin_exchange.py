"""Where processes keep and find the software version that began a stream.

Each stream that callers may take up is told to a few members, chosen by its key, so
that it can go on when the process that began it has ended. When members come or go,
those that know a stream tell the ones that are to keep it now. A process that does not
know a stream asks them.
"""

from dataclasses import dataclass, field
from itertools import chain, zip_longest

import msgspec

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.origins.stream_origins import (
    Coverage,
    ListedSoftware,
    StreamOrigins,
    covered_until,
)
from ebonyglade.forward.pending_answers import PendingAnswers
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.hashing import hexdigest
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import OriginAnswer, OriginQuery, QueryScope, StreamBegun

COPIES = 3  # members that are told of a stream, besides the one that began it
ASKED_MEMBERS = 6  # more than `COPIES`, since members may have come and gone since
FORGET_INTERVAL_S = 1.0  # between two removals of streams that began long ago
RANK_BYTES = 8
RESPONSE_TIMEOUT_S = 0.15  # a response takes a round trip of a few milliseconds
LISTED_INTERVAL_S = 0.2  # between two looks at the versions that are listed
HAND_ON_INTERVAL_S = 0.5  # between two looks for members that came or went
MAX_HANDED_ON = 1000  # streams, the newest ones, at one change of members


@dataclass(slots=True)
class Finding:
    """What is known of a stream, here and at the members that were asked.

    Attributes:
        software: version that began it; None if nobody knows.
        since: time in seconds after which the stream began.
        until: time in seconds before which it began.
        listed: versions that its service was listed with since then.
        coverages: times in which this process and others missed no version.
        unanswered: members that have not answered yet. Those of other zones answer only
            if they know the stream.
    """

    software: str | None = None
    since: float = 0.0
    until: float = 0.0
    listed: set[str] = field(default_factory=set)
    coverages: list[Coverage] = field(default_factory=list)
    unanswered: int = 0

    @property
    def only_version(self) -> str | None:
        """The version that must have begun it; None if it may be one of several."""
        if self.software is not None:
            return self.software
        return next(iter(self.listed)) if self._is_proven else None

    @property
    def uncovered_s(self) -> float:
        """Seconds before `until` in which a version may have been missed."""
        return max(0.0, self.until - covered_until(self.coverages, self.since))

    @property
    def _is_proven(self) -> bool:
        return self.uncovered_s == 0 and len(self.listed) == 1

    def add(self, answer: OriginAnswer, now: float) -> None:
        """Add what a member knows, which it said at a time."""
        self.unanswered -= 1
        self.software = self.software if answer.software is None else answer.software
        self.listed.update(answer.listed)
        if answer.covered is not None:
            since_s, until_s = answer.covered
            self.coverages.append(Coverage(now - since_s, now - until_s))


@dataclass(slots=True)
class OriginExchange:
    """Tells others of streams, answers what it was told, and asks.

    Attributes:
        context: transport, clock and ids.
        members: the members of the fleet.
        replica: local replica of the store with the endpoints.
        origins: the streams that this process knows.
        listed: versions that endpoints ran lately.
    """

    context: Context
    members: FleetMembers
    replica: StoreReplica
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    listed: ListedSoftware = field(init=False)
    _pending: PendingAnswers = field(default_factory=PendingAnswers)
    _searches: dict[str, Finding] = field(default_factory=dict)
    # Address and incarnation of the members that keep streams.
    _told: frozenset[tuple[str, str]] = frozenset()

    def __post_init__(self) -> None:
        self.listed = ListedSoftware(self.context.clock())

    def start(self) -> None:
        """Register message handlers and timers."""
        self.context.handle(
            {
                StreamBegun: self._on_begun,
                OriginQuery: self._on_query,
                OriginAnswer: self._on_answer,
            }
        )
        self.context.every(FORGET_INTERVAL_S, self.origins.forget)
        self.context.every(LISTED_INTERVAL_S, self._record_listed)
        self.context.every(HAND_ON_INTERVAL_S, self._hand_on)

    def announce(self, stream: str, software: str, by_content: bool = False) -> None:
        """Record that an endpoint of a version began a stream, and tell others.

        Args:
            stream: key of the stream.
            software: the version.
            by_content: whether the key is that of all streams with the same request.
        """
        now = self.context.clock()
        begun = StreamBegun(stream, software, by_content)
        self._record(begun, now)
        for member in self._keepers(stream, now)[:COPIES]:
            self.context.send(member.address, begun)

    async def find(
        self, stream: str, service: str = "", since: float = 0.0, until: float = 0.0
    ) -> Finding:
        """Return what is known of a stream.

        Args:
            stream: key of the stream.
            service: name of its service.
            since: time in seconds after which it began.
            until: time in seconds before which it began.
        """
        now = self.context.clock()
        self._record_listed(now)
        known = self.origins.software(stream)
        finding = Finding(known, since, until)
        finding.listed |= self.listed.versions(service, since)
        finding.coverages.append(self._coverage(now))
        if known is None:
            await self._ask_members(stream, service, now - since, finding)
        return finding

    def is_confirmed_since(self, at: float) -> bool:
        """Return whether the replica of the store was confirmed after some time."""
        return self._coverage(self.context.clock()).until >= at

    def _coverage(self, now: float) -> Coverage:
        return self.listed.coverage(now, self.replica.age(now))

    async def _ask_members(
        self, stream: str, service: str, lately_s: float, finding: Finding
    ) -> None:
        now = self.context.clock()
        asked = [item.address for item in self._keepers(stream, now)[:ASKED_MEMBERS]]
        relays = self.members.reporters_elsewhere(now) if self.members.divided else []
        finding.unanswered = len(asked) + len(relays)
        if not finding.unanswered:
            return
        query = OriginQuery(
            self.context.new_id(),
            stream,
            self.members.address,
            service=service,
            lately_s=lately_s,
        )
        self._searches[query.ask] = finding
        try:
            await self._pending.ask(
                query.ask,
                lambda: self._send_queries(query, asked, relays),
                RESPONSE_TIMEOUT_S,
            )
        except TimeoutError:
            self.context.count("stream_origins_unanswered")
        finally:
            del self._searches[query.ask]

    def _send_queries(
        self, query: OriginQuery, asked: list[str], relays: list[str]
    ) -> bool:
        """Send a query to members of the own zone, and to those that pass it on."""
        for address in asked:
            self.context.send(address, query)
        zone_query = msgspec.structs.replace(query, scope=QueryScope.ZONE)
        for address in relays:
            self.context.send(address, zone_query)
        return True

    def _keepers(self, stream: str, now: float) -> list[Member]:
        """Return the members that may keep a stream, in the order of choice.

        Agents and entries take turns, so that a failure of all of one kind leaves some.
        """
        ranked = sorted(
            self._members(now), key=lambda item: _rank(item.address, stream)
        )
        agents = [item for item in ranked if not item.entry]
        entries = [item for item in ranked if item.entry]
        pairs = chain.from_iterable(zip_longest(agents, entries))
        return [item for item in pairs if item is not None]

    def _members(self, now: float) -> list[Member]:
        return [
            item
            for item in self.members.live(now)
            if item.origins and not self.members.is_represented(item)
        ]

    def _hand_on(self, now: float) -> None:
        """Tell the keepers of streams of them if members came or went since."""
        members = self._members(now)
        present = frozenset((item.address, item.incarnation) for item in members)
        came = {address for address, _ in present - self._told}
        went = bool(self._told - present)
        self._told = present
        if not came and not went:
            return
        for stream, origin in self.origins.newest(MAX_HANDED_ON):
            begun = StreamBegun(
                stream, origin.software, origin.by_content, now - origin.at
            )
            for member in self._keepers(stream, now)[:COPIES]:
                if went or member.address in came:
                    self.context.send(member.address, begun)

    def _record(self, begun: StreamBegun, now: float) -> None:
        record = (
            self.origins.record_content if begun.by_content else self.origins.record
        )
        record(begun.stream, begun.software, now - begun.age_s)

    def _record_listed(self, now: float) -> None:
        endpoints = self.replica.registry.endpoints.values()
        self.listed.record(endpoints, now, self.replica.age(now))

    def _on_begun(self, sender: Sender, message: StreamBegun) -> None:
        self._record(message, self.context.clock())

    def _on_query(self, sender: Sender, message: OriginQuery) -> None:
        software = self.origins.software(message.stream)
        now = self.context.clock()
        if software is not None or message.scope is QueryScope.MEMBER:
            self._record_listed(now)
            since = now - message.lately_s
            listed = sorted(self.listed.versions(message.service, since))
            seen = self._coverage(now)
            covered = (now - seen.since, now - seen.until)
            self.context.transport.set_address(message.asker, message.asker)
            answer = OriginAnswer(message.ask, software, listed, covered=covered)
            self.context.send(message.asker, answer)
        elif message.scope is QueryScope.ZONE:
            query = msgspec.structs.replace(message, scope=QueryScope.RELAYED)
            for member in self._keepers(message.stream, now)[:ASKED_MEMBERS]:
                self.context.send(member.address, query)

    def _on_answer(self, sender: Sender, message: OriginAnswer) -> None:
        finding = self._searches.get(message.ask)
        if finding is None:
            return
        finding.add(message, self.context.clock())
        if finding.software is not None or finding.unanswered == 0:
            self._pending.resolve(message.ask, message)


def _rank(address: str, stream: str) -> str:
    return hexdigest((address.encode(), stream.encode()), RANK_BYTES)
