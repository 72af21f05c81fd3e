"""Starts the project's programs as the deploy file says, and ends them.

The commands and templates are those of `deploy/system.toml`. The fields that fill the
templates are those of `DEPLOY.md` for a small installation.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from lib import http

ROOT = Path(__file__).resolve().parent.parent.parent
MIN_SERVED = 0.8  # share of the requests below which a run shows nothing
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of a small installation, as its sheet states them.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "FailClosed": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 54,
    "QuotaWindowS": 8,
    "QuotaOverage": 0.25,
    "QuotaSlack": 140000,
    "RecoveryS": 12,
    "TransitMs": 120,
    "RetryAfterS": 7.4,
    "FencingRequired": True,
    "LeaseMs": 3000,
    "ThawMs": 300,
}
_TAG = re.compile(r"\{\{([#^/]?)([^{}]*)\}\}")


def _lookup(scopes: list, name: str) -> object:
    if name == ".":
        return scopes[-1][0]
    if name == "@":
        return scopes[-1][1]
    for value, _ in reversed(scopes):
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None


def _text(value: object, as_json: bool) -> str:
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template: str, scopes: list) -> str:
    """Fill in a template as `DEPLOY.md` describes."""
    found, at = [], 0
    while (tag := _TAG.search(template, at)) is not None:
        found.append(template[at : tag.start()])
        kind, name = tag.groups()
        at = tag.end()
        if kind not in ("#", "^"):
            key, _, form = name.partition("|")
            found.append(_text(_lookup(scopes, key), form == "json"))
            continue
        end = template.index("{{/" + name + "}}", at)
        inner, at = template[at:end], end + len(name) + 5
        value = _lookup(scopes, name)
        if kind == "^":
            found.append("" if value else render(inner, scopes))
        elif isinstance(value, dict):
            for key, item in value.items():
                found.append(render(inner, [*scopes, (item, key)]))
        elif isinstance(value, list):
            for key, item in enumerate(value):
                found.append(render(inner, [*scopes, (item, key)]))
        elif value is not None and value is not False:
            found.append(render(inner, [*scopes, (value, "")]))
    return "".join([*found, template[at:]])


def free_ports(count: int) -> list[int]:
    """Return ports that are free at all loopback addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        with socket.socket() as opened:
            try:
                opened.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


@dataclass
class Machine:
    """One machine of the deployment with its process."""

    name: str
    role: str
    ip: str
    zone: str
    app: str = ""
    process: subprocess.Popen | None = None
    started_before: bool = False


class Deployment:
    """Entries and agents on loopback addresses; one address a machine."""

    def __init__(self, store: str, bounds: dict | None = None) -> None:
        self._store = store
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        ports = free_ports(5)
        self._front, self._ready, self._control = ports[:3]
        self._internal = sorted(ports[3:])
        self.machines: list[Machine] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    def add(self, role: str, zone: str, app: str = "") -> Machine:
        """Add a machine; its process is not started yet."""
        number = len(self.machines) + 2
        name = f"{self._roles[role]['on']}-{zone}-{number}"
        machine = Machine(name, role, f"127.0.0.{number}", zone, app)
        self.machines.append(machine)
        return machine

    def entries(self) -> list[Machine]:
        """Return the machines that clients reach."""
        return [item for item in self.machines if item.role == "entry"]

    def front(self, machine: Machine) -> str:
        """Return the address for clients."""
        return f"{machine.ip}:{self._front}"

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with the command of the deploy file."""
        role = self._roles[machine.role]
        path = Path(self._folder.name) / f"{machine.name}.toml"
        template = (ROOT / role["template"]).read_text()
        path.write_text(render(template, [(self._fields(machine), "")]))
        words = role["run"].split(" ")
        words[-1] = str(path)
        machine.started_before = True
        path = path.with_suffix(".log")
        with path.open("ab") as log:
            machine.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": self._folder.name,
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )

    def log(self, machine: Machine) -> list[dict]:
        """Return the lines that a machine's process has logged."""
        path = Path(self._folder.name) / f"{machine.name}.log"
        lines = path.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def _fields(self, machine: Machine) -> dict:
        seeds = [f"{item.ip}:{self._control}" for item in self.entries()[:3]]
        zones = {item.zone: "r1" for item in self.machines}
        return {
            "NodeName": machine.name,
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": "r1",
            "Zones": zones,
            "Listen": {
                "Front": f"{machine.ip}:{self._front}",
                "Ready": f"{machine.ip}:{self._ready}",
                "Control": f"{machine.ip}:{self._control}",
            },
            "InternalPorts": self._internal,
            "Seeds": seeds,
            "Bootstrap": not machine.started_before,
            "Limits": {"LinkMbps": 1000.0, "MemoryMb": 150, "MaxFds": 4100},
            "Bounds": self._bounds,
            "Platform": {"Address": self._store},
            "app": machine.app,
        }

    async def wait_ready(self, within_s: float = 30.0) -> None:
        """Wait until all entries answer that they are ready."""
        until = time.monotonic() + within_s
        for machine in self.entries():
            while True:
                asked = await http.send(
                    f"{machine.ip}:{self._ready}",
                    "GET",
                    "/ready",
                    {"Host": "x"},
                    b"",
                    1,
                )
                if asked.status == 200:
                    break
                if time.monotonic() > until:
                    raise NotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        machine.process.send_signal(number)

    def end(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self._folder.cleanup()


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to a case's file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._begun = time.monotonic()

    def add(self, text: str) -> None:
        """Add one line with the seconds since the begin."""
        self._lines.append(f"{time.monotonic() - self._begun:8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def _end_by_signal(number: int, frame: object) -> None:
    """End the case in order, so that its processes end too."""
    raise KeyboardInterrupt


def require_served(served: int, asked: int) -> None:
    """Check that the deployment worked at all.

    Raises:
        NotRun: most requests failed, so that the case shows nothing.
    """
    if served < MIN_SERVED * asked:
        raise NotRun(f"only {served} of {asked} requests were served")


def run_case(path: Path, case, limit_s: float = 110.0) -> int:
    """Run a case and write its record to a file.

    Returns:
        1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(path)
    signal.signal(signal.SIGTERM, _end_by_signal)
    record.add(f"disruption {'on' if TROUBLE else 'off'}")

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:
        record.add(f"not run: {type(error).__name__}: {error}")
        return 2
    finally:
        record.write()
    return 1 if broken else 0
