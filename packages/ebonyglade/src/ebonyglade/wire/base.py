"""Base of all messages between the system's own processes.

Every field that is added later has a default, so that processes of different
versions understand each other. A message type that a process does not know is
counted and dropped.
"""

import msgspec


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """Base of all messages; the class name is the tag on the wire.

    A renamed class is given its former name as `tag`, which keeps that name on the
    wire.
    """
