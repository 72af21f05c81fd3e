"""Controller of the configuration in force in one process."""

import logging

from ebonyglade.audit import AuditRecord, AuditTrail
from ebonyglade.config.checks import warn
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import Indexer, View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.ports import Sender
from ebonyglade.wire.control import ConfigAsk, ConfigItem, ConfigPush

logger = logging.getLogger(__name__)

_NOBODY = (-1, 0.0)
ASK_AGAIN_S = 0.5  # after which another neighbour is asked


class ConfigController:
    """Takes configuration from the platform and from neighbours.

    Whoever hears of a newer revision asks for it, so a process that the
    platform does not answer, or answers with an older copy, still catches up.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.audit = AuditTrail(context.wall, listener=_log)
        self.store = ConfigStore(self.audit)
        self._indexer = Indexer()
        self._asked = _NOBODY
        context.handle({ConfigAsk: self._on_ask, ConfigPush: self._on_push})

    @property
    def view(self) -> View:
        """The configuration in force."""
        return self._indexer.view

    @property
    def ready(self) -> bool:
        """Whether any configuration is known."""
        return self.store.revision > 0

    def take_snapshot(self, revision: int, items: list[ConfigItem]) -> None:
        """Take what the platform answered."""
        self._refresh(self.store.apply_snapshot(revision, items))

    def heard_revision(self, instance: str, revision: int) -> None:
        """Ask a neighbour that knows a newer revision for it.

        While one is being asked no other is, unless it lets itself be waited
        for; so each change is transferred once.
        """
        known, now = self.store.revision, self._context.clock()
        if revision <= known:
            return
        asked, at = self._asked
        if asked == known and now - at < ASK_AGAIN_S:
            return
        self._asked = (known, now)
        self.ask(instance)

    def ask(self, instance: str) -> None:
        """Ask a neighbour for what it knows and is not known here."""
        ask = ConfigAsk(self.store.revision, self.store.invalid())
        self._context.send(instance, ask)

    def _on_ask(self, sender: Sender, message: ConfigAsk) -> None:
        push = self.store.push_since(message.since, message.invalid)
        self._context.send(sender.instance, push)

    def _on_push(self, sender: Sender, message: ConfigPush) -> None:
        changed = self.store.apply_push(message)
        self._asked = _NOBODY
        if changed is not None:
            self._refresh(changed)
        newest = max(message.newest, message.revision)
        self.heard_revision(sender.instance, newest)

    def _refresh(self, changed: set[str]) -> None:
        before = self.view
        if not changed and before.revision == self.store.revision:
            return
        view = self._indexer.apply(self.store, changed)
        warn(self.store, self._indexer, changed, self.audit)
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
