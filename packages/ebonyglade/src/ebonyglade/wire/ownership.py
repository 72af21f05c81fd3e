"""Messages about leases on groups."""

import msgspec

from ebonyglade.wire.base import Message


class LeaseRequest(Message, frozen=True, tag="LeaseAsk"):
    """Asks a voter to grant, or to renew, leases on groups to the sender.

    Attributes:
        seq: number of the request, increasing within one process.
        revision: configuration revision from which the sender computed its voters.
        groups: requested groups.
        floors: for each group, the revision below which no instance list can yield
            a lease any more, as a quorum of its voters refuses requests from it.
        seal: the voter should refuse requests below this revision from now on.
    """

    seq: int
    revision: int
    groups: list[int]
    floors: list[int] = []
    seal: int = 0


class LeaseRefusal(msgspec.Struct, frozen=True, array_like=True):
    """A group that `holder` holds for `left` more seconds."""

    group: int
    holder: str
    left: float


class LeaseResponse(Message, frozen=True, tag="LeaseAnswer"):
    """A voter's answer to the `LeaseRequest` with the same number.

    Attributes:
        seq: number of the request.
        granted: groups granted for one term.
        refused: groups that were not granted.
        promised: the voter refuses requests with a revision below this one.
        floors: groups for which the voter knows a higher floor, with that floor.
    """

    seq: int
    granted: list[int] = []
    refused: list[LeaseRefusal] = []
    promised: int = 0
    floors: list[tuple[int, int]] = []


class LeaseRelease(Message, frozen=True):
    """Releases groups; lease requests up to number `seq` are void."""

    seq: int
    groups: list[int]


MESSAGES = (
    LeaseRequest,
    LeaseResponse,
    LeaseRelease,
)
