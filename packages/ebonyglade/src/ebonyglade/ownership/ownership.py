"""Leases on groups: this process votes and, on entries, also holds leases."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from ebonyglade.config.controller import ConfigController
from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.members import VotingMembers
from ebonyglade.ownership.quorum import (
    VotingMember,
    first_ranked,
    group_of,
    list_panels,
)
from ebonyglade.ownership.seals import Seals
from ebonyglade.ownership.voter import Voter
from ebonyglade.ownership.votes import Lease, Votes
from ebonyglade.ports import Sender
from ebonyglade.wire.ownership import (
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    LeaseResponse,
)

TICK_S = 0.1
VOTER_TICK_S = 1.0  # tick interval of a process that never holds a lease
RENEWALS_PER_LEASE = 3  # in one lease duration
CANDIDATES_PER_GROUP = 3  # entries of the rendezvous order that try without a request
REQUESTED_S = 3.0  # time for which a requested lease is tried for
RANK_DELAY_S = 0.3  # delay of a try for each rank in the rendezvous order
ATTEMPT_TIMEOUT_S = 0.5  # time after which an attempt without a quorum is given up
OWNER_KNOWN_S = 5.0  # time for which a holder named by a voter is remembered

LeaseListener = Callable[[Lease], None]


class Ownership:
    """Holds leases on groups; at most one process holds each at any time.

    An agent only votes. An entry also tries to gain the leases on groups for
    which it is one of the first candidates, and on those requested by
    `request_lease`.
    """

    def __init__(
        self,
        context: Context,
        config: ConfigController,
        lease_times: LeaseTimes,
        candidate: bool,
    ) -> None:
        now = context.clock()
        self._context = context
        self._config = config
        self._candidate = candidate
        self.lease_times = lease_times
        self.members = VotingMembers(lease_times)
        self.seals = Seals(lease_times)
        self.voter = Voter(lease_times, now, context.invariants)
        self.on_gain: list[LeaseListener] = []
        self.on_loss: list[LeaseListener] = []
        self._votes: dict[int, Votes] = {}
        self._ranks: dict[int, int] = {}
        self._entries: list[str] = []
        self._known_owners: dict[int, tuple[str, float]] = {}
        self._requested: dict[int, float] = {}
        self._ask_times: OrderedDict[int, float] = OrderedDict()
        self._seq = 0
        self._epochs = 0
        self._renewed = now
        self._draining = False
        context.handle(
            {
                LeaseRequest: self._on_ask,
                LeaseResponse: self._on_answer,
                LeaseRelease: self._on_release,
            }
        )
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.events.listen(Event.DRAINING, self._on_draining)
        context.every(TICK_S if candidate else VOTER_TICK_S, self.tick)

    @property
    def me(self) -> str:
        """Instance id of this process."""
        return self._context.identity.instance

    @property
    def held(self) -> int:
        """Number of groups that this process holds."""
        return sum(votes.held for votes in self._votes.values())

    def group_of(self, workspace: str) -> int:
        """Return the group of a workspace or of any other name."""
        return group_of(workspace, self.lease_times.groups)

    def current_lease(self, group: int, now: float) -> Lease | None:
        """Return the lease on a group if this process surely holds it at `now`."""
        votes = self._votes.get(group)
        if votes is None or not votes.held or votes.expires <= now:
            return None
        return Lease(group, votes.epoch, votes.gained, votes.expires)

    def likely_owner(self, group: int) -> str | None:
        """Return the instance that probably holds a group.

        This is a hint; the named instance and the voters have the current state.
        """
        now = self._context.clock()
        if self.current_lease(group, now) is not None:
            return self._context.identity.instance
        known = self._known_owners.get(group)
        if known is not None and known[1] > now:
            return known[0]
        return next(iter(self.ranked_entries(group, 1)), None)

    def ranked_entries(self, group: int, count: int) -> list[str]:
        """Return the first `count` entries of a group's rendezvous order."""
        return first_ranked(group, self._entries, count)

    def request_lease(self, group: int) -> None:
        """Try for the lease on a group for a while, as a request needs an owner."""
        now = self._context.clock()
        votes = self._votes.setdefault(group, Votes(group))
        if group not in self._requested:
            votes.next_try_at = min(votes.next_try_at, now)
        self._requested[group] = now + REQUESTED_S

    def release(self, group: int) -> None:
        """Release a group at once.

        The caller ensures that no tokens granted under its lease are still valid.
        """
        votes = self._votes.get(group)
        if votes is None:
            return
        self._seq += 1
        voters = sorted(votes.asked)
        votes.clear(self._seq)
        self._lose(votes)
        for voter in voters:
            self._send(voter, LeaseRelease(self._seq, [group]))

    def tick(self, now: float) -> None:
        """Detect lost leases, renew the ones held and try for others."""
        self.members.expire(now)
        for votes in self._votes.values():
            self._update_lease(votes, now)
        if not self._candidate or not self.members.settled(now):
            return
        if self._draining:
            # Not released: tokens granted under a lease stay valid until it expires.
            return
        if now >= self._renewed + self.lease_times.lease_s / RENEWALS_PER_LEASE:
            self._renewed = now
            held = [votes for votes in self._votes.values() if votes.held]
            self._ask(held, now)
        self._request_due_leases(now)

    def _update_lease(self, votes: Votes, now: float) -> None:
        """Extend a lease by the newest grants, or record that it is lost."""
        if votes.held:
            votes.extend_lease()
        if votes.held and votes.expires <= now:
            votes.clear(self._seq)
            self._lose(votes)
        if not votes.held and now >= votes.give_up_at:
            # Release the votes of the failed attempt, as others may need them.
            self.release(votes.group)

    def _request_due_leases(self, now: float) -> None:
        self._requested = {
            g: until for g, until in self._requested.items() if until > now
        }
        due = []
        for group in self._ranks.keys() | self._requested.keys():
            votes = self._votes.setdefault(group, Votes(group))
            if not votes.held and now >= votes.next_try_at:
                due.append(votes)
        for votes in due:
            self._back_off(votes, now + self.lease_times.lease_s / 2)
            votes.give_up_at = now + ATTEMPT_TIMEOUT_S
            # Candidates after the first ask a single voter whether the group is free.
            votes.probing = self._rank(votes.group) > 0
        self._ask(due, now)

    def _rank(self, group: int) -> int:
        return self._ranks.get(group, CANDIDATES_PER_GROUP)

    def _back_off(self, votes: Votes, until: float) -> None:
        rank = self._rank(votes.group)
        jitter = self._context.rng.random() * RANK_DELAY_S
        votes.next_try_at = until + rank * RANK_DELAY_S + jitter

    def _ask(self, wanted: Iterable[Votes], now: float) -> None:
        by_voter: dict[str, list[int]] = {}
        for votes in wanted:
            self._update_panels(votes, now)
            for voter in self._voters_to_ask(votes):
                votes.asked.add(voter)
                by_voter.setdefault(voter, []).append(votes.group)
        if not by_voter:
            return
        self._seq += 1
        self._ask_times[self._seq] = now
        while now - next(iter(self._ask_times.values())) > self.lease_times.lease_s:
            self._ask_times.popitem(last=False)
        revision = self._config.store.revision
        seal = self.seals.proposed_revision(now)
        for voter, groups in sorted(by_voter.items()):
            floors = [self.seals.floor(group) for group in groups]
            ask = LeaseRequest(self._seq, revision, groups, floors, seal)
            self._send(voter, ask)

    def _update_panels(self, votes: Votes, now: float) -> None:
        """Update a group's panels to the newest list and to the sealed revisions."""
        if votes.outdated(self.members.version):
            found = list_panels(votes.group, self.members.current)
            votes.set_list_panels(found, self.members.version)
        votes.set_sealed_floor(
            self.seals.advance_floor(votes.group, votes.list_panels, now)
        )

    def _voters_to_ask(self, votes: Votes) -> list[str]:
        voters = sorted(votes.voters)
        if votes.probing and not votes.held and voters:
            return [self._context.rng.choice(voters)]
        return voters

    def _on_ask(self, sender: Sender, message: LeaseRequest) -> None:
        now = self._context.clock()
        granted, refused, floors = [], [], []
        abstaining = self._abstains(message.revision)
        for group, floor in zip(message.groups, message.floors, strict=True):
            self.seals.raise_floor(group, floor)
            if self.seals.floor(group) > floor:
                floors.append((group, self.seals.floor(group)))
            refusal = LeaseRefusal(group, "", 0.0)
            if not abstaining:
                refusal = self.voter.ask(
                    sender.instance, sender.incarnation, message.seq, group, now
                )
            if refusal is None:
                granted.append(group)
            else:
                refused.append(refusal)
        promised = self.seals.promise(message.seal, self._config.store.revision)
        answer = LeaseResponse(message.seq, granted, refused, promised, floors)
        self._send(sender.instance, answer)

    def _abstains(self, revision: int) -> bool:
        """Return whether this voter must refuse a holder with this list revision.

        The voter must be listed by a document that the holder can know, and the
        holder's list must not be sealed.
        """
        if revision < self.seals.promised:
            return True
        path = f"platform/instances/{self._context.identity.instance}"
        accepted = self._config.store.documents.get(path)
        if accepted is None:
            return True
        newest = self._config.store.latest(path)
        return newest != accepted.item or newest.revision > revision

    def _on_answer(self, sender: Sender, message: LeaseResponse) -> None:
        sent = self._ask_times.get(message.seq)
        if sent is None:
            return
        now = self._context.clock()
        until = sent + self.lease_times.holder_lease_s
        self.seals.note_promise(sender.instance, message.promised, now)
        for group, floor in message.floors:
            self.seals.raise_floor(group, floor)
        for group in message.granted:
            self._on_granted(group, sender.instance, message.seq, until, now)
        for refused in message.refused:
            self._on_refused(refused, sender.instance, now)

    def _on_granted(
        self, group: int, voter: str, seq: int, until: float, now: float
    ) -> None:
        votes = self._votes.get(group)
        if votes is None or seq <= votes.ignored_seq:
            return
        votes.note_grant(voter, until)
        self._update_panels(votes, now)
        if votes.held:
            return
        votes.extend_lease()
        if votes.expires > now:
            self._gain(votes, now)
        elif votes.probing:
            votes.probing = False
            self._ask([votes], now)

    def _on_refused(self, refused: LeaseRefusal, voter: str, now: float) -> None:
        votes = self._votes.get(refused.group)
        if votes is None or votes.held:
            return
        votes.asked.discard(voter)
        if not refused.holder:
            return
        if refused.holder != self._context.identity.instance:
            self._known_owners[refused.group] = (refused.holder, now + OWNER_KNOWN_S)
        left = refused.left
        if refused.group not in self._requested:
            left += self.lease_times.lease_s
        self._back_off(votes, now + left)

    def _gain(self, votes: Votes, now: float) -> None:
        self._epochs += 1
        votes.epoch = f"{self._context.identity.incarnation}:{self._epochs}"
        votes.gained = now
        votes.give_up_at = float("inf")
        self._known_owners.pop(votes.group, None)
        lease = Lease(votes.group, votes.epoch, now, votes.expires)
        for listener in self.on_gain:
            listener(lease)

    def _lose(self, votes: Votes) -> None:
        if not votes.held:
            return
        lease = Lease(votes.group, votes.epoch, votes.gained, votes.expires)
        votes.epoch = ""
        votes.probing = False
        for listener in self.on_loss:
            listener(lease)

    def _on_release(self, sender: Sender, message: LeaseRelease) -> None:
        now = self._context.clock()
        for group in message.groups:
            self.voter.release(
                sender.instance, sender.incarnation, message.seq, group, now
            )

    def _on_view(self, view: ConfigView) -> None:
        documents = self._config.store.documents
        listed = {
            name: VotingMember(
                instance.zone, documents[f"platform/instances/{name}"].item.revision
            )
            for name, instance in view.instances.items()
        }
        now = self._context.clock()
        version = self.members.version
        self.members.update(listed, now)
        if self.members.version != version:
            self.seals.note_list(view.revision, now)
        entries = sorted(
            name
            for name, instance in view.instances.items()
            if instance.role == "entry" and instance.state == "live"
        )
        if self._candidate and entries != self._entries:
            self._entries = entries
            self._ranks = self._find_ranks()
        self._entries = entries

    def _find_ranks(self) -> dict[int, int]:
        """Return this process's rank for the groups of which it is a candidate."""
        me = self._context.identity.instance
        ranks = {}
        for group in range(self.lease_times.groups):
            ranked = self.ranked_entries(group, CANDIDATES_PER_GROUP)
            if me in ranked:
                ranks[group] = ranked.index(me)
        return ranks

    def _on_draining(self) -> None:
        """Stop renewing, so that all leases expire before a planned stop."""
        self._draining = True

    def _send(self, instance: str, message: object) -> None:
        """Send a message; one to this process is delivered directly."""
        if instance != self._context.identity.instance:
            self._context.send(instance, message)
            return
        me = Sender(instance, self._context.identity.incarnation)
        self._context.deliver(me, message)
