"""Splitting of a stream into complete server-sent events.

Source: https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream
"""

import re

from ebonyglade.completeness import Content

# An event ends with an empty line. Lines end with LF, CR or CRLF, so that two of these
# in a row always contain one of the pairs; an LF may follow the CR of the second one.
_EMPTY_LINE_ENDINGS = (b"\n\n", b"\r\r", b"\n\r")
_ID_FIELD = b"id:"
_ID_VALUE = re.compile(rb"id:[ ]?([^\r\n]*)")
_NO_FIELDS = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")  # empty lines and comments


class EventSplitter:
    """Returns complete events and buffers the remainder."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._last_id = ""
        self._has_events = False

    @property
    def last_event_id(self) -> str:
        """Id of the last event that was returned; "" if there is none."""
        return self._last_id

    @property
    def remainder_size(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def content(self) -> Content:
        """What the stream holds if it ends here."""
        if not _NO_FIELDS.fullmatch(self._buffer):
            return Content.UNFINISHED_EVENT
        return Content.WHOLE_EVENTS if self._has_events else Content.NO_EVENTS

    def take_remainder(self) -> bytes:
        """Return the bytes after the last complete event, and drop them here."""
        taken = bytes(self._buffer)
        self._buffer.clear()
        return taken

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events; empty if none."""
        # An event may end with the first of the new bytes.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += data
        end = _last_event_end(self._buffer, searched)
        if not end:
            return b""
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._has_events = self._has_events or contains_event(complete)
        last_id = _last_id(complete)
        if last_id is not None:
            self._last_id = last_id
        return complete


def contains_event(lines: bytes) -> bool:
    """Return whether complete lines are more than comments and empty lines."""
    return not _NO_FIELDS.fullmatch(lines)


def _last_event_end(buffer: bytearray, start: int) -> int:
    """Return the position after the last event that ends after `start`; 0 if none."""
    found = max(buffer.rfind(ending, start) for ending in _EMPTY_LINE_ENDINGS)
    if found < 0:
        return 0
    end = found + 2
    return end + (buffer[end - 1 : end + 1] == b"\r\n")


def _last_id(events: bytes) -> str | None:
    """Return the id that the last event with one has; None if none has."""
    found = events.rfind(_ID_FIELD)
    while found >= 0:
        if found == 0 or events[found - 1 : found] in (b"\n", b"\r"):
            value = _ID_VALUE.match(events, found)[1]
            return value.decode("utf-8", "replace")
        found = events.rfind(_ID_FIELD, 0, found)
    return None
