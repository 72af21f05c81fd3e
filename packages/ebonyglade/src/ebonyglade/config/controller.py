"""Controller of the configuration that is in force in one process."""

import logging

from ebonyglade.audit import AuditRecord, AuditTrail
from ebonyglade.config.checks import record_warnings
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import ConfigView, ViewIndexer
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.ports import Sender
from ebonyglade.wire.control import ConfigItem, ConfigRequest, ConfigUpdate

logger = logging.getLogger(__name__)

_NO_REQUEST = (-1, 0.0)
REQUEST_RETRY_S = 0.5  # timeout after which the next request may be sent


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
        self._pending_request = _NO_REQUEST
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
        transferred once; after `REQUEST_RETRY_S` another one may be sent.
        """
        known, now = self.store.revision, self._context.clock()
        if revision <= known:
            return
        pending_revision, requested_at = self._pending_request
        if pending_revision == known and now - requested_at < REQUEST_RETRY_S:
            return
        self._pending_request = (known, now)
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
        self._pending_request = _NO_REQUEST
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
