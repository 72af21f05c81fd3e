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
        silent: readers that get no answer.
        stale: older copy, with its revision, of each reader that gets one.
        calls: reads and watches so far.
        reads: of these, how many returned all documents.
    """

    items: dict[str, ConfigItem] = field(default_factory=dict)
    revision: int = 1
    silent: set[str] = field(default_factory=set)
    stale: dict[str, tuple[int, dict[str, ConfigItem]]] = field(default_factory=dict)
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

    def freeze(self, reader: str) -> None:
        """Answer a reader with the current copy from now on, also when it gets old."""
        self.stale[reader] = (self.revision, dict(self.items))

    def newest(self, reader: str) -> int | None:
        """Return the revision that a reader's watch gets; None without an answer."""
        if reader in self.silent:
            return None
        return self.stale[reader][0] if reader in self.stale else self.revision

    def read(self, reader: str) -> tuple[int, list[ConfigItem]] | None:
        """Return the revision and documents that a reader gets, or None."""
        self.calls += 1
        self.reads += 1
        if reader in self.silent:
            return None
        revision, items = self.stale.get(reader, (self.revision, self.items))
        return revision, list(items.values())
