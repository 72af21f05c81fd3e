"""Resource usage of running daemons: processor time, memory and messages."""

import os
import time
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ebonyglade_lab.deployment import PlannedInstance
from ebonyglade_lab.processes import Processes


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Counters of one process at one time.

    Attributes:
        at: monotonic seconds.
        cpu_s: processor seconds since the process started.
        resident_bytes: resident memory.
        metrics: values of its metrics, by name.
    """

    at: float
    cpu_s: float
    resident_bytes: int
    metrics: dict[str, float]


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resource usage of one process, or the average of several, over a time span.

    Attributes:
        cpu_percent: percent of a core.
        resident_bytes: resident memory at the end of the span.
        sent_bytes_per_s: bytes a second to other instances.
        received_bytes_per_s: bytes a second from other instances.
        sent_frames_per_s: messages a second to other instances.
        platform_calls: calls of the platform since the process started.
    """

    cpu_percent: float
    resident_bytes: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    sent_frames_per_s: float
    platform_calls: float


def measure_usage(
    fleet: Processes, work: Callable[[], None]
) -> dict[str, ResourceUsage]:
    """Return the resource usage of each instance while `work` runs."""
    before = {item.name: _sample(fleet, item) for item in fleet.plan.instances}
    work()
    after = {item.name: _sample(fleet, item) for item in fleet.plan.instances}
    return {name: _usage_between(before[name], after[name]) for name in before}


def _usage_between(first: ProcessSample, last: ProcessSample) -> ResourceUsage:
    elapsed = last.at - first.at

    def growth_per_s(name: str) -> float:
        return (last.metrics.get(name, 0) - first.metrics.get(name, 0)) / elapsed

    return ResourceUsage(
        100 * (last.cpu_s - first.cpu_s) / elapsed,
        last.resident_bytes,
        growth_per_s("link_sent_bytes"),
        growth_per_s("link_received_bytes"),
        growth_per_s("link_sent_frames"),
        last.metrics.get("platform_calls", 0.0),
    )


def average_usage(items: list[ResourceUsage]) -> ResourceUsage:
    """Return the average usage of some processes."""
    names = ResourceUsage.__dataclass_fields__
    sums = {name: sum(getattr(item, name) for item in items) for name in names}
    return ResourceUsage(**{name: total / len(items) for name, total in sums.items()})


def _sample(fleet: Processes, item: PlannedInstance) -> ProcessSample:
    pid = fleet.running[item.name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessSample(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE"),
        _metrics(item),
    )


def _metrics(item: PlannedInstance) -> dict[str, float]:
    with urllib.request.urlopen(item.status_url + "/metrics") as answer:
        lines = answer.read().decode().splitlines()
    pairs = (line.rsplit(" ", 1) for line in lines)
    return {name: float(value) for name, value in pairs}
