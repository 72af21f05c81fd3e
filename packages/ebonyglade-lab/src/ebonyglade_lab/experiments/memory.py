"""Seconds until engine memory is free after a fault, with and without leases."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from unittest.mock import patch

from ebonyglade.worker.memory import EngineMemory
from ebonyglade.worker.slots import SlotTable
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import PendingRequest, World

WORKSPACE = "aula/physics"
MAX_HELD_S = 60.0  # memory that is held for longer counts as lost
POLL_S = 0.01
SETTLE_S = 1.0  # time until the fleet is connected
ANSWER_STARTED_S = 0.06  # an answer has started after this time
FAULT_S = 5.0  # duration of a pause or of unreachability
TOKEN_INTERVAL_S = 1.0  # slow enough that no answer ends before its deadline

FaultScenario = Callable[[World], Awaitable[None]]


def _world(seed: int) -> World:
    world = World(seed)
    world.publish_team("aula", ["physics"], rate=50_000.0, burst=100_000.0)
    for stage in ("prefill", "decode"):
        world.add_engine(f"{stage}-0", stage)
    world.add_entry("entry-0")
    return world


async def _start_request(
    world: World, wait: float = ANSWER_STARTED_S
) -> PendingRequest:
    sent = world.submit("entry-0", world.model_call(WORKSPACE, "a long draft"))
    await asyncio.sleep(wait)
    return sent


async def _entry_death(world: World) -> None:
    await _start_request(world)
    world.kill("entry-0")


async def _entry_death_before_use(world: World) -> None:
    """The entry dies after the prefill began and before the decode."""
    await _start_request(world, wait=0.01)
    world.kill("entry-0")


async def _agent_restart(world: World) -> None:
    await _start_request(world)
    world.kill("entry-0")
    world.kill("decode-0")
    await asyncio.sleep(0.5)
    world.start("decode-0")


async def _agent_pause(world: World) -> None:
    await _start_request(world)
    world.pause("decode-0")
    world.kill("entry-0")
    await asyncio.sleep(FAULT_S)
    world.resume("decode-0")


async def _partition(world: World) -> None:
    sent = await _start_request(world)
    world.network.faults.partitioned.add(frozenset(("entry-0", "decode-0")))
    sent.task.cancel()


async def _stalled_transfer(world: World) -> None:
    """The import of the KV cache stalls and the entry dies."""
    world.engines["decode-0"].stalled = True
    await _start_request(world)
    world.kill("entry-0")


async def _prefill_timed_out(world: World) -> None:
    """The prefill's answer is lost and the export outlives the request."""
    world.engines["prefill-0"].export_kept_s = 2 * MAX_HELD_S
    sent = await _start_request(world, wait=0.015)
    world.network.faults.partitioned.add(frozenset(("entry-0", "prefill-0")))
    await asyncio.sleep(ANSWER_STARTED_S)
    sent.task.cancel()


async def _unreachable(world: World) -> None:
    """The engine is unreachable when its agent cancels the job."""
    sent = await _start_request(world)
    world.engines["decode-0"].unreachable = True
    sent.task.cancel()
    await asyncio.sleep(FAULT_S)
    world.engines["decode-0"].unreachable = False


async def _cancel_twice(world: World) -> None:
    """The caller disconnects, and the cancellation arrives twice."""
    sent = await _start_request(world)
    world.network.faults.repeat = 1.0
    sent.task.cancel()


SCENARIOS: dict[str, FaultScenario] = {
    "entry dies in mid-answer": _entry_death,
    "entry dies between reserve and use": _entry_death_before_use,
    "entry dies, agent restarts": _agent_restart,
    "entry dies, agent pauses": _agent_pause,
    "partition, caller goes away": _partition,
    "transfer stalls, entry dies": _stalled_transfer,
    "prefill cut off, caller goes away": _prefill_timed_out,
    "engine out of reach while cancelled": _unreachable,
    "cancellation arrives twice": _cancel_twice,
}


def seconds_until_free(name: str, leases: bool = True, seed: int = 1) -> float:
    """Return the seconds from the end of a fault until all memory is free.

    Args:
        name: one of `SCENARIOS`.
        leases: False for an agent that frees memory only when an entry asks for it.
        seed: seed of the virtual fleet.
    """
    with ExitStack() as stack:
        if not leases:
            stack.enter_context(patch.object(EngineMemory, "tick", _skip_tick))
            stack.enter_context(
                patch.object(SlotTable, "expired_attempts", _none_overdue)
            )
        return run(_measure(SCENARIOS[name], seed))


async def _measure(scenario: FaultScenario, seed: int) -> float:
    world = _world(seed)
    await asyncio.sleep(SETTLE_S)
    for engine in world.engines.values():
        engine.token_s = TOKEN_INTERVAL_S
    await scenario(world)
    began = world.now()
    while any(engine.held_pieces for engine in world.engines.values()):
        if world.now() - began > MAX_HELD_S:
            return float("inf")
        await asyncio.sleep(POLL_S)
    return world.now() - began


def _skip_tick(*args: object) -> None:
    """Replacement for `EngineMemory.tick`.

    It neither retries cancellations nor queries which jobs the engine holds.
    """


def _none_overdue(*args: object) -> list[str]:
    return []


def report() -> str:
    """Return the table of all scenarios."""
    lines = ["| fault | without leases, s | with leases, s |", "| - | - | - |"]
    for name in SCENARIOS:
        without = _format_seconds(seconds_until_free(name, leases=False))
        lines.append(
            f"| {name} | {without} | {_format_seconds(seconds_until_free(name))} |"
        )
    return "\n".join(lines)


def _format_seconds(seconds: float) -> str:
    return f"over {MAX_HELD_S:.0f}" if seconds > MAX_HELD_S else f"{seconds:.2f}"
