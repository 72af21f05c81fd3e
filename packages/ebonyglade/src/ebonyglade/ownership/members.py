"""Instances that may vote; a removal takes effect after a delay."""

from collections.abc import Mapping

from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.quorum import VotingMember


class VotingMembers:
    """The published list; it keeps removed instances for `LeaseTimes.removed_member_s`.

    An instance that was just removed may still run and vote by an older list, so
    it counts as a member until it must have stopped or learned of its removal.
    """

    def __init__(self, lease_times: LeaseTimes) -> None:
        self._lease_times = lease_times
        self._members: dict[str, VotingMember] = {}
        self._removed_at: dict[str, float] = {}
        self._first_list_at: float | None = None
        self.version = 0

    @property
    def current(self) -> Mapping[str, VotingMember]:
        """Listed instances and those that were removed recently."""
        return self._members

    def settled(self, now: float) -> bool:
        """Return whether removals from before the first list no longer matter."""
        return (
            self._first_list_at is not None
            and now >= self._first_list_at + self._lease_times.removed_member_s
        )

    def update(self, listed: Mapping[str, VotingMember], now: float) -> None:
        """Apply a newer list."""
        if self._first_list_at is None:
            self._first_list_at = now
        before = dict(self._members)
        for name, member in listed.items():
            self._add(name, member)
        for name in sorted(self._members.keys() - listed.keys()):
            self._removed_at.setdefault(name, now)
        if self._members != before:
            self.version += 1

    def expire(self, now: float) -> None:
        """Drop the removed instances that no longer count as members."""
        expired = [
            name
            for name, at in self._removed_at.items()
            if now >= at + self._lease_times.removed_member_s
        ]
        for name in expired:
            del self._removed_at[name]
            del self._members[name]
        if expired:
            self.version += 1

    def _add(self, name: str, member: VotingMember) -> None:
        known = self._members.get(name)
        self._removed_at.pop(name, None)
        # Keep the revision that listed it first, unless its zone changed.
        if known is None or known.zone != member.zone:
            self._members[name] = member
