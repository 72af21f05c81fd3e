"""Where processes keep and find the software version that began a stream.

Each stream that callers may take up is told to a few members, chosen by its key, so
that it can go on when the process that began it has ended. A process that does not know
a stream asks them.
"""

from dataclasses import dataclass, field

import msgspec

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.pending_answers import PendingAnswers
from ebonyglade.forward.stream_origins import StreamOrigins
from ebonyglade.hashing import hexdigest
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import OriginAnswer, OriginQuery, QueryScope, StreamBegun

COPIES = 3  # members that are told of a stream, besides the one that began it
ASKED_MEMBERS = 6  # more than `COPIES`, since members may have come and gone since
FORGET_INTERVAL_S = 1.0  # between two removals of streams that began long ago
RANK_BYTES = 8
RESPONSE_TIMEOUT_S = 0.15  # a response takes a round trip of a few milliseconds


@dataclass(slots=True)
class OriginExchange:
    """Tells others of streams, answers what it was told, and asks.

    Attributes:
        context: transport, clock and ids.
        members: the members of the fleet.
        origins: the streams that this process knows.
    """

    context: Context
    members: FleetMembers
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    _pending: PendingAnswers = field(default_factory=PendingAnswers)
    # Members that have not answered a search yet. Those of other zones answer only if
    # they know the stream.
    _unanswered: dict[str, int] = field(default_factory=dict)

    def start(self) -> None:
        """Register message handlers."""
        self.context.handle(
            {
                StreamBegun: self._on_begun,
                OriginQuery: self._on_query,
                OriginAnswer: self._on_answer,
            }
        )
        self.context.every(FORGET_INTERVAL_S, self.origins.forget)

    def announce(self, stream: str, software: str) -> None:
        """Record that an endpoint of a version began a stream, and tell others."""
        now = self.context.clock()
        self.origins.record(stream, software, now)
        for member in self._keepers(stream, now)[:COPIES]:
            self.context.send(member.address, StreamBegun(stream, software))

    async def find(self, stream: str) -> str | None:
        """Return the version that began a stream; None if nobody knows it."""
        known = self.origins.software(stream)
        if known is not None:
            return known
        now = self.context.clock()
        asked = [item.address for item in self._keepers(stream, now)[:ASKED_MEMBERS]]
        relays = self.members.reporters_elsewhere(now) if self.members.divided else []
        if not asked and not relays:
            return None
        query = OriginQuery(self.context.new_id(), stream, self.members.address)
        self._unanswered[query.ask] = len(asked) + len(relays)
        try:
            answer = await self._pending.ask(
                query.ask,
                lambda: self._send_queries(query, asked, relays),
                RESPONSE_TIMEOUT_S,
            )
        except TimeoutError:
            self.context.count("stream_origins_unanswered")
            return None
        finally:
            del self._unanswered[query.ask]
        return answer.software

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
        """Return the members that may keep a stream, in the order of choice."""
        members = [
            item
            for item in self.members.live(now)
            if item.origins and not self.members.is_represented(item)
        ]
        return sorted(members, key=lambda item: _rank(item.address, stream))

    def _on_begun(self, sender: Sender, message: StreamBegun) -> None:
        self.origins.record(message.stream, message.software, self.context.clock())

    def _on_query(self, sender: Sender, message: OriginQuery) -> None:
        software = self.origins.software(message.stream)
        if software is not None or message.scope is QueryScope.MEMBER:
            self.context.transport.set_address(message.asker, message.asker)
            self.context.send(message.asker, OriginAnswer(message.ask, software))
        elif message.scope is QueryScope.ZONE:
            query = msgspec.structs.replace(message, scope=QueryScope.RELAYED)
            now = self.context.clock()
            for member in self._keepers(message.stream, now)[:ASKED_MEMBERS]:
                self.context.send(member.address, query)

    def _on_answer(self, sender: Sender, message: OriginAnswer) -> None:
        if message.ask not in self._unanswered:
            return
        self._unanswered[message.ask] -= 1
        if message.software is not None or self._unanswered[message.ask] == 0:
            self._pending.resolve(message.ask, message)


def _rank(address: str, stream: str) -> str:
    return hexdigest((address.encode(), stream.encode()), RANK_BYTES)
