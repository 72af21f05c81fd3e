"""A small HTTP/1.1 server and client on asyncio streams.

Stand-ins need full control of what leaves on a channel and when, so that nothing here
hides the connection.
"""

import asyncio
import json
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass(eq=False)
class Head:
    """First line and headers of a message; names of headers in lower case."""

    line: str
    headers: dict[str, str]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])


@dataclass(eq=False)
class Channel:
    """One accepted connection, and what a handler does with it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int
    served: int = 0
    closed: bool = False

    async def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a complete response with a length."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def answer_json(self, document: object, status: int = 200) -> None:
        """Send a JSON document."""
        body = json.dumps(document).encode()
        await self.answer(status, {"Content-Type": "application/json"}, body)

    async def begin_stream(self, headers: dict[str, str]) -> None:
        """Send the head of a response in chunks."""
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the response."""
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        transport = self.writer.transport
        if transport is not None:
            transport.abort()


class Server:
    """Accepts connections and hands each request to `handle`."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.ip, self.port = ip, 0
        self.channels: set[Channel] = set()
        self._count = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address as "IP:port"."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port, or on the one of an earlier start."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for channel in list(self.channels):
            channel.close()

    async def handle(self, channel: Channel, head: Head, body: bytes) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._count += 1
        channel = Channel(reader, writer, self._count)
        self.channels.add(channel)
        try:
            while not channel.closed:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                await self._run(channel, head, body)
                channel.served += 1
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.channels.discard(channel)
            channel.close()

    async def _run(self, channel: Channel, head: Head, body: bytes) -> None:
        """Handle a request; it is dropped if its channel ends meanwhile."""
        task = asyncio.ensure_future(self.handle(channel, head, body))
        watch = asyncio.ensure_future(self._until_closed(channel))
        try:
            await asyncio.wait([task, watch], return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                channel.closed = True
                task.cancel()
            await asyncio.gather(task, return_exceptions=False)
        except asyncio.CancelledError:
            channel.closed = True
        finally:
            watch.cancel()
            task.cancel()

    async def _until_closed(self, channel: Channel) -> None:
        """Return once the peer has closed the channel."""
        while not channel.reader.at_eof() and not channel.writer.is_closing():
            if channel.reader.exception() is not None:
                return
            await asyncio.sleep(0.005)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a message's head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *fields = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for item in fields:
        name, _, value = item.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(line, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body that a head announces."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = [part async for part in chunks(reader)]
        return b"".join(parts)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


async def chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body until the last one."""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"", 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


@dataclass
class Outcome:
    """What a client saw of one request; times are those of the event loop.

    Attributes:
        status: status of the answer; 0 if there was none.
        complete: whether the answer ended as its framing says.
        error: how it failed; "" if it did not.
    """

    id: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0
    error: str = ""


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Outcome:
    """Send a client's request on a new channel and read its answer."""
    loop = asyncio.get_running_loop()
    outcome = Outcome(headers.get("X-Request-Id", ""), loop.time())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            outcome.status, outcome.headers = head.status, head.headers
            if head.headers.get("transfer-encoding", "").lower() == "chunked":
                async for part in chunks(reader):
                    outcome.body += part
            else:
                outcome.body = await read_body(reader, head)
            outcome.complete = True
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        outcome.error = f"{type(error).__name__}: {error}"
    finally:
        outcome.ended_at = loop.time()
        if writer is not None:
            writer.close()
    return outcome
