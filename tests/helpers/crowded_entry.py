"""A forwarding entry as a process of its own, for crowds of callers."""

from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from helpers.crowds import PAGE_LIMITS, Target, Watch, answer_status, descriptors
from helpers.forwarding_path import ROUTES
from helpers.node_processes import ip_of, node_processes
from helpers.ports import free_port
from helpers.users_platform import PlatformStore, PlatformWorker, config, route

ENTRY = "entry-1"
LONG = {"TimeoutMs": 30_000}
CROWD_ROUTES = [
    *ROUTES,
    route("/echo/", "plain", **LONG),
    route("/wait/", "waiting", **LONG),
    route("/tell/", "model", "streaming", **LONG),
]
SLOTS = 400
ENGINE = {"Slots": SLOTS, "KvCapacity": 80_000_000, "KvHoldS": 0.5, "HoldMs": 2000.0}


@dataclass
class CrowdedEntry:
    """The entry and its addresses.

    Attributes:
        watch: what its process holds.
        callers: address for callers.
        ready: address for the load balancer.
        metrics: address of its metrics.
        process: the process.
        workers: endpoints by name.
    """

    watch: Watch
    callers: str
    ready: str
    metrics: str
    process: object
    workers: dict

    async def serves(self):
        """Return whether ordinary requests are answered at all three addresses."""
        asked = [
            (self.callers, Target("/read/x")),
            (self.ready, Target("/ready")),
            (self.metrics, Target("/metrics")),
        ]
        statuses = [
            await answer_status(
                address, lambda target=target: target.head(method="GET")
            )
            for address, target in asked
        ]
        return statuses == [200, 200, 200]


async def _start_endpoints(stack, store):
    """Start a store's endpoints; "waiting" never answers. Return them by name."""
    workers = {
        "plain-1": PlatformWorker("plain-1", slots=SLOTS),
        "waiting-1": PlatformWorker("waiting-1", slots=SLOTS),
        "prefill-1": PlatformWorker("prefill-1", "prefill", SLOTS),
        "decode-1": PlatformWorker("decode-1", "decode", SLOTS),
    }
    workers["waiting-1"].failure = "silent"
    for name, worker in workers.items():
        await stack.enter_async_context(worker)
        service = "model" if worker.stage else name.partition("-")[0]
        await store.put(f"servers/{name}", worker.registration(service))
    return workers


def _configuration():
    document = config(1, CROWD_ROUTES, Limits=PAGE_LIMITS)
    plain, model = document["Services"]
    many = {"MaxConns": 4 * SLOTS}
    model["Engine"] = ENGINE
    document["Services"] = [
        plain | many,
        plain | many | {"Name": "waiting"},
        model | many,
    ]
    return document


@asynccontextmanager
async def crowded_entry(folder, open_files=None, **listen):
    """Yield an entry that runs; `listen` are settings of its section of that name."""
    async with AsyncExitStack() as stack:
        store = PlatformStore(page=50)
        await stack.enter_async_context(store)
        await store.put("op/config", _configuration())
        workers = await _start_endpoints(stack, store)
        nodes = await stack.enter_async_context(node_processes(store, folder))
        metrics_port = free_port()
        nodes.write_settings(ENTRY, (), listen=listen | {"metrics_port": metrics_port})
        with descriptors(open_files):
            await nodes.start(ENTRY)
        await nodes.until_ready(ENTRY)
        ip, process = ip_of(ENTRY), nodes.running[ENTRY]
        yield CrowdedEntry(
            Watch(process.pid),
            f"{ip}:{nodes.callers}",
            f"{ip}:{nodes.ready_port}",
            f"{ip}:{metrics_port}",
            process,
            workers,
        )
