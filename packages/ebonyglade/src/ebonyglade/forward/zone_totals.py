"""Tokens that the entries of one availability zone admitted, summed over them."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class _EntryTotals:
    """Totals of one entry, as it reported them last.

    Attributes:
        incarnation: incarnation of the process that reported them.
        spent: tokens that it admitted since its start, by workspace.
    """

    incarnation: str
    spent: dict[str, float]


@dataclass(slots=True)
class ZoneTotals:
    """Sums of what a zone's entries admitted since this process started.

    What an entry admitted before this process knew it is not counted, so that the
    sums never jump when an entry is heard first or again.
    """

    sums: dict[str, float] = field(default_factory=dict)
    _entries: dict[str, _EntryTotals] = field(default_factory=dict)
    _changed_at: dict[str, float] = field(default_factory=dict)

    def apply(
        self,
        entry: str,
        incarnation: str,
        spent: dict[str, float],
        complete: bool,
        now: float,
    ) -> bool:
        """Add what an entry admitted since its last totals.

        Args:
            entry: address of the entry.
            incarnation: its incarnation; totals start anew with each.
            spent: its totals by workspace.
            complete: whether these are all of its totals.
            now: seconds.

        Returns:
            Whether a sum has changed.
        """
        known = self._entries.get(entry)
        if known is None:
            if complete:
                self._entries[entry] = _EntryTotals(incarnation, dict(spent))
            return False
        if known.incarnation != incarnation:
            known = self._entries[entry] = _EntryTotals(incarnation, {})
        changed = False
        for name, total in spent.items():
            increase = total - known.spent.get(name, 0.0)
            known.spent[name] = total
            if increase:
                self.sums[name] = self.sums.get(name, 0.0) + increase
                self._changed_at[name] = now
                changed = True
        return changed

    def changed_since(self, at: float) -> dict[str, float]:
        """Return the sums that changed since a time."""
        return {
            name: self.sums[name]
            for name, changed_at in self._changed_at.items()
            if changed_at >= at
        }

    def retain(self, entries: set[str]) -> None:
        """Forget all entries that are not among `entries`; the sums stay."""
        for entry in set(self._entries) - entries:
            del self._entries[entry]
