"""The owner's side: buckets of the workspaces of the groups it holds."""

from dataclasses import dataclass, field

from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.limits.bucket import Account, Bucket, EntryKey
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ownership.votes import Lease
from ebonyglade.ports import Sender
from ebonyglade.wire.limits import (
    AccountLine,
    GrantLine,
    RightsAsk,
    RightsGrant,
    RightsRedirect,
)

SERVE_S = 0.05
TINY_RATE = 1e-9  # tokens a second; stands for none


@dataclass(slots=True)
class _Group:
    """Buckets of one lease, made when they are first asked for."""

    lease: Lease
    buckets: dict[str, Bucket] = field(default_factory=dict)
    waiting: set[str] = field(default_factory=set)


class RateOwner:
    """Grants rights under leases; every lease starts with empty buckets."""

    def __init__(self, context: Context, ownership: Ownership) -> None:
        self._context = context
        self._ownership = ownership
        self._groups: dict[int, _Group] = {}
        self._rates: dict[str, tuple[float, float]] = {}
        context.handle({RightsAsk: self._on_ask})
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.every(SERVE_S, self.tick)
        ownership.on_gain.append(self._on_gain)
        ownership.on_loss.append(self._on_loss)

    def tick(self, now: float) -> None:
        """Grant to those who wait, as tokens accrue."""
        for group in list(self._groups.values()):
            lease = self._lease(group, now)
            if lease is not None:
                self._serve_waiting(group, lease, now)

    def _serve_waiting(self, group: _Group, lease: Lease, now: float) -> None:
        lines: dict[EntryKey, list[tuple[Account, GrantLine]]] = {}
        for workspace in sorted(group.waiting):
            bucket = group.buckets[workspace]
            bucket.refill(now)
            for key in bucket.serve():
                account = bucket.accounts[key]
                line = bucket.line(workspace, account)
                lines.setdefault(key, []).append((account, line))
            self._note_waiting(group, workspace, bucket)
        for key, granted in lines.items():
            for account, line in granted:
                self._push(group, lease, key, account, line)

    def _push(
        self,
        group: _Group,
        lease: Lease,
        key: EntryKey,
        account: Account,
        line: GrantLine,
    ) -> None:
        account.void_at = max(account.void_at, lease.expires)
        valid_for = lease.expires - account.arrived
        grant = RightsGrant(
            account.seq, group.lease.group, lease.epoch, valid_for, [line]
        )
        self._send(key[0], grant)

    def _on_ask(self, sender: Sender, message: RightsAsk) -> None:
        now = self._context.clock()
        group = self._groups.get(message.group)
        lease = None if group is None else self._lease(group, now)
        if lease is None:
            self._redirect(sender, message)
            return
        lines = []
        if message.epoch in ("", lease.epoch):
            key = (sender.instance, sender.incarnation)
            lines = [
                self._report(group, lease, key, message.seq, line, now)
                for line in message.lines
            ]
        grant = RightsGrant(
            message.seq, message.group, lease.epoch, lease.expires - now, lines
        )
        self._send(sender.instance, grant)

    def _report(
        self,
        group: _Group,
        lease: Lease,
        key: EntryKey,
        seq: int,
        line: AccountLine,
        now: float,
    ) -> GrantLine:
        bucket = self._bucket(group, line.workspace, now)
        if bucket is None:
            return GrantLine(line.workspace, line.account, 0.0, closed=True)
        bucket.refill(now)
        account = bucket.report(key, seq, line, lease.expires)
        if account is None:
            return GrantLine(line.workspace, line.account, 0.0, closed=True)
        served = bucket.serve()
        bucket.lend_spare(account)
        for other in served:
            if other != key:
                granted = bucket.accounts[other]
                other_line = bucket.line(line.workspace, granted)
                self._push(group, lease, other, granted, other_line)
        self._note_waiting(group, line.workspace, bucket)
        return bucket.line(line.workspace, account)

    def _note_waiting(self, group: _Group, workspace: str, bucket: Bucket) -> None:
        if not bucket.waiting:
            group.waiting.discard(workspace)
            return
        if workspace not in group.waiting:
            group.waiting.add(workspace)
            self._recall(group, workspace, bucket)

    def _recall(self, group: _Group, workspace: str, bucket: Bucket) -> None:
        """Ask the entries that hold unused rights to give them back."""
        lease = self._lease(group, bucket.at)
        for key, account in bucket.accounts.items():
            if lease is not None and account.outstanding > 0:
                line = bucket.line(workspace, account)
                self._push(group, lease, key, account, line)

    def _bucket(self, group: _Group, workspace: str, now: float) -> Bucket | None:
        bucket = group.buckets.get(workspace)
        rates = self._rates.get(workspace)
        if bucket is not None or rates is None:
            return bucket
        if self._ownership.group_of(workspace) != group.lease.group:
            return None
        # Empty when the lease was gained, and nobody has asked since.
        bucket = Bucket(*rates, group.lease.gained, 0.0, self._context.invariants)
        bucket.refill(now)
        group.buckets[workspace] = bucket
        return bucket

    def _lease(self, group: _Group, now: float) -> Lease | None:
        lease = self._ownership.holds(group.lease.group, now)
        if lease is None or lease.epoch != group.lease.epoch:
            return None
        return lease

    def _redirect(self, sender: Sender, message: RightsAsk) -> None:
        """Name the holder, and try to become it if there may be none."""
        self._ownership.want(message.group)
        holder = self._ownership.owner_of(message.group) or ""
        if holder in (self._context.me.instance, sender.instance):
            holder = ""
        redirect = RightsRedirect(message.seq, message.group, holder)
        self._send(sender.instance, redirect)

    def _on_gain(self, lease: Lease) -> None:
        self._groups[lease.group] = _Group(lease)

    def _on_loss(self, lease: Lease) -> None:
        self._groups.pop(lease.group, None)

    def _on_view(self, view: View) -> None:
        now = self._context.clock()
        rates = {
            name: (item.rate, item.burst) for name, item in view.workspaces.items()
        }
        before, self._rates = self._rates, rates
        changed = {name for name, pair in rates.items() if before.get(name) != pair}
        for group in self._groups.values():
            for name in changed & before.keys():
                self._change(group, name, before[name], now)
            for name in sorted(group.buckets.keys() - rates.keys()):
                # Nothing accrues for a workspace that is no longer published.
                group.buckets[name].change(TINY_RATE, TINY_RATE, now)
            fresh = rates.keys() - before.keys()
            for name in sorted(fresh & group.buckets.keys()):
                group.buckets[name].change(*rates[name], now)

    def _change(
        self, group: _Group, name: str, former: tuple[float, float], now: float
    ) -> None:
        if self._ownership.group_of(name) != group.lease.group:
            return
        if name not in group.buckets:
            bucket = Bucket(*former, group.lease.gained, 0.0, self._context.invariants)
            group.buckets[name] = bucket
        group.buckets[name].change(*self._rates[name], now)

    def _send(self, instance: str, message: object) -> None:
        """Send a message, or hand it over here if it is for this process."""
        if instance != self._context.me.instance:
            self._context.send(instance, message)
            return
        me = Sender(instance, self._context.me.incarnation)
        self._context.deliver(me, message)
