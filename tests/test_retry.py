import asyncio
import itertools
import random
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from ebonyglade.config.documents import Route
from ebonyglade.retry.budget import RetryBudget
from ebonyglade.retry.ejection import MAX_EJECTION_S, Ejections
from ebonyglade.retry.retries import Retries
from ebonyglade.retry.table import (
    ACTIONS,
    FAILURES,
    RETRYABLE_CODES,
    WAITABLE_CODES,
    Delivered,
    FailureStep,
    RequestKind,
    RetryAction,
    Sent,
    action_of,
    markdown,
    refusal_at,
)
from ebonyglade.verdict import REFUSALS, Verdict, combine_verdicts, refuse
from ebonyglade_lab.virtual.loop import run

PAGE = Path(__file__).parents[1] / "docs/design/retries.md"


def test_every_failure_has_an_action_and_a_known_code():
    assert {item.code for item in FAILURES.values()} <= REFUSALS.keys()
    assert REFUSALS.keys() >= RETRYABLE_CODES | WAITABLE_CODES
    for verdict, kind in itertools.product(Verdict, RequestKind):
        assert (verdict, kind, Delivered.NOTHING) in ACTIONS
    for verdict in Verdict:
        assert (verdict, RequestKind.MODEL, Delivered.PART) in ACTIONS


def test_request_that_may_not_be_repeated_is_retried_only_if_it_did_not_run():
    for code, verdict, reached in itertools.product(REFUSALS, Verdict, Delivered):
        action = action_of(
            refuse(code, verdict=verdict), RequestKind.ONCE, reached, True
        )
        if verdict is not Verdict.NOT_RUN or reached is Delivered.PART:
            assert action is RetryAction.GIVE_UP


def test_after_a_part_of_the_answer_only_streams_continue_by_resuming():
    for code, verdict in itertools.product(REFUSALS, Verdict):
        refusal = refuse(code, verdict=verdict)
        assert (
            action_of(refusal, RequestKind.REPEATABLE, Delivered.PART)
            is RetryAction.GIVE_UP
        )
        assert (
            action_of(refusal, RequestKind.MODEL, Delivered.PART)
            is not RetryAction.RETRY
        )


def test_only_a_request_that_was_not_sent_counts_as_not_run():
    for (_, sent), failure in FAILURES.items():
        assert (failure.verdict is Verdict.NOT_RUN) == (sent is not Sent.REQUEST)


@pytest.mark.parametrize("first", Verdict)
@pytest.mark.parametrize("second", Verdict)
def test_worst_of_two_verdicts_keeps_a_possible_execution(first, second):
    both = {first, second}
    assert combine_verdicts(first, second) is combine_verdicts(second, first)
    assert (combine_verdicts(first, second) is Verdict.NOT_RUN) == (
        both == {Verdict.NOT_RUN}
    )
    assert (combine_verdicts(first, second) is Verdict.RAN) == (Verdict.RAN in both)


def test_page_shows_the_table():
    assert markdown() in PAGE.read_text()


@given(st.lists(st.sampled_from(["request", "retry", "second"]), max_size=300))
def test_budget_bounds_retries_in_every_sequence_of_requests(events):
    budget = RetryBudget(per_request=0.1, max_saved=5.0, min_per_s=0.2, saved=5.0)
    now, requests, spent = 0.0, 0, 0
    marks = [(now, requests, spent)]
    for event in events:
        now += event == "second"
        if event == "request":
            requests += 1
            budget.add_request(now)
        elif event == "retry":
            spent += budget.spend(now)
        marks.append((now, requests, spent))
    for first, last in itertools.combinations(marks[::7], 2):
        seconds, earned = last[0] - first[0], last[1] - first[1]
        max_retries = 0.1 * earned + 0.2 * seconds + 5.0
        assert last[2] - first[2] <= max_retries + 1e-9


def test_ejection_time_grows_with_each_failure_and_is_reset_later():
    ejections = Ejections()
    now, waits = 0.0, []
    for _ in range(8):
        ejections.record_failure("a", now)
        waits.append(ejections.time_to_next_return(now))
        assert ejections.active(now) == {"a"}
        now += waits[-1]
        assert ejections.active(now) == set()
    assert waits == sorted(waits)
    assert waits[-1] == MAX_EJECTION_S
    ejections.active(now + 1000.0)
    ejections.record_failure("a", now + 1000.0)
    assert ejections.time_to_next_return(now + 1000.0) == waits[0]


def test_ejection_time_is_reset_once_an_endpoint_answers():
    ejections = Ejections()
    ejections.record_failure("a", 0.0)
    ejections.record_failure("a", 1.0)
    ejections.record_success(["a", "b"])
    assert ejections.active(1.0) == set()
    ejections.record_failure("a", 2.0)
    assert ejections.time_to_next_return(2.0) == pytest.approx(0.5)


def _wait_to_retry(refusal, patient=False, spent=False, deadline=10.0):
    async def scenario():
        loop = asyncio.get_running_loop()
        retries = Retries(loop.time, random.Random(1), lambda *args: None)
        route = Route(kind="service", pool="p", path="/p", patient=patient)
        state = retries.begin(route, RequestKind.ONCE, deadline)
        while spent and retries._budget("p").spend(loop.time()):
            pass
        retries.record_attempt(state)
        retried = await retries.wait_to_retry(state, refusal, ["a"])
        return retried, loop.time(), retries.final_refusal(state, refusal)

    return run(scenario())


def test_final_refusal_is_immediate_and_has_the_right_retry_after():
    retried, elapsed, final = _wait_to_retry(refuse("endpoint_down"), spent=True)
    assert (retried, elapsed) == (False, 0.0)
    assert final.retry_after == pytest.approx(0.5)
    retried, elapsed, _ = _wait_to_retry(refusal_at(FailureStep.ENDPOINT, Sent.REQUEST))
    assert (retried, elapsed) == (False, 0.0)


def test_only_patient_requests_wait_for_an_endpoint():
    refusal = refusal_at(FailureStep.CHOICE, Sent.NOTHING)
    assert _wait_to_retry(refusal)[:2] == (False, 0.0)
    assert _wait_to_retry(refusal, patient=True)[0]


def test_patient_request_waits_for_budget_until_its_deadline():
    refusal = refuse("endpoint_down")
    retried, elapsed, _ = _wait_to_retry(
        refusal, patient=True, spent=True, deadline=20.0
    )
    assert retried
    assert elapsed >= 4.0
    retried, elapsed, _ = _wait_to_retry(
        refusal, patient=True, spent=True, deadline=3.0
    )
    assert not retried
    assert elapsed <= 3.0
