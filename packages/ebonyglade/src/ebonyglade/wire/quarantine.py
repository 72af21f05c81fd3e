"""Messages about crashed endpoints and the requests that ran there."""

from ebonyglade.wire.base import Message


class EndpointLost(Message, frozen=True):
    """An endpoint crashed while requests ran there.

    Attributes:
        death: unique id of the crash.
        fingerprints: fingerprints of the requests that were running.
    """

    death: str
    fingerprints: list[str]


class SuspectCleared(Message, frozen=True, tag="Cleared"):
    """A request suspected of causing crashes ran to its end."""

    fingerprint: str


MESSAGES = (EndpointLost, SuspectCleared)
