"""Messages about leases on groups."""

import msgspec

from ebonyglade.wire.base import Message


class LeaseAsk(Message, frozen=True):
    """Asks a voter to grant, or to renew, leases on groups to the sender.

    Attributes:
        seq: number of the request, growing within one process.
        revision: configuration that the sender's voters were computed from.
        groups: the groups asked for.
        floors: for each group, the revision below which lists are sealed.
        seal: revision below which the voter is asked to refuse from now on.
    """

    seq: int
    revision: int
    groups: list[int]
    floors: list[int] = []
    seal: int = 0


class Refused(msgspec.Struct, frozen=True, array_like=True):
    """A group that another instance holds for `left` more seconds."""

    group: int
    holder: str
    left: float


class LeaseAnswer(Message, frozen=True):
    """A voter's answer to the `LeaseAsk` with the same number.

    Attributes:
        seq: number of the request.
        granted: groups granted for one term.
        refused: the other groups.
        promised: the voter refuses requests of revisions below this one.
        floors: group and floor where the voter knows a higher floor.
    """

    seq: int
    granted: list[int] = []
    refused: list[Refused] = []
    promised: int = 0
    floors: list[tuple[int, int]] = []


class LeaseRelease(Message, frozen=True):
    """Gives groups back; overrides the requests up to number `seq`."""

    seq: int
    groups: list[int]


MESSAGES = (
    LeaseAsk,
    LeaseAnswer,
    LeaseRelease,
)
