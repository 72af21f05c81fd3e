"""Explanations of where a request would be sent, without network."""

from collections import Counter

import pytest

from ebonyglade.forward.endpoint_limits.cold_endpoints import ColdEndpoints
from ebonyglade.forward.endpoint_limits.endpoint_limits import EndpointLimits
from ebonyglade.forward.explanation.explanation import LeftOut, explain
from ebonyglade.forward.types import Load, Service, Stage
from ebonyglade_lab.virtual.loop import run
from helpers.eligibility import Sender, prefill
from helpers.forwarding import MODEL, decode, endpoint, forward_call, prompt

COLD_SERVICE = Service("desk", 100, cold_start_s=5.0, cold_per_s=10.0)
REGIONS = {"z": "north", "z2": "north", "z3": "south"}
SAMPLES = 50


def all_reasons():
    """Return a sender with one endpoint for each reason, and the candidate "ok"."""
    left_out = [endpoint(reason.value) for reason in LeftOut]
    changes = {
        "leaving": {"leaving": True},
        "evacuated_zone": {"zone": "z2"},
        "home_regions": {"zone": "z3"},
    }
    items = [endpoint(item.id, **changes.get(item.id, {})) for item in left_out]
    sender = Sender(*items, endpoint("ok"), regions=REGIONS)
    attempts, now = sender.attempts, sender.clock()
    attempts.endpoint_limits = EndpointLimits(
        ColdEndpoints(sender.clock, lambda name: COLD_SERVICE)
    )
    sender.evacuate("z2")
    attempts.loads.back_off("backoff", now + 3.0)
    attempts.loads.defer("deferred", now + 2.0)
    attempts.loads.ejections.record_failure("ejected", now)
    attempts.endpoint_limits.cold.on_listed(endpoint("cold"), now)
    for _ in range(endpoint("full").slots):
        attempts.loads.request_started("full", 1.0, now)
    return sender


def state(sender):
    attempts = sender.attempts
    parts = (attempts.loads, attempts.retries, attempts.crashes, attempts.work)
    return (
        *(repr(part) for part in parts),
        repr(attempts.endpoint_limits.cold),
        attempts.rng.getstate(),
        sender.port.sent,
        sender.port.controls,
    )


def explained(sender, rng=None, **changes):
    call = forward_call(sender.clock, **changes)
    if rng is None:
        rng = type(sender.attempts.rng)(1)
    return explain(call, sender.attempts, rng)


@pytest.mark.parametrize("reason", LeftOut)
def test_each_reason_is_given_for_the_endpoint_that_it_leaves_out(reason):
    """Guards against a reason that hides another one, or is not reported."""

    async def scenario():
        return explained(all_reasons(), home_regions=("north",))

    explanation = run(scenario())
    found = {item.id: item for item in explanation.endpoints}
    assert found[reason.value].left_out is reason
    assert found[reason.value].figures is None
    assert found["ok"].left_out is None
    assert explanation.chosen == "ok"
    assert explanation.home_regions == ["north"]


def test_limits_and_remaining_times_are_stated():
    async def scenario():
        return explained(all_reasons())

    found = {item.id: item for item in run(scenario()).endpoints}
    assert found["backoff"].usable_in_s == pytest.approx(3.0)
    assert found["deferred"].usable_in_s == pytest.approx(2.0)
    assert found["cold"].cold_left_s == pytest.approx(5.0)
    assert 0 < found["cold"].limit_per_s <= COLD_SERVICE.cold_per_s


def test_an_explanation_changes_nothing():
    """Guards against explanations that take part in the choice of real requests.

    The choice creates the state of endpoints that it sees first, and draws numbers.
    """

    async def scenario():
        sender = all_reasons()
        before = state(sender)
        explained(sender, home_regions=("north",))
        return before, state(sender)

    before, after = run(scenario())
    assert before == after


def test_the_explained_choice_is_that_of_the_real_path():
    """Guards against an explanation by rules other than those that choose."""

    async def scenario():
        sender = Sender(*(endpoint(f"e{n}", zone=f"z{n % 2}") for n in range(6)))
        attempts, pairs = sender.attempts, []
        for n in range(SAMPLES):
            busy = Load(n % 5, n % 3, 4, 1.0 + n % 4)
            attempts.loads.record_load(f"e{n % 6}", busy, sender.clock())
            attempts.loads.merge([], sender.clock())
            rng = type(attempts.rng)()
            rng.setstate(attempts.rng.getstate())
            shown = explained(sender, rng).chosen
            pairs.append((shown, attempts.choose(forward_call(sender.clock), set()).id))
        return pairs

    pairs = run(scenario())
    assert all(shown == chosen for shown, chosen in pairs)
    assert len(Counter(chosen for _, chosen in pairs)) > 1


def test_figures_have_their_age():
    async def scenario():
        sender = Sender(endpoint("a"), endpoint("b"))
        stated_at = sender.clock() - 0.25
        sender.attempts.loads.record_load("a", Load(3, 0, 4, 2.0), stated_at)
        return explained(sender)

    found = {item.id: item.figures for item in run(scenario()).endpoints}
    assert found["a"].others_age_s == pytest.approx(0.25)
    assert found["a"].stated_slowness == 2.0
    assert found["a"].stated_slowness_age_s == pytest.approx(0.25)
    assert 1.0 < found["a"].slowness < 2.0
    assert found["b"].others_age_s is None
    assert found["b"].stated_slowness is None


def test_a_model_request_is_explained_for_prefill_endpoints():
    async def scenario():
        sender = Sender(prefill("p"), decode("d"))
        return explained(sender, service=MODEL, prompt=prompt())

    explanation = run(scenario())
    assert explanation.stage is Stage.PREFILL
    assert [item.id for item in explanation.endpoints] == ["p"]
    assert explanation.chosen == "p"
