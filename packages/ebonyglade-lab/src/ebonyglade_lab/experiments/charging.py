"""Compares charging whole answers in advance with charging them in steps."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from result import Err, Ok

from ebonyglade.calls import Call, Reply, StreamFailed, TokenStream
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import VirtualNode, World

WORKSPACE = "aula/physics"
RATE, BURST = 5000.0, 10_000.0  # tokens a second, tokens
ENTRIES, AGENTS = 3, 4
LOADS = (0.8,)  # tokens requested, as a share of the rate
PROMPT_TOKENS = 100
MEAN_ANSWER_TOKENS = 100
MAX_ANSWER_TOKENS = 1024
TOKEN_INTERVAL_S = 0.02
RUN_S, WARM_UP_S = 60.0, 6.0
STALL_S = 0.2
SEEDS = 3
STEPS = {
    "longest answer": MAX_ANSWER_TOKENS,
    "steps of 64": 64,
    "steps of 16": 16,
}


@dataclass(slots=True)
class ChargingCounts:
    """Outcomes of the requests for one way of charging."""

    requests: int = 0
    refused: int = 0
    cut_off: int = 0
    stalled: int = 0
    waits_s: list[float] = field(default_factory=list)


def measure(seeds: int = SEEDS) -> Table:
    """Return the table of all ways of charging."""
    table = Table(
        "Charging answers",
        f"python -m ebonyglade_lab charging --seeds {seeds}",
        ("Load", "Charged", "Requests", "Refused", "Cut off", "Stalled", "Wait p99, s"),
    )
    for load in LOADS:
        for name, step in STEPS.items():
            _add_row(table, load, name, step, seeds)
    table.notes.append(
        f"One workspace of {RATE:.0f} tokens/s with a burst of {BURST:.0f} asked "
        f"for its rate times the load for {RUN_S:.0f} s: prompts of {PROMPT_TOKENS} "
        f"tokens, answers of {MEAN_ANSWER_TOKENS} on average and at most "
        f"{MAX_ANSWER_TOKENS}, one "
        f"token each {TOKEN_INTERVAL_S * 1000:.0f} ms. "
        f"Stalled answers had a gap of over {STALL_S} s."
    )
    return table


def _add_row(table: Table, load: float, name: str, step: int, seeds: int) -> None:
    counts = ChargingCounts()
    for seed in range(seeds):
        run(_run(seed, load, step, counts))
    waits_s = sorted(counts.waits_s)
    p99 = waits_s[int(0.99 * (len(waits_s) - 1))]
    cells = (counts.requests, counts.refused, counts.cut_off, counts.stalled)
    table.add(load, name, *cells, round(p99, 3))


async def _run(seed: int, load: float, step: int, counts: ChargingCounts) -> None:
    world = World(seed)
    world.publish_team("aula", ["physics"], RATE, BURST)
    for index in range(AGENTS):
        world.add_service(f"rooms-{index}")
    for index in range(ENTRIES):
        node = world.add_entry(f"entry-{index}")
        node.core.rate_limit_filter.step = step
    await asyncio.sleep(WARM_UP_S)
    rng = random.Random(seed)
    end = world.now() + RUN_S
    tasks = []
    while world.now() < end:
        length = 1 + min(
            MAX_ANSWER_TOKENS - 1, int(rng.expovariate(1 / MEAN_ANSWER_TOKENS))
        )
        node = world.nodes[f"entry-{rng.randrange(ENTRIES)}"]
        call = world.model_call(WORKSPACE, "x" * 4 * PROMPT_TOKENS, MAX_ANSWER_TOKENS)
        tasks.append(
            node.process.spawn(_send_request(world, node, call, length, counts))
        )
        await asyncio.sleep(
            rng.expovariate(load * RATE / (PROMPT_TOKENS + MEAN_ANSWER_TOKENS))
        )
    await asyncio.gather(*tasks)


async def _send_request(
    world: World, node: VirtualNode, call: Call, length: int, counts: ChargingCounts
) -> None:
    started = world.now()
    counts.requests += 1
    view = node.core.config.view
    call.view, call.owner = view, view.key_owner(WORKSPACE)
    call.route = view.models["abstracts"][0]
    call.deadline = started + call.route.route.deadline_s

    async def proceed(call: Call) -> Reply:
        counts.waits_s.append(world.now() - started)
        return Ok(TokenStream(_answer(length)))

    reply = await node.core.rate_limit_filter(call, proceed)
    if isinstance(reply, Err):
        counts.refused += 1
        return
    last, stalled = world.now(), False
    try:
        async for _ in reply.ok_value.tokens:
            stalled |= world.now() - last > STALL_S
            last = world.now()
    except StreamFailed:
        counts.cut_off += 1
    counts.stalled += stalled


async def _answer(length: int) -> AsyncIterator[list[str]]:
    for number in range(length):
        await asyncio.sleep(TOKEN_INTERVAL_S)
        yield [str(number)]
