"""Starts the programs of the deploy file as processes of their own."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
from pathlib import Path

import aiohttp
from templates import render

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 25.0

# As the sheet of the site aula-seminarios gives them.
BOUNDS = {
    "FailClosed": True,
    "RevokeMs": 5000,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "QuotaWindowS": 8,
    "QuotaOverage": 0.25,
    "QuotaSlack": 73000,
    "GraceS": 8,
    "LeaseMs": 3000,
}


def free_ports(number: int) -> list[int]:
    """Return ports that are free on all loopback addresses now."""
    opened = [socket.socket() for _ in range(number)]
    try:
        for item in opened:
            item.bind(("0.0.0.0", 0))
        return [item.getsockname()[1] for item in opened]
    finally:
        for item in opened:
            item.close()


class Machines:
    """Machines of a deployment on loopback addresses, one process on each.

    Attributes:
        record: lines that were written to the record.
    """

    def __init__(self, store: str, zones: list[str], record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="ebonyglade-review-"))
        self._store, self._zones = store, zones
        self._front, self._ready, self._control, first, second = free_ports(5)
        self._internal = [first, second]
        self._machines: dict[str, dict] = {}
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._record = record
        record.write_text("")

    def note(self, line: str) -> None:
        """Write a line to the record."""
        with self._record.open("a") as file:
            file.write(line + "\n")

    def add(self, name: str, role: str, ip: str, zone: str, **fields: object) -> None:
        """Add a machine; `fields` are further fields of its settings."""
        self._machines[name] = {
            "NodeName": name,
            "role": role,
            "Ip": ip,
            "Zone": zone,
            "Region": "r",
            "Zones": dict.fromkeys(self._zones, "r"),
            "Listen": {
                "Front": f"{ip}:{self._front}",
                "Ready": f"{ip}:{self._ready}",
                "Control": f"{ip}:{self._control}",
            },
            "InternalPorts": self._internal,
            "Limits": {"LinkMbps": 1000.0, "MemoryMb": 150, "MaxFds": 4100},
            "Platform": {"Address": self._store},
            "Bounds": BOUNDS,
            **fields,
        }

    def front(self, name: str) -> str:
        """Return the address for clients."""
        return self._machines[name]["Listen"]["Front"]

    async def start(self, name: str, first: bool = False) -> None:
        """Start the process of a machine with the command of the deploy file."""
        machine = self._machines[name]
        entries = [m for m in self._machines.values() if m["role"] == "entry"]
        seeds = [item["Listen"]["Control"] for item in entries[:3]]
        fields = {**machine, "Seeds": seeds, "Bootstrap": first}
        template = (ROOT / "deploy" / f"{machine['role']}.toml").read_text()
        settings = self.folder / f"{name}.toml"
        settings.write_text(render(template, fields))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self._running[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/start.py",
                machine["role"],
                str(settings),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine; wait for the end of a kill."""
        process = self._running[name]
        if process.returncode is None:
            process.send_signal(number)
        if number == signal.SIGKILL:
            await process.wait()
            del self._running[name]

    def running(self, name: str) -> bool:
        """Return whether the process of a machine runs."""
        process = self._running.get(name)
        return process is not None and process.returncode is None

    def memory_mb(self, name: str) -> float:
        """Return the memory of a process alone, in millions of bytes; 0 without one."""
        if not self.running(name):
            return 0.0
        try:
            status = Path(f"/proc/{self._running[name].pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line for line in status.splitlines() if line.startswith("RssAnon")]
        return int(lines[0].split()[1]) * 1024 / 1e6 if lines else 0.0

    async def is_ready(self, name: str) -> bool:
        """Return whether a machine says that it is ready."""
        url = f"http://{self._machines[name]['Listen']['Ready']}/ready"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def until_ready(self, names: list[str]) -> bool:
        """Wait until machines say that they are ready; False if they don't."""
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                for name in names:
                    while not await self.is_ready(name):
                        await asyncio.sleep(0.1)
        except TimeoutError:
            return False
        return True

    async def stop_all(self) -> None:
        """Kill all processes that run."""
        for name in list(self._running):
            await self.signal(name, signal.SIGKILL)
