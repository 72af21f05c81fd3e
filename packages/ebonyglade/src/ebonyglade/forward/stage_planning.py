"""Choice of the model endpoint that changes its stage; all agents choose alike."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from ebonyglade.forward.types import Endpoint, Stage

# Decode endpoints at peak load whose prompts one prefill endpoint can prefill.
DECODE_ENDPOINTS_PER_PREFILL = 4
# A stage change takes its endpoint out of service for seconds. It is worth that only
# if the service's throughput grows by this factor.
MIN_THROUGHPUT_GAIN = 1.2
TO_DECODE_DELAY_S = 1.0  # a change to decode must be needed for this long
# A change to prefill must be needed for this long, since endpoints that have just
# started may not be listed yet.
TO_PREFILL_DELAY_S = 1.5


@dataclass(frozen=True, slots=True)
class StageChange:
    """A stage change that a service needs.

    Attributes:
        endpoint: id of the endpoint that changes.
        stage: its new stage.
    """

    endpoint: str
    stage: Stage


def next_stage_change(
    endpoints: Iterable[Endpoint], changing: Collection[str] = ()
) -> StageChange | None:
    """Return the next stage change among a service's endpoints.

    All agents that see the same list choose the same endpoint, since its id decides:
    the first id among prefill endpoints, the last among decode endpoints.

    Args:
        endpoints: the service's endpoints as the store lists them.
        changing: ids of endpoints that are already changing; they count for their
            new stage, which is listed only seconds later.
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
    best_throughput = throughput(best, len(serving) - best)
    if best_throughput <= current or best_throughput < MIN_THROUGHPUT_GAIN * current:
        return None
    if best > len(prefills):
        return StageChange(decodes[-1].id, Stage.PREFILL)
    return StageChange(prefills[0].id, Stage.DECODE)


def _with_other_stage(endpoint: Endpoint) -> Endpoint:
    other = Stage.DECODE if endpoint.stage is Stage.PREFILL else Stage.PREFILL
    return replace(endpoint, stage=other)


def _best_prefill_count(serving: int, prefills: int) -> int:
    """Return the number of prefill endpoints with the highest throughput.

    Of several such numbers the one nearest to `prefills` is returned.
    """
    return max(
        range(serving),
        key=lambda count: (throughput(count, serving - count), -abs(count - prefills)),
    )


def throughput(prefills: int, decodes: int) -> float:
    """Return a service's throughput, as the number of busy decode endpoints.

    Decode endpoints that prefill their prompts themselves answer hardly anything
    meanwhile, so that the throughput without prefill endpoints counts as zero. A
    service with a single endpoint has no other choice.
    """
    return min(prefills * DECODE_ENDPOINTS_PER_PREFILL, decodes)
