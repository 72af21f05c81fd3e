"""A simulated platform: a tree with revisions, of which readers may get old copies."""

from dataclasses import dataclass, field

import tomli_w

from ebonyglade.wire.control import ConfigItem


@dataclass(slots=True)
class VirtualPlatform:
    """The published tree and the copy that each reader gets of it.

    Attributes:
        items: newest documents by path.
        revision: newest revision.
        unreachable_for: readers that get no answer.
        stale_copies: older copy, with its revision, of each reader that gets one.
        calls: reads and watches so far.
        reads: of these, how many returned all documents.
    """

    items: dict[str, ConfigItem] = field(default_factory=dict)
    revision: int = 1
    unreachable_for: set[str] = field(default_factory=set)
    stale_copies: dict[str, tuple[int, dict[str, ConfigItem]]] = field(
        default_factory=dict
    )
    calls: int = 0
    reads: int = 0

    def publish(self, path: str, /, **document: object) -> int:
        """Publish a document and return its revision."""
        self.revision += 1
        text = tomli_w.dumps(document)
        self.items[path] = ConfigItem(path, self.revision, text)
        return self.revision

    def remove(self, path: str) -> int:
        """Remove a document and return the revision of the removal."""
        self.revision += 1
        self.items.pop(path, None)
        return self.revision

    def pin_copy(self, reader: str) -> None:
        """Answer a reader with the current copy from now on, also when it gets old."""
        self.stale_copies[reader] = (self.revision, dict(self.items))

    def latest_revision(self, reader: str) -> int | None:
        """Return the revision that a reader's watch gets; None without an answer."""
        if reader in self.unreachable_for:
            return None
        return (
            self.stale_copies[reader][0]
            if reader in self.stale_copies
            else self.revision
        )

    def read(self, reader: str) -> tuple[int, list[ConfigItem]] | None:
        """Return the revision and documents that a reader gets, or None."""
        self.calls += 1
        self.reads += 1
        if reader in self.unreachable_for:
            return None
        revision, items = self.stale_copies.get(reader, (self.revision, self.items))
        return revision, list(items.values())
