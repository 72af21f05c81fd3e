"""Stand-ins for the store and the workers of the users' platform, over HTTP.

They implement the part of the platform's documented API that the tests need.
"""

import asyncio
import base64
import json
from itertools import count

from aiohttp import web

from ebonyglade_lab.standins.server import StandIn

PART_INTERVAL_S = 0.05  # between two parts of a response at a limited rate
MAX_EVENTS = 100  # kept for watches; a watch from before them gets status 410


class PlatformStore(StandIn):
    """Stores documents; serves paged range reads and watches.

    Attributes:
        era: rises when the store comes back from an older copy.
        between_pages: called once between two pages of a range read.
        bytes_per_s: rate at which responses leave; None for no limit.
        stalls: whether responses stop half way.
        abort_ids: requests whose streams are aborted after an event.
        answer: answer to all reads; None for the usual ones.
        malformed: body of the answer to the next read; None for the usual one.
    """

    def __init__(self, page=2):
        super().__init__()
        self._page = page
        self._revision = 1
        self._items = {}
        self._events = []
        self._changed = asyncio.Condition()
        self.down = False
        self.reads = 0
        self.era = 1
        self.between_pages = None
        self.bytes_per_s = None
        self.stalls = False
        self.answer = None
        self.malformed = None
        self.app.router.add_get("/kv-range", self._range)
        self.app.router.add_get("/kv-watch", self._watch)

    async def put(self, key, document):
        value = document if isinstance(document, bytes) else json.dumps(document)
        raw = value if isinstance(value, bytes) else value.encode()
        self._revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(raw).decode(),
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._items[key] = item
        await self._append_event(item)

    async def remove(self, key):
        self._revision += 1
        del self._items[key]
        await self._append_event(
            {"Key": key, "Revision": self._revision, "Removed": True}
        )

    def forget_history(self):
        """Drop all events: a watch from an older revision then gets status 410."""
        self._events.clear()

    def copy(self):
        """Return a copy that `restore` can put back."""
        return self._revision, dict(self._items), list(self._events)

    async def restore(self, copy):
        """Lose all changes since a copy was made; waiting watches are cut."""
        self._revision, self._items, self._events = copy[0], dict(copy[1]), copy[2]
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def _respond(self, request, document):
        if self.bytes_per_s is None:
            return web.json_response(document, headers=self._headers())
        body = json.dumps(document).encode()
        response = web.StreamResponse(headers=self._headers())
        response.content_length = len(body)
        await response.prepare(request)
        step = max(1, round(self.bytes_per_s * PART_INTERVAL_S))
        for start in range(0, len(body), step):
            await response.write(body[start : start + step])
            await asyncio.sleep(PART_INTERVAL_S)
            while self.stalls and start > len(body) / 2:
                await asyncio.sleep(PART_INTERVAL_S)
        return response

    def _refuse(self, status):
        return web.Response(status=status, headers=self._headers())

    def _headers(self):
        return {"Store-Era": str(self.era)}

    async def _append_event(self, event):
        self._events = [*self._events, event][-MAX_EVENTS:]
        async with self._changed:
            self._changed.notify_all()

    async def _range(self, request):
        self.reads += 1
        if self.answer is not None:
            await self.answer.send(request, self._headers())
        if self.down:
            return self._refuse(503)
        if self.malformed is not None:
            body, self.malformed = self.malformed, None
            return web.Response(body=body, headers=self._headers())
        after = request.query.get("after", "")
        if after and self.between_pages is not None:
            action, self.between_pages = self.between_pages, None
            await action()
        prefix = request.query["PathPrefix"]
        keys = sorted(
            key for key in self._items if key > after and key.startswith(prefix)
        )
        return await self._respond(
            request,
            {
                "items": [self._items[key] for key in keys[: self._page]],
                "Truncated": len(keys) > self._page,
                "AsOf": self._revision,
            },
        )

    async def _watch(self, request):
        self.reads += 1
        if self.answer is not None:
            await self.answer.send(request, self._headers())
        if self.down:
            return self._refuse(503)
        if self.malformed is not None:
            body, self.malformed = self.malformed, None
            return web.Response(body=body, headers=self._headers())
        after = int(request.query["after"])
        wait_s = int(request.query["WaitMs"]) / 1000
        oldest = self._events[0]["Revision"] if self._events else self._revision + 1
        unknown = after > self._revision
        if unknown or (after < self._revision and after + 1 < oldest):
            return self._refuse(410)
        era = self.era
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._events_after(after) or self.era != era
                )
        except TimeoutError:
            pass
        if self.era != era:
            return self._refuse(410)
        return await self._respond(
            request, {"events": self._events_after(after), "AsOf": self._revision}
        )

    def _events_after(self, after):
        return [event for event in self._events if event["Revision"] > after]


class PlatformWorker(StandIn):
    """Serves plain, prefill and streamed requests, and records those it received.

    Attributes:
        seen: method, path, headers and body of each request.
        handles: request ids by handle of the prefilled prompts that are kept.
        born_ms: Unix milliseconds of its start.
        holds: reserved slots that no decode request has used yet.
        orders: bodies of the stage orders.
        failure: "not executed", "reset" or "silent": how requests fail; None if not.
        retry_after: seconds that a rejection states; None for none.
        leaving: whether all responses say that the worker leaves.
        limit_per_s: limit that all responses state; None for none.
        cold_until: loop time at which its cold state ends, which all responses state;
            None if they state none.
        version: version of its software.
        work_s: returns the seconds at usual speed of a plain request, by its path; such
            requests wait for one of the slots.
        slowness: how long work takes, relative to the usual time; may change.
        states_load: whether responses state running, waiting and slots.
        states_slowness: whether they state the slowness too.
        events: events in each stream.
        event_interval_s: seconds after each event.
        abort_after_events: events after which the connection is aborted; None if
            never.
        answer: answer to all requests but prefills; None for the usual ones.
        prefill_answer: answer to prefills; None for the usual one.
    """

    def __init__(self, name, stage=None, slots=4):
        super().__init__()
        self.name = name
        self.stage = stage
        self.slots = slots
        self.born_ms = 1_700_000_000_000
        self.received = []
        self.handles = {}
        self.holds = set()
        self.orders = []
        self.failure = None
        self.retry_after = None
        self.leaving = False
        self.limit_per_s = None
        self.cold_until = None
        self.version = "v1"
        self.work_s = lambda path: 0.0
        self.slowness = 1.0
        self.states_load = False
        self.states_slowness = False
        self._admitted = 0
        self._free_slots = asyncio.Semaphore(slots)
        self.app.on_response_prepare.append(self._add_state)
        self.events = 3
        self.event_interval_s = 0.0
        self.abort_after_events = None
        self.abort_ids = set()
        self.answer = None
        self.prefill_answer = None
        self.malformed_report = None
        self.report_answer = None
        self.malformed_prefill = None
        self.reports = 0
        self._ids = count(1)
        self.app.router.add_post("/hold-take", self._take_hold)
        self.app.router.add_delete("/hold-drop/{id}", self._drop_hold)
        self.app.router.add_delete("/kv-handle/{id}", self._free_handle)
        self.app.router.add_get("/report", self._report)
        self.app.router.add_post("/order", self._change_stage)
        self.app.router.add_route("*", "/{path:.*}", self._serve)

    def registration(self, service, **changes):
        """Return the document that registers this worker in the store."""
        document = {
            "Service": service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": "z1",
            "Version": self.version,
            "Slots": self.slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": self.born_ms,
        }
        if self.stage:
            document["Stage"] = self.stage
        return {**document, **changes}

    async def _add_state(self, request, response):
        if self.leaving:
            response.headers["Server-Leaving"] = "1"
        if self.states_load:
            response.headers["X-Server-Load"] = self._load()
        if self.limit_per_s is not None:
            response.headers["Server-Limit"] = str(self.limit_per_s)
        if self.cold_until is not None:
            left_s = max(0.0, self.cold_until - asyncio.get_running_loop().time())
            response.headers["X-Cold-Ms"] = str(round(left_s * 1000))
        if response.status == 503 and self.retry_after is not None:
            response.headers["Retry-After"] = str(self.retry_after)

    def _load(self):
        running = min(self._admitted, self.slots)
        figures = [running, self._admitted - running, self.slots]
        if self.states_slowness:
            figures.append(round(100 * self.slowness))
        return ",".join(map(str, figures))

    async def _work(self, request):
        """Take the time of a plain request, at the speed that it begins with."""
        self._admitted += 1
        try:
            async with self._free_slots:
                await asyncio.sleep(self.work_s(request.path) * self.slowness)
        finally:
            self._admitted -= 1

    async def _take_hold(self, request):
        if len(self.holds) >= self.slots:
            return web.Response(status=503)
        hold = f"hold-{next(self._ids)}"
        self.holds.add(hold)
        return web.json_response({"Hold": hold})

    async def _drop_hold(self, request):
        self.holds.discard(request.match_info["id"])
        return web.Response()

    async def _free_handle(self, request):
        self.handles.pop(request.match_info["id"], None)
        return web.Response()

    async def _report(self, request):
        self.reports += 1
        if self.report_answer is not None:
            await self.report_answer.send(request, {})
        if self.malformed_report is not None:
            return web.Response(body=self.malformed_report)
        return web.json_response(
            {
                "Stage": self.stage,
                "Models": [],
                "Busy": False,
                "Seq": len(self.orders),
                "Queued": 0,
                "Active": 0,
                "KvUsed": 0,
                "KvTotal": 80000,
                "KvHandles": len(self.handles),
                "Runs": [],
                "born": self.born_ms,
            }
        )

    async def _change_stage(self, request):
        self.orders.append(await request.json())
        self.stage = self.orders[-1]["Stage"]
        return web.Response(status=202)

    async def _serve(self, request):
        body = await request.read()
        self.received.append((request.method, request.raw_path, request.headers, body))
        if request.headers.get("X-Target-Instance") != self.name:
            headers = {"X-Instance-Id": self.name}
            headers["X-Request-Id"] = request.headers.get("X-Request-Id", "")
            return web.Response(status=421, headers=headers)
        if self.failure == "not executed":
            return self._respond(request, 503, b"", {"X-Not-Executed": "1"})
        if self.failure == "reset":
            request.transport.abort()
            await asyncio.sleep(1)
        if self.failure == "silent":
            await asyncio.sleep(30)
        prefill = request.headers.get("X-Stage") == "prefill"
        answer = self.prefill_answer if prefill else self.answer
        if answer is not None:
            await answer.send(request, self._signature_headers(request))
        if prefill and self.malformed_prefill is not None:
            return self._respond(request, 200, self.malformed_prefill)
        if prefill:
            handle = f"handle-{next(self._ids)}"
            self.handles[handle] = request.headers["X-Request-Id"]
            prefill_result = json.dumps(
                {"KvHandle": handle, "Tokens": 10, "Version": 1}
            )
            return self._respond(request, 200, prefill_result.encode())
        if self.stage:
            return await self._stream(request)
        await self._work(request)
        return self._respond(request, 200, b"echo " + body)

    def _respond(self, request, status, body, headers=None):
        return web.Response(
            status=status,
            body=body,
            headers={**self._signature_headers(request), **(headers or {})},
        )

    def _signature_headers(self, request):
        return {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Response-Signature": f"signed-by-{self.name}",
        }

    async def _stream(self, request):
        self.holds.discard(request.headers.get("X-Kv-Hold"))
        response = web.StreamResponse(
            headers={
                **self._signature_headers(request),
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        abort_after = self.abort_after_events
        if request.headers["X-Request-Id"] in self.abort_ids:
            abort_after = 1
        for number in range(1, self.events + 1):
            if abort_after is not None and number > abort_after:
                await response.write(b"id: 9\ndata: ha")
                request.transport.abort()
                return response
            await response.write(f"id: {number}\ndata: {self.name}\n\n".encode())
            await asyncio.sleep(self.event_interval_s)
        await response.write_eof()
        return response


def config(
    version,
    routes,
    keys=("key-1",),
    services=("plain", "model"),
    service_fields=None,
    **changes,
):
    """Return a configuration document in the platform's format.

    `service_fields` are further fields of all services.
    """
    service_fields = service_fields or {}
    engine = {"Slots": 4, "KvCapacity": 80000, "KvHoldS": 0.5, "HoldMs": 2000.0}
    definitions = {
        "plain": {"Name": "plain", "HealthPath": "/health", "MaxConns": 50},
        "model": {"Name": "model", "MaxConns": 50, "Engine": engine},
    }
    tenant = {"Name": "team-a", "ApiKeys": list(keys), "RatePerS": 0, "Burst": 0}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{**definitions[name], **service_fields} for name in services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 100000,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [tenant],
        **changes,
    }


def route(prefix, service="plain", kind="idempotent", **changes):
    """Return a route of a configuration document in the platform's format."""
    return {
        "Name": f"r{prefix}",
        "Host": "h.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        **changes,
    }
