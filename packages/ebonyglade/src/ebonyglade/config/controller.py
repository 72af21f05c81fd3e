"""Controller of the configuration that is in force in one process."""

import logging
from dataclasses import dataclass

from ebonyglade.audit import AuditRecord, AuditTrail
from ebonyglade.config.checks import record_warnings
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import ConfigView, ViewIndexer
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.ports import Sender
from ebonyglade.wire.control import ConfigItem, ConfigRequest, ConfigUpdate

logger = logging.getLogger(__name__)

REQUEST_RETRY_S = 0.5  # time without an update after which it is requested again
# Each further request waits twice as long: the update may be on its way.
REQUEST_RETRY_MAX_S = 4.0


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """The latest request for changes that was not answered yet.

    Attributes:
        since: revision after which the changes were requested.
        until: time from which another request may be sent.
        retry_s: seconds between the request and `until`.
    """

    since: int
    until: float
    retry_s: float


class ConfigController:
    """Applies configuration from the platform and from other instances.

    An instance that learns of a newer revision requests it from the instance
    that has it. A process therefore catches up even if the platform does not
    answer it or returns an older copy.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.audit = AuditTrail(context.wall_clock, listener=_log)
        self.store = ConfigStore(self.audit)
        self._indexer = ViewIndexer()
        self._pending_request: _PendingRequest | None = None
        context.handle({ConfigRequest: self._on_ask, ConfigUpdate: self._on_push})

    @property
    def view(self) -> ConfigView:
        """The configuration in force."""
        return self._indexer.view

    @property
    def ready(self) -> bool:
        """Whether any configuration has been received."""
        return self.store.revision > 0

    def apply_snapshot(self, revision: int, items: list[ConfigItem]) -> None:
        """Apply a snapshot that was read from the platform."""
        self._refresh(self.store.apply_snapshot(revision, items))

    def on_remote_revision(self, instance: str, revision: int) -> None:
        """Request the changes from an instance that has a newer revision.

        While one request is pending no other is sent, so that each change is
        transferred once. It is repeated after `REQUEST_RETRY_S`, then ever more rarely.
        """
        known, now = self.store.revision, self._context.clock()
        if revision <= known:
            return
        pending = self._pending_request
        retry_s = REQUEST_RETRY_S
        if pending is not None and pending.since == known:
            if now < pending.until:
                return
            retry_s = min(2 * pending.retry_s, REQUEST_RETRY_MAX_S)
        self._pending_request = _PendingRequest(known, now + retry_s, retry_s)
        self.request_changes(instance)

    def request_changes(self, instance: str) -> None:
        """Request the changes that an instance has and this one lacks."""
        request = ConfigRequest(self.store.revision, self.store.invalid())
        self._context.send(instance, request)

    def _on_ask(self, sender: Sender, message: ConfigRequest) -> None:
        push = self.store.push_since(message.since, message.invalid)
        self._context.send(sender.instance, push)

    def _on_push(self, sender: Sender, message: ConfigUpdate) -> None:
        changed = self.store.apply_push(message)
        self._pending_request = None
        if changed is not None:
            self._refresh(changed)
        newest = max(message.newest, message.revision)
        self.on_remote_revision(sender.instance, newest)

    def _refresh(self, changed: set[str]) -> None:
        before = self.view
        if not changed and before.revision == self.store.revision:
            return
        view = self._indexer.apply(self.store, changed)
        record_warnings(self.store, self._indexer, changed, self.audit)
        self._context.invariants.require(
            view.revision >= before.revision,
            "configuration_never_reverts",
            f"{before.revision} -> {view.revision}",
        )
        self._context.events.send(Event.VIEW_CHANGED, view)


def _log(record: AuditRecord) -> None:
    logger.info(
        "configuration change",
        extra={
            "path": record.path,
            "revision": record.revision,
            "outcome": record.outcome.value,
            "author": record.author,
            "reason": record.reason,
        },
    )
