"""Entries and agents as processes of their own, with the platform in this process."""

import asyncio
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import tomli_w

from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_entry.forwarding.settings import ForwardSettings
from helpers.forwarding_path import settings
from helpers.ports import free_port

PROGRAMS = {
    "entry": "ebonyglade_entry.forwarding.program",
    "agent": "ebonyglade_agent.staging.program",
}
READY_WITHIN_S = 20.0
POLL_S = 0.05


def ip_of(name):
    """Return the address of a process; agents have a network of their own."""
    return f"127.{2 if name.startswith('agent') else 1}.0.{name[-1]}"


@dataclass
class NodeProcesses:
    """Processes that are started, told of settings and killed.

    Attributes:
        store: stand-in of the platform's store.
        folder: for settings and logs.
        session: client session of the callers.
    """

    store: object
    folder: Path
    session: aiohttp.ClientSession
    port: int = field(default_factory=free_port)
    callers: int = field(default_factory=free_port)
    ready_port: int = field(default_factory=free_port)
    running: dict = field(default_factory=dict)

    def write_settings(self, name, seeds, app="", listen=None, **bounds):
        """Write the settings file of a process, as the platform does.

        `listen` has further settings of the section of that name.
        """
        ip = ip_of(name)
        sections = {
            "instance": {
                "name": name,
                "address": f"tcp://{ip}:{self.port}",
                "zone": "z1",
            },
            "seeds": [f"{ip_of(seed)}:{self.ready_port}" for seed in seeds],
        }
        model = StagingSettings
        if name.startswith("agent"):
            sections["endpoint"] = {"address": app, "poll_ms": 100}
        else:
            model = ForwardSettings
            sections["listen"] = {
                "callers": f"{ip}:{self.callers}",
                "ready": f"{ip}:{self.ready_port}",
                **(listen or {}),
            }
        document = settings(model, self.store, **sections).model_dump(mode="json")
        document["bounds"] |= bounds
        (self.folder / f"{name}.toml").write_text(tomli_w.dumps(document))

    async def start(self, name):
        module = PROGRAMS[name.partition("-")[0]]
        path = str(self.folder / f"{name}.toml")
        code = f"from {module} import main; main()"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, path, stdout=log, stderr=log
            )

    async def kill(self, *names):
        for name in names:
            process = self.running.pop(name)
            if process.returncode is None:
                process.kill()
            await process.wait()

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    async def ask(self, name, target, request_id, key="key-1"):
        """Send a read; return its status."""
        headers = {
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Api-Key": key,
        }
        url = f"http://{ip_of(name)}:{self.callers}{target}"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status

    async def until_ready(self, name):
        url = f"http://{ip_of(name)}:{self.ready_port}/ready"
        async with asyncio.timeout(READY_WITHIN_S):
            while True:
                try:
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_S)

    async def press(self, names, seconds, per_s, admitted):
        """Ask entries in turn; append the times of what was served."""
        loop, tasks = asyncio.get_running_loop(), []
        started = loop.time()

        async def one(name, number):
            if await self.ask(name, "/read/x", f"{name}-{started}-{number}") == 200:
                admitted.append(loop.time())

        for number in range(round(seconds * per_s)):
            await asyncio.sleep(max(0.0, started + number / per_s - loop.time()))
            name = names[number % len(names)]
            tasks.append(asyncio.ensure_future(one(name, number)))
        await asyncio.gather(*tasks)


@asynccontextmanager
async def node_processes(store, folder):
    """Yield the processes; all that run are killed in the end."""
    async with aiohttp.ClientSession() as session:
        nodes = NodeProcesses(store, folder, session)
        try:
            yield nodes
        finally:
            await nodes.kill(*list(nodes.running))
