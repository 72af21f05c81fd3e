"""Callers of the entries, and the deployment that the scripts share."""

import asyncio
import contextlib
import os
import shutil
import tempfile
import time
from pathlib import Path

from lib2.machines import STORE_IP, Machine, free_ports
from lib2.platform import Store, Worker, read_message

HOST = "h.example"
START_S = 15.0  # for all machines to be ready


def configuration(version=1, tenant=None):
    """Return a configuration with a plain and a model service."""
    engine = {
        "Slots": 12,
        "KvCapacity": 90000,
        "KvHoldS": 0.5,
        "SwitchS": 6.0,
        "HoldMs": 2000.0,
    }
    route = {
        "Host": HOST,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "desk",
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        "TimeoutMs": 4000,
    }
    return {
        "Version": version,
        "Routes": [
            {
                **route,
                "Name": "book",
                "PathPrefix": "/book/",
                "Kind": "non_idempotent",
                "MaxAttempts": 1,
            },
            {
                **route,
                "Name": "read",
                "PathPrefix": "/read/",
                "Kind": "idempotent",
                "MaxAttempts": 2,
            },
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConns": 96},
            {"Name": "llm", "HealthPath": "/health", "MaxConns": 144, "Engine": engine},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [tenant or {"Name": "team-a", "ApiKeys": ["key-1"]}],
    }


class Deployment:
    """The platform's store, workers, and machines of the system.

    Attributes:
        entries: the entries' machines, in order.
        agents: the agents' machines.
        workers: the workers of the plain service.
    """

    def __init__(self, entries, agents, workers, work_s=0.02, tenant=None):
        """Create the deployment; nothing is started yet.

        Args:
            entries: number of entries.
            agents: number of agents, each beside a model worker.
            workers: number of workers of the plain service.
            work_s: time that a plain request takes.
            tenant: the only tenant, as in a configuration; None for one without limit.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._tenant = tenant
        ips = [f"127.0.1.{number + 1}" for number in range(entries)]
        side_ips = [f"127.0.2.{number + 1}" for number in range(agents)]
        self._ports = ports = free_ports([*ips, *side_ips, STORE_IP])
        self.store_address = f"{STORE_IP}:{ports}"
        zones = ("z-a", "z-b", "z-c")
        self.entries = [
            Machine("entry", f"edge-{n + 1}", ip, zones[n % 3], ports, self.folder)
            for n, ip in enumerate(ips)
        ]
        self.agents = [
            Machine(
                "agent",
                f"side-{n + 1}",
                ip,
                zones[n % 3],
                ports,
                self.folder,
                f"{ip}:{ports + 8}",
            )
            for n, ip in enumerate(side_ips)
        ]
        self.store = Store()
        self.workers = [Worker(f"i-desk-{n + 1}", work_s) for n in range(workers)]
        self._models = [Worker(f"i-llm-{n + 1}") for n in range(agents)]

    @property
    def machines(self):
        """All machines."""
        return [*self.entries, *self.agents]

    async def start(self, seeds):
        """Start everything, and wait until all entries are ready.

        Raises:
            TimeoutError: they are not ready in time.
        """
        await self.start_platform()
        for machine in self.machines:
            machine.write_settings(seeds, True, self.store_address)
            await machine.start()
        await self.wait_ready(self.entries)

    async def start_platform(self):
        """Start the store and the workers only."""
        zones = ("z-a", "z-b", "z-c")
        await self.store.start(STORE_IP, self._ports)
        await self.store.put("op/config", configuration(tenant=self._tenant))
        for number, worker in enumerate(self.workers):
            await worker.start(STORE_IP, self._ports + 1 + number)
            document = worker.document("desk", zones[number % 3])
            await self.store.put(f"servers/{worker.name}", document)
        for worker, machine in zip(self._models, self.agents, strict=True):
            await worker.start(machine.ip, self._ports + 8)
            document = worker.document("llm", machine.zone, Stage="decode")
            await self.store.put(f"servers/{worker.name}", document)

    async def wait_ready(self, machines):
        """Wait until some entries say that they are ready.

        Raises:
            TimeoutError: they do not in time.
        """
        async with asyncio.timeout(START_S):
            for machine in machines:
                while not await machine.is_ready():
                    await asyncio.sleep(0.1)

    async def stop(self):
        """End all processes, and remove the temporary folder."""
        for machine in self.machines:
            await machine.lose_power()
        for server in (self.store, *self.workers, *self._models):
            server.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a caller got.

    Attributes:
        request: id of the request.
        sent_at: when it was sent.
        status: status of the answer; 0 for a channel that ended without one.
        body: its body.
    """

    def __init__(self, request, sent_at, status, body):
        """Create the answer."""
        self.request, self.sent_at = request, sent_at
        self.status, self.body = status, body


async def call(machine, method, target, request, headers=None, body=b""):
    """Send a request to an entry on a new channel; return what came back."""
    fields = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": "4000",
        "Api-Key": "key-1",
        "Connection": "close",
        **(headers or {}),
    }
    if body:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(6.0):
            reader, writer = await asyncio.open_connection(machine.ip, machine.front)
            writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            line, _, answered = await read_message(reader)
        return Answer(request, sent_at, int(line.split(" ")[1]), answered)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(request, sent_at, 0, b"")
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()


async def press(machines, per_s, seconds, send):
    """Send requests at a rate, to some machines in turn; return the answers.

    Args:
        machines: entries.
        per_s: requests a second, all machines together.
        seconds: how long.
        send: called with a machine and a number; sends a request.
    """
    tasks, started = [], time.monotonic()
    for number in range(round(per_s * seconds)):
        await asyncio.sleep(max(0.0, started + number / per_s - time.monotonic()))
        machine = machines[number % len(machines)]
        tasks.append(asyncio.ensure_future(send(machine, number)))
    return await asyncio.gather(*tasks)
