"""Stand-ins of the platform's store and of workers, by the users' PROTOCOL.md."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


async def read_message(reader):
    """Return the first line, the headers and the body of a message.

    Raises:
        asyncio.IncompleteReadError: the channel ended before that.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.split("\r\n")[:-2]
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return line, headers, body
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line, headers, body


def answer(status, body=b"", headers=None):
    """Return the bytes of an answer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """An HTTP server that calls `respond` for each request."""

    def __init__(self):
        """Create the server; `start` opens it."""
        self._server = None

    async def start(self, ip, port):
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def respond(self, line, headers, body):
        """Return the bytes of the answer to a request."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                writer.write(await self.respond(*message))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: range reads and watches."""

    def __init__(self):
        """Create an empty store."""
        super().__init__()
        self._revision = 1
        self._items = {}
        self._events = []
        self._changed = asyncio.Condition()

    async def put(self, key, document):
        """Write a document; the return is the ack."""
        self._revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(document).encode()).decode(),
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._items[key] = item
        self._events.append(item)
        async with self._changed:
            self._changed.notify_all()

    async def respond(self, line, headers, body):
        """Answer a read or a watch."""
        target = urlsplit(line.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        if target.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self._items if key > after)
            page = [self._items[key] for key in keys[:500]]
            found = {"items": page, "Truncated": len(keys) > 500}
            return self._json(found)
        if target.path != "/kv-watch":
            return answer(404)
        after = int(query["after"])
        try:
            async with asyncio.timeout(int(query["WaitMs"]) / 1000), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        except TimeoutError:
            pass
        return self._json(
            {"events": [item for item in self._events if item["Revision"] > after]}
        )

    def _json(self, document):
        body = json.dumps({**document, "AsOf": self._revision}).encode()
        return answer(200, body, {"Content-Type": "application/json"})


class Worker(Server):
    """A worker: runs plain requests, and reports as a model worker.

    Attributes:
        runs: time, id, target, body and headers of the requests that it ran.
    """

    def __init__(self, name, work_s=0.0):
        """Create a worker.

        Args:
            name: its id.
            work_s: time that a request takes.
        """
        super().__init__()
        self.name, self.work_s = name, work_s
        self.born = int(time.time() * 1000)
        self.runs = []
        self.address = ""

    def document(self, service, zone, **more):
        """Return what the worker writes of itself into the store."""
        return {
            "Service": service,
            "Address": self.address,
            "Zone": zone,
            "Version": "v1",
            "Slots": 12,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": self.born,
            **more,
        }

    async def start(self, ip, port):
        """Listen at an address."""
        self.address = f"{ip}:{port}"
        await super().start(ip, port)

    async def respond(self, line, headers, body):
        """Answer a request or a call for the report."""
        method, target, _ = line.split(" ", 2)
        if target == "/report":
            return self._report()
        request = headers.get("x-request-id", "")
        if not request or headers.get("x-target-instance", self.name) != self.name:
            more = {"X-Not-Executed": "1", "X-Request-Id": request}
            return answer(421 if request else 400, b"", more)
        self.runs.append((time.monotonic(), request, f"{method} {target}", body))
        await asyncio.sleep(self.work_s)
        more = {"X-Request-Id": request, "X-Response-Signature": f"s.{self.name}"}
        return answer(200, b"done by " + self.name.encode(), more)

    def _report(self):
        report = {
            "Stage": "decode",
            "Models": [],
            "Busy": False,
            "Seq": 0,
            "Queued": 0,
            "Active": 0,
            "KvUsed": 0,
            "KvTotal": 90000,
            "KvHandles": 0,
            "Runs": [],
            "born": self.born,
        }
        more = {"Content-Type": "application/json"}
        return answer(200, json.dumps(report).encode(), more)
