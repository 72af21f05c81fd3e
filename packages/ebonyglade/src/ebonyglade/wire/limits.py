"""Messages about rights to spend tokens, between entries and owners."""

import msgspec

from ebonyglade.wire.base import Message


class AccountLine(msgspec.Struct, frozen=True, array_like=True):
    """What an entry did with the rights of one workspace.

    The sums grow only, so that lost, repeated and late messages do no harm.

    Attributes:
        workspace: "<team>/<workspace>".
        account: number of the account, new after all rights had lapsed.
        granted: tokens that the entry knows to be granted to this account.
        spent: tokens spent for good.
        returned: tokens given back.
        need: tokens that the first waiting request lacks.
        queued: tokens that all waiting requests lack.
        spare: tokens wished for beyond that, for requests to come.
        urgent: whether the first waiting request has started already.
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


class RightsAsk(Message, frozen=True):
    """Reports accounts to the owner of a group and asks for more rights.

    Attributes:
        seq: number of the message, growing within one process.
        group: the group of all its workspaces.
        epoch: lease under which the accounts were opened; empty if none.
        lines: the accounts.
    """

    seq: int
    group: int
    epoch: str
    lines: list[AccountLine]


class Outlook(msgspec.Struct, frozen=True, array_like=True):
    """What an entry can tell its waiting requests.

    Attributes:
        rate: tokens that accrue a second.
        level: tokens at the owner that nobody holds.
        others: tokens that requests at other entries wait for.
        entries: number of those entries; they are served in turn.
    """

    rate: float
    level: float
    others: float
    entries: int

    def wait(self, upto: float) -> float:
        """Return the seconds until an entry has got `upto` more tokens."""
        before = min(self.others, upto * self.entries)
        return max(0.0, upto + before - self.level) / self.rate


class GrantLine(msgspec.Struct, frozen=True, array_like=True):
    """What the owner grants to one account.

    Attributes:
        workspace: "<team>/<workspace>".
        account: number of the account.
        granted: tokens granted to this account so far.
        outlook: set while requests wait.
        recall: whether other entries need what this one does not.
        closed: whether the owner takes the account's rights as lapsed.
    """

    workspace: str
    account: int
    granted: float
    outlook: Outlook | None = None
    recall: bool = False
    closed: bool = False


class RightsGrant(Message, frozen=True):
    """The owner's answer to a `RightsAsk`, or a later grant.

    Attributes:
        seq: number of the newest ask that it answers.
        group: the group.
        epoch: lease under which the owner grants.
        valid_for: seconds from sending the ask for which rights are valid.
        lines: the accounts concerned.
    """

    seq: int
    group: int
    epoch: str
    valid_for: float
    lines: list[GrantLine]


class RightsRedirect(Message, frozen=True):
    """The asked instance does not own the group; `holder` may."""

    seq: int
    group: int
    holder: str = ""


MESSAGES = (
    RightsAsk,
    RightsGrant,
    RightsRedirect,
)
