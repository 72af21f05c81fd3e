"""Controller of the configuration in force in one process."""

import logging

from ebonyglade.audit import AuditRecord, AuditTrail
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import View, build
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.ports import Sender
from ebonyglade.wire.control import ConfigAsk, ConfigItem, ConfigPush

logger = logging.getLogger(__name__)


class ConfigController:
    """Takes configuration from the platform and from neighbours.

    Whoever hears of a newer revision asks for it, so a process that the
    platform does not answer, or answers with an older copy, still catches up.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.audit = AuditTrail(context.wall, listener=_log)
        self.store = ConfigStore(self.audit)
        self._view = View()
        context.handle({ConfigAsk: self._on_ask, ConfigPush: self._on_push})
        context.events.listen(Event.VIEW_CHANGED, self._learn_addresses)

    @property
    def view(self) -> View:
        """The configuration in force."""
        return self._view

    @property
    def ready(self) -> bool:
        """Whether any configuration is known."""
        return self.store.revision > 0

    def take_snapshot(self, revision: int, items: list[ConfigItem]) -> None:
        """Take what the platform answered."""
        self._refresh(self.store.apply_snapshot(revision, items))

    def heard_revision(self, instance: str, revision: int) -> None:
        """Ask a neighbour that knows a newer revision for it."""
        if revision > self.store.revision:
            self._context.send(instance, ConfigAsk(self.store.revision))

    def _on_ask(self, sender: Sender, message: ConfigAsk) -> None:
        self._context.send(sender.instance, self.store.push_since(message.since))

    def _on_push(self, sender: Sender, message: ConfigPush) -> None:
        changed = self.store.apply_push(message)
        if changed is None:
            self.heard_revision(sender.instance, message.revision)
            return
        self._refresh(changed)

    def _refresh(self, changed: set[str]) -> None:
        before = self._view.revision
        if not changed and before == self.store.revision:
            return
        self._view = build(self.store)
        self._context.invariants.require(
            self._view.revision >= before,
            "configuration_never_reverts",
            f"{before} -> {self._view.revision}",
        )
        self._context.events.send(Event.VIEW_CHANGED, self._view)

    def _learn_addresses(self, view: View) -> None:
        for name, instance in view.instances.items():
            self._context.transport.learn(name, instance.address)


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
