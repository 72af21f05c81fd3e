"""Expected cost of requests, learned from requests that ended.

A cost is the time that a request takes at an endpoint of usual speed, without waiting.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ebonyglade.averages import MovingAverage
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.memory.memory_estimates import expected_answer_tokens
from ebonyglade.forward.types import Endpoint, Stage

MAX_KINDS = 4096  # kinds of requests whose cost is kept; the oldest is forgotten


class Outcome(Enum):
    """How an attempt ended, as far as it shows the cost of the request."""

    COMPLETE = "complete"
    CUT = "cut"  # the time that it took is a lower bound of its cost
    NOT_RUN = "not_run"  # shows nothing


class RequestKind(NamedTuple):
    """Requests that are expected to cost the same for each unit of their size.

    Attributes:
        service: the service that runs them.
        stage: stage of the endpoints; None for plain services.
        route: name of the route.
        workspace: name of the workspace; "" on open routes.
        magnitude: number of bits of the request's size.
    """

    service: str
    stage: Stage | None
    route: str
    workspace: str
    magnitude: int


class RequestWork(NamedTuple):
    """What is known of the work of a request before it runs.

    Attributes:
        kind: requests that cost alike.
        size: tokens of a prompt or an answer; 1 for plain requests.
    """

    kind: RequestKind
    size: int


def request_work(call: ForwardCall, endpoint: Endpoint) -> RequestWork:
    """Return the work of a request at an endpoint."""
    prompt = call.metadata.prompt
    if endpoint.stage is None or prompt is None:
        size, magnitude = 1, len(call.body).bit_length()
    else:
        is_prefill = endpoint.stage is Stage.PREFILL
        size = prompt.prompt_tokens if is_prefill else expected_answer_tokens(prompt)
        size = max(1, size)
        magnitude = size.bit_length()
    kind = RequestKind(
        endpoint.service,
        endpoint.stage,
        call.route.name,
        call.workspace_name,
        magnitude,
    )
    return RequestWork(kind, size)


@dataclass(slots=True)
class RequestCosts:
    """Moving averages of the cost of requests, by kind, and of all of a service."""

    _unit_s: dict[RequestKind, MovingAverage] = field(default_factory=dict)
    _mean_s: dict[tuple[str, Stage | None], MovingAverage] = field(default_factory=dict)

    def expected_s(self, work: RequestWork) -> float:
        """Return the expected cost; zero if no request of the service has ended."""
        average = self._unit_s.get(work.kind)
        if average is None:
            return self.mean_s(work.kind.service, work.kind.stage)
        return average.value * work.size

    def mean_s(self, service: str, stage: Stage | None) -> float:
        """Return the mean cost of a service's requests; zero if none has ended."""
        average = self._mean_s.get((service, stage))
        return average.value if average is not None else 0.0

    def relative(self, work: RequestWork) -> float:
        """Return the expected cost relative to the service's mean; 1 if unknown."""
        average = self._unit_s.get(work.kind)
        if average is None:
            return 1.0
        mean_s = self.mean_s(work.kind.service, work.kind.stage)
        return average.value * work.size / mean_s if mean_s else 1.0

    def observe(self, work: RequestWork, cost_s: float, outcome: Outcome) -> None:
        """Learn from a request that ended.

        Args:
            work: work of the request.
            cost_s: time that it took, without waiting, at usual speed.
            outcome: how it ended; a lower bound counts if it exceeds the expectation.
        """
        if outcome is Outcome.NOT_RUN:
            return
        if outcome is Outcome.CUT and cost_s <= self.expected_s(work):
            return
        kind = work.kind
        average = self._unit_s.get(kind)
        if average is None:
            if len(self._unit_s) >= MAX_KINDS:
                del self._unit_s[next(iter(self._unit_s))]
            average = self._unit_s[kind] = MovingAverage()
        average.observe(cost_s / work.size)
        self._mean_s.setdefault((kind.service, kind.stage), MovingAverage()).observe(
            cost_s
        )
