"""Machines of a small deployment: settings from the templates, and processes."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
READY_PORT_OFFSET = 5
STORE_IP = "127.0.3.1"

# The figures of the sheet of aula-seminarios and phamgia-rounds.
BOUNDS = {
    "FailClosed": True,
    "RevokeMs": 5000,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "QuotaOverage": 0.25,
    "QuotaSlack": 73000,
    "GraceS": 8,
    "LeaseMs": 3000,
}
ZONES = {"z-a": "r", "z-b": "r", "z-c": "r"}


def look_up(fields, name):
    """Return the value of a dotted name; None if there is none."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def as_text(value, as_json):
    """Return a value as a placeholder renders it."""
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value)


def fill(template, fields):
    """Fill in a template as DEPLOY.md describes; sections and plain placeholders."""

    def section(match):
        name, body = match[1], match[2]
        value = look_up(fields, name)
        if value is None or value is False:
            return ""
        if not isinstance(value, dict):
            return body.replace("{{.}}", as_text(value, False))
        return "".join(
            body.replace("{{@}}", str(key)).replace("{{.|json}}", json.dumps(item))
            for key, item in value.items()
        )

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(
        r"\{\{([\w.]+)(\|json)?\}\}",
        lambda match: as_text(look_up(fields, match[1]), bool(match[2])),
        text,
    )


def free_ports(ips):
    """Return the first of 20 ports that are free at all of some addresses.

    Raises:
        OSError: there are none.
    """
    offset = 20 * (os.getpid() % 500)
    for first in (21000 + (offset + step) % 10000 for step in range(0, 10000, 20)):
        try:
            for ip in ips:
                for port in range(first, first + 20):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return first
    raise OSError("no free ports")


def _take_default_signals():
    """Undo what a shell such as nohup has set for its children."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


class Machine:
    """One machine with one process of the system.

    Attributes:
        ended: return codes of the processes that ended without being asked to.
    """

    def __init__(self, role, name, ip, zone, ports, folder, app=""):
        """Create the machine; nothing is started yet.

        Args:
            role: "entry" or "agent".
            name: name of the machine.
            ip: its address.
            zone: its zone.
            ports: first of its ports.
            folder: temporary folder for settings and logs.
            app: "IP:port" of the worker beside an agent.
        """
        self.role, self.name, self.ip, self.zone = role, name, ip, zone
        self.ports, self.folder, self.app = ports, Path(folder), app
        self.process = None
        self.ended = []
        self._asked = False
        self._watch = None

    @property
    def front(self):
        """Port for callers."""
        return self.ports + 4

    def write_settings(self, seeds, bootstrap, store):
        """Fill in the settings file as the platform does.

        Args:
            seeds: machines that the settings name.
            bootstrap: whether the whole system starts for the first time.
            store: "IP:port" of the platform's store.
        """
        fields = {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "r",
            "Zones": ZONES,
            "InternalPorts": [self.ports, self.ports + 1],
            "Seeds": [f"{seed.ip}:{seed.ports + 6}" for seed in seeds],
            "Bootstrap": bootstrap,
            "Limits": {"LinkMbps": 1000.0},
            "Listen": {
                "Front": f"{self.ip}:{self.front}",
                "Ready": f"{self.ip}:{self.ports + READY_PORT_OFFSET}",
            },
            "Bounds": BOUNDS,
            "Platform": {"Address": store},
            "app": self.app,
        }
        template = (ROOT / "deploy" / f"{self.role}.toml").read_text()
        (self.folder / f"{self.name}.toml").write_text(fill(template, fields))

    async def start(self):
        """Start the process with the command of the deploy file."""
        log = (self.folder / f"{self.name}.log").open("ab")
        self._asked = False
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/start.py",
            self.role,
            str(self.folder / f"{self.name}.toml"),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            preexec_fn=_take_default_signals,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
        )
        log.close()
        self._watch = asyncio.ensure_future(self._wait(self.process))

    async def _wait(self, process):
        code = await process.wait()
        if not self._asked:
            self.ended.append(code)

    @property
    def running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def hang_up(self):
        """Send SIGHUP: the settings file has changed."""
        if self.running:
            self.process.send_signal(signal.SIGHUP)

    async def stop_by_plan(self, grace_s=8.0):
        """Send SIGTERM, and SIGKILL after the grace period."""
        self._asked = True
        if self.running:
            self.process.terminate()
            try:
                await asyncio.wait_for(self.process.wait(), grace_s)
            except TimeoutError:
                self.process.kill()
        await self._watch

    async def lose_power(self):
        """Kill the process at once."""
        self._asked = True
        if self.running:
            self.process.kill()
        if self._watch is not None:
            await self._watch

    async def is_ready(self):
        """Return whether the entry says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports + READY_PORT_OFFSET
            )
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.read(64), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head
