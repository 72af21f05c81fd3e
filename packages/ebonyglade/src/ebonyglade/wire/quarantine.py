"""Messages about endpoints that died and the requests that ran there."""

from ebonyglade.wire.base import Message


class EndpointLost(Message, frozen=True):
    """An endpoint died while requests ran there.

    Attributes:
        death: unique id of the death.
        fingerprints: fingerprints of the requests that ran.
    """

    death: str
    fingerprints: list[str]


class Cleared(Message, frozen=True):
    """A suspected request ran to its end."""

    fingerprint: str


MESSAGES = (EndpointLost, Cleared)
