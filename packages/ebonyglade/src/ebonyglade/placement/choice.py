"""Choice of the endpoints of one request.

Plain functions from what is known to a typed choice. Each looks at a few random
endpoints of the entry's subset, and at one that may hold the prompt's prefix.
"""

import random
from dataclasses import dataclass

from ebonyglade.config.view import View
from ebonyglade.placement.loads import Loads
from ebonyglade.placement.prefixes import PrefixIndex
from ebonyglade.placement.subset import Subsets

DRAWS = 2  # random endpoints that are compared
TRIES = 8  # random draws before the subset is looked through
CROSS_ZONE_S = 0.004  # what a pair in two availability zones costs
PRESSURE_S = 0.02  # what an agent with all slots in use costs more than an idle one
COMPUTE_WEIGHT = 0.5  # weight of prefill time against time to the first token


@dataclass(frozen=True, slots=True)
class Sight:
    """What an entry sees when it chooses.

    Attributes:
        view: configuration in force.
        subsets: endpoints that this entry uses.
        loads: load of the endpoints.
        prefixes: hints on cached prefixes.
        zone: the entry's availability zone.
    """

    view: View
    subsets: Subsets
    loads: Loads
    prefixes: PrefixIndex
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Ask:
    """What a model request needs.

    Attributes:
        pool: pool of endpoints.
        tokens: prompt tokens.
        blocks: hashes of the prompt's blocks.
        excluded: endpoints that failed the request.
    """

    pool: str
    tokens: int
    blocks: tuple[int, ...] = ()
    excluded: set[str] | frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Pair:
    """The endpoints of one attempt, and what is expected of them.

    Attributes:
        prefill: agent that prefills.
        decode: agent that decodes.
        prefill_s: seconds until the prefill ends, waiting included.
        transfer_s: seconds that the transfer of the KV cache takes.
        slot_s: seconds until the decode slot is free.
    """

    prefill: str
    decode: str
    prefill_s: float
    transfer_s: float
    slot_s: float

    @property
    def lead_s(self) -> float:
        """Seconds from the start of the prefill to the start of the decode."""
        return self.prefill_s + self.transfer_s


@dataclass(frozen=True, slots=True)
class _Prefill:
    name: str
    ends_in: float
    compute: float


def choose_endpoint(
    sight: Sight,
    pool: str,
    stage: str,
    excluded: set[str] | frozenset[str],
    rng: random.Random,
    now: float,
) -> str | None:
    """Return the better of two random agents, or None if there is none."""
    names = _draw(sight, pool, stage, excluded, rng)
    if not names:
        return None
    loads = sight.loads
    return min(
        names,
        key=lambda name: (
            loads.slot_wait(name, now)
            + _distance(sight, sight.zone, name)
            + PRESSURE_S * loads.pressure(name, now)
        ),
    )


def choose_pair(sight: Sight, ask: Ask, rng: random.Random, now: float) -> Pair | None:
    """Return the pair with the earliest first token, or None if there is none."""
    decodes = _draw(sight, ask.pool, "decode", ask.excluded, rng)
    prefills = _prefills(sight, ask, rng, now)
    if not decodes or not prefills:
        return None
    loads = sight.loads
    slots = [(name, loads.slot_wait(name, now)) for name in decodes]
    busy = {name: loads.pressure(name, now) for name in decodes}
    pairs = [
        _pair(sight, ask, prefill, decode, slot_s)
        for prefill in prefills
        for decode, slot_s in slots
    ]
    return min(
        pairs,
        key=lambda pair: _cost(sight, *pair) + PRESSURE_S * busy[pair[0].decode],
    )[0]


def choose_prefill(
    sight: Sight, ask: Ask, decode: str, rng: random.Random, now: float
) -> Pair | None:
    """Return the best prefill agent for a decode agent whose slot is promised."""
    pairs = [
        _pair(sight, ask, prefill, decode, 0.0)
        for prefill in _prefills(sight, ask, rng, now)
    ]
    if not pairs:
        return None
    return min(pairs, key=lambda pair: _cost(sight, *pair))[0]


def _prefills(sight: Sight, ask: Ask, rng: random.Random, now: float) -> list[_Prefill]:
    names = _draw(sight, ask.pool, "prefill", ask.excluded, rng)
    holder = sight.prefixes.best_holder(ask.blocks, rng) if ask.blocks else None
    if holder is not None and _usable(sight, holder, ask.excluded):
        listed = sight.view.instances.get(holder)
        if holder not in names and listed and listed.pool == ask.pool:
            names.append(holder)
    return [_prefill(sight, ask, name, now) for name in names]


def _prefill(sight: Sight, ask: Ask, name: str, now: float) -> _Prefill:
    cached = sight.prefixes.cached_tokens(name, ask.blocks, now) if ask.blocks else 0
    fresh = max(0, ask.tokens - cached)
    compute = fresh * sight.loads.prefill_token_s(name)
    return _Prefill(name, sight.loads.prefill_wait(name, now) + compute, compute)


def _pair(
    sight: Sight, ask: Ask, prefill: _Prefill, decode: str, slot_s: float
) -> tuple[Pair, float]:
    transfer = ask.tokens * sight.loads.transfer_token_s(decode)
    pair = Pair(prefill.name, decode, prefill.ends_in, transfer, slot_s)
    return pair, prefill.compute


def _cost(sight: Sight, pair: Pair, compute: float) -> float:
    first_token = max(pair.slot_s, pair.lead_s)
    apart = _distance(sight, sight.view.zone_of(pair.prefill), pair.decode)
    return first_token + apart + COMPUTE_WEIGHT * compute


def _distance(sight: Sight, zone: str, name: str) -> float:
    return 0.0 if sight.view.zone_of(name) == zone else CROSS_ZONE_S


def _usable(sight: Sight, name: str, excluded: set[str] | frozenset[str]) -> bool:
    return name not in excluded and name not in sight.loads.avoid


def _draw(
    sight: Sight,
    pool: str,
    stage: str,
    excluded: set[str] | frozenset[str],
    rng: random.Random,
) -> list[str]:
    """Return up to two usable endpoints, drawn at random."""
    subset = sight.subsets.of(sight.view, pool, stage)
    drawn = _sample(sight, subset, excluded, rng)
    if len(drawn) == DRAWS or not subset:
        return drawn
    usable = [name for name in subset if _usable(sight, name, excluded)]
    if usable:
        return rng.sample(usable, min(DRAWS, len(usable)))
    # The whole subset failed, as when a zone is lost: try some of the pool.
    return _sample(sight, sight.view.endpoints(pool, stage), excluded, rng)


def _sample(
    sight: Sight,
    names: tuple[str, ...],
    excluded: set[str] | frozenset[str],
    rng: random.Random,
) -> list[str]:
    drawn: list[str] = []
    for _ in range(TRIES if names else 0):
        name = names[int(rng.random() * len(names))]
        if name not in drawn and _usable(sight, name, excluded):
            drawn.append(name)
            if len(drawn) == DRAWS:
                break
    return drawn
