"""A clairvoyant central scheduler, the reference for measurements of placement.

The scheduler pools all decode slots, knows the length of each answer, never waits
for a prefill engine or a message, finds every prefix cached that was seen before,
and drops a request as soon as it can't be on time. It tries several orders and the
best result counts. The result is not a proven optimum, but no real scheduler has
this knowledge.
"""

import heapq
from collections.abc import Callable

from ebonyglade.placement.prefixes import BLOCK_TOKENS, prompt_blocks
from ebonyglade_lab.experiments.arrivals import Arrival
from ebonyglade_lab.experiments.simulated_engines import EngineParameters
from ebonyglade_lab.experiments.simulation import FIRST_TOKEN_TARGET_S, SimulationSize

SortKey = Callable[[Arrival], float]

SORT_KEYS: tuple[SortKey, ...] = (
    lambda arrival: arrival.at,
    lambda arrival: arrival.answer_tokens,
    lambda arrival: arrival.at + 0.01 * arrival.answer_tokens,
)


def best_central_schedule(
    arrivals: list[Arrival], size: SimulationSize, parameters: EngineParameters
) -> list[bool]:
    """Return which requests are on time under the best of the orders."""
    prefills = _prefill_seconds(arrivals, parameters)
    results = [
        _schedule(arrivals, prefills, size, parameters, sort_key)
        for sort_key in SORT_KEYS
    ]
    return max(results, key=sum)


def _prefill_seconds(
    arrivals: list[Arrival], parameters: EngineParameters
) -> list[float]:
    seen: set[int] = set()
    seconds = []
    for arrival in arrivals:
        blocks = prompt_blocks(arrival.prompt)
        cached = sum(block in seen for block in blocks) * BLOCK_TOKENS
        seen.update(blocks)
        seconds.append(
            max(1, arrival.prompt_tokens - cached) * parameters.prefill_token_s
        )
    return seconds


def _schedule(
    arrivals: list[Arrival],
    prefills: list[float],
    size: SimulationSize,
    parameters: EngineParameters,
    sort_key: SortKey,
) -> list[bool]:
    """Schedule in one order and return which requests were on time."""
    slot_free_at = [0.0] * (size.decode * size.slots)
    waiting: list[tuple[float, int]] = []
    on_time = [False] * len(arrivals)
    next_arrival = 0
    while next_arrival < len(arrivals) or waiting:
        slot = slot_free_at[0]
        if not waiting:
            slot = max(slot, arrivals[next_arrival].at)
        while next_arrival < len(arrivals) and arrivals[next_arrival].at <= slot:
            heapq.heappush(waiting, (sort_key(arrivals[next_arrival]), next_arrival))
            next_arrival += 1
        _, index = heapq.heappop(waiting)
        arrival = arrivals[index]
        start = max(slot, arrival.at + prefills[index])
        transfer = arrival.prompt_tokens * parameters.transfer_token_s
        first = start + transfer + parameters.decode_token_s
        if first - arrival.at > FIRST_TOKEN_TARGET_S:
            continue
        on_time[index] = True
        end = start + transfer + arrival.answer_tokens * parameters.decode_token_s
        heapq.heapreplace(slot_free_at, end)
    return on_time
