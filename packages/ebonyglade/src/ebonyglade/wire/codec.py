"""Encoding of messages between processes: one msgpack frame each."""

from typing import Union

import msgspec
from result import Err, Ok, Result

from ebonyglade.wire import (
    cache,
    control,
    fleet,
    limits,
    once,
    ownership,
    quarantine,
    replica,
    work,
)
from ebonyglade.wire.base import Message

# Each of these modules lists its messages in MESSAGES; new modules are added here.
_MESSAGE_MODULES = (
    control,
    work,
    cache,
    once,
    ownership,
    quarantine,
    limits,
    fleet,
    replica,
)
AnyMessage = Union[  # noqa: UP007
    tuple(kind for module in _MESSAGE_MODULES for kind in module.MESSAGES)
]

WIRE_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        version: version of the wire format; frames of other versions are dropped.
        instance: id of the sending instance.
        incarnation: id of the sending process, new at each start.
        address: address at which the sender receives messages.
        body: the message.
    """

    version: int
    instance: str
    incarnation: str
    address: str
    body: AnyMessage


class _Version(msgspec.Struct, frozen=True, array_like=True):
    """The first field of an envelope of any version."""

    version: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
_version_decoder = msgspec.msgpack.Decoder(_Version)


def encode(instance: str, incarnation: str, address: str, body: Message) -> bytes:
    """Return a message and its sender as one frame."""
    envelope = Envelope(WIRE_VERSION, instance, incarnation, address, body)
    return _encoder.encode(envelope)


def decode(frame: bytes) -> Result[Envelope, str]:
    """Return the envelope in a frame, or the reason why the frame is dropped."""
    if len(frame) > MAX_FRAME_BYTES:
        return Err("too large")
    try:
        version = _version_decoder.decode(frame).version
        if version != WIRE_VERSION:
            return Err(f"version {version}")
        return Ok(_decoder.decode(frame))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
