"""Encodes and verifies idempotency tickets.

A ticket names the agent process that issued it, which alone may run its call.
"""

import base64
import binascii
import hmac

import msgspec

from ebonyglade.hashing import hexdigest

PREFIX = "egt1"
NONCE_BYTES = 12
MAC_BYTES = 16
SECRET_BYTES = 32
DIGEST_BYTES = 32


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Contents of a ticket.

    Attributes:
        agent: instance id of the agent that issued it.
        incarnation: process that issued it; no other process accepts it.
        route: name of the route it is for.
        nonce: random bytes that make it unique.
        expires: time after which it can't start an execution, in monotonic seconds
            of the issuing process.
    """

    agent: str
    incarnation: str
    route: str
    nonce: bytes
    expires: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Ticket)


def looks_like_ticket(key: str) -> bool:
    """Return whether an idempotency key has the form of a ticket."""
    return key.startswith(PREFIX + ".")


def encode_ticket(ticket: Ticket, workspace: str, secret: bytes) -> str:
    """Return a ticket's text, with a MAC that binds it to a workspace."""
    payload = _encoder.encode(ticket)
    mac = _mac(payload, workspace, secret)
    return f"{PREFIX}.{_to_text(payload)}.{_to_text(mac)}"


def decode_ticket(text: str) -> Ticket | None:
    """Decode a ticket without verifying its MAC; return None if it is malformed."""
    parts = text.split(".")
    if len(parts) != 3 or parts[0] != PREFIX:
        return None
    try:
        return _decoder.decode(_to_bytes(parts[1]))
    except (msgspec.MsgspecError, binascii.Error, ValueError):
        return None


def is_authentic(text: str, workspace: str, secret: bytes) -> bool:
    """Return whether a ticket's MAC is valid for a workspace and this secret."""
    parts = text.split(".")
    if len(parts) != 3:
        return False
    try:
        payload, mac = _to_bytes(parts[1]), _to_bytes(parts[2])
    except (binascii.Error, ValueError):
        return False
    return hmac.compare_digest(mac, _mac(payload, workspace, secret))


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that differs for different requests under one ticket."""
    return hexdigest((method.encode(), path.encode(), body), DIGEST_BYTES)


def _mac(payload: bytes, workspace: str, secret: bytes) -> bytes:
    message = payload + b"\0" + workspace.encode()
    return hmac.digest(secret, message, "sha256")[:MAC_BYTES]


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _to_bytes(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
