"""Grants of one voter: the holder to which it granted each group."""

from dataclasses import dataclass

from ebonyglade.invariants import Invariants
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.wire.ownership import LeaseRefusal


@dataclass(frozen=True, slots=True)
class _Grant:
    holder: str
    incarnation: str
    until: float
    seq: int

    def held_by(self, holder: str, incarnation: str) -> bool:
        """Return whether it was granted to the given process."""
        return (self.holder, self.incarnation) == (holder, incarnation)


class Voter:
    """Grants each group to one holder at a time.

    A restarted voter has lost its grants, so it grants nothing until all grants
    made before its start must have expired.
    """

    def __init__(
        self, lease_times: LeaseTimes, started: float, invariants: Invariants
    ) -> None:
        self._lease_times = lease_times
        self._abstains_until = started + lease_times.abstain_s
        self._invariants = invariants
        self._grants: dict[int, _Grant] = {}

    def ask(
        self, holder: str, incarnation: str, seq: int, group: int, now: float
    ) -> LeaseRefusal | None:
        """Grant a group for one lease duration from now, or return who holds it."""
        if now < self._abstains_until:
            return LeaseRefusal(group, "", self._abstains_until - now)
        known = self._grants.get(group)
        mine = known is not None and known.held_by(holder, incarnation)
        if known is not None and known.until > now and not mine:
            return LeaseRefusal(group, known.holder, known.until - now)
        if mine and known.seq >= seq:
            # A delayed request must not undo a release that was sent after it.
            return None if known.until > now else LeaseRefusal(group, "", 0.0)
        until = now + self._lease_times.lease_s
        self._grant(group, _Grant(holder, incarnation, until, seq), now)
        return None

    def release(
        self, holder: str, incarnation: str, seq: int, group: int, now: float
    ) -> None:
        """End the grant of a group at the request of its holder."""
        known = self._grants.get(group)
        if known is None or not known.held_by(holder, incarnation):
            return
        if known.seq <= seq:
            self._grants[group] = _Grant(holder, incarnation, now, seq)

    def _grant(self, group: int, grant: _Grant, now: float) -> None:
        known = self._grants.get(group)
        free = (
            known is None
            or known.until <= now
            or known.held_by(grant.holder, grant.incarnation)
        )
        self._invariants.require(
            free, "lease_single_holder", f"group {group}: {known} and {grant}"
        )
        self._grants[group] = grant
