"""Measures what passing answers on costs a forwarding entry: speed, processor, memory.

    python tests/benchmarks/answers.py

The entry is a process of its own; endpoints, store and callers share this one, over
loopback. Each case starts a new entry. `relay` is the limit: a process that passes the
same bytes on without reading them. With --packages DIRECTORY the entry runs from
another working tree.
"""

import argparse
import asyncio
import os
import sys
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import tomli_w

ROOT = Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "tests"))

from ebonyglade.completeness import Framing  # noqa: E402
from ebonyglade_entry.forwarding.settings import ForwardSettings  # noqa: E402
from helpers.forwarding_path import MODEL, settings  # noqa: E402
from helpers.ports import free_port  # noqa: E402
from helpers.scripted_answers import ScriptedAnswer  # noqa: E402
from helpers.users_platform import (  # noqa: E402
    PlatformStore,
    PlatformWorker,
    config,
    route,
)

KIB = 1024
MIB = 1024 * KIB
START_TIMEOUT_S = 20.0
RETRY_S = 0.2  # until a refused caller asks again
UNREAD_S = 3.0  # for which the slow callers read nothing
PROGRAM = "from ebonyglade_entry.forwarding.program import main; main()"
HEADERS = {"Host": "h.example", "X-Deadline-Ms": "60000", "Api-Key": "key-1"}
EVENT = b"id: 1\ndata: " + b"x" * 1000 + b"\n\n"
ROUTES = [
    route("/read/", "plain", TimeoutMs=60_000),
    route("/write/", "model", "streaming", TimeoutMs=60_000),
]


@dataclass
class Case:
    """Answers of one size, asked for by some callers at the same time."""

    name: str
    target: str
    callers: int
    parts: tuple[bytes, ...]
    asked: int
    reads: bool = True


CASES = [
    Case("1 stream of 16 MiB", "/write/x", 1, (EVENT * 16,) * 1000, 1),
    Case("50 streams of 1 MiB", "/write/x", 50, (EVENT * 16,) * 64, 1),
    Case("500 streams of 128 kB", "/write/x", 500, (EVENT * 16,) * 8, 1),
    Case("200 bodies of 1 kB, 8 abreast", "/read/x", 8, (b"x" * KIB,), 25),
    Case("200 bodies of 64 kB, 8 abreast", "/read/x", 8, (b"x" * 64 * KIB,), 25),
    Case("40 bodies of 1 MiB, 8 abreast", "/read/x", 8, (b"x" * MIB,), 5),
    Case("6 bodies of 7 MiB, 2 abreast", "/read/x", 2, (b"x" * 7 * MIB,), 3),
    Case(
        "500 streams that nobody reads", "/write/x", 500, (EVENT * 64,) * 99, 1, False
    ),
]


def packages_path(tree):
    """Return the import path of the packages in a working tree."""
    sources = [*tree.glob("packages/*/src"), tree / "platform/src"]
    return ":".join(str(source) for source in sources)


@asynccontextmanager
async def process(arguments, path):
    """Run a Python process; yield its id."""
    environment = {**os.environ, "PYTHONPATH": path}
    running = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        yield running.pid
    finally:
        running.kill()
        await running.wait()


def peak_mb(pid):
    """Return the most memory that a process has held, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * KIB / 1e6
    raise ValueError(f"no memory figure of process {pid}")


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def wait_until_ready(url):
    """Wait until an entry reports that it is ready."""
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


@asynccontextmanager
async def platform(case):
    """Yield the store; its endpoints give the case's answers."""
    workers = {
        "plain": PlatformWorker("plain"),
        "prefill": PlatformWorker("prefill", "prefill", slots=1000),
        "model": PlatformWorker("model", "decode", slots=1000),
    }
    engine = {"Slots": 1000, "KvCapacity": 10**9, "KvHoldS": 30.0, "HoldMs": 30_000.0}
    services = [
        {"Name": "plain", "HealthPath": "/health", "MaxConns": 2000},
        {"Name": "model", "MaxConns": 2000, "Engine": engine},
    ]
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(PlatformStore())
        await store.put("op/config", config(1, ROUTES, Services=services))
        for name, worker in workers.items():
            await stack.enter_async_context(worker)
            worker.answer = ScriptedAnswer(Framing.CHUNKS, case.parts)
            service = "plain" if name == "plain" else "model"
            await store.put(f"servers/{name}", worker.registration(service))
        yield store, workers


@asynccontextmanager
async def entry(store, path, directory):
    """Run an entry; yield its process and its address."""
    callers, ready = free_port(), free_port()
    listen = {"callers": f"127.0.0.1:{callers}", "ready": f"127.0.0.1:{ready}"}
    file = Path(directory) / "entry.toml"
    model = settings(ForwardSettings, store, listen=listen)
    file.write_text(tomli_w.dumps(model.model_dump(exclude_defaults=True)))
    arguments = ["-c", PROGRAM, str(file)]
    async with process(arguments, path) as pid:
        await wait_until_ready(f"http://127.0.0.1:{ready}/ready")
        yield pid, f"http://127.0.0.1:{callers}"


async def ask(session, base, case):
    """Ask for the answers of one caller; return their bytes."""
    received = 0
    for number in range(case.asked):
        while not (size := await ask_once(session, base, case, number)):
            await asyncio.sleep(RETRY_S)
        received += size
    return received if case.reads else 0


async def ask_once(session, base, case, number):
    """Return the bytes of one answer, or 0 if it was refused."""
    headers = {**HEADERS, **MODEL, "X-Request-Id": f"{id(session)}-{number}"}
    async with session.post(base + case.target, headers=headers) as response:
        if response.status != 200:
            return 0
        if not case.reads:
            await asyncio.sleep(UNREAD_S)
            return 1
        return sum([len(part) async for part in response.content.iter_any()])


async def measure(case, base, pid):
    """Return bytes, seconds and processor seconds of one case."""
    used = processor_seconds(pid)
    started = asyncio.get_running_loop().time()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        received = await asyncio.gather(
            *(ask(session, base, case) for _ in range(case.callers))
        )
    seconds = asyncio.get_running_loop().time() - started
    return sum(received), seconds, processor_seconds(pid) - used


def row(name, case, measured, pid):
    """Print one row of the table."""
    received, seconds, used = measured
    speed = f"{received / seconds / 1e6:.1f}" if received else "-"
    cost = f"{used / received * 1e8:.2f}" if received else "-"
    memory = f"{peak_mb(pid):.1f}"
    print(f"| {case.name} | {name} | {speed} | {cost} | {memory} |", flush=True)


async def through_entry(case, path):
    """Measure a case through an entry."""
    with tempfile.TemporaryDirectory() as directory:
        async with (
            platform(case) as (store, _),
            entry(store, path, directory) as (pid, base),
        ):
            row("entry", case, await measure(case, base, pid), pid)


async def through_relay(case):
    """Measure a case through a process that passes bytes on without reading them."""
    async with platform(case) as (_, workers):
        worker = workers["plain" if case.target == "/read/x" else "model"]
        worker.name = None
        port = free_port()
        arguments = [str(ROOT / "tests/benchmarks/relay.py"), str(port)]
        async with process([*arguments, str(worker.port)], "") as pid:
            await asyncio.sleep(0.5)
            measured = await measure(case, f"http://127.0.0.1:{port}", pid)
            row("relay", case, measured, pid)


async def main():
    """Measure all cases and print them as a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--packages", type=Path, default=ROOT)
    path = packages_path(parser.parse_args().packages)
    print("| case | through | MB/s | processor s for 100 MB | peak memory, MB |")
    print("| --- | --- | --- | --- | --- |")
    for case in CASES:
        await through_entry(case, path)
        await through_relay(case)


if __name__ == "__main__":
    asyncio.run(main())
