"""Stand-ins of the platform's store and of its workers, as `PROTOCOL.md` describes."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from itertools import count
from typing import ClassVar
from urllib.parse import parse_qs, urlsplit

from lib.http import Channel, Head, Server

HEARTBEAT_S = 1.2


class Store(Server):
    """Keeps items; serves range reads and watches; nothing is ever lost."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()

    async def put(self, key: str, document: dict) -> float:
        """Store a document; return the time of the ack."""
        self._revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {
            "Key": key,
            "Value": value,
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._items[key] = item
        return await self._add(item)

    async def remove(self, key: str) -> float:
        """Remove a document; return the time of the ack."""
        if self._items.pop(key, None) is None:
            return time.monotonic()
        self._revision += 1
        return await self._add(
            {"Key": key, "Revision": self._revision, "Removed": True}
        )

    async def _add(self, event: dict) -> float:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()
        return time.monotonic()

    async def handle(self, channel: Channel, head: Head, body: bytes) -> None:
        """Answer a read."""
        url = urlsplit(head.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("PathPrefix", "")
        if url.path == "/kv-range":
            keys = [
                key
                for key in sorted(self._items)
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            items = [self._items[key] for key in keys[:500]]
            await channel.answer_json(
                {"items": items, "AsOf": self._revision, "Truncated": len(keys) > 500}
            )
        elif url.path == "/kv-watch":
            after = int(query["after"])

            def found() -> list[dict]:
                return [
                    item
                    for item in self._events
                    if item["Revision"] > after and item["Key"].startswith(prefix)
                ]

            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000), self._changed:
                    await self._changed.wait_for(found)
            except TimeoutError:
                pass
            await channel.answer_json({"events": found(), "AsOf": self._revision})
        else:
            await channel.answer(404)


@dataclass
class Arrival:
    """One request that reached a worker.

    Attributes:
        ran: whether the worker began to run it.
        stage: "prefill" for a call that only has the prompt read.
    """

    at: float
    worker: str
    id: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    ran: bool = False
    stage: str = ""
    ended: str = ""
    ended_at: float = 0.0


@dataclass
class Identity:
    """How a worker lists itself."""

    name: str
    service: str
    zone: str
    slots: int
    stage: str = ""
    state: str = "ready"
    born: int = field(default_factory=lambda: int(time.time() * 1000))


class Worker(Server):
    """A worker; the base of plain and model workers."""

    def __init__(self, identity: Identity, store: Store, arrivals: list) -> None:
        super().__init__()
        self.identity = identity
        self.store = store
        self.arrivals = arrivals
        self.running = 0
        self.gone = False
        self._seq = 0
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and list the worker in the store."""
        await super().start()
        await self.register()
        self._beats = asyncio.ensure_future(self._beat())

    async def register(self) -> float:
        """Write the worker's entry; return the time of the ack."""
        own = self.identity
        self._seq += 1
        document = {
            "Service": own.service,
            "Address": self.address,
            "Zone": own.zone,
            "Version": "v1",
            "Slots": own.slots,
            "State": own.state,
            "ColdLeftMs": 0,
            "Seq": self._seq,
            "born": own.born,
        }
        if own.stage:
            document["Stage"] = own.stage
            document["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        return await self.store.put(f"servers/{own.name}", document)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def leave(self) -> None:
        """Remove the entry and exit; runs are broken off."""
        self.gone = True
        self._beats.cancel()
        await self.store.remove(f"servers/{self.identity.name}")
        await self.stop()

    def crash(self) -> None:
        """End without a word."""
        self.gone = True
        self._beats.cancel()
        for channel in list(self.channels):
            channel.close()
        self._server.close()

    def signature(self, head: Head) -> dict[str, str]:
        """Return the headers of an answer of the worker."""
        identifier = head.headers.get("x-request-id", "")
        return {
            "X-Request-Id": identifier,
            "X-Response-Signature": f"{self.identity.name}.{identifier}",
        }

    def load(self) -> dict[str, str]:
        """Return the header that tells the load."""
        slots = self.identity.slots
        waiting = max(0, self.running - slots)
        return {"X-Server-Load": f"{min(self.running, slots)},{waiting},{slots}"}

    def arrived(self, head: Head, body: bytes) -> Arrival:
        """Record a request."""
        arrival = Arrival(
            time.monotonic(),
            self.identity.name,
            head.headers.get("x-request-id", ""),
            head.method,
            head.target,
            body,
            head.headers,
            stage=head.headers.get("x-stage", ""),
        )
        self.arrivals.append(arrival)
        return arrival

    async def reject(self, channel: Channel, head: Head, status: int) -> None:
        """Say that a request was not run."""
        headers = {
            "X-Request-Id": head.headers.get("x-request-id", ""),
            "X-Not-Executed": "1",
            **self.load(),
        }
        await channel.answer(status, headers)


class PlainWorker(Worker):
    """Runs each request for `work_s`, in its slots."""

    work_s = 0.02

    async def handle(self, channel: Channel, head: Head, body: bytes) -> None:
        """Run a request."""
        if head.target == "/health":
            await channel.answer(200, {"X-Instance-Id": self.identity.name})
            return
        arrival = self.arrived(head, body)
        if head.headers.get("x-target-instance", "") not in ("", self.identity.name):
            self.arrivals.remove(arrival)
            await self.reject(channel, head, 421)
            return
        arrival.ran = True
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            arrival.ended_at = time.monotonic()
        await self.respond(channel, head, arrival)

    async def respond(self, channel: Channel, head: Head, arrival: Arrival) -> None:
        """Send the answer of a run."""
        own = f"{self.identity.name} ran {arrival.id}".encode()
        await channel.answer(200, {**self.signature(head), **self.load()}, own)
        arrival.ended = "answered"


class ModelWorker(Worker):
    """Prefills or decodes; its times are those of a small installation's engines."""

    prefill_tokens_per_s = 33_333.0
    event_s = 0.047  # 11 tokens of a step of 4.23 ms each
    tokens_per_event = 11
    memory_tokens = 37_563
    hold_max_s = 2.0
    peers: ClassVar[dict[str, "ModelWorker"]] = {}

    def __init__(self, identity: Identity, store: Store, arrivals: list) -> None:
        super().__init__(identity, store, arrivals)
        self.holds: dict[str, float] = {}
        self.handles: dict[str, str] = {}
        self.orders: list[dict] = []
        self._ids = count(1)
        self._reading = asyncio.Lock()
        self._runs: dict[str, int] = {}

    async def start(self) -> None:
        """Listen, and list the worker in the store."""
        await super().start()
        self.peers[self.address] = self

    def _fetch(self, source: str) -> bool:
        """Take the memory that a handle of another worker stands for."""
        address, _, handle = source.partition("/")
        peer = self.peers.get(address)
        return peer is not None and peer.handles.pop(handle, None) is not None

    async def handle(self, channel: Channel, head: Head, body: bytes) -> None:
        """Answer a call, or run a request."""
        path = head.target
        if path == "/report":
            await channel.answer_json(self._report())
        elif path == "/hold-take":
            await self._hold(channel, json.loads(body))
        elif path.startswith("/hold-drop/"):
            self.holds.pop(path.rpartition("/")[2], None)
            await channel.answer(200)
        elif path.startswith("/kv-handle/"):
            self.handles.pop(path.rpartition("/")[2], None)
            await channel.answer(200)
        elif path == "/order":
            self.orders.append(json.loads(body))
            await channel.answer(409)
        elif path == "/health":
            await channel.answer(200, {"X-Instance-Id": self.identity.name})
        else:
            await self._request(channel, head, body)

    def _report(self) -> dict:
        used = sum(self._runs.values())
        return {
            "Stage": self.identity.stage,
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Seq": len(self.orders),
            "Queued": 0,
            "Active": self.running,
            "KvUsed": used,
            "KvTotal": self.memory_tokens,
            "KvHandles": len(self.handles),
            "held": 0,
            "Runs": [[name, tokens, 1, 5] for name, tokens in self._runs.items()],
            "born": self.identity.born,
        }

    async def _hold(self, channel: Channel, call: dict) -> None:
        ttl_s = min(call["TtlMs"] / 1000, self.hold_max_s)
        now = time.monotonic()
        self.holds = {name: at for name, at in self.holds.items() if at > now}
        hold = f"h{next(self._ids)}"
        self.holds[hold] = now + ttl_s
        await channel.answer_json({"Hold": hold})

    async def _request(self, channel: Channel, head: Head, body: bytes) -> None:
        arrival = self.arrived(head, body)
        if head.headers.get("x-target-instance", "") not in ("", self.identity.name):
            self.arrivals.remove(arrival)
            await self.reject(channel, head, 421)
            return
        if (arrival.stage == "prefill") != (self.identity.stage == "prefill"):
            await self.reject(channel, head, 421)
            return
        tokens = int(head.headers["x-token-count"].split(",")[0])
        if arrival.stage == "prefill":
            await self._prefill(channel, head, arrival, tokens)
        else:
            await self._decode(channel, head, arrival, tokens)

    async def _prefill(
        self, channel: Channel, head: Head, arrival: Arrival, tokens: int
    ) -> None:
        async with self._reading:
            await asyncio.sleep(tokens / self.prefill_tokens_per_s)
        handle = f"{self.identity.name}-{next(self._ids)}"
        self.handles[handle] = arrival.id
        await self.prefilled(channel, head, arrival, handle, tokens)

    async def prefilled(
        self, channel: Channel, head: Head, arrival: Arrival, handle: str, tokens: int
    ) -> None:
        """Send the answer of a call that had a prompt read."""
        body = json.dumps({"KvHandle": handle, "Tokens": tokens, "Version": 1})
        headers = {**self.signature(head), "Content-Type": "application/json"}
        await channel.answer(200, {**headers, **self.load()}, body.encode())

    async def _decode(
        self, channel: Channel, head: Head, arrival: Arrival, tokens: int
    ) -> None:
        self.holds.pop(head.headers.get("x-kv-hold", ""), None)
        source = head.headers.get("x-kv-source")
        if source is not None and not self._fetch(source):
            await self.reject(channel, head, 503)
            return
        arrival.ran = True
        self.running += 1
        self._runs[arrival.id] = tokens
        try:
            if source is None:
                async with self._reading:
                    await asyncio.sleep(2 * tokens / self.prefill_tokens_per_s)
            await self._write_events(channel, head, arrival)
        finally:
            self.running -= 1
            self._runs.pop(arrival.id, None)
            arrival.ended = arrival.ended or "broken off"
            arrival.ended_at = time.monotonic()

    async def _write_events(
        self, channel: Channel, head: Head, arrival: Arrival
    ) -> None:
        headers = {
            **self.signature(head),
            "Content-Type": "text/event-stream",
            "X-Weight-Versions": "1",
        }
        events = max(1, int(head.headers["x-token-count"].split(",")[1]) // 11)
        await channel.begin_stream({**headers, **self.load()})
        for number in range(1, events + 1):
            data = f"id: {number}\ndata: {self.identity.name} {arrival.id}\n\n"
            await channel.chunk(data.encode())
            await asyncio.sleep(self.event_s)
        await channel.chunk(b"")
        arrival.ended = "complete"


def configuration(version: int, routes: list[dict], keys: list[str]) -> dict:
    """Return a configuration of the operator for one plain and one model service."""
    engine = {
        "Slots": 64,
        "KvCapacity": ModelWorker.memory_tokens,
        "KvHoldS": 0.5,
        "SwitchS": 6.0,
        "HoldMs": 2000.0,
        "Stride": 11,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "paydesk", "HealthPath": "/health", "MaxConns": 100},
            {
                "Name": "drafter",
                "HealthPath": "/health",
                "MaxConns": 360,
                "Engine": engine,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "tenant-1", "ApiKeys": keys, "RatePerS": 0, "Burst": 0}],
    }


def route(prefix: str, service: str, kind: str, **changes: object) -> dict:
    """Return a route of a configuration."""
    plain = service == "paydesk"
    return {
        "Name": f"route{prefix.replace('/', '-')}",
        "Host": "tally.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 800 if plain else 14000,
        "TargetLatencyMs": 100 if plain else 900,
        "Priority": 2 if plain else 1,
        "MaxAttempts": 1 if kind == "non_idempotent" else 2,
        "Public": False,
        "Sticky": not plain,
        "Resumable": False,
        "GapTargetMs": 300,
        **changes,
    }
