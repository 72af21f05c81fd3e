"""Endpoints lost to requests that crash them, and the effect on other requests."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

from ebonyglade.quarantine.guard import QuarantineGuard
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.worlds import model_world
from ebonyglade_lab.virtual.endpoints import POISON, RESTART_S, VirtualEngineState
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import World

WORKSPACE = "aula/physics"
ENTRIES, PAIRS = 3, 6
POISONS = 3  # requests that crash the engine that runs them
SENDS = 10  # times that the caller of a poison request sends it
REPEAT_PAUSE_S = 1.0
INNOCENT = 600  # requests that crash nothing
INTERVAL_S = 0.05
TOKENS = 24
SEEDS = 5


@contextmanager
def _unchanged() -> Iterator[None]:
    yield


@contextmanager
def _no_quarantine() -> Iterator[None]:
    with patch.object(QuarantineGuard, "_on_lost", lambda self, sender, message: None):
        yield


@contextmanager
def _while_decoding() -> Iterator[None]:
    """Let a poison request pass its prefill and crash the decode engine."""
    start = VirtualEngineState.start

    def start_without_poison(
        self: VirtualEngineState, job: str, prompt: str, *rest: object
    ) -> None:
        start(self, job, prompt.replace(POISON, "LATER"), *rest)
        if POISON in prompt and self.name.startswith("decode"):
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, _crash, self, job, prompt)

    with patch.object(VirtualEngineState, "start", start_without_poison):
        yield


def _crash(state: VirtualEngineState, job: str, prompt: str) -> None:
    if job in state.jobs:
        state.crash(prompt)


POLICIES = {"quarantine": _unchanged, "no quarantine": _no_quarantine}
CRASH_STAGES = {"in its prefill": _unchanged, "in mid-answer": _while_decoding}
CONCURRENT_SENDS = {"one after the other": 1, "three at once": ENTRIES}
COLUMNS = (
    "endpoints lost a poison request (most)",
    "innocent whole",
    "innocent refused or cut",
    "innocent quarantined",
)


def measure(seeds: int = SEEDS) -> Table:
    """Return a table of lost endpoints and of the outcomes of innocent requests."""
    result = Table(
        "Poison requests",
        f"python -m ebonyglade_lab poison --seeds {seeds}",
        ["crashes", "its caller sends", "policy", "innocent", *COLUMNS],
        notes=[_NOTE],
    )
    for kind, change in CRASH_STAGES.items():
        for sends, copies in CONCURRENT_SENDS.items():
            for policy, quarantine in POLICIES.items():
                with change(), quarantine():
                    total = _sum_seeds(seeds, copies)
                lost = f"{total['lost'] / (seeds * POISONS):.2f} ({total['most']})"
                rest = (total[column] for column in COLUMNS[1:])
                result.add(kind, sends, policy, seeds * INNOCENT, lost, *rest)
    return result


def _sum_seeds(seeds: int, copies: int) -> Counter[str]:
    total: Counter[str] = Counter()
    for seed in range(1, seeds + 1):
        found = run(_run_seed(seed, copies))
        most = max(total["most"], found.pop("most"))
        total += found
        total["most"] = most
    return total


async def _run_seed(seed: int, copies: int) -> Counter[str]:
    world = model_world(seed, ENTRIES, PAIRS)
    rng = random.Random(seed)
    await asyncio.sleep(1)
    counts: Counter[str] = Counter()
    await asyncio.gather(
        *(_send_innocent(world, rng, number, counts) for number in range(INNOCENT)),
        *(_send_poison(world, number, copies) for number in range(POISONS)),
    )
    await asyncio.sleep(RESTART_S)
    for number in range(POISONS):
        text = f"{POISON} {number}"
        lost = sum(engine.crashes[text] for engine in world.engines.values())
        counts["lost"] += lost
        counts["most"] = max(counts["most"], lost)
    return counts


async def _send_poison(world: World, number: int, copies: int) -> None:
    await asyncio.sleep(2.0 + 3.0 * number)
    for repeat in range(SENDS):
        sends: list[Callable] = []
        for copy in range(copies):
            call = world.model_call(WORKSPACE, f"{POISON} {number}", max_tokens=TOKENS)
            sends.append(world.call(f"entry-{(repeat + copy) % ENTRIES}", call))
        await asyncio.gather(*sends)
        await asyncio.sleep(REPEAT_PAUSE_S)


async def _send_innocent(
    world: World, rng: random.Random, number: int, counts: Counter[str]
) -> None:
    await asyncio.sleep(number * INTERVAL_S)
    call = world.model_call(WORKSPACE, f"prompt {number}", max_tokens=TOKENS)
    outcome = await world.call(f"entry-{rng.randrange(ENTRIES)}", call)
    if outcome.complete:
        counts["innocent whole"] += 1
    elif outcome.refusal.code == "quarantined":
        counts["innocent quarantined"] += 1
    else:
        counts["innocent refused or cut"] += 1


_NOTE = f"""Each seed has {ENTRIES} entries, {PAIRS} prefill and {PAIRS} decode
endpoints that restart {RESTART_S:.0f} s after a crash, {INNOCENT} innocent requests,
one every {INTERVAL_S} s, and {POISONS} poison requests whose callers send each {SENDS}
times, to another entry each time or to all entries at once."""
