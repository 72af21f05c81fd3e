"""The entry's side: rights at hand, and requests that wait for more."""

import asyncio
from collections import OrderedDict

from result import Err, Ok, Result

from ebonyglade.context import Context
from ebonyglade.limits.links import OLD_ASK_S, Link
from ebonyglade.limits.wallet import Reservation, Waiter, Wallet
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ownership.terms import DRIFT
from ebonyglade.ports import Sender
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.limits import GrantLine, RightsAsk, RightsGrant, RightsRedirect

TICK_S = 0.1
REPORT_TICKS = 3  # between two reports of a workspace without waiting requests
SENT_KEPT_S = 10.0
# A takeover may fail once, as where the processes of a fleet start one by one.
TAKEOVERS = 2
KNOWN_S = 1.0  # after which an owner's estimate says nothing any more

Reserved = Result[Reservation, Refusal]


class Rights:
    """Hands rights out to requests, in order, and asks the owners for more."""

    def __init__(self, context: Context, ownership: Ownership) -> None:
        self._context = context
        self._ownership = ownership
        self._wallets: dict[str, Wallet] = {}
        self._links: dict[int, Link] = {}
        self._sent: OrderedDict[int, float] = OrderedDict()
        self._soon: set[int] = set()
        self._seq = 0
        self._accounts = 0
        self._ticks = 0
        context.handle({RightsGrant: self._on_grant, RightsRedirect: self._on_redirect})
        context.every(TICK_S, self.tick)

    async def acquire(
        self, workspace: str, cost: float, latest: float, urgent: bool = False
    ) -> Reserved:
        """Reserve tokens, waiting for them as long as that makes sense.

        Args:
            workspace: who is charged.
            cost: tokens.
            latest: monotonic seconds until which waiting is worth it.
            urgent: for a request that has started already.

        Returns:
            The reservation, or why there is none in time.
        """
        now = self._context.clock()
        wallet = self._wallet(workspace, now)
        wallet.wish(cost)
        if self._ownerless(wallet.group, now):
            self._ask_soon(wallet.group)
            return Err(self._unknown())
        if urgent or not wallet.waiters:
            reservation = wallet.take(cost, now)
            if reservation is not None:
                return Ok(reservation)
        waiter = Waiter(
            cost, latest, urgent, asyncio.get_running_loop().create_future()
        )
        wallet.enqueue(waiter)
        self._ask_soon(wallet.group)
        return await self._wait(wallet, waiter)

    def tick(self, now: float) -> None:
        """Report, return what is not needed, and look for silent owners."""
        self._ticks += 1
        due: set[int] = set()
        for workspace, wallet in list(self._wallets.items()):
            if wallet.expired(now):
                wallet.reset(self._new_account())
            wallet.give_back(now)
            if wallet.idle:
                del self._wallets[workspace]
            elif wallet.waiters or self._ticks % REPORT_TICKS == 0:
                due.add(wallet.group)
        for link in self._links.values():
            if link.check(now):
                self._context.count("rate_owners_silent")
            if self._ownerless(link.group, now):
                self._refuse_waiting(link.group)
        for group in sorted(due):
            self._ask(group)

    def _ownerless(self, group: int, now: float) -> bool:
        """Return whether nobody grants rights, and waiting does not change it."""
        link = self._links.get(group)
        if link is None or link.ownerless is None:
            return False
        if now - link.asked > OLD_ASK_S:
            return False
        silent = now - link.ownerless
        return silent > TAKEOVERS * self._ownership.terms.takeover_s

    def _unknown(self) -> Refusal:
        return refuse("rate_unknown", retry_after=self._ownership.terms.lease_s)

    def _refuse_waiting(self, group: int) -> None:
        for wallet in self._wallets.values():
            if wallet.group != group:
                continue
            for waiter in list(wallet.waiters):
                wallet.leave(waiter)
                if not waiter.granted.done():
                    waiter.granted.set_result(Err(self._unknown()))

    async def _wait(self, wallet: Wallet, waiter: Waiter) -> Reserved:
        within = max(0.0, waiter.latest - self._context.clock())
        taken = False
        try:
            async with asyncio.timeout(within):
                outcome = await waiter.granted
            taken = True
            return outcome
        except TimeoutError:
            if waiter.granted.done() and not waiter.granted.cancelled():
                taken = True
                return waiter.granted.result()
            return Err(self._late(wallet, waiter))
        finally:
            if not taken:
                self._abandon(wallet, waiter)

    def _abandon(self, wallet: Wallet, waiter: Waiter) -> None:
        wallet.leave(waiter)
        done = waiter.granted.done() and not waiter.granted.cancelled()
        if done and isinstance(waiter.granted.result(), Ok):
            waiter.granted.result().ok_value.settle()
        self._fill(wallet)
        self._ask_soon(wallet.group)

    def _late(self, wallet: Wallet, waiter: Waiter) -> Refusal:
        if self._context.clock() - wallet.heard > KNOWN_S:
            return self._unknown()
        wait = wallet.wait(waiter.cost - max(0.0, wallet.free))
        return refuse("rate_exceeded", retry_after=max(wait, TICK_S))

    def _wallet(self, workspace: str, now: float) -> Wallet:
        wallet = self._wallets.get(workspace)
        if wallet is None:
            group = self._ownership.group_of(workspace)
            wallet = Wallet(
                workspace, group, self._new_account(), self._context.invariants
            )
            self._wallets[workspace] = wallet
        if wallet.expired(now):
            wallet.reset(self._new_account())
        return wallet

    def _new_account(self) -> int:
        self._accounts += 1
        return self._accounts

    def _ask_soon(self, group: int) -> None:
        """Ask once after everything that happens at this moment."""
        if group in self._soon:
            return
        self._soon.add(group)
        asyncio.get_running_loop().call_soon(self._ask_now, group)

    def _ask_now(self, group: int) -> None:
        self._soon.discard(group)
        self._ask(group)

    def _ask(self, group: int) -> None:
        now = self._context.clock()
        link = self._links.setdefault(group, Link(group))
        target = link.choose(self._ownership, now)
        wallets = [item for item in self._wallets.values() if item.group == group]
        if target is None or not wallets:
            return
        self._seq += 1
        self._sent[self._seq] = now
        while now - next(iter(self._sent.values())) > SENT_KEPT_S:
            self._sent.popitem(last=False)
        for wallet in wallets:
            wallet.dirty = False
            for waiter in wallet.waiters:
                waiter.asked = waiter.asked or self._seq
        link.sent(now)
        lines = [wallet.line() for wallet in wallets]
        self._send(target, RightsAsk(self._seq, group, link.epoch, lines))

    def _on_grant(self, sender: Sender, message: RightsGrant) -> None:
        sent = self._sent.get(message.seq)
        link = self._links.get(message.group)
        if sent is None or link is None:
            return
        if message.epoch != link.epoch and not self._change_epoch(link, message):
            return
        link.epoch_seq = max(link.epoch_seq, message.seq)
        link.target = sender.instance
        link.granted()
        valid_until = sent + message.valid_for * (1 - 2 * DRIFT)
        for line in message.lines:
            self._take_line(line, message.seq, valid_until)

    def _change_epoch(self, link: Link, message: RightsGrant) -> bool:
        """Begin anew with the owner of another lease, unless it is an old one."""
        if message.seq <= link.epoch_seq:
            return False
        known, link.epoch = link.epoch, message.epoch
        if known:
            for wallet in self._wallets.values():
                if wallet.group == link.group:
                    wallet.reset(self._new_account())
            self._ask_soon(link.group)
        return True

    def _take_line(self, line: GrantLine, seq: int, valid_until: float) -> None:
        wallet = self._wallets.get(line.workspace)
        now = self._context.clock()
        if wallet is None or line.account != wallet.account:
            return
        wallet.heard, wallet.outlook = now, line.outlook
        if line.closed:
            wallet.reset(self._new_account())
            self._ask_soon(wallet.group)
            return
        wallet.granted(line.granted, valid_until)
        wallet.recalled = line.recall
        filled = self._fill(wallet)
        self._judge(wallet, seq, now)
        if line.recall:
            wallet.give_back(now)
        if wallet.dirty and (line.recall or (filled and wallet.waiters)):
            self._ask_soon(wallet.group)

    def _fill(self, wallet: Wallet) -> bool:
        """Serve waiting requests in order; return whether any was served."""
        now = self._context.clock()
        filled = False
        while wallet.waiters:
            reservation = wallet.take(wallet.waiters[0].cost, now)
            if reservation is None:
                break
            filled = True
            waiter = wallet.waiters.popleft()
            if waiter.granted.done():
                reservation.settle()
            else:
                waiter.granted.set_result(Ok(reservation))
        return filled

    def _judge(self, wallet: Wallet, seq: int, now: float) -> None:
        """Refuse at once the requests that can't be served in time."""
        if wallet.outlook is None:
            return
        for waiter, wait in wallet.waits():
            if waiter.judged or not 0 < waiter.asked <= seq:
                continue
            waiter.judged = True
            if now + wait > waiter.latest and not waiter.granted.done():
                wallet.leave(waiter)
                refusal = refuse("rate_exceeded", retry_after=max(wait, TICK_S))
                waiter.granted.set_result(Err(refusal))

    def _on_redirect(self, sender: Sender, message: RightsRedirect) -> None:
        link = self._links.get(message.group)
        if link is None or sender.instance != link.target:
            return
        before = link.target
        link.redirected(message.holder)
        if link.target not in ("", before):
            self._ask_soon(message.group)

    def _send(self, instance: str, message: object) -> None:
        """Send a message, or hand it over here if it is for this process."""
        if instance != self._context.me.instance:
            self._context.send(instance, message)
            return
        me = Sender(instance, self._context.me.incarnation)
        self._context.deliver(me, message)
