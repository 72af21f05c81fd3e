"""Newest known configuration, which never goes back to an older revision."""

from collections.abc import Iterable
from dataclasses import dataclass

from result import Ok

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config.published import Document, parse
from ebonyglade.wire.control import ConfigItem, ConfigPush


@dataclass(frozen=True, slots=True)
class Accepted:
    """A valid document in force, with the item that carried it."""

    item: ConfigItem
    document: Document


class ConfigStore:
    """Holds the newest item of each path and the last valid one.

    A path's newest revision wins; a removal is remembered with its revision so
    that an older copy can't bring the path back.
    """

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._latest: dict[str, ConfigItem] = {}
        self._good: dict[str, Accepted] = {}
        self._removed: dict[str, int] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Newest revision seen; zero before the first."""
        return self._revision

    @property
    def documents(self) -> dict[str, Accepted]:
        """What is in force, by path."""
        return self._good

    def latest(self, path: str) -> ConfigItem | None:
        """Return the newest published item of a path, valid or not."""
        return self._latest.get(path)

    def apply_snapshot(self, revision: int, items: Iterable[ConfigItem]) -> set[str]:
        """Take the whole tree as the platform published it at `revision`.

        Returns:
            The paths whose document in force changed. A snapshot older than
            what is known changes nothing.
        """
        if revision < self._revision:
            self._audit.add(
                "", revision, Outcome.IGNORED, reason="older than what is known"
            )
            return set()
        fresh = {item.path: item for item in items}
        gone = [path for path in self._latest if path not in fresh]
        changed = {path for path in gone if self._remove(path, revision)}
        changed |= {item.path for item in fresh.values() if self._take(item)}
        self._revision = revision
        return changed

    def apply_push(self, push: ConfigPush) -> set[str] | None:
        """Take what a neighbour hands on.

        Returns:
            The paths whose document changed, or None if the push starts after
            what is known here, in which case nothing was taken.
        """
        if push.since > self._revision:
            return None
        changed = {item.path for item in push.good if self._take_good(item)}
        changed |= {item.path for item in push.items if self._take(item)}
        changed |= {path for path, at in push.removed if self._remove(path, at)}
        self._revision = max(self._revision, push.revision)
        return changed

    def push_since(self, since: int) -> ConfigPush:
        """Return everything that changed after a revision, for a neighbour."""
        items = [item for item in self._latest.values() if item.revision > since]
        removed = [(path, at) for path, at in self._removed.items() if at > since]
        good = [
            self._good[item.path].item
            for item in items
            if item.path in self._good and self._good[item.path].item != item
        ]
        return ConfigPush(since, self._revision, items, removed, good)

    def _take(self, item: ConfigItem) -> bool:
        known = self._latest.get(item.path)
        if known is not None and known.revision >= item.revision:
            return False
        if self._removed.get(item.path, -1) >= item.revision:
            return False
        self._latest[item.path] = item
        self._removed.pop(item.path, None)
        return self._accept(item)

    def _take_good(self, item: ConfigItem) -> bool:
        known = self._good.get(item.path)
        if known is not None and known.item.revision >= item.revision:
            return False
        if self._removed.get(item.path, -1) >= item.revision:
            return False
        return self._accept(item)

    def _accept(self, item: ConfigItem) -> bool:
        outcome = parse(item.path, item.value)
        if not isinstance(outcome, Ok):
            self._audit.add(
                item.path, item.revision, Outcome.REJECTED, reason=outcome.err_value
            )
            return False
        document = outcome.ok_value
        self._good[item.path] = Accepted(item, document)
        self._audit.add(item.path, item.revision, Outcome.ACCEPTED, document.author)
        return True

    def _remove(self, path: str, revision: int) -> bool:
        known = self._latest.get(path)
        if known is not None and known.revision > revision:
            return False
        self._removed[path] = max(revision, self._removed.get(path, 0))
        self._latest.pop(path, None)
        if self._good.pop(path, None) is None:
            return False
        self._audit.add(path, revision, Outcome.REMOVED)
        return True
