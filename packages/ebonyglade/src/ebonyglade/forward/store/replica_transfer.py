"""Transfer of a newer store replica from one other member at a time.

Members that have a newer replica offer it with each heartbeat. Only one of them is
asked, and another one only if the first makes no progress: on a slow link two copies
of a large document take twice as long as one, and delay all other messages.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.forward.store.document_parts import IncomingDocument, InvalidContent
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import StoreVersion
from ebonyglade.ports import Sender
from ebonyglade.wire.replica import (
    DocumentPart,
    ReplicaDocument,
    ReplicaRequest,
    ReplicaResponse,
)

logger = logging.getLogger(__name__)

FIRST_TIMEOUT_S = 0.4  # without progress, after which another member is asked
# The time doubles up to this; a part that is sent twice costs little.
MAX_TIMEOUT_S = 0.8
TIMEOUT_PARTS = 3  # times of one part after which the next one counts as late
OFFER_TTL_S = 2.0  # an offer that no heartbeat has renewed is dropped
CHECK_INTERVAL_S = 0.1
PROGRESS_MAX_AGE_S = 1.0  # a transfer without progress for longer may have failed

ApplyResponse = Callable[[ReplicaResponse, list[ReplicaDocument]], None]


@dataclass(frozen=True, slots=True)
class _Offer:
    """A member's newer replica.

    Attributes:
        at: when it was last offered.
        capacity: rate of the member's network link in Mbit/s; 0 if not known.
    """

    at: float
    capacity: float


@dataclass(slots=True)
class _Transfer:
    """The transfer that is under way.

    Attributes:
        source: address of the member that was asked last.
        started_at: when it began.
        asked_at: when a member was last asked.
        progress_at: when something last arrived; negative infinity if nothing did.
        timeout_s: time after `asked_at` at which another member is asked.
        response: the response to the request; None before it arrives.
        whole: documents that arrived, with their content.
        incoming: documents of which parts are missing.
        received: bytes that arrived.
        retries: how often a member was asked again.
    """

    source: str
    started_at: float
    asked_at: float
    progress_at: float = float("-inf")
    timeout_s: float = FIRST_TIMEOUT_S
    response: ReplicaResponse | None = None
    whole: list[ReplicaDocument] = field(default_factory=list)
    incoming: list[IncomingDocument] = field(default_factory=list)
    received: int = 0
    retries: int = 0


@dataclass(slots=True)
class ReplicaTransfer:
    """Gets newer replicas from other members.

    Attributes:
        context: transport, clock and timers.
        replica: replica of this process.
        apply: called with each complete response and its documents.
    """

    context: Context
    replica: StoreReplica
    apply: ApplyResponse
    _offers: dict[str, _Offer] = field(default_factory=dict)
    _current: _Transfer | None = None

    @property
    def source(self) -> str | None:
        """Address of the member that was asked last; None without a transfer."""
        return self._current.source if self._current is not None else None

    def start(self) -> None:
        """Register handlers and timers."""
        self.context.handle(
            {ReplicaResponse: self._on_response, DocumentPart: self._on_part}
        )
        self.context.every(CHECK_INTERVAL_S, self.check)

    def is_progressing(self, now: float) -> bool:
        """Return whether a replica is arriving."""
        current = self._current
        return current is not None and now - current.progress_at < PROGRESS_MAX_AGE_S

    def offer(self, member: Member) -> None:
        """Record that a member has a newer replica; request it if none is requested."""
        now = self.context.clock()
        self._offers[member.address] = _Offer(now, member.capacity)
        if self._current is None:
            self._current = _Transfer(member.address, now, now)
            self._request_replica()

    def withdraw(self, member: Member) -> None:
        """Record that a member's replica is not newer than the own one."""
        self._offers.pop(member.address, None)

    def check(self, now: float) -> None:
        """Ask another member if the transfer makes no progress."""
        current = self._current
        if current is None or now - current.asked_at < current.timeout_s:
            return
        source = self._next_source(now)
        if source is None:
            logger.info("replica transfer given up", extra={"member": current.source})
            self._current = None
            return
        current.source = source
        longer = min(2 * current.timeout_s, MAX_TIMEOUT_S)
        current.timeout_s = max(current.timeout_s, longer)
        current.retries += 1
        self._ask_next()

    def _next_source(self, now: float) -> str | None:
        """Return another member to ask, with a fast link if there is one."""
        self._offers = {
            address: offer
            for address, offer in self._offers.items()
            if now - offer.at < OFFER_TTL_S
        }
        if not self._offers:
            return None
        others = [name for name in self._offers if name != self._current.source]
        candidates = others or list(self._offers)
        self.context.rng.shuffle(candidates)
        return max(candidates, key=lambda name: self._offers[name].capacity)

    def _ask_next(self) -> None:
        """Request what is missing next."""
        current = self._current
        if current.response is None:
            self._request_replica()
            return
        current.asked_at = self.context.clock()
        self.context.send(current.source, current.incoming[0].next_request)

    def _request_replica(self) -> None:
        current, replica = self._current, self.replica
        current.asked_at = self.context.clock()
        self.context.count("replica_requests")
        self.context.send(
            current.source,
            ReplicaRequest(
                replica.as_of.revision,
                current.asked_at,
                replica.as_of.era,
                replica.configuration_version,
                parts=True,
            ),
        )

    def _on_response(self, sender: Sender, response: ReplicaResponse) -> None:
        incoming = [IncomingDocument(item) for item in response.changed if item.size]
        current = self._current
        if current is not None and current.response is not None:
            # Another member's response came first, of which parts are missing.
            if not incoming:
                self._record_response(sender.address, response, response.changed)
                self.apply(response, response.changed)
            return
        if not incoming:
            self._complete(sender.address, response, response.changed)
            return
        if current is None:
            return  # The transfer was given up.
        self._record_progress(sum(len(item.value) for item in response.changed))
        current.source = sender.address
        current.response = response
        current.whole = [item for item in response.changed if not item.size]
        current.incoming = incoming
        self._ask_next()

    def _on_part(self, sender: Sender, part: DocumentPart) -> None:
        current = self._current
        if current is None or not current.incoming:
            return
        document = current.incoming[0]
        if not part.data and part.digest == document.listed.digest:
            self._restart(sender.address)
            return
        if not document.add(part):
            return
        self._record_progress(len(part.data))
        if document.complete and not self._unpack(document):
            return
        if current.incoming:
            self._ask_next()
        else:
            self._complete(sender.address, current.response, current.whole)

    def _unpack(self, document: IncomingDocument) -> bool:
        """Add the content of a complete document; False if it is invalid."""
        current = self._current
        listed = document.listed
        try:
            content = document.content()
        except InvalidContent as error:
            logger.warning(
                "document invalid", extra={"path": listed.path, "reason": str(error)}
            )
            self._current = None
            return False
        current.incoming.pop(0)
        current.whole.append(ReplicaDocument(listed.path, content, listed.revision))
        return True

    def _restart(self, address: str) -> None:
        """Request the replica again: a member has newer content than it listed."""
        current = self._current
        current.source = address
        current.response, current.whole, current.incoming = None, [], []
        self._request_replica()

    def _record_progress(self, received: int) -> None:
        current = self._current
        now = self.context.clock()
        last_part_s = now - current.asked_at
        current.timeout_s = max(FIRST_TIMEOUT_S, TIMEOUT_PARTS * last_part_s)
        current.progress_at = now
        current.received += received

    def _complete(
        self, source: str, response: ReplicaResponse, documents: list[ReplicaDocument]
    ) -> None:
        current, self._current = self._current, None
        self._offers.clear()
        self._record_response(source, response, documents, current)
        self.apply(response, documents)

    def _record_response(
        self,
        source: str,
        response: ReplicaResponse,
        documents: list[ReplicaDocument],
        transfer: _Transfer | None = None,
    ) -> None:
        """Log and count what a replica brought, and whether it was needed."""
        known = self.replica.as_of
        needed = StoreVersion(response.era, response.as_of) > known
        received = sum(len(item.value) for item in documents)
        started_at, retries = response.sent_at, 0
        if transfer is not None:
            received = transfer.received or received
            started_at, retries = transfer.started_at, transfer.retries
        self.context.count("replica_bytes", received)
        if not needed:
            self.context.count("replica_bytes_outdated", received)
        logger.info(
            "replica received",
            extra={
                "member": source,
                "bytes": received,
                "documents": len(documents),
                "seconds": round(self.context.clock() - started_at, 3),
                "retries": retries,
                "era": response.era,
                "revision": response.as_of,
                "known_revision": known.revision,
                "needed": needed,
            },
        )
