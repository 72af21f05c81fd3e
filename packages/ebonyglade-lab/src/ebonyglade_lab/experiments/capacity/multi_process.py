"""Slopes measured with real processes over loopback, idle and under load."""

import asyncio
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp

from ebonyglade_lab import demo
from ebonyglade_lab.experiments.capacity.linear_fit import LinearFit
from ebonyglade_lab.experiments.resource_usage import (
    ResourceUsage,
    average_usage,
    measure_usage,
)
from ebonyglade_lab.fleet import FleetSize
from ebonyglade_lab.processes import Processes, prepare_processes

SETTLE_S = 8.0
IDLE_S = 15.0
LOAD_S = 12.0
FLEET_SIZES = (  # entries, prefill, decode, service
    FleetSize(2, 2, 2, 2),
    FleetSize(4, 8, 8, 4),
    FleetSize(8, 20, 20, 8),
)
REQUEST_RATES_PER_S = (5.0, 15.0, 30.0)  # requests a second over the whole fleet


def measure_idle() -> tuple[list[LinearFit], list[tuple[int, str, ResourceUsage]]]:
    """Return the usage of idle processes by size of the fleet, and all readings."""
    rows = []
    for size in FLEET_SIZES:
        with _fleet(size) as fleet:
            time.sleep(SETTLE_S)
            usage_by_role = _usage_by_role(fleet, lambda: time.sleep(IDLE_S))
        count = len(fleet.plan.instances)
        rows += [(count, role, usage) for role, usage in usage_by_role.items()]
    slopes = [
        _slope(rows, role, name, unit, value_of)
        for role in ("entry", "agent")
        for name, unit, value_of in (
            ("processor time", "% of a core", lambda usage: usage.cpu_percent),
            ("memory", "bytes", lambda usage: usage.resident_bytes),
            ("bytes sent", "bytes/s", lambda usage: usage.sent_bytes_per_s),
            ("bytes received", "bytes/s", lambda usage: usage.received_bytes_per_s),
        )
    ]
    return slopes, rows


def measure_load() -> tuple[
    list[LinearFit], list[tuple[float, float, str, ResourceUsage]]
]:
    """Return processor time by requests a second, and all readings."""
    rows = []
    size = FleetSize(2, 2, 4, 1)
    for rate in REQUEST_RATES_PER_S:
        with _fleet(size) as fleet:
            time.sleep(SETTLE_S)
            done: list[int] = []
            usage_by_role = _usage_by_role(
                fleet, lambda r=rate, f=fleet, d=done: d.extend(_send_load(f, r))
            )
        tokens = sum(done) / LOAD_S
        rows += [
            (len(done) / LOAD_S, tokens, role, item)
            for role, item in usage_by_role.items()
        ]
    slopes = []
    for role, count in (("entry", size.entries), ("agent", 6)):
        chosen = [(rate, item) for rate, _, name, item in rows if name == role]
        slopes.append(
            LinearFit(
                f"processor time of all {role} processes, by requests",
                "% of a core",
                "request/s",
                tuple(rate for rate, _ in chosen),
                tuple(item.cpu_percent * count for _, item in chosen),
            )
        )
    return slopes, rows


@contextmanager
def _fleet(size: FleetSize) -> Iterator[Processes]:
    quiet = {"logs": {"level": "WARNING"}}
    with tempfile.TemporaryDirectory() as directory:
        fleet = prepare_processes(Path(directory), size, quiet)
        try:
            fleet.start_all()
            yield fleet
        finally:
            fleet.stop_all()


def _usage_by_role(
    fleet: Processes, work: Callable[[], None]
) -> dict[str, ResourceUsage]:
    """Return the average usage of each role while `work` runs."""
    usage = measure_usage(fleet, work)
    return {
        role: average_usage([usage[item.name] for item in fleet.plan.of_role(role)])
        for role in ("entry", "agent")
    }


def _slope(
    rows: list[tuple[int, str, ResourceUsage]],
    role: str,
    name: str,
    unit: str,
    value_of: Callable[[ResourceUsage], float],
) -> LinearFit:
    chosen = [(count, value_of(usage)) for count, found, usage in rows if found == role]
    sizes = tuple(float(count) for count, _ in chosen)
    values = tuple(value for _, value in chosen)
    return LinearFit(
        f"{name} of an idle {role}", unit, "instance of the fleet", sizes, values
    )


def _send_load(fleet: Processes, rate: float) -> list[int]:
    return asyncio.run(_send_requests(fleet, rate))


async def _send_requests(fleet: Processes, rate: float) -> list[int]:
    """Send requests at a steady rate and return the tokens of each answer."""
    urls = [item.url for item in fleet.plan.of_role("entry")]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        for number in range(int(rate * LOAD_S)):
            prompt = f"Talk {number} at {rate}: " + "words " * 300
            work = demo.ask(session, urls[number % len(urls)], prompt)
            tasks.append(asyncio.ensure_future(work))
            await asyncio.sleep(1 / rate)
        answers = await asyncio.gather(*tasks, return_exceptions=True)
    return [len(text.split()) for text in answers if isinstance(text, str)]
