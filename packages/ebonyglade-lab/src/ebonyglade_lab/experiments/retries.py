"""Attempts that entries make while endpoints fail, and the answers of callers."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from unittest.mock import patch

from ebonyglade.retry import retries
from ebonyglade.retry.budget import RetryBudget
from ebonyglade.wire.work import Prefill
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.experiments.worlds import model_world
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import open_frame
from ebonyglade_lab.virtual.world import World

WORKSPACE = "aula/physics"
ENTRIES, PAIRS = 2, 4
REQUESTS = 1000
INTERVAL_S = 0.02
TOKENS = 16
CRASH_EVERY_S = 1.0
SEEDS = 5


async def _half_down(world: World) -> None:
    for number in range(PAIRS // 2):
        world.engines[f"prefill-{number}"].down = True
        world.engines[f"decode-{number}"].down = True


async def _half_killed(world: World) -> None:
    for number in range(PAIRS // 2):
        world.kill(f"prefill-{number}")
        world.kill(f"decode-{number}")


async def _all_down(world: World) -> None:
    for engine in world.engines.values():
        engine.down = True


async def _crashes(world: World) -> None:
    """Crash one decode engine after the other, which ends its streams."""
    for step in range(int(REQUESTS * INTERVAL_S / CRASH_EVERY_S)):
        world.engines[f"decode-{step % PAIRS}"].crash("test")
        await asyncio.sleep(CRASH_EVERY_S)


FAULTS = {
    "half of the endpoints refuse": _half_down,
    "half of the agents are silent": _half_killed,
    "all endpoints refuse": _all_down,
    "a decode engine crashes every second": _crashes,
}


@contextmanager
def _without_budget(eject: bool = False, resume: bool = True) -> Iterator[None]:
    """Make up to four attempts without a retry budget.

    Failing endpoints are not ejected, unless `eject` is set.
    """
    original = retries.Ejections.record_failure
    decide = retries.action_of

    def failed(self: retries.Ejections, name: str, now: float) -> None:
        if eject:
            original(self, name, now)

    def action(*args: object) -> retries.RetryAction:
        found = decide(*args)
        suppressed = found is retries.RetryAction.RESUME and not resume
        return retries.RetryAction.GIVE_UP if suppressed else found

    with (
        patch.object(RetryBudget, "spend", lambda self, now: True),
        patch.object(retries.Ejections, "record_failure", failed),
        patch.object(retries, "action_of", action),
    ):
        yield


@contextmanager
def _without_ejection() -> Iterator[None]:
    with patch.object(
        retries.Ejections, "record_failure", lambda self, name, now: None
    ):
        yield


@contextmanager
def _unchanged() -> Iterator[None]:
    yield


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Name of one row, and a context manager that patches the retry decisions."""

    name: str
    patch_decisions: Callable


POLICIES = (
    RetryPolicy("budget and ejection", _unchanged),
    RetryPolicy("budget alone", _without_ejection),
    RetryPolicy("up to four attempts", _without_budget),
    RetryPolicy("up to four, no resuming", lambda: _without_budget(resume=False)),
)
COLUMNS = (
    "attempts a request",
    "prefills a request",
    "whole answers",
    "refused, not_run",
    "refused, else",
    "ended in mid-answer",
    "wrong answers",
)


def measure(seeds: int = SEEDS) -> Table:
    """Return a table of attempts and answers by fault and policy."""
    result = Table(
        "Retries",
        f"python -m ebonyglade_lab retries --seeds {seeds}",
        ["fault", "policy", "requests", *COLUMNS],
        notes=[_NOTE],
    )
    for name, fault in FAULTS.items():
        for policy in POLICIES:
            total: Counter[str] = Counter()
            for seed in range(1, seeds + 1):
                with policy.patch_decisions():
                    total += run(_run_seed(seed, fault))
            requests = seeds * REQUESTS
            shares = (
                f"{total[key] / requests:.3f}" for key in ("attempts", "prefills")
            )
            rest = (total[column] for column in COLUMNS[2:])
            result.add(name, policy.name, requests, *shares, *rest)
    return result


async def _run_seed(seed: int, fault: Callable) -> Counter[str]:
    world = model_world(seed, ENTRIES, PAIRS)
    rng = random.Random(seed)
    await asyncio.sleep(1)
    counts: Counter[str] = Counter()
    _count_prefills(world, counts)
    fault_task = asyncio.ensure_future(fault(world))
    await asyncio.gather(
        *(_send_request(world, rng, n, counts) for n in range(REQUESTS))
    )
    await fault_task
    entries = [world.nodes[f"entry-{number}"].core for number in range(ENTRIES)]
    counts["attempts"] = sum(core.retries.totals["attempts"] for core in entries)
    return counts


def _count_prefills(world: World, counts: Counter[str]) -> None:
    """Count each requested prefill once, however often its message is sent."""
    send, seen = world.network.send, set()

    def record(source: str, target: str, frame: bytes) -> None:
        _, message = open_frame(frame)
        if isinstance(message, Prefill) and message.attempt not in seen:
            seen.add(message.attempt)
            counts["prefills"] += 1
        send(source, target, frame)

    world.network.send = record


async def _send_request(
    world: World, rng: random.Random, number: int, counts: Counter[str]
) -> None:
    await asyncio.sleep(number * INTERVAL_S)
    text = f"prompt {number}"
    call = world.model_call(WORKSPACE, text, max_tokens=TOKENS)
    outcome = await world.call(f"entry-{rng.randrange(ENTRIES)}", call)
    expected = answer_tokens(text, TOKENS)
    counts["wrong answers"] += outcome.tokens != expected[: len(outcome.tokens)]
    if outcome.complete:
        counts["whole answers"] += outcome.tokens == expected
        counts["wrong answers"] += outcome.tokens != expected
    elif outcome.tokens:
        counts["ended in mid-answer"] += 1
    elif outcome.refusal.verdict.value == "not_run":
        counts["refused, not_run"] += 1
    else:
        counts["refused, else"] += 1


_NOTE = f"""Each seed has {ENTRIES} entries, {PAIRS} prefill and {PAIRS} decode
endpoints and {REQUESTS} requests, one every {INTERVAL_S} s, of {TOKENS} tokens each. An
attempt is one pair of endpoints that a request was bound to. The target is 1.1
attempts a request with half of the endpoints down."""
