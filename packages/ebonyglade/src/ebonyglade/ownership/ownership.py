"""Leases on groups: this process as a voter and, on entries, as a holder."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from ebonyglade.config.controller import ConfigController
from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.ownership.members import Members
from ebonyglade.ownership.quorum import Member, first, group_of, list_panels
from ebonyglade.ownership.seals import Seals
from ebonyglade.ownership.terms import Terms
from ebonyglade.ownership.voter import Voter
from ebonyglade.ownership.votes import Lease, Votes
from ebonyglade.ports import Sender
from ebonyglade.wire.ownership import LeaseAnswer, LeaseAsk, LeaseRelease, Refused

TICK_S = 0.1
VOTER_TICK_S = 1.0  # of a process that never holds a lease
RENEWALS = 3  # in one term
CANDIDATES = 3  # entries of a group's rendezvous order that try unasked
WANTED_S = 3.0  # for which a group is tried after somebody asked for it
BACKOFF_S = 0.3  # for each place in the rendezvous order
ATTEMPT_S = 0.5  # after which an attempt without a quorum is given up
OWNER_KNOWN_S = 5.0

Listener = Callable[[Lease], None]


class Ownership:
    """Holds leases on groups; at most one process holds each at any time.

    A process on an agent votes only. On an entry it also tries for the groups
    that it is first in line for, and for those that `want` names.
    """

    def __init__(
        self,
        context: Context,
        config: ConfigController,
        terms: Terms,
        candidate: bool,
    ) -> None:
        now = context.clock()
        self._context = context
        self._config = config
        self._candidate = candidate
        self.terms = terms
        self.members = Members(terms)
        self.seals = Seals(terms)
        self.voter = Voter(terms, now, context.invariants)
        self.on_gain: list[Listener] = []
        self.on_loss: list[Listener] = []
        self._votes: dict[int, Votes] = {}
        self._places: dict[int, int] = {}
        self._entries: list[str] = []
        self._owners: dict[int, tuple[str, float]] = {}
        self._wanted: dict[int, float] = {}
        self._asked: OrderedDict[int, float] = OrderedDict()
        self._seq = 0
        self._epochs = 0
        self._renewed = now
        self._draining = False
        context.handle(
            {
                LeaseAsk: self._on_ask,
                LeaseAnswer: self._on_answer,
                LeaseRelease: self._on_release,
            }
        )
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.events.listen(Event.DRAINING, self._drain)
        context.every(TICK_S if candidate else VOTER_TICK_S, self.tick)

    @property
    def me(self) -> str:
        """Instance id of this process."""
        return self._context.me.instance

    @property
    def held(self) -> int:
        """Number of groups that this process holds."""
        return sum(votes.held for votes in self._votes.values())

    def group_of(self, workspace: str) -> int:
        """Return the group of a workspace or of any other name."""
        return group_of(workspace, self.terms.groups)

    def holds(self, group: int, now: float) -> Lease | None:
        """Return the lease on a group if it is held for sure at `now`."""
        votes = self._votes.get(group)
        if votes is None or not votes.held or votes.expires <= now:
            return None
        return Lease(group, votes.epoch, votes.gained, votes.expires)

    def owner_of(self, group: int) -> str | None:
        """Return who holds a group, as far as is known here.

        It is a hint: the named instance knows better, and so do voters.
        """
        now = self._context.clock()
        if self.holds(group, now) is not None:
            return self._context.me.instance
        known = self._owners.get(group)
        if known is not None and known[1] > now:
            return known[0]
        return next(iter(self.in_line(group, 1)), None)

    def in_line(self, group: int, count: int) -> list[str]:
        """Return the entries that should hold a group, first choice first."""
        return first(group, self._entries, count)

    def want(self, group: int) -> None:
        """Try to hold a group for a while, because somebody needs an owner."""
        now = self._context.clock()
        votes = self._votes.setdefault(group, Votes(group))
        if group not in self._wanted:
            votes.next_try = min(votes.next_try, now)
        self._wanted[group] = now + WANTED_S

    def release(self, group: int) -> None:
        """Give a group up at once, with nothing lent under its lease in force."""
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
        """Note lost leases, renew the ones held and try for others."""
        self.members.expire(now)
        for votes in self._votes.values():
            self._check(votes, now)
        if not self._candidate or not self.members.settled(now):
            return
        if self._draining:
            # What was lent under the leases ends with them and not before.
            return
        if now >= self._renewed + self.terms.lease_s / RENEWALS:
            self._renewed = now
            held = [votes for votes in self._votes.values() if votes.held]
            self._ask(held, now)
        self._try(now)

    def _check(self, votes: Votes, now: float) -> None:
        """Extend a lease by the newest grants, or note that it is lost."""
        if votes.held:
            votes.extend()
        if votes.held and votes.expires <= now:
            votes.clear(self._seq)
            self._lose(votes)
        if not votes.held and now >= votes.give_up:
            # Others may need the votes that were too few for this process.
            self.release(votes.group)

    def _try(self, now: float) -> None:
        self._wanted = {g: until for g, until in self._wanted.items() if until > now}
        due = []
        for group in self._places.keys() | self._wanted.keys():
            votes = self._votes.setdefault(group, Votes(group))
            if not votes.held and now >= votes.next_try:
                due.append(votes)
        for votes in due:
            self._back_off(votes, now + self.terms.lease_s / 2)
            votes.give_up = now + ATTEMPT_S
            # Others in line first ask one voter whether the group is free.
            votes.probing = self._place(votes.group) > 0
        self._ask(due, now)

    def _place(self, group: int) -> int:
        return self._places.get(group, CANDIDATES)

    def _back_off(self, votes: Votes, until: float) -> None:
        place = self._place(votes.group)
        jitter = self._context.rng.random() * BACKOFF_S
        votes.next_try = until + place * BACKOFF_S + jitter

    def _ask(self, wanted: Iterable[Votes], now: float) -> None:
        by_voter: dict[str, list[int]] = {}
        for votes in wanted:
            self._refresh(votes, now)
            for voter in self._asked_voters(votes):
                votes.asked.add(voter)
                by_voter.setdefault(voter, []).append(votes.group)
        if not by_voter:
            return
        self._seq += 1
        self._asked[self._seq] = now
        while now - next(iter(self._asked.values())) > self.terms.lease_s:
            self._asked.popitem(last=False)
        revision = self._config.store.revision
        seal = self.seals.proposal(now)
        for voter, groups in sorted(by_voter.items()):
            floors = [self.seals.floor(group) for group in groups]
            ask = LeaseAsk(self._seq, revision, groups, floors, seal)
            self._send(voter, ask)

    def _refresh(self, votes: Votes, now: float) -> None:
        """Let a group's votes follow the list and what is sealed of it."""
        if votes.outdated(self.members.version):
            found = list_panels(votes.group, self.members.current)
            votes.use(found, self.members.version)
        votes.require(self.seals.advance(votes.group, votes.list_panels, now))

    def _asked_voters(self, votes: Votes) -> list[str]:
        voters = sorted(votes.voters)
        if votes.probing and not votes.held and voters:
            return [self._context.rng.choice(voters)]
        return voters

    def _on_ask(self, sender: Sender, message: LeaseAsk) -> None:
        now = self._context.clock()
        granted, refused, floors = [], [], []
        abstains = self._abstains(message.revision)
        for group, floor in zip(message.groups, message.floors, strict=True):
            self.seals.raise_floor(group, floor)
            if self.seals.floor(group) > floor:
                floors.append((group, self.seals.floor(group)))
            refusal = Refused(group, "", 0.0)
            if not abstains:
                refusal = self.voter.ask(
                    sender.instance, sender.incarnation, message.seq, group, now
                )
            if refusal is None:
                granted.append(group)
            else:
                refused.append(refusal)
        promised = self.seals.promise(message.seal, self._config.store.revision)
        answer = LeaseAnswer(message.seq, granted, refused, promised, floors)
        self._send(sender.instance, answer)

    def _abstains(self, revision: int) -> bool:
        """Return whether holders may not count on this voter.

        It must be listed, and by a document that the holder can know, and the
        holder's list must not be sealed.
        """
        if revision < self.seals.promised:
            return True
        path = f"platform/instances/{self._context.me.instance}"
        accepted = self._config.store.documents.get(path)
        if accepted is None:
            return True
        newest = self._config.store.latest(path)
        return newest != accepted.item or newest.revision > revision

    def _on_answer(self, sender: Sender, message: LeaseAnswer) -> None:
        sent = self._asked.get(message.seq)
        if sent is None:
            return
        now = self._context.clock()
        until = sent + self.terms.held_s
        self.seals.heard(sender.instance, message.promised, now)
        for group, floor in message.floors:
            self.seals.raise_floor(group, floor)
        for group in message.granted:
            self._granted(group, sender.instance, message.seq, until, now)
        for refused in message.refused:
            self._refused(refused, sender.instance, now)

    def _granted(
        self, group: int, voter: str, seq: int, until: float, now: float
    ) -> None:
        votes = self._votes.get(group)
        if votes is None or seq <= votes.floor:
            return
        votes.granted(voter, until)
        self._refresh(votes, now)
        if votes.held:
            return
        votes.extend()
        if votes.expires > now:
            self._gain(votes, now)
        elif votes.probing:
            votes.probing = False
            self._ask([votes], now)

    def _refused(self, refused: Refused, voter: str, now: float) -> None:
        votes = self._votes.get(refused.group)
        if votes is None or votes.held:
            return
        votes.asked.discard(voter)
        if not refused.holder:
            return
        if refused.holder != self._context.me.instance:
            self._owners[refused.group] = (refused.holder, now + OWNER_KNOWN_S)
        left = refused.left
        if refused.group not in self._wanted:
            left += self.terms.lease_s
        self._back_off(votes, now + left)

    def _gain(self, votes: Votes, now: float) -> None:
        self._epochs += 1
        votes.epoch = f"{self._context.me.incarnation}:{self._epochs}"
        votes.gained = now
        votes.give_up = float("inf")
        self._owners.pop(votes.group, None)
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

    def _on_view(self, view: View) -> None:
        documents = self._config.store.documents
        listed = {
            name: Member(
                instance.zone, documents[f"platform/instances/{name}"].item.revision
            )
            for name, instance in view.instances.items()
        }
        now = self._context.clock()
        version = self.members.version
        self.members.update(listed, now)
        if self.members.version != version:
            self.seals.learned(view.revision, now)
        entries = sorted(
            name
            for name, instance in view.instances.items()
            if instance.role == "entry" and instance.state == "live"
        )
        if self._candidate and entries != self._entries:
            self._entries = entries
            self._places = self._find_places()
        self._entries = entries

    def _find_places(self) -> dict[int, int]:
        """Return this process's place in line for the groups it is near."""
        me = self._context.me.instance
        places = {}
        for group in range(self.terms.groups):
            line = self.in_line(group, CANDIDATES)
            if me in line:
                places[group] = line.index(me)
        return places

    def _drain(self) -> None:
        """Let all leases run out before a planned stop."""
        self._draining = True

    def _send(self, instance: str, message: object) -> None:
        """Send a message, or hand it over here if it is for this process."""
        if instance != self._context.me.instance:
            self._context.send(instance, message)
            return
        me = Sender(instance, self._context.me.incarnation)
        self._context.deliver(me, message)
