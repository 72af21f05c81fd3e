"""Base of all messages between the system's own processes.

Every field added later has a default, so that fleets of mixed versions
understand each other; a message type that a process does not know is counted
and dropped by the codec.
"""

import msgspec


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """Base of all messages; the class name is the tag on the wire."""
