"""Case 6 as a script: the last entry, started again, serves nothing; see claim.txt."""

import asyncio
import collections
import os
import sys
import time
from pathlib import Path

from lib2.callers import Deployment, call, press
from lib2.case import run

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT = {
    "Name": "team-a",
    "ApiKeys": ["key-1"],
    "Unit": "tokens",
    "PlainTokens": 200,
    "RatePerS": 18000,
    "Burst": 27444,
}
PER_S = 20.0  # 4,000 tokens a second of the 18,000 that the tenant may send
BEFORE_S = 4.0
DOWN_S = 1.3  # as on the days that end with a loss of power
RECOVERY_S = 12.0  # RecoveryS
COUNTED_S = 12.0
LEAST_SHARE = 0.25


async def play(deployment, record):
    """Play the case; return the exit code."""
    entries = deployment.entries
    kept = entries[2:]
    await deployment.start(seeds=entries)
    record("3 entries and 2 agents are ready; all three are seeds")

    async def send(machine, number):
        return await call(machine, "POST", "/book/1", f"id-{time.monotonic_ns()}")

    async def press_and_count(name, machines, seconds):
        answers = await press(machines, PER_S, seconds, send)
        found = collections.Counter(item.status for item in answers)
        share = found[200] / len(answers)
        record(f"{name}: {dict(found)}, {share:.2f} served")
        return share

    share_before = await press_and_count("before", entries, BEFORE_S)
    if TROUBLE:
        for machine in deployment.machines:
            await machine.lose_power()
        record("all machines lose power; edge-1 and edge-2 are lost for good")
        await asyncio.sleep(DOWN_S)
        for machine in (*kept, *deployment.agents):
            machine.write_settings(entries, False, deployment.store_address)
            await machine.start()
        await deployment.wait_ready(kept)
    record("edge-3 is ready")
    await press_and_count("until RecoveryS", kept, RECOVERY_S)
    share = await press_and_count("after RecoveryS", kept, COUNTED_S)
    if share_before < LEAST_SHARE:
        record("less than a quarter was served before: the case could not run")
        return 2
    return 1 if share < LEAST_SHARE else 0


if __name__ == "__main__":
    with (FOLDER / "record.txt").open("w") as file:
        code = run(file, TROUBLE, Deployment(3, 2, 3, tenant=TENANT), play)
    sys.exit(code)
