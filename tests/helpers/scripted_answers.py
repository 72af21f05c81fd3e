"""Answers of an endpoint whose bytes, framing and end a test decides."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count

import pytest

from ebonyglade.completeness import Framing

framings = pytest.mark.parametrize("framing", Framing, ids=lambda item: item.value)
# What sockets and a client hold of a body that is not read on.
UNREAD_BYTES = 8 * 1024 * 1024
MAX_UNSENT_BYTES = 256 * 1024
MISSING_BYTES = 100  # of a body whose length is stated, and that ends early


@dataclass
class ScriptedAnswer:
    """One answer, written to the connection as it is.

    Attributes:
        framing: what marks the end of the body.
        parts: parts of the body.
        end: "kept": as the framing marks it; "early": the connection is closed before
            that; "reset"; "silent": nothing more comes; "endless": the last part is
            repeated until the connection is closed.
        interval_s: seconds before each part.
        status: HTTP status.
        without: headers of the endpoint that are left out.
        sent: bytes of the body that were written.
    """

    framing: Framing
    parts: tuple[bytes, ...]
    end: str = "kept"
    interval_s: float = 0.0
    status: int = 200
    without: tuple[str, ...] = ()
    sent: int = 0

    async def send(self, request, headers):
        """Send the answer and wait until the connection is closed."""
        transport = request.transport
        transport.write(self._head(headers))
        for part in self.parts:
            await asyncio.sleep(self.interval_s)
            self._write(transport, part)
        while self.end == "endless" and not transport.is_closing():
            self._write(transport, self.parts[-1])
            while transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                await asyncio.sleep(0.001)
            await asyncio.sleep(self.interval_s)
        if self.end == "kept" and self.framing is Framing.CHUNKS:
            transport.write(b"0\r\n\r\n")
        if self.end == "reset":
            await asyncio.sleep(0.05)
            reset(transport)
        elif self.end != "silent":
            transport.close()
        await asyncio.Event().wait()

    def _head(self, headers):
        framing_headers = {
            Framing.LENGTH: {"Content-Length": self._stated_length()},
            Framing.CHUNKS: {"Transfer-Encoding": "chunked"},
            Framing.CONNECTION: {},
        }
        kept = {
            name: text for name, text in headers.items() if name not in self.without
        }
        lines = {**kept, **framing_headers[self.framing]}.items()
        fields = "".join(f"{name}: {value}\r\n" for name, value in lines)
        return f"HTTP/1.1 {self.status} X\r\n{fields}\r\n".encode()

    def _stated_length(self):
        length = sum(len(part) for part in self.parts)
        return length if self.end == "kept" else length + MISSING_BYTES

    def _write(self, transport, part):
        self.sent += len(part)
        chunked = self.framing is Framing.CHUNKS
        transport.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)


def reset(transport):
    """Close a connection with a TCP reset instead of a FIN."""
    raw_socket = transport.get_extra_info("socket")
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def plain_response(body):
    """Return a response without an id."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Consul-Index: 1"
    return head.encode() + b"\r\n\r\n" + body


@asynccontextmanager
async def late_copies(template):
    """Serve numbered bodies; yield the address.

    A second copy of each response is sent on its connection when the next request is
    there.

    Args:
        template: format of a body, for its number.
    """
    numbers = count()

    async def connected(reader, writer):
        before = b""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                response = plain_response(template % next(numbers))
                writer.write(before + response)
                before = response
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
