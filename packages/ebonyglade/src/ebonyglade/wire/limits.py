"""Messages between entries and owners that grant rights to spend tokens."""

import msgspec

from ebonyglade.wire.base import Message


class AccountReport(msgspec.Struct, frozen=True, array_like=True):
    """Use of one workspace's rights by an entry.

    The sums never decrease, so lost, repeated and late messages do no harm.

    Attributes:
        workspace: "<team>/<workspace>".
        account: number of the account; a new one is opened after all rights of
            the previous one have expired.
        granted: tokens that the entry knows to be granted to this account.
        spent: tokens spent.
        returned: tokens given back.
        need: tokens that the first waiting request lacks.
        queued: tokens that all waiting requests lack.
        spare: additional tokens requested for future requests.
        urgent: whether the first waiting request has already started.
    """

    workspace: str
    account: int
    granted: float
    spent: float
    returned: float
    need: float = 0.0
    queued: float = 0.0
    spare: float = 0.0
    urgent: bool = False


class QuotaRequest(Message, frozen=True, tag="RightsAsk"):
    """Reports accounts to the owner of a group and requests more rights.

    Attributes:
        seq: number of the message, increasing within one process.
        group: group to which all of its workspaces belong.
        epoch: lease under which the accounts were opened; empty if none.
        lines: the accounts.
    """

    seq: int
    group: int
    epoch: str
    lines: list[AccountReport]


class WaitEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Data from which an entry estimates the wait of its requests.

    Attributes:
        rate: tokens that become available per second.
        level: tokens at the owner that no entry holds.
        others: tokens that requests at other entries wait for.
        entries: number of those entries, which are served in turn.
    """

    rate: float
    level: float
    others: float
    entries: int

    def wait(self, upto: float) -> float:
        """Return the seconds until an entry has received `upto` more tokens."""
        before = min(self.others, upto * self.entries)
        return max(0.0, upto + before - self.level) / self.rate


class AccountGrant(msgspec.Struct, frozen=True, array_like=True):
    """What the owner grants to one account.

    Attributes:
        workspace: "<team>/<workspace>".
        account: number of the account.
        granted: tokens granted to this account so far.
        outlook: set while requests wait.
        recall: whether other entries need the tokens that this one does not need.
        closed: whether the owner treats the account's rights as expired.
    """

    workspace: str
    account: int
    granted: float
    outlook: WaitEstimate | None = None
    recall: bool = False
    closed: bool = False


class QuotaGrant(Message, frozen=True, tag="RightsGrant"):
    """The owner's answer to a `QuotaRequest`, or a later grant.

    Attributes:
        seq: number of the newest `QuotaRequest` that it answers.
        group: the group.
        epoch: lease under which the owner grants.
        valid_for: seconds for which the rights are valid, from the time at which the
            `QuotaRequest` was sent.
        lines: grants of the accounts concerned.
    """

    seq: int
    group: int
    epoch: str
    valid_for: float
    lines: list[AccountGrant]


class QuotaRedirect(Message, frozen=True, tag="RightsRedirect"):
    """The sender does not own the group; `holder` may own it."""

    seq: int
    group: int
    holder: str = ""


MESSAGES = (
    QuotaRequest,
    QuotaGrant,
    QuotaRedirect,
)
