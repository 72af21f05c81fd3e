"""A clairvoyant central scheduler, against which placement is measured.

It pools all decode slots, knows how long each answer is, never waits for a
prefill engine or a message, finds each prefix cached that was ever seen, and
drops at once what can't be on time. Several orders are tried and the best
counts. It is no proof of an optimum, but nothing real has its knowledge.
"""

import heapq
from collections.abc import Callable

from ebonyglade.placement.prefixes import BLOCK_TOKENS, prompt_blocks
from ebonyglade_lab.experiments.bench import FIRST_TOKEN_S, Size
from ebonyglade_lab.experiments.engines import Speeds
from ebonyglade_lab.experiments.loads import Arrival

Order = Callable[[Arrival], float]

ORDERS: tuple[Order, ...] = (
    lambda arrival: arrival.at,
    lambda arrival: arrival.length,
    lambda arrival: arrival.at + 0.01 * arrival.length,
)


def best_central(arrivals: list[Arrival], size: Size, speeds: Speeds) -> list[bool]:
    """Return which requests the best of the orders gets on time."""
    alone = _prefill_seconds(arrivals, speeds)
    results = [_schedule(arrivals, alone, size, speeds, order) for order in ORDERS]
    return max(results, key=sum)


def _prefill_seconds(arrivals: list[Arrival], speeds: Speeds) -> list[float]:
    seen: set[int] = set()
    seconds = []
    for arrival in arrivals:
        blocks = prompt_blocks(arrival.prompt)
        known = sum(block in seen for block in blocks) * BLOCK_TOKENS
        seen.update(blocks)
        seconds.append(max(1, arrival.tokens - known) * speeds.prefill_token_s)
    return seconds


def _schedule(
    arrivals: list[Arrival],
    prefills: list[float],
    size: Size,
    speeds: Speeds,
    order: Order,
) -> list[bool]:
    """Serve by one order and return which requests were on time."""
    free = [0.0] * (size.decode * size.slots)
    waiting: list[tuple[float, int]] = []
    good = [False] * len(arrivals)
    coming = 0
    while coming < len(arrivals) or waiting:
        slot = free[0]
        if not waiting:
            slot = max(slot, arrivals[coming].at)
        while coming < len(arrivals) and arrivals[coming].at <= slot:
            heapq.heappush(waiting, (order(arrivals[coming]), coming))
            coming += 1
        _, index = heapq.heappop(waiting)
        arrival = arrivals[index]
        start = max(slot, arrival.at + prefills[index])
        transfer = arrival.tokens * speeds.transfer_token_s
        first = start + transfer + speeds.decode_token_s
        if first - arrival.at > FIRST_TOKEN_S:
            continue
        good[index] = True
        end = start + transfer + arrival.length * speeds.decode_token_s
        heapq.heapreplace(free, end)
    return good
