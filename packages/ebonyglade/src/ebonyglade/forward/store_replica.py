"""Local replica of the platform's store.

The replica is complete up to a revision. It also keeps the time at which it was last
known to be complete, on a clock that runs on while the machine is suspended. Reads
of the store and other members' replicas advance both; nothing moves them back.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from ebonyglade.audit import AuditRecord, AuditTrail, Outcome
from ebonyglade.forward import routing_table as routing_tables
from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.routing_table import RoutingTable
from ebonyglade.forward.types import Endpoint, EndpointRegistry, StoreDocument
from ebonyglade.ports import Clock

logger = logging.getLogger(__name__)

# Live endpoints are listed again within this time after the end of a store outage;
# the platform's own limit is two seconds.
RELIST_GRACE_S = 1.9
NEVER = float("-inf")


@dataclass(slots=True)
class StoreReplica:
    """The store's documents with the routes and endpoints that they describe.

    Attributes:
        adapter: decodes the platform's documents.
        clock: seconds; runs on while the machine is suspended.
        audit: trail of accepted and rejected changes.
        table: routes in force; None before any configuration is known.
        registry: endpoints in use.
        as_of: revision up to which the replica is complete.
    """

    adapter: Adapter
    clock: Clock
    audit: AuditTrail
    table: RoutingTable | None = None
    registry: EndpointRegistry = field(default_factory=EndpointRegistry)
    as_of: int = 0
    _documents: dict[str, StoreDocument] = field(default_factory=dict)
    _confirmed_at: float = NEVER
    _outage_ended_at: float = NEVER
    _drop_at: dict[str, float] = field(default_factory=dict)

    def age(self, now: float) -> float:
        """Return the seconds since the replica was last known to be complete."""
        return now - self._confirmed_at

    def confirm_current_at(self, at: float) -> None:
        """Record a time at which the replica was complete."""
        self._confirmed_at = max(self._confirmed_at, at)

    def record_outage_end(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self._outage_ended_at = now

    def documents(self) -> Iterable[StoreDocument]:
        """Return the documents of the replica."""
        return self._documents.values()

    def apply(self, documents: Iterable[StoreDocument], as_of: int) -> None:
        """Apply all changes from the replica's revision up to `as_of`."""
        for item in [item for item in documents if self._is_newer(item)]:
            self._apply_one(item)
        self.as_of = max(self.as_of, as_of)

    def replace(self, documents: Iterable[StoreDocument], as_of: int) -> None:
        """Replace the replica by all documents that exist at a revision.

        Documents that changed after that revision are kept.
        """
        found = {item.path: item for item in documents}
        gone = [
            StoreDocument(path, None, as_of)
            for path, known in self._documents.items()
            if path not in found and known.revision <= as_of
        ]
        self.apply([*found.values(), *gone], as_of)

    def drop_missing(self, now: float) -> None:
        """Drop the endpoints that were not listed again after an outage."""
        expired = [name for name, until in self._drop_at.items() if until <= now]
        for name in expired:
            del self._drop_at[name]
            self._drop(name, "not listed again after a store outage")

    def _is_newer(self, item: StoreDocument) -> bool:
        known = self._documents.get(item.path)
        if known is None:
            return item.value is not None
        # A document that is missing in a listing is removed as of the listing's
        # revision, which can equal the document's own.
        return item.revision > known.revision or (
            item.value is None and item.revision >= known.revision
        )

    def _apply_one(self, item: StoreDocument) -> None:
        if item.value is None:
            del self._documents[item.path]
        else:
            self._documents[item.path] = item
        if item.path == self.adapter.CONFIGURATION:
            self._apply_configuration(item)
        elif item.path.startswith(self.adapter.ENDPOINTS):
            self._apply_endpoint(item.path.removeprefix(self.adapter.ENDPOINTS), item)

    def _apply_configuration(self, item: StoreDocument) -> None:
        if item.value is None:
            self.audit.add(item.path, item.revision, Outcome.IGNORED, reason="removed")
            return
        try:
            published = self.adapter.decode_published(item.value)
        except ValueError as error:
            self._reject(item, error)
            return
        if self.table is not None and published.version < self.table.version:
            reason = f"version {published.version} is older than the one in force"
            self.audit.add(item.path, item.revision, Outcome.IGNORED, reason=reason)
            return
        self.table = routing_tables.build_routing_table(published)
        reason = f"version {published.version}"
        self.audit.add(item.path, item.revision, Outcome.ACCEPTED, reason=reason)

    def _apply_endpoint(self, name: str, item: StoreDocument) -> None:
        known = self.registry.endpoints.get(name)
        if item.value is None:
            self._unlist_endpoint(name, known, item.revision)
            return
        try:
            endpoint = self.adapter.decode_endpoint(name, item.value)
        except ValueError as error:
            self._reject(item, error)
            self.registry.endpoints.pop(name, None)
            return
        self._drop_at.pop(name, None)
        if self._is_superseded(endpoint):
            return
        self.registry.endpoints[name] = endpoint
        if known is None or known.leaving != endpoint.leaving:
            state = "leaving" if endpoint.leaving else "listed"
            self.audit.add(item.path, item.revision, Outcome.ACCEPTED, reason=state)

    def _is_superseded(self, endpoint: Endpoint) -> bool:
        """Drop an older endpoint at the same address; True if this one is older.

        The document of an endpoint that crashed stays in the store for some
        seconds, while its next process is already listed at the same address.
        """
        for name, other in list(self.registry.endpoints.items()):
            if other.address != endpoint.address or name == endpoint.id:
                continue
            if other.born_ms > endpoint.born_ms:
                return True
            self._drop(name, "replaced by a newer endpoint at its address")
        return False

    def _unlist_endpoint(
        self, name: str, known: Endpoint | None, revision: int
    ) -> None:
        now = self.clock()
        until = self._outage_ended_at + RELIST_GRACE_S
        if known is not None and not known.leaving and now < until:
            # Its document may have expired only because of the store's outage.
            self._drop_at[name] = until
            return
        self._drop(name, "removed", revision)

    def _drop(self, name: str, reason: str, revision: int = 0) -> None:
        if self.registry.endpoints.pop(name, None) is not None:
            path = self.adapter.ENDPOINTS + name
            self.audit.add(path, revision, Outcome.REMOVED, reason=reason)

    def _reject(self, item: StoreDocument, error: ValueError) -> None:
        reason = str(error).replace("\n", " ")[:200]
        self.audit.add(item.path, item.revision, Outcome.REJECTED, reason=reason)


def log_store_change(record: AuditRecord) -> None:
    """Log a change of the store replica."""
    logger.info(
        "store change",
        extra={
            "path": record.path,
            "revision": record.revision,
            "outcome": record.outcome.value,
            "reason": record.reason,
        },
    )
