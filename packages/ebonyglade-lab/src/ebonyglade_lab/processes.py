"""Starts and stops the processes of a planned fleet, for tests and measurements.

This is a development tool; the daemons themselves start no processes.
"""

import contextlib
import signal
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

from ebonyglade_lab.deployment import Plan, PlannedInstance, make_plan, write_plan
from ebonyglade_lab.fleet import FleetSize, free_port

HANG_TIMEOUT_S = 60.0  # keeps a run from hanging; no check depends on its length


@dataclass(slots=True)
class Processes:
    """A fleet with one process per instance, and one for all stand-ins.

    Attributes:
        plan: names and ports of the instances.
        directory: where settings and logs are written.
        running: processes by instance id; "standins" is that of the stand-ins.
    """

    plan: Plan
    directory: Path
    running: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start_all(self) -> None:
        """Start the stand-ins, agents and entries, and wait until they are ready."""
        self._spawn("standins", "ebonyglade_lab", "standins", str(self.directory))
        for item in self.plan.instances:
            self.start(item)
        for item in self.plan.instances:
            wait_for_url(item.status_url + "/healthz")
        for item in self.plan.of_role("entry"):
            wait_for_url(item.url + "/readyz")

    def start(self, item: PlannedInstance) -> None:
        """Start one instance."""
        settings = str(self.directory / f"{item.name}.toml")
        module = f"ebonyglade_{item.role}"
        self._spawn(item.name, module, "run", "--settings", settings)

    def stop(self, name: str) -> int:
        """Stop one process gracefully and return its exit code."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(HANG_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kill one process."""
        process = self.running.pop(name)
        process.kill()
        process.wait(HANG_TIMEOUT_S)

    def stop_all(self) -> None:
        """Kill all processes that still run."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait(HANG_TIMEOUT_S)
        self.running.clear()

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.directory / f"{name}.log").read_text()

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                env={"PYTHONPATH": ":".join(sys.path), "PATH": "/usr/bin:/bin"},
            )


def prepare_processes(
    directory: Path, size: FleetSize, settings: dict | None = None
) -> Processes:
    """Write the settings of a fleet on a random range of ports, without starting it."""
    plan = make_plan(size, _random_base_port())
    write_plan(plan, directory, settings)
    return Processes(plan, directory)


def wait_for_url(url: str) -> None:
    """Wait until a URL answers with success."""
    deadline = time.monotonic() + HANG_TIMEOUT_S
    while True:
        with contextlib.suppress(OSError), urllib.request.urlopen(url):
            return
        if time.monotonic() > deadline:
            raise TimeoutError(url)
        time.sleep(0.05)


def _random_base_port() -> int:
    """Return a random base port below the ephemeral ports.

    The ports of the range are not checked to be free.
    """
    return 10_000 + (free_port() * 7) % 20_000
