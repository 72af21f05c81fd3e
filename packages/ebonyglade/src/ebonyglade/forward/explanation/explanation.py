"""Where a request would be sent now, and why, without sending it.

The choice is made by the functions that choose for real requests, on a copy of the
loads, so that it changes nothing.
"""

import random
from dataclasses import dataclass
from enum import Enum

from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.balancing.endpoint_state import EndpointState
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.types import Endpoint, Stage
from ebonyglade.verdict import Refusal


class LeftOut(Enum):
    """Why an endpoint is not a candidate."""

    LEAVING = "leaving"
    EVACUATED_ZONE = "evacuated_zone"
    HOME_REGIONS = "home_regions"
    BACKOFF = "backoff"
    DEFERRED = "deferred"
    EJECTED = "ejected"
    COLD = "cold"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Figures:
    """What the choice knows of a candidate; ages are None if nothing is known.

    Attributes:
        in_flight: requests of this entry there.
        work: their expected work, in requests of mean cost.
        others: requests of other entries there, weighted by age.
        others_age_s: age of the load that they are taken from.
        slowness: how long work takes there, relative to the usual time.
        stated_slowness: what the endpoint stated of that; None if it never did.
        stated_slowness_age_s: age of the statement.
        learned_slowness: what was learned from the duration of requests.
        learned_slowness_age_s: age of the last request that it was learned from.
        expected_wait_s: expected wait for a slot.
        failure_rate: rate of failed requests, decayed.
        failure_rate_age_s: age of the last outcome.
    """

    in_flight: int
    work: float
    others: float
    others_age_s: float | None
    slowness: float
    stated_slowness: float | None
    stated_slowness_age_s: float | None
    learned_slowness: float
    learned_slowness_age_s: float | None
    expected_wait_s: float
    failure_rate: float
    failure_rate_age_s: float | None


@dataclass(frozen=True, slots=True)
class ExplainedEndpoint:
    """One endpoint of the service.

    Attributes:
        id: its id.
        zone: its availability zone.
        left_out: why it is not a candidate; None if it is one.
        usable_in_s: seconds until backoff or deferral end; 0 if there is neither.
        cold_left_s: seconds for which it stays cold; 0 if it is not.
        limit_per_s: requests per second that it takes, for which a permit is needed;
            None for no limit.
        figures: what the choice knows of it; None if it is left out.
    """

    id: str
    zone: str
    left_out: LeftOut | None
    usable_in_s: float
    cold_left_s: float
    limit_per_s: float | None
    figures: Figures | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would be sent now.

    Attributes:
        refusal: code of the refusal on admission; "" if there is none.
        route: name of its route; "" if none was found.
        workspace: name of its workspace; "" for none.
        service: service that this draw of the route's shares picks; "" if none.
        stage: stage of the endpoints; None for plain services. The decode endpoint of
            a model request depends on reserved memory and is not explained.
        home_regions: regions that may serve it; None for any.
        store_age_s: age of the replica of the store.
        endpoints: the endpoints of the service and stage.
        chosen: id of the endpoint that this draw chooses; "" if there is none.
    """

    refusal: str
    route: str
    workspace: str
    service: str
    stage: Stage | None
    home_regions: list[str] | None
    store_age_s: float | None
    endpoints: list[ExplainedEndpoint]
    chosen: str


def explain(
    call: ForwardCall,
    attempts: AttemptSender,
    rng: random.Random,
    refusal: Refusal | None = None,
) -> Explanation:
    """Explain where a request would be sent now.

    Args:
        call: the request, with route, workspace and service if it is not refused.
        attempts: the sender that would send it; it is not changed.
        rng: source of randomness of the choice.
        refusal: refusal on admission, if any.
    """
    stage, homes, endpoints, chosen = None, None, [], None
    if refusal is None:
        is_model = call.service.engine is not None and call.metadata.prompt is not None
        stage = Stage.PREFILL if is_model else None
        homes = attempts.eligibility.homes(call)
        copied = attempts.snapshot(call.service.name, rng)
        endpoints = _explain_endpoints(call, copied, stage)
        chosen = copied.choose(call, set(), stage)
    return Explanation(
        refusal="" if refusal is None else refusal.code,
        route="" if call.route is None else call.route.name,
        workspace=call.workspace_name,
        service="" if call.service is None else call.service.name,
        stage=stage,
        home_regions=None if homes is None else sorted(homes),
        store_age_s=_finite(attempts.replica.age(attempts.clock())),
        endpoints=endpoints,
        chosen="" if chosen is None else chosen.id,
    )


def _explain_endpoints(
    call: ForwardCall, attempts: AttemptSender, stage: Stage | None
) -> list[ExplainedEndpoint]:
    now = attempts.clock()
    accepting = attempts.accepting(call, stage)
    cold = attempts.endpoint_limits.cold.ids(accepting)
    candidates = {
        item.id: state
        for item, state in attempts.loads.candidates(accepting, set(), now, cold)
    }
    ejected = attempts.loads.ejections.active(now)
    explained = []
    for item in _of_service(call, attempts, stage):
        state = candidates.get(item.id)
        left_out = None
        if state is None:
            left_out = _reason(call, attempts, item, cold, ejected)
        explained.append(
            ExplainedEndpoint(
                id=item.id,
                zone=item.zone,
                left_out=left_out,
                usable_in_s=attempts.loads.backoff_left([item.id], now),
                cold_left_s=_cold_left_s(attempts, item),
                limit_per_s=attempts.endpoint_limits.limit(item.incarnation),
                figures=None if state is None else _figures(attempts, item, state),
            )
        )
    return explained


def _of_service(
    call: ForwardCall, attempts: AttemptSender, stage: Stage | None
) -> list[Endpoint]:
    """Return all endpoints of the service and stage, also those that leave."""
    return [
        item
        for item in attempts.replica.registry.endpoints.values()
        if item.service == call.service.name and (stage is None or item.stage is stage)
    ]


def _reason(
    call: ForwardCall,
    attempts: AttemptSender,
    item: Endpoint,
    cold: set[str],
    ejected: set[str],
) -> LeftOut:
    """Return the first reason for which an endpoint is not a candidate."""
    now, loads = attempts.clock(), attempts.loads
    reasons = (
        (LeftOut.LEAVING, item.leaving),
        (LeftOut.EVACUATED_ZONE, attempts.eligibility.is_evacuated(item)),
        (LeftOut.HOME_REGIONS, not attempts.eligibility.permits(call, item)),
        (LeftOut.BACKOFF, loads.in_backoff(item.id, now)),
        (LeftOut.DEFERRED, not loads.is_usable(item.id, now)),
        (LeftOut.EJECTED, item.id in ejected),
        (LeftOut.COLD, item.id in cold),
    )
    return next((reason for reason, holds in reasons if holds), LeftOut.FULL)


def _cold_left_s(attempts: AttemptSender, item: Endpoint) -> float:
    until = attempts.endpoint_limits.cold.until(item.incarnation)
    return max(0.0, until - attempts.clock())


def _figures(attempts: AttemptSender, item: Endpoint, state: EndpointState) -> Figures:
    now = attempts.clock()
    stated_age_s = _finite(now - state.slowness_at)
    return Figures(
        in_flight=state.in_flight,
        work=state.work,
        others=state.others_now(now),
        others_age_s=_finite(now - state.load_at),
        slowness=state.current_slowness(now),
        stated_slowness=None if stated_age_s is None else state.slowness,
        stated_slowness_age_s=stated_age_s,
        learned_slowness=state.learned_slowness(now),
        learned_slowness_age_s=now - state.learned_at if state.learned_at else None,
        expected_wait_s=attempts.work.expected_wait_s(item, now),
        failure_rate=state.decayed_failure_rate(now),
        failure_rate_age_s=(
            now - state.failure_rate_at if state.failure_rate_at else None
        ),
    )


def _finite(age_s: float) -> float | None:
    """Return an age; None for that of something that never was."""
    return None if age_s == float("inf") else age_s
