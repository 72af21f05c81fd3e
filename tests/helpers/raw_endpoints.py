"""Endpoints that write any bytes on connections that their callers keep."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass
class RawRequest:
    """A request as an endpoint reads it; names of headers are in lower case."""

    line: str
    headers: dict
    body: bytes

    @property
    def id(self):
        return self.headers.get("x-request-id", "")


@dataclass
class RawEndpoint:
    """Answers each request with the bytes that `respond` returns.

    Attributes:
        name: its id and signature.
        respond: called with this endpoint, the request and its connection's state;
            "close" in it closes the connection, which "ended" does after an answer;
            "transport" is its transport.
        runs: ids of the requests that it ran, in order.
        connections: how many were opened.
    """

    name: str
    respond: object
    runs: list = field(default_factory=list)
    connections: int = 0
    address: str = ""

    async def serve(self, reader, writer):
        self.connections += 1
        state = {"close": writer.close, "transport": writer.transport}
        try:
            while True:
                request = await read_request(reader)
                writer.write(self.respond(self, request, state))
                await writer.drain()
                if state.get("ended"):
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def run(self, request, body=b"booked", status=200):
        """Run a request and return its signed answer."""
        self.runs.append(request.id)
        signature = {"X-Response-Signature": f"signed-by-{self.name}"}
        return response(status, {"X-Request-Id": request.id} | signature, body)


def response(status, headers, body=b""):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value)
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.split("\r\n")[:-2]
    headers = {}
    for item in fields:
        name, _, value = item.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return RawRequest(line, headers, body)


@asynccontextmanager
async def raw_endpoints(setup, respond, names=("plain-1", "plain-2")):
    """Replace endpoints of a setup by raw ones; yield these."""
    endpoints, servers = [], []
    for name in names:
        endpoint = RawEndpoint(name, respond)
        server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        endpoint.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        worker = setup.workers[name]
        service = "model" if worker.stage else "plain"
        document = worker.registration(service, Address=endpoint.address, born=1)
        await setup.store.put(f"servers/{name}", document)
        endpoints.append(endpoint)
        servers.append(server)
    listed = setup.entry.entry.replica.registry.endpoints
    await setup.until(
        lambda: all(listed[item.name].address == item.address for item in endpoints)
    )
    try:
        yield endpoints
    finally:
        for server in servers:
            server.close()
