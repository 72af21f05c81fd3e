"""Which model endpoint changes its stage, decided alike beside each of them."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from ebonyglade.forward.types import Endpoint, Stage

# Decode endpoints whose requests one prefill endpoint can read at their peak.
DECODE_ENDPOINTS_PER_PREFILL = 4
# Changes of stage take their endpoints away for seconds. They must let the service
# answer so many times what it can answer now.
MIN_THROUGHPUT_GAIN = 1.2
TO_DECODE_DELAY_S = 1.0  # a surplus must last this long before anybody moves
TO_PREFILL_DELAY_S = 1.5  # so must a lack, while endpoints that start are still listed


@dataclass(frozen=True, slots=True)
class StageChange:
    """The change of stage that a service needs, and who makes it.

    Attributes:
        endpoint: id of the endpoint that changes.
        stage: what it is to do.
    """

    endpoint: str
    stage: Stage


def next_stage_change(
    endpoints: Iterable[Endpoint], changing: Collection[str] = ()
) -> StageChange | None:
    """Return the next change of stage among a service's endpoints.

    All agents who see the same list name the same endpoint: the first by its id
    among those that may change.

    Args:
        endpoints: the service's endpoints, as they are listed.
        changing: ids of those that change already; they count for the stage that
            they will have, which takes seconds to be listed.
    """
    serving = sorted(
        (
            _with_other_stage(item) if item.id in changing else item
            for item in endpoints
            if item.stage is not None and not item.leaving
        ),
        key=lambda item: item.id,
    )
    prefills = [item for item in serving if item.stage is Stage.PREFILL]
    decodes = [item for item in serving if item.stage is Stage.DECODE]
    if not decodes:
        return StageChange(prefills[0].id, Stage.DECODE) if prefills else None
    current = throughput(len(prefills), len(decodes))
    best = _best_prefill_count(len(serving), len(prefills))
    gain = throughput(best, len(serving) - best)
    if gain <= current or gain < MIN_THROUGHPUT_GAIN * current:
        return None
    if best > len(prefills):
        return StageChange(decodes[-1].id, Stage.PREFILL)
    return StageChange(prefills[0].id, Stage.DECODE)


def _with_other_stage(endpoint: Endpoint) -> Endpoint:
    other = Stage.DECODE if endpoint.stage is Stage.PREFILL else Stage.PREFILL
    return replace(endpoint, stage=other)


def _best_prefill_count(serving: int, prefills: int) -> int:
    """Return the number of prefill endpoints that is best and nearest."""
    return max(
        range(serving),
        key=lambda count: (throughput(count, serving - count), -abs(count - prefills)),
    )


def throughput(prefills: int, decodes: int) -> float:
    """Return what a service can answer, in decode endpoints kept busy.

    Decode endpoints that read their prompts themselves hardly answer anything
    meanwhile; a single endpoint has no other choice.
    """
    return min(prefills * DECODE_ENDPOINTS_PER_PREFILL, decodes)
