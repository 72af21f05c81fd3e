"""Finds parts of prompts that crash the endpoints that write on them.

No two requests with such a part need be alike, and sound requests run beside them and
share their other parts. All parts of the runs that ended with an endpoint are suspects.
The one that explains most crashes with the fewest runs is to blame, since a run with it
ends its endpoint at once, while sound ones are there in any number. The crashes that it
explains say nothing about the other parts.

Parts that were in the same broken runs, always together, can't be told apart. They are
blamed as a set: requests with all of them are refused, and those with some of them are
still sent and decide between them.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

# Runs that had been written for longer when their endpoint ended did not end it: a part
# crashes an endpoint that begins to write on it.
BEGINNING_S = 1.0
# Crashes, and different requests among their runs, that parts are blamed for at least.
MIN_CRASHES = 4
# From so many on, parts are blamed though others may explain nearly as much. If that is
# wrong, the next crash decides.
CERTAIN_CRASHES = 5
# Parts must explain this share of the crashes between the first and the last of theirs.
# Where endpoints crash for other reasons, parts are among the broken runs by chance.
MIN_SHARE = 0.75
MIN_SHARE_IF_CERTAIN = 0.5
MIN_LEAD = 1.0  # over what other parts explain, in crashes
EXTRA_RUN_COST = 0.1  # in crashes, for each run beyond one an endpoint
# A part that is in nearly all runs of its crashes, and in several of each, is one that
# most requests share, and the crashes would be the same without it.
MAX_RUNS_PER_ENDPOINT = 1.5
MAX_SHARE_OF_RUNS = 0.8
# Parts are blocked for so long, and twice as long with each crash that follows: the
# first request that is sent after that shows whether they still crash endpoints.
BLOCKED_S = 60.0
MAX_BLOCKED_S = 600.0
# Endpoints that end within this time of each other count as one crash: a common cause
# is likelier than copies at each of them.
SAME_CRASH_S = 0.1


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A run that ended with its endpoint.

    Attributes:
        endpoint: the endpoint's incarnation.
        request: fingerprint of the request.
        parts: the parts of its prompt that are suspects, if any.
        at: when it ended.
        beginning: whether its answer was not written for long.
    """

    endpoint: str
    request: str
    parts: frozenset[str]
    at: float
    beginning: bool = True


@dataclass(frozen=True, slots=True)
class BlamedParts:
    """Parts that crash endpoints together.

    Attributes:
        parts: the parts; more than one if they can't be told apart.
        crashes: number of crashes that they explain.
        last_at: time of the last one.
    """

    parts: frozenset[str]
    crashes: int
    last_at: float

    @property
    def blocked_until(self) -> float:
        """Time until which requests with these parts are not sent."""
        doublings = max(0, self.crashes - CERTAIN_CRASHES)
        return self.last_at + min(MAX_BLOCKED_S, BLOCKED_S * 2**doublings)


@dataclass(frozen=True, slots=True)
class _Suspects:
    """Parts that are in the same runs, and the crashes of these."""

    parts: frozenset[str]
    runs: frozenset[SuspectRun]
    crashes: frozenset[float]

    @property
    def support(self) -> int:
        """Number of crashes, each of them with another request."""
        return min(len(self.crashes), len({run.request for run in self.runs}))

    @property
    def endpoints(self) -> int:
        """Number of endpoints that ended."""
        return len({run.endpoint for run in self.runs})

    @property
    def score(self) -> float:
        """How well the parts explain their crashes, in crashes."""
        return len(self.crashes) - EXTRA_RUN_COST * (len(self.runs) - self.endpoints)


def find_guilty_parts(runs: Iterable[SuspectRun]) -> list[BlamedParts]:
    """Return the parts that the crashes of endpoints are blamed on."""
    remaining = list(runs)
    crash_of = _crashes_by_endpoint(remaining)
    all_crashes = sorted(set(crash_of.values()))
    blamed = []
    while True:
        suspects = _suspects(remaining, crash_of)
        guilty = _most_guilty(suspects, remaining, all_crashes)
        if guilty is None:
            return blamed
        last_at = max(guilty.crashes)
        blamed.append(BlamedParts(guilty.parts, len(guilty.crashes), last_at))
        remaining = [
            run for run in remaining if crash_of[run.endpoint] not in guilty.crashes
        ]


def _crashes_by_endpoint(runs: Iterable[SuspectRun]) -> dict[str, float]:
    """Return the time of the crash that each endpoint ended in."""
    ended_at: dict[str, float] = {}
    for run in runs:
        ended_at[run.endpoint] = min(run.at, ended_at.get(run.endpoint, run.at))
    crash_at = float("-inf")
    crash_of = {}
    for endpoint, at in sorted(ended_at.items(), key=lambda item: item[1]):
        if at - crash_at >= SAME_CRASH_S:
            crash_at = at
        crash_of[endpoint] = crash_at
    return crash_of


def _suspects(
    runs: Iterable[SuspectRun], crash_of: dict[str, float]
) -> list[_Suspects]:
    """Group the parts by the runs that they are in."""
    runs_of_part = defaultdict(set)
    for run in runs:
        for part in run.parts:
            runs_of_part[part].add(run)
    parts_of_runs = defaultdict(set)
    for part, found in runs_of_part.items():
        parts_of_runs[frozenset(found)].add(part)
    return [
        _Suspects(
            frozenset(parts),
            found,
            frozenset(crash_of[run.endpoint] for run in found),
        )
        for found, parts in parts_of_runs.items()
    ]


def _most_guilty(
    suspects: list[_Suspects], runs: list[SuspectRun], all_crashes: list[float]
) -> _Suspects | None:
    """Return the suspects that explain the most, if that is clear enough."""
    likely = [
        item
        for item in suspects
        if item.support >= MIN_CRASHES
        and not _is_shared_by_most(item, runs)
        and _share(item, all_crashes) >= _min_share(item)
    ]
    if not likely:
        return None
    best = max(likely, key=lambda item: (item.score, sorted(item.parts)))
    if best.support >= CERTAIN_CRASHES:
        return best
    rivals = [item for item in suspects if not best.runs <= item.runs]
    lead = best.score - max((item.score for item in rivals), default=0.0)
    return best if lead >= MIN_LEAD else None


def _is_shared_by_most(suspects: _Suspects, runs: list[SuspectRun]) -> bool:
    """Return whether nearly all runs of the suspects' crashes have these parts."""
    if len(suspects.runs) <= MAX_RUNS_PER_ENDPOINT * suspects.endpoints:
        return False
    ended = {run.endpoint for run in suspects.runs}
    beginning = sum(run.endpoint in ended and run.beginning for run in runs)
    return len(suspects.runs) > MAX_SHARE_OF_RUNS * beginning


def _min_share(suspects: _Suspects) -> float:
    certain = suspects.support >= CERTAIN_CRASHES
    return MIN_SHARE_IF_CERTAIN if certain else MIN_SHARE


def _share(suspects: _Suspects, all_crashes: list[float]) -> float:
    """Return the share of the crashes of their time that suspects explain."""
    first, last = min(suspects.crashes), max(suspects.crashes)
    return len(suspects.crashes) / sum(first <= at <= last for at in all_crashes)
