"""Store of the newest known configuration; its revision never decreases."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from result import Ok

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config.documents import Document, parse_document
from ebonyglade.wire.control import ConfigItem, ConfigUpdate

PAGE_BYTES = 512 * 1024  # size of the values in one push
MAX_KNOWN_REVISIONS = 4096  # revisions for which later removals are recorded
MAX_INVALID_PATHS = 256  # paths in one request for last valid values


@dataclass(frozen=True, slots=True)
class AcceptedDocument:
    """A valid document in force, with the item that it was parsed from."""

    item: ConfigItem
    document: Document


class ConfigStore:
    """Holds the newest item and the last valid document of each path.

    The contents are complete up to `revision`. Items that are not newer than
    that are ignored, so an older copy cannot restore anything that was removed
    or replaced.
    """

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._latest: dict[str, ConfigItem] = {}
        self._last_valid: dict[str, AcceptedDocument] = {}
        self._invalid: set[str] = set()
        self._removed: dict[str, int] = {}
        self._known_revisions: deque[int] = deque(maxlen=MAX_KNOWN_REVISIONS)
        self._revision = 0

    @property
    def revision(self) -> int:
        """Newest revision seen; zero before the first."""
        return self._revision

    @property
    def documents(self) -> dict[str, AcceptedDocument]:
        """Documents in force, by path."""
        return self._last_valid

    def latest(self, path: str) -> ConfigItem | None:
        """Return the newest published item of a path, valid or not."""
        return self._latest.get(path)

    def invalid(self) -> list[tuple[str, int]]:
        """Return the paths whose newest value is invalid.

        Each path comes with the revision of its last valid value, or zero.
        """
        return [
            (
                path,
                self._last_valid[path].item.revision if path in self._last_valid else 0,
            )
            for path in sorted(self._invalid)[:MAX_INVALID_PATHS]
        ]

    def apply_snapshot(self, revision: int, items: Iterable[ConfigItem]) -> set[str]:
        """Apply the complete configuration that was published at `revision`.

        Returns:
            The paths whose document in force changed. A snapshot that is not
            newer than the known revision changes nothing.
        """
        if revision < self._revision:
            self._audit.add(
                "", revision, Outcome.IGNORED, reason="older than the known revision"
            )
        if revision <= self._revision:
            return set()
        published = {item.path: item for item in items}
        gone = [path for path in self._latest if path not in published]
        changed = {path for path in gone if self._remove(path, revision)}
        changed |= {item.path for item in published.values() if self._apply_item(item)}
        self._advance_to(revision)
        return changed

    def apply_push(self, push: ConfigUpdate) -> set[str] | None:
        """Apply a push from another instance.

        Returns:
            The paths whose document changed, or None if the push starts after
            the known revision, in which case nothing was applied.
        """
        if push.since > self._revision:
            return None
        changed = {item.path for item in push.good if self._apply_last_valid(item)}
        if push.revision <= self._revision:
            return changed
        # Items that are not newer than the known revision were replaced or removed.
        newer = [item for item in push.items if item.revision > self._revision]
        changed |= {item.path for item in newer if self._apply_item(item)}
        changed |= {path for path, at in push.removed if self._remove(path, at)}
        if push.paths is not None:
            changed |= self._remove_unlisted(push.paths, push.newest)
        # Paths that have just become invalid now take their last valid value.
        changed |= {item.path for item in push.good if self._apply_last_valid(item)}
        self._advance_to(push.revision)
        return changed

    def push_since(
        self, since: int, invalid: Iterable[tuple[str, int]] = ()
    ) -> ConfigUpdate:
        """Return the changes since a revision, for another instance.

        Args:
            since: newest revision that the other instance has.
            invalid: result of `invalid` on the other instance.
        """
        newer = [item for item in self._latest.values() if item.revision > since]
        page = _page(newer)
        revision = self._revision if len(page) == len(newer) else page[-1].revision
        # If this store never was at revision `since`, the other instance may have
        # paths that were added and removed between two revisions seen here.
        removals_complete = (
            since == 0 or since >= self._revision or since in self._known_revisions
        )
        removed = [(path, at) for path, at in self._removed.items() if at > since]
        return ConfigUpdate(
            since,
            revision,
            page,
            removed if since and removals_complete else [],
            self._last_valid_for(page, invalid),
            self._revision,
            None if removals_complete else list(self._latest),
        )

    def _last_valid_for(
        self, page: list[ConfigItem], invalid: Iterable[tuple[str, int]]
    ) -> list[ConfigItem]:
        """Return the last valid values that the other instance may lack."""
        wanted = {item.path: 0 for item in page if item.path in self._invalid}
        wanted.update(invalid)
        return [
            self._last_valid[path].item
            for path, known in wanted.items()
            if path in self._last_valid and self._last_valid[path].item.revision > known
        ]

    def _apply_item(self, item: ConfigItem) -> bool:
        known = self._latest.get(item.path)
        if known is not None and known.revision >= item.revision:
            return False
        self._latest[item.path] = item
        self._removed.pop(item.path, None)
        return self._accept(item)

    def _apply_last_valid(self, item: ConfigItem) -> bool:
        if item.path not in self._invalid:
            return False
        if item.revision >= self._latest[item.path].revision:
            return False
        known = self._last_valid.get(item.path)
        if known is not None and known.item.revision >= item.revision:
            return False
        parsed = parse_document(item.path, item.value)
        if not isinstance(parsed, Ok):
            return False
        self._put_in_force(item, parsed.ok_value)
        return True

    def _accept(self, item: ConfigItem) -> bool:
        parsed = parse_document(item.path, item.value)
        if not isinstance(parsed, Ok):
            self._invalid.add(item.path)
            self._audit.add(
                item.path, item.revision, Outcome.REJECTED, reason=parsed.err_value
            )
            return False
        self._invalid.discard(item.path)
        self._put_in_force(item, parsed.ok_value)
        return True

    def _put_in_force(self, item: ConfigItem, document: Document) -> None:
        self._last_valid[item.path] = AcceptedDocument(item, document)
        self._audit.add(item.path, item.revision, Outcome.ACCEPTED, document.author)

    def _remove_unlisted(self, paths: Iterable[str], revision: int) -> set[str]:
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
        if self._last_valid.pop(path, None) is None:
            return False
        self._audit.add(path, revision, Outcome.REMOVED)
        return True

    def _advance_to(self, revision: int) -> None:
        self._revision = revision
        if len(self._known_revisions) == MAX_KNOWN_REVISIONS:
            self._prune_removals()
        self._known_revisions.append(revision)

    def _prune_removals(self) -> None:
        """Delete the removals that are older than all known revisions."""
        oldest = self._known_revisions[0]
        if not any(at <= oldest for at in self._removed.values()):
            return
        self._removed = {path: at for path, at in self._removed.items() if at > oldest}


def _page(items: list[ConfigItem]) -> list[ConfigItem]:
    """Return the oldest items that fill a page, without splitting a revision."""
    items = sorted(items, key=lambda item: item.revision)
    size = 0
    for number, item in enumerate(items):
        size += len(item.path) + len(item.value)
        revision_ends = (
            number + 1 == len(items) or items[number + 1].revision > item.revision
        )
        if size >= PAGE_BYTES and revision_ends:
            return items[: number + 1]
    return items
