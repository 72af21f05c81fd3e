"""Whole events of a stream, cut where an event ends."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Passes on whole events and keeps the rest back."""

    def __init__(self) -> None:
        self._buffer = b""
        self._last_id = ""

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was passed on; "" if there is none."""
        return self._last_id

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Return the whole events in what has arrived; empty if there is none."""
        self._buffer += data
        end = 0
        for found in _END.finditer(self._buffer):
            end = found.end()
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        ids = _ID.findall(whole)
        if ids:
            self._last_id = ids[-1].decode("utf-8", "replace")
        return whole
