"""Local replica of the platform's store.

The replica is complete up to a version. It also keeps the time at which it was last
known to be complete, on a clock that runs on while the machine is suspended. Reads
of the store and other members' replicas advance both; nothing moves them back.

The store may come back from an older copy, which begins a new era. The replica keeps
what it knows until it has all documents of the new era. Then a configuration that is
older than the one in force is ignored, an endpoint that is known to leave or to have
left is not used again, an endpoint that is missing has `RELIST_GRACE_S` to be listed
again, and an evacuated zone that is missing stays evacuated for some seconds.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from ebonyglade.audit import AuditRecord, AuditTrail, Outcome
from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.store import routing_table as routing_tables
from ebonyglade.forward.store.evacuations import Evacuations
from ebonyglade.forward.store.leaving import LeavingMarks
from ebonyglade.forward.store.routing_table import RoutingTable
from ebonyglade.forward.types import (
    NO_VERSION,
    Endpoint,
    EndpointRegistry,
    Service,
    StoreDocument,
    StoreVersion,
)
from ebonyglade.ports import Clock

logger = logging.getLogger(__name__)

# Live endpoints are listed again within this time after the end of a store outage;
# the platform's own limit is two seconds.
RELIST_GRACE_S = 1.9
# Endpoints that left are remembered for this long: an older copy of the store may
# list them again.
DEPARTED_TTL_S = 120.0
# Removed documents are remembered for this long: an answer that is late, such as a slow
# read of all documents, may still list them.
REMOVED_TTL_S = 60.0
REFRESH_INTERVAL_S = 0.2  # between two calls of `StoreReplica.refresh_endpoints`
NEVER = float("-inf")
MAX_LOGGED_AGE_S = 1e6  # logged for a replica that was never confirmed

EndpointListener = Callable[[Endpoint, float], None]
"""Called with a newly read endpoint and the time after which that was written."""


@dataclass(frozen=True, slots=True)
class _Departed:
    """An endpoint that left.

    Attributes:
        born_ms: Unix milliseconds of its start.
        at: when it was dropped.
    """

    born_ms: int
    at: float


@dataclass(frozen=True, slots=True)
class _Removed:
    """A document that was removed.

    Attributes:
        version: version as of which it was removed.
        at: when that was applied.
    """

    version: StoreVersion
    at: float


@dataclass(slots=True)
class StoreReplica:
    """The store's documents with the routes and endpoints that they describe.

    Attributes:
        adapter: decodes the platform's documents.
        clock: seconds; runs on while the machine is suspended.
        audit: trail of accepted and rejected changes.
        table: routes in force; None before any configuration is known.
        registry: endpoints in use.
        as_of: version up to which the replica is complete.
        leaving: endpoints that leave although their documents say that they serve.
        evacuations: zones that the operator has evacuated.
        endpoint_listeners: called with each new document of a listed endpoint.
    """

    adapter: Adapter
    clock: Clock
    audit: AuditTrail
    table: RoutingTable | None = None
    registry: EndpointRegistry = field(default_factory=EndpointRegistry)
    as_of: StoreVersion = NO_VERSION
    leaving: LeavingMarks = field(default_factory=LeavingMarks)
    evacuations: Evacuations = field(init=False)
    endpoint_listeners: list[EndpointListener] = field(default_factory=list)
    _documents: dict[str, StoreDocument] = field(default_factory=dict)
    _confirmed_at: float = NEVER
    _read_at: float = NEVER
    _outage_ended_at: float = NEVER
    _drop_at: dict[str, float] = field(default_factory=dict)
    _departed: dict[str, _Departed] = field(default_factory=dict)
    _removed: dict[str, _Removed] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.evacuations = Evacuations(self.clock)

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 if none is known."""
        return self.table.version if self.table is not None else 0

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force; None if there is none."""
        return self.table.services.get(name) if self.table is not None else None

    def age(self, now: float) -> float:
        """Return the seconds since the replica was last known to be complete."""
        return now - self._confirmed_at

    def log_fields(self, now: float) -> dict[str, float]:
        """Return the version and age of the replica as fields of a log line."""
        return {
            "store_era": self.as_of.era,
            "store_revision": self.as_of.revision,
            "store_age": round(min(self.age(now), MAX_LOGGED_AGE_S), 3),
        }

    def confirm_current_at(self, at: float) -> None:
        """Record a time at which the replica was complete."""
        self._confirmed_at = max(self._confirmed_at, at)

    def record_read(self, asked_at: float) -> None:
        """Record that this process itself has read the store now.

        Args:
            asked_at: when it asked; the replica is confirmed as of that time.
        """
        self._read_at = self.clock()
        self.confirm_current_at(asked_at)

    def record_failed_read(self) -> None:
        """Record that this process can't read the store now."""
        self._read_at = NEVER

    def read_age(self, now: float) -> float:
        """Return the seconds since the store last answered this process itself."""
        return now - self._read_at

    def record_outage_end(self, at: float) -> None:
        """Record that the store answers again after an outage since a time."""
        self._outage_ended_at = max(self._outage_ended_at, at)

    def relist_time_left(self, now: float) -> float:
        """Return the seconds for which endpoints missing since an outage are kept."""
        return max(0.0, self._outage_ended_at + RELIST_GRACE_S - now)

    def evacuation_ended_at(self, zone: str) -> float | None:
        """Return when the evacuation of a zone ended, in local seconds.

        Returns:
            None if the zone is evacuated, or if no evacuation ended lately.
        """
        return self.evacuations.ended_at(zone)

    def documents(self) -> Iterable[StoreDocument]:
        """Return the documents of the replica."""
        return self._documents.values()

    def document(self, path: str) -> StoreDocument | None:
        """Return the document at a path; None if there is none."""
        return self._documents.get(path)

    def apply(self, documents: Iterable[StoreDocument], as_of: StoreVersion) -> bool:
        """Apply all changes from the replica's version up to `as_of`.

        Returns:
            Whether `as_of` is of the replica's own era. Changes of another era are
            not applied: those of an older one are outdated, and a newer one begins
            with all documents, see `replace`.
        """
        if self._documents and as_of.era != self.as_of.era:
            return False
        self._apply_all(documents, as_of)
        return True

    def replace(self, documents: Iterable[StoreDocument], as_of: StoreVersion) -> bool:
        """Replace the replica by all documents that exist at a version.

        Documents that changed after that version are kept.

        Returns:
            Whether `as_of` is not of an older era, which changes nothing.
        """
        if as_of.era < self.as_of.era:
            return False
        found = {item.path: item for item in documents}
        gone = [
            StoreDocument(path, None, as_of)
            for path, known in self._documents.items()
            if path not in found and known.version <= as_of
        ]
        if as_of.era > self.as_of.era and self._documents:
            self._begin_era(found, as_of)
        self._apply_all([*found.values(), *gone], as_of)
        return True

    def adopt_configuration(self, item: StoreDocument) -> None:
        """Put another member's configuration in force if its version is higher.

        The store may have lost it and list an older one under the same revision or a
        later one. A document that is newer is applied with the others.
        """
        known = self._documents.get(item.path)
        if known is not None and item.version <= known.version:
            self._apply_configuration(item)

    def mark_leaving(
        self, name: str, outdated: StoreVersion | None = None, observed: bool = True
    ) -> None:
        """Record that an endpoint leaves although its document says that it serves.

        Args:
            name: id of the endpoint.
            outdated: version of its document that is out of date; None for the
                version that the replica has.
            observed: whether this process found it out itself.
        """
        endpoint = self.registry.endpoints.get(name)
        if endpoint is None:
            return
        path = self.adapter.ENDPOINTS + name
        listed = self._documents.get(path)
        # Without a document it is kept only until it is listed again after an outage.
        version = self.as_of if listed is None else listed.version
        now = self.clock()
        outdated = version if outdated is None else outdated
        if not self.leaving.add(endpoint, outdated, now, observed):
            return
        if not endpoint.leaving and self.leaving.applies(endpoint, version, now):
            self.registry.endpoints[name] = replace(endpoint, leaving=True)
            item = StoreDocument(path, None, version)
            self._record(item, Outcome.ACCEPTED, "leaving, as the endpoint states")

    def refresh_endpoints(self, now: float) -> None:
        """Drop endpoints that were not listed again, and marks that no longer hold."""
        for name in [name for name, until in self._drop_at.items() if until <= now]:
            del self._drop_at[name]
            self._drop(name, "not listed again after a store outage")
        for zone in self.evacuations.end_kept(now):
            item = StoreDocument(self.adapter.EVACUATIONS + zone, None, self.as_of)
            self._record(item, Outcome.REMOVED, "evacuation not written again")
        for name in self.leaving.names():
            self._refresh_mark(name)
        self.leaving.retain(self.registry.endpoints)
        for name, departed in list(self._departed.items()):
            if now - departed.at > DEPARTED_TTL_S:
                del self._departed[name]
        for path, removed in list(self._removed.items()):
            if now - removed.at > REMOVED_TTL_S:
                del self._removed[path]

    def _apply_all(
        self, documents: Iterable[StoreDocument], as_of: StoreVersion
    ) -> None:
        # One page may have several changes of a document, such as a removal after it
        # was set, so that each change is compared with the result of the one before.
        for item in documents:
            if self._is_newer(item):
                self._apply_one(item)
        self.as_of = max(self.as_of, as_of)

    def _begin_era(self, found: dict[str, StoreDocument], as_of: StoreVersion) -> None:
        """Prepare for the documents of a store that came back from an older copy."""
        now = self.clock()
        logger.warning(
            "store came back from an older copy",
            extra={
                "era_before": self.as_of.era,
                "revision_before": self.as_of.revision,
                "era": as_of.era,
                "revision": as_of.revision,
            },
        )
        self.record_outage_end(now)
        for zone in list(self.evacuations.zones):
            if self.adapter.EVACUATIONS + zone not in found:
                self.evacuations.keep(zone)
        for path, item in found.items():
            if path.startswith(self.adapter.ENDPOINTS):
                self._mark_if_leaving(path, item, now)

    def _mark_if_leaving(self, path: str, item: StoreDocument, now: float) -> None:
        """Mark an endpoint that left, or began to leave, in the lost part."""
        name = path.removeprefix(self.adapter.ENDPOINTS)
        try:
            endpoint = self.adapter.decode_endpoint(name, item.value)
        except ValueError:
            return  # `_apply_endpoint` rejects the document and records why.
        known = self.registry.endpoints.get(name)
        departed = self._departed.get(name)
        left = departed is not None and departed.born_ms == endpoint.born_ms
        leaves = (
            known is not None and known.leaving and known.born_ms == endpoint.born_ms
        )
        if left or leaves:
            self.leaving.forget(name)
            # Passed on: a member that starts now knows only the older copy.
            self.leaving.add(endpoint, item.version, now, observed=True)

    def _refresh_mark(self, name: str) -> None:
        document = self._documents.get(self.adapter.ENDPOINTS + name)
        if document is None:
            if name not in self.registry.endpoints:
                self.leaving.expire(name, self.clock())
            return
        endpoint = self._decode_endpoint(name, document)
        if endpoint is None:
            self.leaving.forget(name)
            return
        if not self.leaving.applies(endpoint, document.version, self.clock()):
            self.leaving.end(name)
            self._list_endpoint(endpoint, document)

    def _is_newer(self, item: StoreDocument) -> bool:
        known = self._documents.get(item.path)
        if known is None:
            removed = self._removed.get(item.path)
            is_late = removed is not None and item.version <= removed.version
            return item.value is not None and not is_late
        # A document that is missing in a listing is removed as of the listing's
        # version, which can equal the document's own.
        return item.version > known.version or (
            item.value is None and item.version >= known.version
        )

    def _apply_one(self, item: StoreDocument) -> None:
        if item.path == self.adapter.CONFIGURATION:
            self._apply_configuration(item)
            return
        known = self._documents.get(item.path)
        if item.value is None:
            del self._documents[item.path]
            self._removed[item.path] = _Removed(item.version, self.clock())
        else:
            self._documents[item.path] = item
        if item.path.startswith(self.adapter.ENDPOINTS):
            name = item.path.removeprefix(self.adapter.ENDPOINTS)
            self._apply_endpoint(name, item)
            if known is None or not _is_restored(known, item):
                self._notify_listed(name, item)
        elif item.path.startswith(self.adapter.EVACUATIONS):
            zone = item.path.removeprefix(self.adapter.EVACUATIONS)
            self._apply_evacuation(zone, item)

    def _apply_evacuation(self, zone: str, item: StoreDocument) -> None:
        """Begin or end an evacuation; the content of its document does not matter."""
        if item.value is None:
            if self.evacuations.end(zone):
                self._record(item, Outcome.REMOVED, "evacuation ended")
            else:
                self._record(item, Outcome.IGNORED, "kept until it is written again")
        elif self.evacuations.begin(zone):
            self._record(item, Outcome.ACCEPTED, "zone evacuated")

    def _apply_configuration(self, item: StoreDocument) -> None:
        """Put a configuration in force unless a newer version is.

        Its document is then kept under the newer store version, so that members
        that start later get the configuration in force and not the older one.
        """
        known = self._documents.get(item.path)
        if item.value is None:
            self._keep_configuration(item, known, "removed")
            return
        if known is not None and known.value == item.value:
            # The content is in force, or was rejected, and has only a new version.
            self._keep_document(item, known)
            return
        try:
            published = self.adapter.decode_published(item.value)
        except ValueError as error:
            self._documents[item.path] = item
            self._reject(item, error)
            return
        if published.version < self.configuration_version:
            reason = f"version {published.version} is older than the one in force"
            self._keep_configuration(item, known, reason)
            return
        version = item.version if known is None else max(known.version, item.version)
        self._documents[item.path] = replace(item, version=version)
        self.table = routing_tables.build_routing_table(published)
        self._record(item, Outcome.ACCEPTED, f"version {published.version}")

    def _keep_configuration(
        self, item: StoreDocument, known: StoreDocument | None, reason: str
    ) -> None:
        if known is not None:
            self._keep_document(item, known)
        self._record(item, Outcome.IGNORED, reason)

    def _keep_document(self, item: StoreDocument, known: StoreDocument) -> None:
        """Keep the content of a known document under the newer of two versions."""
        version = max(known.version, item.version)
        self._documents[item.path] = replace(known, version=version)

    def _apply_endpoint(self, name: str, item: StoreDocument) -> None:
        if item.value is None:
            self._unlist_endpoint(name, item)
            return
        endpoint = self._decode_endpoint(name, item)
        if endpoint is None:
            self.registry.endpoints.pop(name, None)
            return
        self._drop_at.pop(name, None)
        if not self._is_superseded(endpoint):
            self._list_endpoint(endpoint, item)

    def _notify_listed(self, name: str, item: StoreDocument) -> None:
        endpoint = self.registry.endpoints.get(name)
        if endpoint is None or item.value is None:
            return
        written_after = self._written_after(item)
        for listener in self.endpoint_listeners:
            listener(endpoint, written_after)

    def _written_after(self, item: StoreDocument) -> float:
        """Return a time after which a document was written.

        A document that the replica lacked although it was complete was written since.
        """
        same_era = item.version.era == self.as_of.era
        return self._confirmed_at if same_era and item.version > self.as_of else NEVER

    def _decode_endpoint(self, name: str, item: StoreDocument) -> Endpoint | None:
        try:
            return self.adapter.decode_endpoint(name, item.value)
        except ValueError as error:
            self._reject(item, error)
            return None

    def _list_endpoint(self, endpoint: Endpoint, item: StoreDocument) -> None:
        known = self.registry.endpoints.get(endpoint.id)
        if self.leaving.applies(endpoint, item.version, self.clock()):
            endpoint = replace(endpoint, leaving=True)
        self.registry.endpoints[endpoint.id] = endpoint
        if known is None or known.leaving != endpoint.leaving:
            state = "leaving" if endpoint.leaving else "listed"
            self._record(item, Outcome.ACCEPTED, state)

    def _is_superseded(self, endpoint: Endpoint) -> bool:
        """Drop an older endpoint at the same address; True if this one is older.

        The document of an endpoint that crashed stays in the store for some
        seconds, while its next process is already listed at the same address.
        """
        if not self._has_service(endpoint):
            return False
        for name, other in list(self.registry.endpoints.items()):
            if other.address != endpoint.address or name == endpoint.id:
                continue
            if not self._has_service(other):
                continue
            if other.born_ms > endpoint.born_ms:
                return True
            self._drop(name, "replaced by a newer endpoint at its address")
        return False

    def _has_service(self, endpoint: Endpoint) -> bool:
        """Return whether the service of an endpoint is configured, as far as known.

        Other writers' documents may name any; they take no address over.
        """
        return self.table is None or endpoint.service in self.table.services

    def _unlist_endpoint(self, name: str, item: StoreDocument) -> None:
        known = self.registry.endpoints.get(name)
        until = self._outage_ended_at + RELIST_GRACE_S
        if known is not None and not known.leaving and self.clock() < until:
            # Its document may have expired only because of the store's outage.
            self._drop_at[name] = until
            return
        self._drop(name, "removed", item.version)

    def _drop(self, name: str, reason: str, version: StoreVersion = NO_VERSION) -> None:
        dropped = self.registry.endpoints.pop(name, None)
        if dropped is not None:
            self._departed[name] = _Departed(dropped.born_ms, self.clock())
            item = StoreDocument(self.adapter.ENDPOINTS + name, None, version)
            self._record(item, Outcome.REMOVED, reason)

    def _reject(self, item: StoreDocument, error: ValueError) -> None:
        reason = str(error).replace("\n", " ")[:200]
        self._record(item, Outcome.REJECTED, reason)

    def _record(self, item: StoreDocument, outcome: Outcome, reason: str) -> None:
        version = item.version
        self.audit.add(
            item.path, version.revision, outcome, reason=reason, era=version.era
        )


def _is_restored(known: StoreDocument, item: StoreDocument) -> bool:
    """Return whether a document only came back with an older copy of the store."""
    return known.value == item.value and known.version.era != item.version.era


def log_store_change(record: AuditRecord) -> None:
    """Log a change of the store replica."""
    logger.info(
        "store change",
        extra={
            "path": record.path,
            "era": record.era,
            "revision": record.revision,
            "outcome": record.outcome.value,
            "reason": record.reason,
        },
    )
