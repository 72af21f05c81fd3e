"""Chooses the endpoints of one request.

The functions are pure but for the random numbers. They compare a few random
endpoints of the entry's subset (power of two choices), and for a prefill also one
endpoint whose cache may hold the prompt's prefix.
"""

import random
from dataclasses import dataclass

from ebonyglade.config.view import ConfigView
from ebonyglade.placement.loads import AgentLoads
from ebonyglade.placement.prefixes import PrefixIndex
from ebonyglade.placement.subset import Subsets
from ebonyglade.sampling import SAMPLE_SIZE, draw_distinct

CROSS_ZONE_PENALTY_S = 0.004  # added cost of endpoints in two availability zones
FULL_LOAD_PENALTY_S = 0.02  # added cost of an agent whose slots are all in use
COMPUTE_WEIGHT = 0.5  # weight of prefill time against time to the first token


@dataclass(frozen=True, slots=True)
class PlacementSnapshot:
    """What an entry knows when it chooses endpoints.

    Attributes:
        view: configuration in force.
        subsets: endpoints that this entry uses.
        loads: load of the endpoints.
        prefixes: hints about cached prefixes.
        zone: the entry's availability zone.
    """

    view: ConfigView
    subsets: Subsets
    loads: AgentLoads
    prefixes: PrefixIndex
    zone: str = ""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a model request needs.

    Attributes:
        pool: pool of endpoints.
        tokens: prompt tokens.
        blocks: hashes of the prompt's blocks.
        excluded: endpoints that must not be chosen.
    """

    pool: str
    tokens: int
    blocks: tuple[int, ...] = ()
    excluded: set[str] | frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Pair:
    """The endpoints of one attempt and their predicted times.

    Attributes:
        prefill: agent that prefills.
        decode: agent that decodes.
        prefill_s: seconds until the prefill ends, including its wait.
        transfer_s: duration of the transfer of the KV cache.
        slot_s: seconds until the decode slot is free.
    """

    prefill: str
    decode: str
    prefill_s: float
    transfer_s: float
    slot_s: float

    @property
    def lead_s(self) -> float:
        """Seconds until the decode can start: prefill plus transfer."""
        return self.prefill_s + self.transfer_s


@dataclass(frozen=True, slots=True)
class _PrefillEstimate:
    name: str
    ends_in_s: float
    compute_s: float


def choose_endpoint(
    snapshot: PlacementSnapshot,
    pool: str,
    stage: str,
    excluded: set[str] | frozenset[str],
    rng: random.Random,
    now: float,
) -> str | None:
    """Return the cheaper of two random agents, or None if there is none.

    The cost is made of the wait for a slot, the load and the zone.
    """
    names = _sample_usable(snapshot, pool, stage, excluded, rng)
    if not names:
        return None
    loads = snapshot.loads
    return min(
        names,
        key=lambda name: (
            loads.slot_wait(name, now)
            + _zone_penalty(snapshot, snapshot.zone, name)
            + FULL_LOAD_PENALTY_S * loads.utilization(name, now)
        ),
    )


def choose_pair(
    snapshot: PlacementSnapshot, ask: PlacementRequest, rng: random.Random, now: float
) -> Pair | None:
    """Return the pair with the lowest cost, or None if there is none.

    The cost is the predicted time to the first token, plus weighted prefill time and
    penalties for load and for crossing zones.
    """
    decodes = _sample_usable(snapshot, ask.pool, "decode", ask.excluded, rng)
    prefills = _estimate_prefills(snapshot, ask, rng, now)
    if not decodes or not prefills:
        return None
    loads = snapshot.loads
    slots = [(name, loads.slot_wait(name, now)) for name in decodes]
    utilizations = {name: loads.utilization(name, now) for name in decodes}
    pairs = [
        _pair(snapshot, ask, prefill, decode, slot_s)
        for prefill in prefills
        for decode, slot_s in slots
    ]
    return min(
        pairs,
        key=lambda pair: (
            _cost(snapshot, *pair) + FULL_LOAD_PENALTY_S * utilizations[pair[0].decode]
        ),
    )[0]


def choose_prefill(
    snapshot: PlacementSnapshot,
    ask: PlacementRequest,
    decode: str,
    rng: random.Random,
    now: float,
) -> Pair | None:
    """Return the best pair with a given decode agent, whose slot is promised."""
    pairs = [
        _pair(snapshot, ask, prefill, decode, 0.0)
        for prefill in _estimate_prefills(snapshot, ask, rng, now)
    ]
    if not pairs:
        return None
    return min(pairs, key=lambda pair: _cost(snapshot, *pair))[0]


def _estimate_prefills(
    snapshot: PlacementSnapshot, ask: PlacementRequest, rng: random.Random, now: float
) -> list[_PrefillEstimate]:
    names = _sample_usable(snapshot, ask.pool, "prefill", ask.excluded, rng)
    holder = snapshot.prefixes.best_holder(ask.blocks, rng) if ask.blocks else None
    if holder is not None and _usable(snapshot, holder, ask.excluded):
        listed = snapshot.view.instances.get(holder)
        if holder not in names and listed and listed.pool == ask.pool:
            names.append(holder)
    return [_estimate_prefill(snapshot, ask, name, now) for name in names]


def _estimate_prefill(
    snapshot: PlacementSnapshot, ask: PlacementRequest, name: str, now: float
) -> _PrefillEstimate:
    cached = snapshot.prefixes.cached_tokens(name, ask.blocks, now) if ask.blocks else 0
    uncached = max(0, ask.tokens - cached)
    compute_s = uncached * snapshot.loads.prefill_token_s(name)
    return _PrefillEstimate(
        name, snapshot.loads.prefill_wait(name, now) + compute_s, compute_s
    )


def _pair(
    snapshot: PlacementSnapshot,
    ask: PlacementRequest,
    prefill: _PrefillEstimate,
    decode: str,
    slot_s: float,
) -> tuple[Pair, float]:
    transfer = ask.tokens * snapshot.loads.transfer_token_s(decode)
    pair = Pair(prefill.name, decode, prefill.ends_in_s, transfer, slot_s)
    return pair, prefill.compute_s


def _cost(snapshot: PlacementSnapshot, pair: Pair, compute_s: float) -> float:
    first_token = max(pair.slot_s, pair.lead_s)
    zone_penalty = _zone_penalty(
        snapshot, snapshot.view.zone_of(pair.prefill), pair.decode
    )
    return first_token + zone_penalty + COMPUTE_WEIGHT * compute_s


def _zone_penalty(snapshot: PlacementSnapshot, zone: str, name: str) -> float:
    return 0.0 if snapshot.view.zone_of(name) == zone else CROSS_ZONE_PENALTY_S


def _usable(
    snapshot: PlacementSnapshot, name: str, excluded: set[str] | frozenset[str]
) -> bool:
    return name not in excluded and name not in snapshot.loads.avoid


def _sample_usable(
    snapshot: PlacementSnapshot,
    pool: str,
    stage: str,
    excluded: set[str] | frozenset[str],
    rng: random.Random,
) -> list[str]:
    """Return up to two usable endpoints, drawn at random."""
    subset = snapshot.subsets.of(snapshot.view, pool, stage)
    drawn = _sample_names(snapshot, subset, excluded, rng)
    if len(drawn) == SAMPLE_SIZE or not subset:
        return drawn
    usable = [name for name in subset if _usable(snapshot, name, excluded)]
    if usable:
        return rng.sample(usable, min(SAMPLE_SIZE, len(usable)))
    # No endpoint of the subset is usable, such as after the loss of a zone: sample
    # the whole pool instead.
    return _sample_names(snapshot, snapshot.view.endpoints(pool, stage), excluded, rng)


def _sample_names(
    snapshot: PlacementSnapshot,
    names: tuple[str, ...],
    excluded: set[str] | frozenset[str],
    rng: random.Random,
) -> list[str]:
    if not names:
        return []
    return draw_distinct(
        lambda: names[int(rng.random() * len(names))],
        lambda name: _usable(snapshot, name, excluded),
    )
