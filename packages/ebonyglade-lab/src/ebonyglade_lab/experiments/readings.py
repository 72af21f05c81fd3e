"""What running daemons cost: processor time, memory, messages."""

import os
import time
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ebonyglade_lab.deployment import Planned
from ebonyglade_lab.processes import Processes


@dataclass(frozen=True, slots=True)
class Reading:
    """One process at one time.

    Attributes:
        at: monotonic seconds.
        cpu_s: processor seconds so far.
        resident: resident bytes.
        metrics: its metrics by name.
    """

    at: float
    cpu_s: float
    resident: int
    metrics: dict[str, float]


@dataclass(frozen=True, slots=True)
class Rates:
    """What one role spent in a span of time, a process.

    Attributes:
        cpu: percent of a core.
        resident: resident bytes at its end.
        sent: bytes a second to other instances.
        received: bytes a second from other instances.
        frames: messages a second to other instances.
        platform_calls: calls of the platform so far.
    """

    cpu: float
    resident: float
    sent: float
    received: float
    frames: float
    platform_calls: float


def spent_by(fleet: Processes, work: Callable[[], None]) -> dict[str, Rates]:
    """Return what each instance spends while `work` runs."""
    before = {item.name: _read(fleet, item) for item in fleet.plan.instances}
    work()
    after = {item.name: _read(fleet, item) for item in fleet.plan.instances}
    return {name: _rates(before[name], after[name]) for name in before}


def _rates(first: Reading, last: Reading) -> Rates:
    elapsed = last.at - first.at

    def grown(name: str) -> float:
        return (last.metrics.get(name, 0) - first.metrics.get(name, 0)) / elapsed

    return Rates(
        100 * (last.cpu_s - first.cpu_s) / elapsed,
        last.resident,
        grown("link_sent_bytes"),
        grown("link_received_bytes"),
        grown("link_sent_frames"),
        last.metrics.get("platform_calls", 0.0),
    )


def average(items: list[Rates]) -> Rates:
    """Return the average of some processes."""
    names = Rates.__dataclass_fields__
    sums = {name: sum(getattr(item, name) for item in items) for name in names}
    return Rates(**{name: total / len(items) for name, total in sums.items()})


def _read(fleet: Processes, item: Planned) -> Reading:
    pid = fleet.running[item.name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Reading(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE"),
        _metrics(item),
    )


def _metrics(item: Planned) -> dict[str, float]:
    with urllib.request.urlopen(item.status_url + "/metrics") as answer:
        lines = answer.read().decode().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines)
    return {name: float(value) for name, value in pairs}
