"""Heads of HTTP/1.1 responses, checked before the lenient parser of the client.

The parser accepts more than the protocol allows. What it makes of such bytes is no
answer of the endpoint, which may have sent something else.
"""

import re

# RFC 9112, section 4; the status codes are those of RFC 9110, section 15.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
# RFC 9110, section 5.5: a token, and a value without control characters. A line that
# begins with a blank would be joined to the one before it.
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_LINE_END = re.compile(rb"\r?\n")
_END_BYTES = 4  # longest end of a head
_INTERIM = b"1"
MAX_INTERIM = 32  # interim responses before a final one
_SWITCHING_PROTOCOLS = b"101"  # a final response to a request that nobody sent


class MalformedHead(ValueError):
    """The bytes are no head of a response."""


class HeadChecker:
    """Checks the heads on a connection from a request to its final response."""

    def __init__(self) -> None:
        self._head = b""
        self._interim = 0
        self._is_done = False

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the connection; those of a body are not looked at.

        Raises:
            MalformedHead: a head is complete that the protocol does not allow, or is
                one of too many.
        """
        while data and not self._is_done:
            searched = max(0, len(self._head) - _END_BYTES)
            # Empty lines before a status line are skipped, as the protocol recommends.
            self._head = (self._head + data).lstrip(b"\r\n")
            end = _HEAD_END.search(self._head, min(searched, len(self._head)))
            if end is None:
                return
            data = self._head[end.end() :]
            status = _check(self._head[: end.start()])
            self._head = b""
            self._is_done = not status.startswith(_INTERIM)
            self._interim += 1
            if self._interim > MAX_INTERIM:
                raise MalformedHead("too many interim responses")


def _check(head: bytes) -> bytes:
    """Return the status code of a head.

    Raises:
        MalformedHead: the protocol does not allow it.
    """
    status_line, *field_lines = _LINE_END.split(head)
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None or match[1] == _SWITCHING_PROTOCOLS:
        raise MalformedHead(f"status line {status_line[:40]!r}")
    for line in field_lines:
        if _FIELD_LINE.fullmatch(line) is None:
            raise MalformedHead(f"field line {line[:40]!r}")
    return match[1]
