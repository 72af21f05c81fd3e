"""Clients on kept channels, and the configuration that they use."""

import asyncio
import socket
import time

DEADLINE_MS = 14_000
SEGMENT_BYTES = 1400  # of an Ethernet link


class Client:
    """One client on a kept channel."""

    def __init__(self, address, outcomes, note, began, window=None):
        self.host, _, self.port = address.partition(":")
        self.outcomes, self.note, self.began = outcomes, note, began
        self.window = window
        self.reader = self.writer = None
        self.served = 0  # on this channel

    async def ask(self, request_id, path, body, bytes_per_s=None):
        """Send a request; return its status and body, 0 for a closed channel."""
        if self.writer is None:
            await self._open()
        sent = time.monotonic() - self.began
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Api-Key: key-1\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        status, got, kept = 0, b"", False
        try:
            self.writer.write(head.encode() + body)
            async with asyncio.timeout(DEADLINE_MS / 1000):
                status, got, kept = await self._read(bytes_per_s)
        except TimeoutError:
            status = -1
        except (asyncio.IncompleteReadError, ConnectionError):
            status = 0
        ended = time.monotonic() - self.began
        # Bodies are not kept, as they take gigabytes.
        self.outcomes[request_id] = (self.served, status, hash(got))
        self.note(
            f"{sent:.3f} sent {request_id} {path}, as number {self.served + 1} of its"
            f" channel, {ended:.3f} got {status or 'a closed channel'}"
        )
        self.served += 1
        if not kept:
            self.writer.close()
            self.writer = None
        return status

    async def _open(self):
        opened = socket.socket()
        opened.setblocking(False)
        if self.window:
            # As on a real link; a loopback one takes megabytes at once.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.served = 0
        await asyncio.get_running_loop().sock_connect(
            opened, (self.host, int(self.port))
        )
        self.reader, self.writer = await asyncio.open_connection(
            sock=opened, limit=self.window or 64 * 1024
        )

    async def _read(self, bytes_per_s):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.split("\r\n")
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines if line)
        }
        left, parts = int(fields["content-length"]), []
        while left:
            step = min(left, 16 * 1024)
            parts.append(await self.reader.readexactly(step))
            left -= step
            if bytes_per_s:
                await asyncio.sleep(step / bytes_per_s)
        kept = fields.get("connection", "").lower() != "close"
        return int(status_line.split()[1]), b"".join(parts), kept


def route(prefix):
    """Return a route of the configuration."""
    return {
        "Name": f"r-{prefix}",
        "Host": "h.example",
        "PathPrefix": f"/{prefix}/",
        "Kind": "non_idempotent",
        "TimeoutMs": 14000,
        "TargetLatencyMs": 4000,
        "Priority": 2,
        "Service": "desk",
        "MaxAttempts": 1,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }


def configuration(*prefixes):
    """Return a configuration with a route for each prefix."""
    return {
        "Version": 3,
        "Routes": [route(prefix) for prefix in prefixes],
        "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConns": 110}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": "team-a", "ApiKeys": ["key-1"], "RatePerS": 0, "Burst": 0}
        ],
    }
