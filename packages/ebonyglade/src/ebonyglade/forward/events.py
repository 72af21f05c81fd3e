"""Splitting of a stream into complete server-sent events."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Returns complete events and buffers the remainder."""

    def __init__(self) -> None:
        self._buffer = b""
        self._last_id = ""

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was returned; "" if there is none."""
        return self._last_id

    @property
    def remainder(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events; empty if none."""
        self._buffer += data
        end = 0
        for found in _END.finditer(self._buffer):
            end = found.end()
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        ids = _ID.findall(complete)
        if ids:
            self._last_id = ids[-1].decode("utf-8", "replace")
        return complete
