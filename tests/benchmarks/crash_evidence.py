"""Seconds until all entries know of a request, or of a part, that crashes endpoints.

Run with `python tests/benchmarks/crash_evidence.py`; the network is simulated.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from ebonyglade.quarantine.evidence import BrokenRun
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry

JOIN_S = 15.0
STEP_S = 0.05
MAX_S = 10.0
FLEETS = ((8, 4), (76, 6), (300, 11))  # entries, availability zones


def start_fleet(count, zones, lose):
    network = Network(random.Random(1))
    network.faults.lose = lose
    return [Entry(network, f"e{n}", zone=f"z{n % zones}") for n in range(count)]


async def seconds_until_all_know(entries, crashes, knows):
    """Let different entries observe crashes 0.2 s apart; wait for the last to know."""
    for number, parts in enumerate(crashes):
        entry = entries[number]
        request = "f" if not parts else f"f-{number}"
        endpoint = f"{request}-endpoint-{number}"
        broken = BrokenRun(endpoint, request, parts)
        entry.core.crashes.record_run(broken, entry.now, entry.now)
        await asyncio.sleep(0.2 if number < len(crashes) - 1 else 0.0)
    since = entries[0].now
    while entries[0].now - since < MAX_S:
        if all(knows(entry) for entry in entries):
            return entries[0].now - since
        await asyncio.sleep(STEP_S)
    return MAX_S


async def measure(count, zones, lose):
    entries = start_fleet(count, zones, lose)
    await asyncio.sleep(JOIN_S)
    by_request = await seconds_until_all_know(
        entries, [()] * 3, lambda entry: entry.core.crashes.blocked_for("f", entry.now)
    )
    by_part = await seconds_until_all_know(
        entries,
        [("first", "bad")] * 4,
        lambda entry: entry.core.crashes.parts_blocked_for(("first", "bad"), entry.now),
    )
    return by_request, by_part


def main():
    """Print the table of the fleets whose sizes are given, or of all."""
    sizes = {int(size) for size in sys.argv[1:]}
    print("| entries | zones | messages lost | request, s | part, s |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for count, zones in FLEETS:
        if sizes and count not in sizes:
            continue
        for lose in (0.0, 0.1):
            request, part = run(measure(count, zones, lose))
            print(f"| {count} | {zones} | {lose:.0%} | {request:.2f} | {part:.2f} |")


if __name__ == "__main__":
    main()
