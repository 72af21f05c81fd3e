import random

from ebonyglade.forward.retries.retry_budget import FleetRetryBudget, RetryBudgetLimits


def test_retries_of_all_entries_stay_within_the_published_limit():
    limits = RetryBudgetLimits(ratio=0.2, window_s=10.0, slack=50.0)
    entries = [FleetRetryBudget(limits) for _ in range(4)]
    rng = random.Random(2)
    requests, retries = [], []
    for step in range(4000):
        now = step / 50
        budget = rng.choice(entries)
        budget.record_request("s", now)
        requests.append(now)
        if budget.take_retry("s", now, len(entries)):
            retries.append(now)
    for start in range(0, 70):
        within = [at for at in retries if start <= at < start + 10]
        asked = [at for at in requests if start <= at < start + 10]
        assert len(within) <= 0.2 * len(asked) + 50
    assert retries
