"""A forwarding entry with simulated parts of the users' platform around it."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from ebonyglade_entry.forwarding.service import ForwardingEntry
from ebonyglade_entry.forwarding.settings import ForwardSettings
from helpers.ports import free_port
from helpers.users_platform import PlatformStore, PlatformWorker, config, route

# Headers of a model request.
MODEL = {"X-Model": "m", "X-Token-Count": "100,50", "X-Length-Hint": "20"}
ROUTES = [
    route("/read/", "plain"),
    route("/book/", "plain", "non_idempotent", MaxAttempts=1),
    route("/write/", "model", "streaming", TimeoutMs=4000),
    route("/resume/", "model", "streaming", TimeoutMs=4000, Resumable=True),
    route("/open/", "plain", Public=True),
    route("/slow/", "plain", TimeoutMs=300),
]


def settings(model, store, revoke_ms=5000, grace_s=5, first_start=False, **sections):
    instance = {
        "name": "n",
        "address": f"tcp://127.0.0.1:{free_port()}",
        "zone": "z1",
        "first_start": first_start,
    }
    return model.model_validate(
        {
            "instance": instance,
            "store": {
                "address": f"127.0.0.1:{store.port}",
                "adapter": "ebonyglade_platform",
                "wait_ms": 200,
            },
            "bounds": {
                "revoke_ms": revoke_ms,
                "repeat_ratio": 0.2,
                "repeat_slack": 50,
                "grace_s": grace_s,
                "cold_overage": 1.5,
                "cold_slack": 5,
            },
            **sections,
        }
    )


class ForwardingSetup:
    """A store, endpoints, an entry, and a client that calls the entry."""

    def __init__(self, store, workers, entry, session, base):
        self.store, self.workers, self.entry = store, workers, entry
        self.session, self.base = session, base

    async def move(self, zone, *names):
        """List endpoints in a zone; the entries are in "z1"."""
        for name in names:
            service = "plain" if name.startswith("plain") else "model"
            document = self.workers[name].registration(service, Zone=zone)
            await self.store.put(f"servers/{name}", document)

    async def ask(self, target, method="GET", key="key-1", body=b"", **headers):
        sent = {"Host": "h.example", "X-Request-Id": "id-1", "X-Deadline-Ms": "3000"}
        if key:
            sent["Api-Key"] = key
        sent |= headers
        async with self.session.request(
            method, self.base + target, headers=sent, data=body
        ) as response:
            return response.status, await response.read(), response.headers

    async def until(self, check, within=3.0):
        async with asyncio.timeout(within):
            while not check():
                await asyncio.sleep(0.02)

    async def until_complete(self, entries):
        """Wait until the entry knows all endpoints and the other entries."""
        core = self.entry.entry
        await self.until(
            lambda: (
                len(core.members.all()) == entries - 1
                and len(core.replica.registry.endpoints) == len(self.workers)
            )
        )


async def start_platform(stack, decode_versions=("v1",), plain=2):
    """Start a store and endpoints that it lists.

    `decode_versions` has the software version of each decode endpoint, `plain` is the
    number of plain endpoints.
    """
    store = PlatformStore()
    names = [f"plain-{number}" for number in range(1, plain + 1)]
    workers = {name: PlatformWorker(name) for name in names}
    workers["prefill"] = PlatformWorker("prefill", "prefill")
    for number, version in enumerate(decode_versions):
        name = f"decode-{number}" if number else "decode"
        workers[name] = PlatformWorker(name, "decode")
        workers[name].version = version
    for service in (store, *workers.values()):
        await stack.enter_async_context(service)
    await store.put("op/config", config(1, ROUTES))
    for name, worker in workers.items():
        service = name.partition("-")[0] if worker.stage is None else "model"
        await store.put(f"servers/{name}", worker.registration(service))
    return store, workers


@asynccontextmanager
async def forwarding_setup(revoke_ms=5000, grace_s=5):
    async with AsyncExitStack() as stack:
        store, workers = await start_platform(stack)
        callers, ready = free_port(), free_port()
        listen = {
            "callers": f"127.0.0.1:{callers}",
            "ready": f"127.0.0.1:{ready}",
            "metrics_port": free_port(),
        }
        loaded = settings(
            ForwardSettings, store, revoke_ms, grace_s, True, listen=listen
        )
        entry = ForwardingEntry(loaded)
        await stack.enter_async_context(entry)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        setup = ForwardingSetup(
            store, workers, entry, session, f"http://127.0.0.1:{callers}"
        )
        setup.ready = f"http://127.0.0.1:{ready}/ready"
        setup.settings = loaded
        await setup.until(
            lambda: len(entry.entry.replica.registry.endpoints) == len(workers)
        )
        yield setup


@asynccontextmanager
async def forwarding_fleet(count, decode_versions=("v1",), zones=None, plain=2):
    """Start entries of one fleet; yield one `ForwardingSetup` for each.

    `zones` has the region of each zone.
    """
    async with AsyncExitStack() as stack:
        store, workers = await start_platform(stack, decode_versions, plain)
        port, callers, ready = free_port(), free_port(), free_port()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        setups = []
        for number in range(1, count + 1):
            ip = f"127.0.0.{number}"
            instance = {
                "name": f"n{number}",
                "address": f"tcp://{ip}:{port}",
                "zone": "z1",
                "first_start": True,
            }
            listen = {"callers": f"{ip}:{callers}", "ready": f"{ip}:{ready}"}
            entry = ForwardingEntry(
                settings(
                    ForwardSettings,
                    store,
                    instance=instance,
                    listen=listen,
                    seeds=[f"127.0.0.1:{ready}"],
                    zones=zones or {},
                )
            )
            await stack.enter_async_context(entry)
            base = f"http://{ip}:{callers}"
            setups.append(ForwardingSetup(store, workers, entry, session, base))
        for setup in setups:
            await setup.until_complete(count)
        yield setups


def received(setup):
    return [request for worker in setup.workers.values() for request in worker.received]


def raw_request(target, version):
    """Return a model request as the bytes of a caller."""
    headers = {"Host": "h.example", "X-Request-Id": "id-1", "Api-Key": "key-1"} | MODEL
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"GET {target} HTTP/{version}\r\n{lines}\r\n".encode()
