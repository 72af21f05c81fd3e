"""Which model endpoint changes its stage, decided alike beside each of them."""

from collections.abc import Iterable
from dataclasses import dataclass

from ebonyglade.forward.types import Endpoint, Stage

# Decode endpoints for each prefill endpoint. One reads prompts a little faster than
# this many can answer them at their peak, so that prompts hardly wait.
DECODES_PER_PREFILL = 4
SETTLED_S = 1.0  # a surplus must last this long before anybody moves
MISSING_S = 1.5  # so must a lack, while endpoints that start are still listed


@dataclass(frozen=True, slots=True)
class Wanted:
    """The change of stage that a service needs, and who makes it.

    Attributes:
        endpoint: id of the endpoint that changes.
        stage: what it is to do.
    """

    endpoint: str
    stage: Stage


def wanted_change(endpoints: Iterable[Endpoint]) -> Wanted | None:
    """Return the next change of stage among a service's endpoints.

    One endpoint changes at a time: the first by its id among those that may, so
    that all agents who see the same list name the same one. An endpoint that comes
    or goes changes nothing at the border between two numbers of prefill endpoints,
    since a change costs its endpoint for seconds.
    """
    serving = sorted(
        (item for item in endpoints if item.stage is not None and not item.leaving),
        key=lambda item: item.id,
    )
    prefills = [item for item in serving if item.stage is Stage.PREFILL]
    decodes = [item for item in serving if item.stage is Stage.DECODE]
    most = prefills_wanted(len(serving) + 1)
    least = max(prefills_wanted(len(serving) - 1), min(1, most))
    if len(prefills) > most or (prefills and not decodes):
        return Wanted(prefills[0].id, Stage.DECODE)
    if len(prefills) < least and len(decodes) > 1:
        return Wanted(decodes[-1].id, Stage.PREFILL)
    return None


def prefills_wanted(serving: int) -> int:
    """Return how many of a service's endpoints should prefill.

    A single endpoint decodes, and reads its prompts itself.
    """
    if serving < 2:
        return 0
    return max(1, round(serving / (1 + DECODES_PER_PREFILL)))
