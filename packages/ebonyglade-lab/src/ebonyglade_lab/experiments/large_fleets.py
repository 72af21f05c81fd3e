"""What the processes of an idle fleet of forwarding entries send to each other.

The entries run their real decisions on the virtual clock, without endpoints and
requests, spread evenly over availability zones.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from ebonyglade.context import Context, Identity
from ebonyglade.forward.entry import ForwardEntry, ForwardLimits
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.retries.retry_budget import RetryBudgetLimits
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.adapter import plain_adapter
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network, VirtualTransport, open_frame
from ebonyglade_lab.virtual.process import Process

SIZES = (30, 76, 150, 300)
ZONES = 6
JOIN_S = 4.0  # time for all members to discover each other
MEASURED_S = 5.0
STEP_S = 0.05  # between two checks of a process' timers
NOTE = (
    f"{ZONES} availability zones, {MEASURED_S:.0f} s on the virtual clock after "
    f"{JOIN_S:.0f} s. The most is what one process sends that reports for its zone. "
    "Bytes are those of encoded messages."
)
LIMITS = ForwardLimits(
    None, RetryBudgetLimits(0.2, 10.0, 50.0), RateTolerance(first_start=True)
)


@dataclass(slots=True)
class Traffic:
    """What each process has sent.

    Attributes:
        frames: number of frames.
        bytes: bytes of these frames.
        between_zones: bytes of those that went to other availability zones.
    """

    frames: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    between_zones: Counter[str] = field(default_factory=Counter)

    def clear(self) -> None:
        """Forget what was sent so far."""
        for counter in (self.frames, self.bytes, self.between_zones):
            counter.clear()


class _MeteredNetwork(Network):
    """A network that counts what each process sends."""

    def __init__(self, zones: dict[str, str]) -> None:
        super().__init__(random.Random(1))
        self.zones = zones
        self.traffic = Traffic()

    def send(self, source: str, target: str, frame: bytes) -> None:
        """Count a frame and send it."""
        self.traffic.frames[source] += 1
        self.traffic.bytes[source] += len(frame)
        if self.zones[source] != self.zones[target]:
            self.traffic.between_zones[source] += len(frame)
        super().send(source, target, frame)


def _start_entry(name: str, network: _MeteredNetwork) -> ForwardEntry:
    process = Process(name, "1")
    context = Context(
        identity=Identity(name, "1", network.zones[name]),
        transport=VirtualTransport(process, network),
        clock=process.clock,
        wall_clock=process.clock,
        rng=random.Random(name),
    )
    entry = ForwardEntry(context, plain_adapter, None, LIMITS, ("e0",))
    network.attach(name, lambda frame: context.deliver(*open_frame(frame)))
    entry.start()
    process.spawn(_run_timers(context))
    return entry


async def _run_timers(context: Context) -> None:
    while True:
        context.timers.run_due(context.clock())
        await asyncio.sleep(STEP_S)


async def _measure(size: int) -> tuple[Traffic, int]:
    names = [f"e{number}" for number in range(size)]
    network = _MeteredNetwork(
        {name: f"z{number % ZONES}" for number, name in enumerate(names)}
    )
    entries = [_start_entry(name, network) for name in names]
    await asyncio.sleep(JOIN_S)
    network.traffic.clear()
    await asyncio.sleep(MEASURED_S)
    complete = sum(entry.members.entry_count() == size for entry in entries)
    return network.traffic, complete


def measure(sizes: Sequence[int] = SIZES) -> Table:
    """Measure the traffic of idle fleets of several sizes."""
    table = Table(
        "Traffic of idle fleets of forwarding entries",
        "python -m ebonyglade_lab large-fleets",
        (
            "entries",
            "frames/s, mean",
            "frames/s, most",
            "bytes/s, mean",
            "bytes/s, most",
            "bytes/s between zones, mean",
            "entries that know all",
        ),
        notes=[NOTE],
    )
    for size in sizes:
        traffic, complete = run(_measure(size))
        table.add(
            size,
            sum(traffic.frames.values()) / size / MEASURED_S,
            max(traffic.frames.values()) / MEASURED_S,
            sum(traffic.bytes.values()) / size / MEASURED_S,
            max(traffic.bytes.values()) / MEASURED_S,
            sum(traffic.between_zones.values()) / size / MEASURED_S,
            complete,
        )
    return table
