"""The size to design for, and the budgets of one node."""

import math

ENTRIES = 390
AGENTS = 2_900
INSTANCES = ENTRIES + AGENTS
WORKSPACES = 4_700
MODELS = 10
ZONES = 11
REQUESTS_S = 8_400
TOKENS_S = 3_200_000
CHANGES_DAY = 7_700
IN_FORCE_S = 4.0
PLATFORM_CALLS_S = 2_000
FAILURES_DAY = 60
REPLACEMENTS_DAY = 180
DAY_S = 86_400

CPU_BUDGET = 1.2  # percent of a core, for control
MEMORY_BUDGET = 128e6  # bytes
BYTES_BUDGET = 9_000  # bytes a second, for control
CORE = 100.0  # percent of a core, for the data path of one process

REQUESTS_ENTRY_S = REQUESTS_S / ENTRIES
TOKENS_ENTRY_S = TOKENS_S / ENTRIES
TOKENS_AGENT_S = TOKENS_S / AGENTS
HOLD_S = 10.0  # assumed seconds for which a request is under way


def partners(subset: int, seconds: float) -> float:
    """Return how many agents an entry uses in some seconds.

    Args:
        subset: agents that the entry may use of one stage of one model.
        seconds: length of the span.

    Each request uses a prefill and a decode agent of its model, at random.
    """
    known = subset * 2 * MODELS
    used = 2 * REQUESTS_ENTRY_S * seconds
    return known * (1 - math.exp(-used / known))
