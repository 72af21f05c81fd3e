"""Slopes of real processes over loopback: idle fleets, and fleets under load."""

import asyncio
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp

from ebonyglade_lab import demo
from ebonyglade_lab.experiments.capacity.fit import Slope
from ebonyglade_lab.experiments.readings import Rates, average, spent_by
from ebonyglade_lab.fleet import FleetSize
from ebonyglade_lab.processes import Processes, new_processes

SETTLE_S = 8.0
IDLE_S = 15.0
LOAD_S = 12.0
SIZES = (  # entries, prefill, decode, service
    FleetSize(2, 2, 2, 2),
    FleetSize(4, 8, 8, 4),
    FleetSize(8, 20, 20, 8),
)
RATES = (5.0, 15.0, 30.0)  # requests a second over the whole fleet


def idle() -> tuple[list[Slope], list[tuple[int, str, Rates]]]:
    """Return how idle processes grow with the fleet, and all readings."""
    rows = []
    for size in SIZES:
        with _fleet(size) as fleet:
            time.sleep(SETTLE_S)
            spent = _spend(fleet, lambda: time.sleep(IDLE_S))
        count = len(fleet.plan.instances)
        rows += [(count, role, rates) for role, rates in spent.items()]
    slopes = [
        _slope(rows, role, name, unit, pick)
        for role in ("entry", "agent")
        for name, unit, pick in (
            ("processor time", "% of a core", lambda rates: rates.cpu),
            ("memory", "bytes", lambda rates: rates.resident),
            ("bytes sent", "bytes/s", lambda rates: rates.sent),
            ("bytes received", "bytes/s", lambda rates: rates.received),
        )
    ]
    return slopes, rows


def load() -> tuple[list[Slope], list[tuple[float, float, str, Rates]]]:
    """Return processor time by requests a second, and all readings."""
    rows = []
    size = FleetSize(2, 2, 4, 1)
    for rate in RATES:
        with _fleet(size) as fleet:
            time.sleep(SETTLE_S)
            done: list[int] = []
            spent = _spend(
                fleet, lambda r=rate, f=fleet, d=done: d.extend(_drive(f, r))
            )
        tokens = sum(done) / LOAD_S
        rows += [
            (len(done) / LOAD_S, tokens, role, item) for role, item in spent.items()
        ]
    slopes = []
    for role, count in (("entry", size.entries), ("agent", 6)):
        chosen = [(rate, item) for rate, _, name, item in rows if name == role]
        slopes.append(
            Slope(
                f"processor time of all {role} processes, by requests",
                "% of a core",
                "request/s",
                tuple(rate for rate, _ in chosen),
                tuple(item.cpu * count for _, item in chosen),
            )
        )
    return slopes, rows


@contextmanager
def _fleet(size: FleetSize) -> Iterator[Processes]:
    quiet = {"logs": {"level": "WARNING"}}
    with tempfile.TemporaryDirectory() as directory:
        fleet = new_processes(Path(directory), size, quiet)
        try:
            fleet.start_all()
            yield fleet
        finally:
            fleet.stop_all()


def _spend(fleet: Processes, work: Callable[[], None]) -> dict[str, Rates]:
    """Return what each role spends on average while `work` runs."""
    spent = spent_by(fleet, work)
    return {
        role: average([spent[item.name] for item in fleet.plan.of_role(role)])
        for role in ("entry", "agent")
    }


def _slope(
    rows: list[tuple[int, str, Rates]],
    role: str,
    name: str,
    unit: str,
    pick: Callable[[Rates], float],
) -> Slope:
    chosen = [(count, pick(rates)) for count, found, rates in rows if found == role]
    sizes = tuple(float(count) for count, _ in chosen)
    values = tuple(value for _, value in chosen)
    return Slope(
        f"{name} of an idle {role}", unit, "instance of the fleet", sizes, values
    )


def _drive(fleet: Processes, rate: float) -> list[int]:
    return asyncio.run(_send(fleet, rate))


async def _send(fleet: Processes, rate: float) -> list[int]:
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
