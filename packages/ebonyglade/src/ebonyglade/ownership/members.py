"""Instances that may vote, with removals that take effect late."""

from collections.abc import Mapping

from ebonyglade.ownership.quorum import Member
from ebonyglade.ownership.terms import Terms


class Members:
    """The published list, with removed instances kept for `Terms.settle_s`.

    An instance that was just removed may still run and vote by an older list,
    so it counts until it must have stopped or learned of its removal.
    """

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._members: dict[str, Member] = {}
        self._removed: dict[str, float] = {}
        self._first: float | None = None
        self.version = 0

    @property
    def current(self) -> Mapping[str, Member]:
        """Listed instances and those that were removed lately."""
        return self._members

    def settled(self, now: float) -> bool:
        """Return whether no removal from before the first list matters still."""
        return self._first is not None and now >= self._first + self._terms.settle_s

    def update(self, listed: Mapping[str, Member], now: float) -> None:
        """Take a newer list."""
        if self._first is None:
            self._first = now
        before = dict(self._members)
        for name, member in listed.items():
            self._add(name, member)
        for name in sorted(self._members.keys() - listed.keys()):
            self._removed.setdefault(name, now)
        if self._members != before:
            self.version += 1

    def expire(self, now: float) -> None:
        """Drop the removed instances whose time has passed."""
        over = [
            name
            for name, at in self._removed.items()
            if now >= at + self._terms.settle_s
        ]
        for name in over:
            del self._removed[name]
            del self._members[name]
        if over:
            self.version += 1

    def _add(self, name: str, member: Member) -> None:
        known = self._members.get(name)
        self._removed.pop(name, None)
        if known is None or known.zone != member.zone:
            self._members[name] = member
