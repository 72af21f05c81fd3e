"""Start and end of requests in the ledger of outstanding work and the cost model."""

from dataclasses import dataclass, field

from ebonyglade.forward.balancing.endpoint_loads import (
    EndpointLoads,
    OutstandingRequest,
    capacity,
)
from ebonyglade.forward.balancing.request_costs import (
    Outcome,
    RequestCosts,
    RequestWork,
)
from ebonyglade.forward.call import AttemptFailure
from ebonyglade.forward.types import Endpoint
from ebonyglade.verdict import Verdict


@dataclass(slots=True)
class StartedRequest:
    """A request at an endpoint, and what its end shows so far.

    Attributes:
        request: its entry in the ledger.
        work: what is known of its work.
        outcome: how it ended; a request that is abandoned was cut off.
    """

    request: OutstandingRequest
    work: RequestWork
    outcome: Outcome = Outcome.CUT

    def record_failure(self, failure: AttemptFailure) -> None:
        """Record how the attempt failed."""
        not_run = failure.verdict is Verdict.NOT_RUN
        self.outcome = Outcome.NOT_RUN if not_run else Outcome.CUT

    def record_response(self, status: int) -> None:
        """Record a complete response; an error shows nothing of the cost."""
        self.outcome = Outcome.NOT_RUN if status >= 400 else Outcome.COMPLETE


@dataclass(slots=True)
class WorkLedger:
    """Outstanding work at endpoints, and the cost of requests that it is made of.

    Attributes:
        loads: work and speed of the endpoints.
        costs: expected cost of requests.
    """

    loads: EndpointLoads
    costs: RequestCosts = field(default_factory=RequestCosts)

    def start(
        self, endpoint: Endpoint, work: RequestWork, now: float
    ) -> StartedRequest:
        """Record that a request is sent to an endpoint."""
        self.loads.consider(endpoint)
        request = self.loads.request_started(
            endpoint.id, self.costs.relative(work), now, capacity(endpoint)
        )
        return StartedRequest(request, work)

    def end(self, started: StartedRequest, now: float) -> None:
        """Record that a request has ended, and learn from the time that it took.

        The time that it waited at the endpoint is estimated by the work ahead of it.
        """
        request, work = started.request, started.work
        self.loads.request_ended(request.endpoint, request)
        if started.outcome is Outcome.NOT_RUN:
            return
        cost_s = self.costs.expected_s(work)
        mean_s = self.costs.mean_s(work.kind.service, work.kind.stage)
        expected_s = cost_s + mean_s * request.queued
        duration_s = now - request.started_at
        run_s = duration_s * cost_s / expected_s if expected_s else duration_s
        slowness = self.loads.slowness(request.endpoint, now)
        cut = started.outcome is Outcome.CUT
        self.loads.record_duration(request, expected_s, now, cut)
        self.costs.observe(work, run_s / slowness, started.outcome)

    def expected_wait_s(self, endpoint: Endpoint, now: float) -> float:
        """Return the expected wait for a slot; zero if no request has ended yet."""
        mean_s = self.costs.mean_s(endpoint.service, endpoint.stage)
        return mean_s * self.loads.expected_wait(endpoint, now)
