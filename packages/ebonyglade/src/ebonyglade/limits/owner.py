"""Owner side of rate limiting: the token buckets of the groups that it holds."""

from dataclasses import dataclass, field

from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.limits.bucket import Account, Bucket, EntryKey
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ownership.votes import Lease
from ebonyglade.ports import Sender
from ebonyglade.wire.limits import (
    AccountGrant,
    AccountReport,
    QuotaGrant,
    QuotaRedirect,
    QuotaRequest,
)

SERVE_INTERVAL_S = 0.05
TINY_RATE = 1e-9  # tokens a second; stands for zero, as waits are divided by the rate


@dataclass(slots=True)
class _GroupBuckets:
    """Buckets of one lease, created when they are first asked for."""

    lease: Lease
    buckets: dict[str, Bucket] = field(default_factory=dict)
    waiting: set[str] = field(default_factory=set)


class RateOwner:
    """Grants rate tokens under leases; each lease starts with empty buckets."""

    def __init__(self, context: Context, ownership: Ownership) -> None:
        self._context = context
        self._ownership = ownership
        self._groups: dict[int, _GroupBuckets] = {}
        self._rates: dict[str, tuple[float, float]] = {}
        context.handle({QuotaRequest: self._on_ask})
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.every(SERVE_INTERVAL_S, self.tick)
        ownership.on_gain.append(self._on_gain)
        ownership.on_loss.append(self._on_loss)

    def tick(self, now: float) -> None:
        """Grant tokens that have accrued to the entries that wait."""
        for group in list(self._groups.values()):
            lease = self._valid_lease(group, now)
            if lease is not None:
                self._serve_waiting(group, lease, now)

    def _serve_waiting(self, group: _GroupBuckets, lease: Lease, now: float) -> None:
        lines: dict[EntryKey, list[tuple[Account, AccountGrant]]] = {}
        for workspace in sorted(group.waiting):
            bucket = group.buckets[workspace]
            bucket.refill(now)
            for key in bucket.grant_waiting():
                account = bucket.accounts[key]
                line = bucket.grant_line(workspace, account)
                lines.setdefault(key, []).append((account, line))
            self._update_waiting(group, workspace, bucket)
        for key, granted in lines.items():
            for account, line in granted:
                self._send_grant(group, lease, key, account, line)

    def _send_grant(
        self,
        group: _GroupBuckets,
        lease: Lease,
        key: EntryKey,
        account: Account,
        line: AccountGrant,
    ) -> None:
        account.expires_at = max(account.expires_at, lease.expires)
        valid_for = lease.expires - account.asked_at
        grant = QuotaGrant(
            account.seq, group.lease.group, lease.epoch, valid_for, [line]
        )
        self._send(key[0], grant)

    def _on_ask(self, sender: Sender, message: QuotaRequest) -> None:
        now = self._context.clock()
        group = self._groups.get(message.group)
        lease = None if group is None else self._valid_lease(group, now)
        if lease is None:
            self._redirect(sender, message)
            return
        lines = []
        if message.epoch in ("", lease.epoch):
            key = (sender.instance, sender.incarnation)
            lines = [
                self._apply_report(group, lease, key, message.seq, line, now)
                for line in message.lines
            ]
        grant = QuotaGrant(
            message.seq, message.group, lease.epoch, lease.expires - now, lines
        )
        self._send(sender.instance, grant)

    def _apply_report(
        self,
        group: _GroupBuckets,
        lease: Lease,
        key: EntryKey,
        seq: int,
        line: AccountReport,
        now: float,
    ) -> AccountGrant:
        bucket = self._get_bucket(group, line.workspace, now)
        if bucket is None:
            return AccountGrant(line.workspace, line.account, 0.0, closed=True)
        bucket.refill(now)
        account = bucket.record_report(key, seq, line, lease.expires)
        if account is None:
            return AccountGrant(line.workspace, line.account, 0.0, closed=True)
        served = bucket.grant_waiting()
        bucket.grant_spare(account)
        for other in served:
            if other != key:
                granted = bucket.accounts[other]
                other_line = bucket.grant_line(line.workspace, granted)
                self._send_grant(group, lease, other, granted, other_line)
        self._update_waiting(group, line.workspace, bucket)
        return bucket.grant_line(line.workspace, account)

    def _update_waiting(
        self, group: _GroupBuckets, workspace: str, bucket: Bucket
    ) -> None:
        if not bucket.waiting:
            group.waiting.discard(workspace)
            return
        if workspace not in group.waiting:
            group.waiting.add(workspace)
            self._recall(group, workspace, bucket)

    def _recall(self, group: _GroupBuckets, workspace: str, bucket: Bucket) -> None:
        """Ask the entries that hold unspent tokens to return them."""
        lease = self._valid_lease(group, bucket.accrued_until)
        for key, account in bucket.accounts.items():
            if lease is not None and account.outstanding > 0:
                line = bucket.grant_line(workspace, account)
                self._send_grant(group, lease, key, account, line)

    def _get_bucket(
        self, group: _GroupBuckets, workspace: str, now: float
    ) -> Bucket | None:
        bucket = group.buckets.get(workspace)
        rates = self._rates.get(workspace)
        if bucket is not None or rates is None:
            return bucket
        if self._ownership.group_of(workspace) != group.lease.group:
            return None
        # The bucket was empty when the lease was gained; no entry has asked since.
        bucket = Bucket(*rates, group.lease.gained, 0.0, self._context.invariants)
        bucket.refill(now)
        group.buckets[workspace] = bucket
        return bucket

    def _valid_lease(self, group: _GroupBuckets, now: float) -> Lease | None:
        lease = self._ownership.current_lease(group.lease.group, now)
        if lease is None or lease.epoch != group.lease.epoch:
            return None
        return lease

    def _redirect(self, sender: Sender, message: QuotaRequest) -> None:
        """Name the holder, and try to gain the lease, as there may be no holder."""
        self._ownership.request_lease(message.group)
        holder = self._ownership.likely_owner(message.group) or ""
        if holder in (self._context.identity.instance, sender.instance):
            holder = ""
        redirect = QuotaRedirect(message.seq, message.group, holder)
        self._send(sender.instance, redirect)

    def _on_gain(self, lease: Lease) -> None:
        self._groups[lease.group] = _GroupBuckets(lease)

    def _on_loss(self, lease: Lease) -> None:
        self._groups.pop(lease.group, None)

    def _on_view(self, view: ConfigView) -> None:
        now = self._context.clock()
        rates = {
            name: (item.rate, item.burst) for name, item in view.workspaces.items()
        }
        former_rates, self._rates = self._rates, rates
        changed = {
            name for name, pair in rates.items() if former_rates.get(name) != pair
        }
        for group in self._groups.values():
            for name in changed & former_rates.keys():
                self._change_rate(group, name, former_rates[name], now)
            for name in sorted(group.buckets.keys() - rates.keys()):
                # Nothing accrues for a workspace that is no longer published.
                group.buckets[name].set_rate(TINY_RATE, TINY_RATE, now)
            added = rates.keys() - former_rates.keys()
            for name in sorted(added & group.buckets.keys()):
                group.buckets[name].set_rate(*rates[name], now)

    def _change_rate(
        self,
        group: _GroupBuckets,
        name: str,
        former_rate: tuple[float, float],
        now: float,
    ) -> None:
        if self._ownership.group_of(name) != group.lease.group:
            return
        if name not in group.buckets:
            # Tokens up to now accrue at the former rate.
            bucket = Bucket(
                *former_rate, group.lease.gained, 0.0, self._context.invariants
            )
            group.buckets[name] = bucket
        group.buckets[name].set_rate(*self._rates[name], now)

    def _send(self, instance: str, message: object) -> None:
        """Send a message; one to this process is delivered directly."""
        if instance != self._context.identity.instance:
            self._context.send(instance, message)
            return
        me = Sender(instance, self._context.identity.incarnation)
        self._context.deliver(me, message)
