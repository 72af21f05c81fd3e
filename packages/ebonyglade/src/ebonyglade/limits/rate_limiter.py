"""Entry side of rate limiting: granted tokens and requests that wait for more."""

import asyncio
from collections import OrderedDict

from result import Err, Ok, Result

from ebonyglade.context import Context
from ebonyglade.limits.local_tokens import LocalTokens, TokenReservation, Waiter
from ebonyglade.limits.owner_link import ASK_EXPIRY_S, OwnerLink
from ebonyglade.ownership.lease_times import MAX_CLOCK_DRIFT
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ports import Sender
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.limits import AccountGrant, QuotaGrant, QuotaRedirect, QuotaRequest

TICK_S = 0.1
REPORT_TICKS = 3  # between two reports of a workspace that has no waiting requests
ASK_KEPT_S = 10.0  # time for which the send time of an ask is kept
# Number of takeover times without a grant after which the entry refuses requests of a
# group. The first takeover may fail, for instance while the processes of a fleet start
# one by one.
MAX_TAKEOVERS = 2
OUTLOOK_VALID_S = 1.0  # age at which an owner's estimate is no longer used

AcquireResult = Result[TokenReservation, Refusal]


class RateLimiter:
    """Reserves tokens for requests, in order, and asks the owners for more."""

    def __init__(self, context: Context, ownership: Ownership) -> None:
        self._context = context
        self._ownership = ownership
        self._tokens_by_workspace: dict[str, LocalTokens] = {}
        self._owner_links: dict[int, OwnerLink] = {}
        self._ask_times: OrderedDict[int, float] = OrderedDict()
        self._asks_scheduled: set[int] = set()
        self._seq = 0
        self._last_account = 0
        self._ticks = 0
        context.handle({QuotaGrant: self._on_grant, QuotaRedirect: self._on_redirect})
        context.every(TICK_S, self.tick)

    async def acquire(
        self, workspace: str, cost: float, latest: float, urgent: bool = False
    ) -> AcquireResult:
        """Reserve tokens; wait for them if they can come in time.

        Args:
            workspace: workspace that is charged.
            cost: tokens.
            latest: monotonic seconds until which the request can wait.
            urgent: whether the request has already started.

        Returns:
            The reservation, or the refusal if there is none in time.
        """
        now = self._context.clock()
        local_tokens = self._get_local_tokens(workspace, now)
        local_tokens.note_demand(cost)
        if self._owner_unavailable(local_tokens.group, now):
            self._ask_soon(local_tokens.group)
            return Err(self._rate_unknown())
        if urgent or not local_tokens.waiters:
            reservation = local_tokens.reserve(cost, now)
            if reservation is not None:
                return Ok(reservation)
        waiter = Waiter(
            cost, latest, urgent, asyncio.get_running_loop().create_future()
        )
        local_tokens.enqueue(waiter)
        self._ask_soon(local_tokens.group)
        return await self._wait(local_tokens, waiter)

    def tick(self, now: float) -> None:
        """Report to owners, return unused tokens and detect silent owners."""
        self._ticks += 1
        due: set[int] = set()
        for workspace, local_tokens in list(self._tokens_by_workspace.items()):
            if local_tokens.expired(now):
                local_tokens.reset(self._new_account())
            local_tokens.return_unused(now)
            if local_tokens.idle:
                del self._tokens_by_workspace[workspace]
            elif local_tokens.waiters or self._ticks % REPORT_TICKS == 0:
                due.add(local_tokens.group)
        for link in self._owner_links.values():
            if link.drop_silent_target(now):
                self._context.count("rate_owners_silent")
            if self._owner_unavailable(link.group, now):
                self._refuse_waiting(link.group)
        for group in sorted(due):
            self._ask(group)

    def _owner_unavailable(self, group: int, now: float) -> bool:
        """Return whether the group has had no owner for longer than takeovers take."""
        link = self._owner_links.get(group)
        if link is None or link.no_grant_since is None:
            return False
        if now - link.last_asked > ASK_EXPIRY_S:
            return False
        waited = now - link.no_grant_since
        return waited > MAX_TAKEOVERS * self._ownership.lease_times.takeover_s

    def _rate_unknown(self) -> Refusal:
        return refuse("rate_unknown", retry_after=self._ownership.lease_times.lease_s)

    def _refuse_waiting(self, group: int) -> None:
        for local_tokens in self._tokens_by_workspace.values():
            if local_tokens.group != group:
                continue
            for waiter in list(local_tokens.waiters):
                local_tokens.remove(waiter)
                if not waiter.outcome.done():
                    waiter.outcome.set_result(Err(self._rate_unknown()))

    async def _wait(self, local_tokens: LocalTokens, waiter: Waiter) -> AcquireResult:
        timeout_s = max(0.0, waiter.latest - self._context.clock())
        taken = False
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await waiter.outcome
            taken = True
            return outcome
        except TimeoutError:
            if waiter.outcome.done() and not waiter.outcome.cancelled():
                taken = True
                return waiter.outcome.result()
            return Err(self._timeout_refusal(local_tokens, waiter))
        finally:
            if not taken:
                self._abandon(local_tokens, waiter)

    def _abandon(self, local_tokens: LocalTokens, waiter: Waiter) -> None:
        local_tokens.remove(waiter)
        done = waiter.outcome.done() and not waiter.outcome.cancelled()
        if done and isinstance(waiter.outcome.result(), Ok):
            waiter.outcome.result().ok_value.settle()
        self._serve_waiters(local_tokens)
        self._ask_soon(local_tokens.group)

    def _timeout_refusal(self, local_tokens: LocalTokens, waiter: Waiter) -> Refusal:
        if self._context.clock() - local_tokens.answered_at > OUTLOOK_VALID_S:
            return self._rate_unknown()
        wait = local_tokens.expected_wait(waiter.cost - max(0.0, local_tokens.free))
        return refuse("rate_exceeded", retry_after=max(wait, TICK_S))

    def _get_local_tokens(self, workspace: str, now: float) -> LocalTokens:
        local_tokens = self._tokens_by_workspace.get(workspace)
        if local_tokens is None:
            group = self._ownership.group_of(workspace)
            local_tokens = LocalTokens(
                workspace, group, self._new_account(), self._context.invariants
            )
            self._tokens_by_workspace[workspace] = local_tokens
        if local_tokens.expired(now):
            local_tokens.reset(self._new_account())
        return local_tokens

    def _new_account(self) -> int:
        self._last_account += 1
        return self._last_account

    def _ask_soon(self, group: int) -> None:
        """Send one ask after the callbacks that are already scheduled have run."""
        if group in self._asks_scheduled:
            return
        self._asks_scheduled.add(group)
        asyncio.get_running_loop().call_soon(self._ask_now, group)

    def _ask_now(self, group: int) -> None:
        self._asks_scheduled.discard(group)
        self._ask(group)

    def _ask(self, group: int) -> None:
        now = self._context.clock()
        link = self._owner_links.setdefault(group, OwnerLink(group))
        target = link.choose_target(self._ownership, now)
        group_tokens = [
            item for item in self._tokens_by_workspace.values() if item.group == group
        ]
        if target is None or not group_tokens:
            return
        self._seq += 1
        self._ask_times[self._seq] = now
        while now - next(iter(self._ask_times.values())) > ASK_KEPT_S:
            self._ask_times.popitem(last=False)
        for local_tokens in group_tokens:
            local_tokens.unreported = False
            for waiter in local_tokens.waiters:
                waiter.first_ask_seq = waiter.first_ask_seq or self._seq
        link.note_ask(now)
        lines = [local_tokens.report_line() for local_tokens in group_tokens]
        self._send(target, QuotaRequest(self._seq, group, link.epoch, lines))

    def _on_grant(self, sender: Sender, message: QuotaGrant) -> None:
        sent = self._ask_times.get(message.seq)
        link = self._owner_links.get(message.group)
        if sent is None or link is None:
            return
        if message.epoch != link.epoch and not self._adopt_epoch(link, message):
            return
        link.epoch_seq = max(link.epoch_seq, message.seq)
        link.target = sender.instance
        link.note_grant()
        valid_until = sent + message.valid_for * (1 - 2 * MAX_CLOCK_DRIFT)
        for line in message.lines:
            self._apply_grant(line, message.seq, valid_until)

    def _adopt_epoch(self, link: OwnerLink, message: QuotaGrant) -> bool:
        """Start over with the owner of a newer lease.

        Returns False if the message is of an older lease and must be ignored.
        """
        if message.seq <= link.epoch_seq:
            return False
        former_epoch, link.epoch = link.epoch, message.epoch
        if former_epoch:
            for local_tokens in self._tokens_by_workspace.values():
                if local_tokens.group == link.group:
                    local_tokens.reset(self._new_account())
            self._ask_soon(link.group)
        return True

    def _apply_grant(self, line: AccountGrant, seq: int, valid_until: float) -> None:
        local_tokens = self._tokens_by_workspace.get(line.workspace)
        now = self._context.clock()
        if local_tokens is None or line.account != local_tokens.account:
            return
        local_tokens.answered_at, local_tokens.outlook = now, line.outlook
        if line.closed:
            local_tokens.reset(self._new_account())
            self._ask_soon(local_tokens.group)
            return
        local_tokens.note_granted(line.granted, valid_until)
        local_tokens.recalled = line.recall
        served = self._serve_waiters(local_tokens)
        self._refuse_infeasible(local_tokens, seq, now)
        if line.recall:
            local_tokens.return_unused(now)
        if local_tokens.unreported and (
            line.recall or (served and local_tokens.waiters)
        ):
            self._ask_soon(local_tokens.group)

    def _serve_waiters(self, local_tokens: LocalTokens) -> bool:
        """Serve waiting requests in order; return whether any was served."""
        now = self._context.clock()
        served = False
        while local_tokens.waiters:
            reservation = local_tokens.reserve(local_tokens.waiters[0].cost, now)
            if reservation is None:
                break
            served = True
            waiter = local_tokens.waiters.popleft()
            if waiter.outcome.done():
                reservation.settle()
            else:
                waiter.outcome.set_result(Ok(reservation))
        return served

    def _refuse_infeasible(
        self, local_tokens: LocalTokens, seq: int, now: float
    ) -> None:
        """Refuse at once the waiting requests that can't be served in time."""
        if local_tokens.outlook is None:
            return
        for waiter, wait in local_tokens.expected_waits():
            if waiter.checked or not 0 < waiter.first_ask_seq <= seq:
                continue
            waiter.checked = True
            if now + wait > waiter.latest and not waiter.outcome.done():
                local_tokens.remove(waiter)
                refusal = refuse("rate_exceeded", retry_after=max(wait, TICK_S))
                waiter.outcome.set_result(Err(refusal))

    def _on_redirect(self, sender: Sender, message: QuotaRedirect) -> None:
        link = self._owner_links.get(message.group)
        if link is None or sender.instance != link.target:
            return
        former_target = link.target
        link.redirect(message.holder)
        if link.target not in ("", former_target):
            self._ask_soon(message.group)

    def _send(self, instance: str, message: object) -> None:
        """Send a message; one to this process is delivered directly."""
        if instance != self._context.identity.instance:
            self._context.send(instance, message)
            return
        me = Sender(instance, self._context.identity.incarnation)
        self._context.deliver(me, message)
