"""What idle daemons cost: memory, processor time and control bytes."""

import os
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from ebonyglade_lab.deployment import Planned
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.fleet import FleetSize
from ebonyglade_lab.processes import Processes, new_processes

SETTLE_S = 5.0
MEMORY_BUDGET_MB = 128
CPU_BUDGET = 1.2  # percent of a core
BYTES_BUDGET = 9000  # bytes a second


@dataclass(frozen=True, slots=True)
class Reading:
    """One process at one time: CPU seconds, resident bytes, control bytes."""

    at: float
    cpu_s: float
    resident: int
    sent: float
    received: float


def run(seconds: float = 30.0) -> Table:
    """Return the cost of each idle process of a small fleet."""
    size = FleetSize(entries=2, prefill=4, decode=4, service=2)
    table = Table(
        "Idle daemons",
        f"python -m ebonyglade_lab idle --seconds {seconds:g}",
        ("instance", "memory MB", "CPU % of a core", "sent B/s", "received B/s"),
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = new_processes(Path(directory), size)
        try:
            fleet.start_all()
            _measure(fleet, seconds, table)
        finally:
            fleet.stop_all()
    table.notes.append(
        f"Budget for control: {MEMORY_BUDGET_MB} MB, {CPU_BUDGET}% of a core, "
        f"{BYTES_BUDGET} B/s. Bytes are those of messages between instances; "
        "the fleet is 2 entries and 10 agents, idle."
    )
    return table


def _measure(fleet: Processes, seconds: float, table: Table) -> None:
    time.sleep(SETTLE_S)
    before = {item.name: _read(fleet, item) for item in fleet.plan.instances}
    time.sleep(seconds)
    for item in fleet.plan.instances:
        first, last = before[item.name], _read(fleet, item)
        elapsed = last.at - first.at
        table.add(
            item.name,
            last.resident / 1e6,
            100 * (last.cpu_s - first.cpu_s) / elapsed,
            (last.sent - first.sent) / elapsed,
            (last.received - first.received) / elapsed,
        )


def _read(fleet: Processes, item: Planned) -> Reading:
    pid = fleet.running[item.name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    metrics = _metrics(item)
    return Reading(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE"),
        metrics.get("link_sent_bytes", 0.0),
        metrics.get("link_received_bytes", 0.0),
    )


def _metrics(item: Planned) -> dict[str, float]:
    with urllib.request.urlopen(item.status_url + "/metrics") as answer:
        lines = answer.read().decode().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines)
    return {name: float(value) for name, value in pairs}
