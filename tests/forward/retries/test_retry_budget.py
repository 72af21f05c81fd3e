import random

import pytest

from ebonyglade.forward.retries.retry_budget import OwnRetries, RetryBudgetLimits
from ebonyglade.forward.retries.slack import RetrySlack

LIMITS = RetryBudgetLimits(ratio=0.2, window_s=10.0, slack=50.0)


def test_retries_of_all_entries_stay_within_the_published_limit():
    entries = [OwnRetries(LIMITS) for _ in range(4)]
    slack = RetrySlack(LIMITS)
    slack.set_share(1.0, 0.0)
    rng = random.Random(2)
    requests, retries = [], []
    for step in range(4000):
        now = step / 50
        own = rng.choice(entries)
        own.record_request("s", now)
        requests.append(now)
        if own.take("s", now) or slack.take("s", now):
            retries.append(now)
    for start in range(0, 70):
        within = [at for at in retries if start <= at < start + 10]
        asked = [at for at in requests if start <= at < start + 10]
        assert len(within) <= 0.2 * len(asked) + 50
    assert retries


def grants(lengths, gap_s=0.0, share=1.0):
    """Return when processes that grant one after the other do so, as they can."""
    taken, now = [], 100.0
    for length_s in lengths:
        slack, until = RetrySlack(LIMITS), now + length_s
        slack.set_share(share, now)
        while now < until:
            now += 0.05
            while slack.take("s", now):
                taken.append(now)
        now += gap_s
    return taken


# Each process began with the whole slack, whatever the one before it had granted.
@pytest.mark.parametrize("length_s", [0.5, 1.0, 3.0, 30.0])
def test_processes_that_follow_each_other_grant_the_slack_once(length_s):
    taken = grants([length_s] * int(60 / length_s))
    for start in taken:
        assert sum(start <= at < start + 10 for at in taken) <= LIMITS.slack


def test_a_process_that_grants_a_part_of_the_slack_grants_no_more():
    taken = grants([60.0], share=0.25)
    for start in taken:
        assert sum(start <= at < start + 10 for at in taken) <= 0.25 * LIMITS.slack


# Two processes may hold themselves for the one that grants, in turn.
def test_a_process_that_grants_again_begins_anew():
    slack, taken = RetrySlack(LIMITS), []
    for step in range(2000):
        now = step * 0.05
        slack.set_share(float(step % 40 < 20), now)
        while slack.take("s", now):
            taken.append(now)
    for start in taken:
        assert sum(start <= at < start + 10 for at in taken) <= LIMITS.slack / 2


def test_without_a_share_nothing_is_granted():
    assert grants([30.0], share=0.0) == []


def test_a_first_start_begins_with_what_can_be_saved():
    slack = RetrySlack(LIMITS, first_start=True)
    slack.set_share(1.0, 0.0)
    at_once = 0
    while slack.take("s", 0.0):
        at_once += 1
    assert 0 < at_once <= LIMITS.slack / 2


def test_a_retry_that_is_not_used_can_be_taken_again():
    slack = RetrySlack(LIMITS, first_start=True)
    slack.set_share(1.0, 0.0)
    while slack.take("s", 0.0):
        pass
    slack.give_back("s")
    assert slack.take("s", 0.0)
    assert not slack.take("s", 0.0)
