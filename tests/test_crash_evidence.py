"""Evidence of requests that crash endpoints, as one process keeps it."""

import logging

import pytest
from hypothesis import given, settings, strategies as st

from ebonyglade.quarantine.evidence import (
    BLOCKED_S,
    MAX_CRASHES,
    MAX_DELAY_S,
    MAX_RUNS,
    RUNS_KEPT,
    SUSPICION_S,
    BrokenRun,
    CrashEvidence,
    Source,
    fingerprint,
    part_key,
)
from ebonyglade.quarantine.guilty_parts import BLOCKED_S as BLAMED_S


def crashed(*times, request="f"):
    """Return the evidence of crashes of different endpoints."""
    evidence = CrashEvidence()
    for number, at in enumerate(times):
        evidence.record_run(BrokenRun(f"endpoint-{number}", request), at, at)
    return evidence


def test_a_fingerprint_tells_workspaces_targets_and_bodies_apart():
    same = fingerprint("w", "POST", "/a", b"x")
    assert same == fingerprint("w", "POST", "/a", b"x")
    others = [("v", "/a", b"x"), ("w", "/b", b"x"), ("w", "/a", b"y")]
    assert all(
        fingerprint(workspace, "POST", target, body) != same
        for workspace, target, body in others
    )


def test_a_request_is_blocked_from_its_third_crash_on_and_not_for_ever():
    assert not crashed(0.0, 1.0).blocked_for("f", 2.0)
    evidence = crashed(0.0, 1.0, 2.0)
    assert evidence.blocked_for("f", 2.0) == BLOCKED_S
    assert evidence.blocked_for("f", 1.0 + BLOCKED_S) == 1.0
    assert not evidence.blocked_for("f", 2.0 + BLOCKED_S)
    assert not evidence.blocked_for("g", 2.0)


def test_a_request_that_is_blocked_leaves_one_line_that_names_its_endpoints(caplog):
    caplog.set_level(logging.INFO)
    crashed(0.0, 1.0, 2.0, 3.0)
    (record,) = caplog.records
    assert record.message == "request blocked that crashes endpoints"
    assert record.endpoints == "endpoint-2,endpoint-1,endpoint-0"


def test_crashes_that_are_far_apart_do_not_count_together():
    assert not crashed(0.0, 1.0, 1.0 + SUSPICION_S).blocked_for("f", 130.0)
    assert crashed(0.0, 1.0).crashes("f", 1.0 + SUSPICION_S) == 0


def test_runs_that_break_off_at_one_endpoint_count_once():
    evidence = CrashEvidence()
    for at in (0.0, 1.0, 2.0):
        evidence.record_run(BrokenRun("endpoint", "f"), at, at)
    assert evidence.crashes("f", 2.0) == 1


def crashed_with(parts, *times):
    """Return the evidence of crashes under different requests with some parts."""
    evidence = CrashEvidence()
    for number, at in enumerate(times):
        run = BrokenRun(f"endpoint-{number}", f"f-{number}", parts)
        evidence.record_run(run, at, at)
    return evidence


def test_requests_with_a_part_that_crashes_endpoints_are_blocked_for_some_time():
    evidence = crashed_with(("first", "bad"), 0.0, 1.0, 2.0, 3.0)
    assert evidence.parts_blocked_for(("first", "bad"), 3.0) == BLAMED_S
    assert evidence.parts_blocked_for(("first", "x", "bad"), 4.0) == BLAMED_S - 1.0
    assert not evidence.parts_blocked_for(("first", "good"), 4.0)
    assert not evidence.parts_blocked_for((), 4.0)
    assert not evidence.parts_blocked_for(("first", "bad"), 3.0 + BLAMED_S)


def test_parts_that_still_crash_endpoints_are_blocked_for_longer_each_time():
    evidence = crashed_with(("bad",), 0.0, 1.0, 2.0, 3.0, 4.0)
    assert evidence.parts_blocked_for(("bad",), 4.0) == BLAMED_S
    run = BrokenRun("endpoint-9", "f-9", ("bad",))
    evidence.record_run(run, 70.0, 70.0)
    assert evidence.parts_blocked_for(("bad",), 70.0) == 2 * BLAMED_S


def test_a_whole_answer_clears_the_parts_of_its_prompt():
    evidence = crashed_with(("first", "bad"), 0.0, 1.0, 2.0, 3.0)
    evidence.record_answer("first", 3.5, 3.5)
    assert evidence.parts_blocked_for(("bad",), 4.0)
    evidence.record_answer("bad", 5.0, 5.0)
    assert not evidence.parts_blocked_for(("first", "bad"), 6.0)


# The id of a part is the caller's: another workspace may use it too.
def test_parts_with_the_same_id_differ_between_workspaces_and_models():
    keys = {part_key("w", "m", "p"), part_key("v", "m", "p"), part_key("w", "n", "p")}
    assert len(keys) == 3


def test_the_crashes_of_a_blocked_request_are_no_evidence_against_its_parts():
    evidence = CrashEvidence()
    for number in range(8):
        run = BrokenRun(f"endpoint-{number}", "f", ("p",))
        evidence.record_run(run, number, number)
        beside = BrokenRun(f"endpoint-{number}", f"beside-{number}", ("q",))
        evidence.record_run(beside, number, number)
    assert evidence.blocked_for("f", 8.0)
    assert not evidence.blamed_parts(8.0)


def test_a_whole_answer_voids_earlier_evidence_only():
    evidence = crashed(0.0, 1.0, 2.0)
    assert evidence.record_answer("f", 1.5, 3.0)
    assert evidence.crashes("f", 3.0) == 1
    assert not evidence.record_answer("unknown", 1.5, 3.0)


# Three unlucky resets must not block a sound request.
def test_a_run_that_an_endpoint_outlived_is_no_evidence():
    evidence = crashed(0.0, 1.0, 2.0)
    evidence.record_report("endpoint-1", 1.0 + MAX_DELAY_S)
    assert evidence.crashes("f", 3.0) == 3
    evidence.record_report("endpoint-1", 1.5 + MAX_DELAY_S)
    assert evidence.crashes("f", 3.0) == 2
    evidence.record_response("endpoint-2", 2.5)
    assert evidence.crashes("f", 3.0) == 1


# It may have been started again with the same id.
def test_an_endpoint_that_responds_long_after_a_run_broke_off_may_be_a_new_one():
    evidence = crashed(0.0)
    evidence.record_response("endpoint-0", 3.0)
    evidence.record_response("endpoint-0", 0.1)
    assert evidence.crashes("f", 3.0) == 1


def test_only_a_bounded_number_of_runs_is_kept_and_the_newest_are():
    evidence = CrashEvidence()
    for number in range(MAX_RUNS + 10):
        evidence.record_run(BrokenRun("endpoint", f"f-{number}"), number, number)
    assert sum(1 for _ in evidence.runs()) <= MAX_RUNS
    assert sum(1 for _ in evidence.runs()) >= RUNS_KEPT
    assert evidence.crashes(f"f-{MAX_RUNS + 9}", MAX_RUNS + 9) == 1
    assert evidence.crashes("f-0", 1.0) == 0


def test_evidence_is_forgotten_when_it_does_not_count_any_more():
    evidence = crashed(0.0, 1.0)
    evidence.record_answer("f", 5.0, 5.0)
    evidence.forget(1.0 + BLOCKED_S)
    assert not list(evidence.runs())
    assert not list(evidence.answers())


reports = st.lists(
    st.tuples(st.integers(0, 5), st.sampled_from("fg"), st.floats(0.0, 100.0)),
    max_size=30,
)


# However often and in whatever order reports arrive, all processes agree.
@settings(derandomize=True, deadline=None)
@given(reports, st.randoms(use_true_random=False))
def test_joined_evidence_does_not_depend_on_order_or_repeats(items, rng):
    def joined(reported):
        evidence = CrashEvidence()
        for endpoint, request, at in reported:
            run = BrokenRun(f"endpoint-{endpoint}", request)
            evidence.record_run(run, at, 100.0, Source.ZONE)
        return [evidence.crashes(request, 100.0) for request in "fg"]

    shuffled = items + items
    rng.shuffle(shuffled)
    assert joined(items) == joined(shuffled)
    distinct = {(endpoint, request) for endpoint, request, _ in items}
    expected = [sum(item[1] == request for item in distinct) for request in "fg"]
    assert joined(items) == expected
    assert MAX_CRASHES == 3


def crash_with_answers_between(evidence, gap_s):
    """Crash endpoints under requests that share a part, which others answer well."""
    for number in range(5):
        at = number * gap_s
        run = BrokenRun(
            f"endpoint-{number}", f"f-{number}", ("shared", f"own-{number}")
        )
        evidence.record_run(run, at, at)
        for after in (0.3, 0.6):
            answered_at = at + after * gap_s
            evidence.record_answer("shared", answered_at, answered_at)


# An answer within a second of the last one was dropped, also where a run had broken off
# between the two: a part that sound requests share was blamed.
@pytest.mark.parametrize("gap_s", [0.12, 0.2, 1.1])
def test_whole_answers_clear_a_part_however_soon_they_follow_each_other(gap_s):
    evidence = CrashEvidence()
    crash_with_answers_between(evidence, gap_s)
    assert not evidence.parts_blocked_for(("shared", "x"), 5 * gap_s)


# An answer was dropped if the run that had broken off before it was heard of later.
def test_an_answer_counts_though_the_run_before_it_is_heard_of_later():
    evidence = crashed(0.0, 1.0, 2.0)
    evidence.record_answer("f", 2.5, 2.5)
    evidence.record_answer("f", 2.9, 2.9)
    evidence.record_run(BrokenRun("endpoint-9", "f"), 2.7, 3.1)
    assert evidence.crashes("f", 3.2) == 0
    unheard_of = CrashEvidence()
    unheard_of.record_answer("f", 1.0, 1.0)
    unheard_of.record_run(BrokenRun("endpoint-1", "f"), 0.8, 1.2)
    assert unheard_of.crashes("f", 1.3) == 0


answers = st.lists(
    st.tuples(st.integers(0, 5), st.booleans(), st.floats(0.0, 3.0)), max_size=20
)


# What is known does not depend on what arrived first, and what is told is enough for
# another process to know the same.
@settings(derandomize=True, deadline=None)
@given(answers, st.randoms(use_true_random=False))
def test_joined_answers_do_not_depend_on_order(items, rng):
    def joined(reported):
        first, second = CrashEvidence(), CrashEvidence()
        for number, (endpoint, broke_off, at) in enumerate(reported):
            now = 3.0 + 0.01 * number
            if broke_off:
                run = BrokenRun(f"endpoint-{endpoint}", "f")
                first.record_run(run, at, now)
                second.record_run(run, at, now, Source.ZONE)
            else:
                first.record_answer("f", at, now)
            for answer in first.answers():
                if answer.learned_at == now:
                    second.record_answer("f", answer.at, now, Source.ZONE)
        return first.crashes("f", 4.0), second.crashes("f", 4.0)

    shuffled = list(items)
    rng.shuffle(shuffled)
    assert len({*joined(items), *joined(shuffled)}) == 1
