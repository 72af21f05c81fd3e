"""Controller of the configuration in force in one process."""

import logging
import time
from collections.abc import Callable

from ebonyglade.audit import AuditRecord, AuditTrail
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import View, build
from ebonyglade.ports import Sender, Transport
from ebonyglade.wire.messages import ConfigAsk, ConfigItem, ConfigPush, Message

logger = logging.getLogger(__name__)


class ConfigController:
    """Takes configuration from the platform and from neighbours.

    Whoever hears of a newer revision asks for it, so a process that the
    platform does not answer, or answers with an older copy, still catches up.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self.audit = AuditTrail(time.time, listener=_log)
        self.store = ConfigStore(self.audit)
        self._view = View()
        self.on_view: list[Callable[[View], None]] = []
        self.handlers: dict[type[Message], Callable[[Sender, Message], None]] = {
            ConfigAsk: self._on_ask,
            ConfigPush: self._on_push,
        }

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
            self._transport.send(instance, ConfigAsk(self.store.revision))

    def _on_ask(self, sender: Sender, message: ConfigAsk) -> None:
        push = self.store.push_since(message.since)
        self._transport.send(sender.instance, push)

    def _on_push(self, sender: Sender, message: ConfigPush) -> None:
        changed = self.store.apply_push(message)
        if changed is None:
            self.heard_revision(sender.instance, message.revision)
            return
        self._refresh(changed)

    def _refresh(self, changed: set[str]) -> None:
        if not changed and self._view.revision == self.store.revision:
            return
        self._view = build(self.store)
        for listener in self.on_view:
            listener(self._view)


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
