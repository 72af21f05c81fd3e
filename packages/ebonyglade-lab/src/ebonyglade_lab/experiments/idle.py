"""Resource usage of idle daemons: memory, processor time and control bytes."""

import tempfile
import time
from pathlib import Path

from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.resource_usage import measure_usage
from ebonyglade_lab.fleet import FleetSize
from ebonyglade_lab.processes import prepare_processes

SETTLE_S = 15.0
MEMORY_BUDGET_MB = 128
CPU_BUDGET = 1.2  # percent of a core
BYTES_BUDGET = 9000  # bytes a second


def run(seconds: float = 30.0) -> Table:
    """Return the resource usage of each idle process of a small fleet."""
    size = FleetSize(entries=2, prefill=4, decode=4, service=2)
    table = Table(
        "Idle daemons",
        f"python -m ebonyglade_lab idle --seconds {seconds:g}",
        ("instance", "memory MB", "CPU % of a core", "sent B/s", "received B/s"),
    )
    with tempfile.TemporaryDirectory() as directory:
        fleet = prepare_processes(Path(directory), size)
        try:
            fleet.start_all()
            time.sleep(SETTLE_S)
            usage = measure_usage(fleet, lambda: time.sleep(seconds))
        finally:
            fleet.stop_all()
    for name, item in usage.items():
        table.add(
            name,
            item.resident_bytes / 1e6,
            item.cpu_percent,
            item.sent_bytes_per_s,
            item.received_bytes_per_s,
        )
    table.notes.append(
        f"Budget for control: {MEMORY_BUDGET_MB} MB, {CPU_BUDGET}% of a core, "
        f"{BYTES_BUDGET} B/s. Bytes are those of messages between instances; "
        "the fleet is 2 entries and 10 agents, idle."
    )
    return table
