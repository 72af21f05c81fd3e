"""Choice of the agent for one step of a request."""

import random
from collections import Counter
from dataclasses import dataclass, field

from ebonyglade.config.view import View


@dataclass(slots=True)
class Inflight:
    """Attempts of this entry at each agent, and the agents not to use."""

    counts: Counter = field(default_factory=Counter)
    avoid: set[str] = field(default_factory=set)


def choose(
    view: View,
    pool: str,
    stage: str,
    inflight: Inflight,
    excluded: set[str],
    rng: random.Random,
) -> str | None:
    """Return the less used of two random agents, or None if there is none."""
    names = [
        name
        for name in view.endpoints(pool, stage)
        if name not in excluded and name not in inflight.avoid
    ]
    if not names:
        return None
    pair = rng.sample(names, min(2, len(names)))
    return min(pair, key=lambda name: inflight.counts[name])
