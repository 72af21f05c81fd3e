"""Newest known configuration, which never goes back to an older revision."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from result import Ok

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config.published import Document, parse
from ebonyglade.wire.control import ConfigItem, ConfigPush

PAGE_BYTES = 512 * 1024  # values in one push
POINTS = 4096  # revisions since which removals are known
MAX_INVALID = 256  # paths whose last valid value is asked for at once


@dataclass(frozen=True, slots=True)
class Accepted:
    """A valid document in force, with the item that carried it."""

    item: ConfigItem
    document: Document


class ConfigStore:
    """Holds the newest item of each path and the last valid one.

    What is held is complete up to `revision`: whatever is not newer than that
    is no news, so no older copy can bring anything back.
    """

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._latest: dict[str, ConfigItem] = {}
        self._good: dict[str, Accepted] = {}
        self._invalid: set[str] = set()
        self._removed: dict[str, int] = {}
        self._points: deque[int] = deque(maxlen=POINTS)
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

    def invalid(self) -> list[tuple[str, int]]:
        """Return the paths whose newest value is invalid.

        Each comes with the revision of the valid value in force; zero if none.
        """
        return [
            (path, self._good[path].item.revision if path in self._good else 0)
            for path in sorted(self._invalid)[:MAX_INVALID]
        ]

    def apply_snapshot(self, revision: int, items: Iterable[ConfigItem]) -> set[str]:
        """Take the whole tree as the platform published it at `revision`.

        Returns:
            The paths whose document in force changed. A snapshot that is not
            newer than what is known changes nothing.
        """
        if revision < self._revision:
            self._audit.add(
                "", revision, Outcome.IGNORED, reason="older than what is known"
            )
        if revision <= self._revision:
            return set()
        fresh = {item.path: item for item in items}
        gone = [path for path in self._latest if path not in fresh]
        changed = {path for path in gone if self._remove(path, revision)}
        changed |= {item.path for item in fresh.values() if self._take(item)}
        self._reach(revision)
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
        if push.revision <= self._revision:
            return changed
        # What is not newer than the known revision was replaced or removed since.
        news = [item for item in push.items if item.revision > self._revision]
        changed |= {item.path for item in news if self._take(item)}
        changed |= {path for path, at in push.removed if self._remove(path, at)}
        if push.paths is not None:
            changed |= self._keep_only(push.paths, push.newest)
        # Some of these are new invalid values whose last valid one came along.
        changed |= {item.path for item in push.good if self._take_good(item)}
        self._reach(push.revision)
        return changed

    def push_since(
        self, since: int, invalid: Iterable[tuple[str, int]] = ()
    ) -> ConfigPush:
        """Return what changed after a revision, for a neighbour.

        Args:
            since: newest revision that the neighbour has.
            invalid: what the neighbour's `invalid` returned.
        """
        news = [item for item in self._latest.values() if item.revision > since]
        page = _page(news)
        revision = self._revision if len(page) == len(news) else page[-1].revision
        # A neighbour at a revision that was never held here may have paths that
        # came and went unseen.
        told_all = since == 0 or since >= self._revision or since in self._points
        removed = [(path, at) for path, at in self._removed.items() if at > since]
        return ConfigPush(
            since,
            revision,
            page,
            removed if since and told_all else [],
            self._good_for(page, invalid),
            self._revision,
            None if told_all else list(self._latest),
        )

    def _good_for(
        self, page: list[ConfigItem], invalid: Iterable[tuple[str, int]]
    ) -> list[ConfigItem]:
        """Return the last valid values that a neighbour may lack."""
        wanted = {item.path: 0 for item in page if item.path in self._invalid}
        wanted.update(invalid)
        return [
            self._good[path].item
            for path, known in wanted.items()
            if path in self._good and self._good[path].item.revision > known
        ]

    def _take(self, item: ConfigItem) -> bool:
        known = self._latest.get(item.path)
        if known is not None and known.revision >= item.revision:
            return False
        self._latest[item.path] = item
        self._removed.pop(item.path, None)
        return self._accept(item)

    def _take_good(self, item: ConfigItem) -> bool:
        if item.path not in self._invalid:
            return False
        if item.revision >= self._latest[item.path].revision:
            return False
        known = self._good.get(item.path)
        if known is not None and known.item.revision >= item.revision:
            return False
        outcome = parse(item.path, item.value)
        if not isinstance(outcome, Ok):
            return False
        self._put(item, outcome.ok_value)
        return True

    def _accept(self, item: ConfigItem) -> bool:
        outcome = parse(item.path, item.value)
        if not isinstance(outcome, Ok):
            self._invalid.add(item.path)
            self._audit.add(
                item.path, item.revision, Outcome.REJECTED, reason=outcome.err_value
            )
            return False
        self._invalid.discard(item.path)
        self._put(item, outcome.ok_value)
        return True

    def _put(self, item: ConfigItem, document: Document) -> None:
        self._good[item.path] = Accepted(item, document)
        self._audit.add(item.path, item.revision, Outcome.ACCEPTED, document.author)

    def _keep_only(self, paths: Iterable[str], revision: int) -> set[str]:
        kept = set(paths)
        gone = [path for path in self._latest if path not in kept]
        return {path for path in gone if self._remove(path, revision)}

    def _remove(self, path: str, revision: int) -> bool:
        known = self._latest.get(path)
        if known is not None and known.revision > revision:
            return False
        self._removed[path] = max(revision, self._removed.get(path, 0))
        self._latest.pop(path, None)
        self._invalid.discard(path)
        if self._good.pop(path, None) is None:
            return False
        self._audit.add(path, revision, Outcome.REMOVED)
        return True

    def _reach(self, revision: int) -> None:
        self._revision = revision
        if len(self._points) == POINTS:
            self._forget_removals()
        self._points.append(revision)

    def _forget_removals(self) -> None:
        """Drop the removals that no neighbour can be told any more."""
        oldest = self._points[0]
        if not any(at <= oldest for at in self._removed.values()):
            return
        self._removed = {path: at for path, at in self._removed.items() if at > oldest}


def _page(items: list[ConfigItem]) -> list[ConfigItem]:
    """Return the oldest items that fit in a page, each revision whole."""
    items = sorted(items, key=lambda item: item.revision)
    size = 0
    for number, item in enumerate(items):
        size += len(item.path) + len(item.value)
        whole = number + 1 == len(items) or items[number + 1].revision > item.revision
        if size >= PAGE_BYTES and whole:
            return items[: number + 1]
    return items
