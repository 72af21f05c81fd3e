"""Endpoints that a request which crashes them takes along, and its neighbours."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest.mock import patch

from ebonyglade.quarantine.guard import Guard
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.worlds import model_world
from ebonyglade_lab.virtual.endpoints import POISON, RESTART_S, EngineState
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import World

KEY = "aula/physics"
ENTRIES, PAIRS = 3, 6
POISONS = 3  # requests that crash what runs them
REPEATS = 10  # sends of each by its caller
REPEAT_PAUSE_S = 1.0
INNOCENT = 600
GAP_S = 0.05
TOKENS = 24
SEEDS = 5


@contextmanager
def _unchanged() -> Iterator[None]:
    yield


@contextmanager
def _no_quarantine() -> Iterator[None]:
    with patch.object(Guard, "_on_lost", lambda self, sender, message: None):
        yield


@contextmanager
def _while_decoding() -> Iterator[None]:
    """Let poison pass its prefill and crash a decode engine in mid-answer."""
    start = EngineState.start

    def late(self: EngineState, job: str, prompt: str, *rest: object) -> None:
        start(self, job, prompt.replace(POISON, "LATER"), *rest)
        if POISON in prompt and self.name.startswith("decode"):
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, _crash, self, job, prompt)

    with patch.object(EngineState, "start", late):
        yield


def _crash(state: EngineState, job: str, prompt: str) -> None:
    if job in state.jobs:
        state.crash(prompt)


POLICIES = {"quarantine": _unchanged, "no quarantine": _no_quarantine}
KINDS = {"in its prefill": _unchanged, "in mid-answer": _while_decoding}
CALLERS = {"one after the other": 1, "three at once": ENTRIES}
COLUMNS = (
    "endpoints lost a poison request (most)",
    "innocent whole",
    "innocent refused or cut",
    "innocent quarantined",
)


def measure(seeds: int = SEEDS) -> Table:
    """Return a table of endpoints lost and of innocent requests."""
    result = Table(
        "Poison requests",
        f"python -m ebonyglade_lab poison --seeds {seeds}",
        ["crashes", "its caller sends", "policy", "innocent", *COLUMNS],
        notes=[_NOTE],
    )
    for kind, change in KINDS.items():
        for sends, copies in CALLERS.items():
            for policy, guard in POLICIES.items():
                with change(), guard():
                    total = _sum(seeds, copies)
                lost = f"{total['lost'] / (seeds * POISONS):.2f} ({total['most']})"
                rest = (total[column] for column in COLUMNS[1:])
                result.add(kind, sends, policy, seeds * INNOCENT, lost, *rest)
    return result


def _sum(seeds: int, copies: int) -> Counter[str]:
    total: Counter[str] = Counter()
    for seed in range(1, seeds + 1):
        found = run(_one(seed, copies))
        most = max(total["most"], found.pop("most"))
        total += found
        total["most"] = most
    return total


async def _one(seed: int, copies: int) -> Counter[str]:
    world = model_world(seed, ENTRIES, PAIRS)
    rng = random.Random(seed)
    await asyncio.sleep(1)
    counts: Counter[str] = Counter()
    await asyncio.gather(
        *(_innocent(world, rng, number, counts) for number in range(INNOCENT)),
        *(_poison(world, number, copies) for number in range(POISONS)),
    )
    await asyncio.sleep(RESTART_S)
    for number in range(POISONS):
        text = f"{POISON} {number}"
        lost = sum(engine.deaths[text] for engine in world.engines.values())
        counts["lost"] += lost
        counts["most"] = max(counts["most"], lost)
    return counts


async def _poison(world: World, number: int, copies: int) -> None:
    await asyncio.sleep(2.0 + 3.0 * number)
    for repeat in range(REPEATS):
        sends: list[Callable] = []
        for copy in range(copies):
            call = world.model_call(KEY, f"{POISON} {number}", max_tokens=TOKENS)
            sends.append(world.call(f"entry-{(repeat + copy) % ENTRIES}", call))
        await asyncio.gather(*sends)
        await asyncio.sleep(REPEAT_PAUSE_S)


async def _innocent(
    world: World, rng: random.Random, number: int, counts: Counter[str]
) -> None:
    await asyncio.sleep(number * GAP_S)
    call = world.model_call(KEY, f"prompt {number}", max_tokens=TOKENS)
    outcome = await world.call(f"entry-{rng.randrange(ENTRIES)}", call)
    if outcome.whole:
        counts["innocent whole"] += 1
    elif outcome.refusal.code == "quarantined":
        counts["innocent quarantined"] += 1
    else:
        counts["innocent refused or cut"] += 1


_NOTE = f"""Each seed has {ENTRIES} entries, {PAIRS} prefill and {PAIRS} decode
endpoints that restart {RESTART_S:.0f} s after a crash, {INNOCENT} innocent requests,
one every {GAP_S} s, and {POISONS} poison requests whose callers send each {REPEATS}
times, to another entry each time or to all entries at once."""
