"""The size of fleet to design for, and the budgets of one node."""

import math

ENTRIES = 390
AGENTS = 2_900
INSTANCES = ENTRIES + AGENTS
WORKSPACES = 4_700
MODELS = 10
ZONES = 11
REQUESTS_PER_S = 8_400
TOKENS_PER_S = 3_200_000
CHANGES_PER_DAY = 7_700
CHANGE_IN_FORCE_S = 4.0
PLATFORM_CALLS_PER_S = 2_000
FAILURES_PER_DAY = 60
REPLACEMENTS_PER_DAY = 180
DAY_S = 86_400

CPU_BUDGET = 1.2  # percent of a core, for control
MEMORY_BUDGET = 128e6  # bytes
BYTES_BUDGET = 9_000  # bytes a second, for control
DATA_PATH_CPU_BUDGET = 100.0  # percent of a core, for the data path of one process

REQUESTS_PER_ENTRY_S = REQUESTS_PER_S / ENTRIES
TOKENS_PER_ENTRY_S = TOKENS_PER_S / ENTRIES
TOKENS_PER_AGENT_S = TOKENS_PER_S / AGENTS
REQUEST_DURATION_S = 10.0  # assumed duration of a request


def agents_used(subset: int, seconds: float) -> float:
    """Return how many agents an entry is expected to use in a time span.

    Each request uses a randomly chosen prefill agent and decode agent of its model.

    Args:
        subset: agents that the entry may use for one stage of one model.
        seconds: length of the time span.
    """
    known = subset * 2 * MODELS
    used = 2 * REQUESTS_PER_ENTRY_S * seconds
    return known * (1 - math.exp(-used / known))
