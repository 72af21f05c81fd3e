"""Which arrivals of one request at endpoints need a retry of the budget."""

import pytest

from ebonyglade.forward.retries.arrivals import RequestArrivals


def play(steps, retries=0):
    """Send a request step by step; return what was counted."""
    arrivals = RequestArrivals(retries=retries)
    for step in steps:
        assert arrivals.begin()
        if step == "prefilled":
            arrivals.accept_prefill()
        if step == "unsent":
            arrivals.withdraw()
    return arrivals


# Rejected prefills, and prefills after the first accepted one, were free.
@pytest.mark.parametrize(
    ("steps", "repeats"),
    [
        (["prefilled", "run"], 0),
        (["rejected", "run"], 1),
        (["rejected", "prefilled", "run"], 1),
        (["rejected", "rejected", "run"], 2),
        (["prefilled", "run", "prefilled", "run"], 2),
        (["run", "prefilled", "run"], 1),
        (["unsent", "run"], 0),
        (["run", "unsent", "run"], 1),
    ],
)
def test_each_arrival_but_the_first_and_the_first_prefill_uses_a_retry(steps, repeats):
    arrivals = play(steps, retries=5)
    assert arrivals.repeats == repeats
    assert arrivals.retries == 5 - repeats


def test_a_repeat_without_a_retry_is_not_sent():
    arrivals = play(["run"])
    assert not arrivals.begin()
    assert arrivals.counted == 1


@pytest.mark.parametrize(
    ("steps", "prefill", "likely", "needed"),
    [
        ([], False, False, 0),
        ([], True, False, 0),
        ([], True, True, 1),
        (["prefilled"], False, False, 0),
        (["prefilled"], True, False, 1),
        (["rejected"], False, False, 1),
        (["rejected"], True, False, 2),
    ],
)
def test_a_prefill_needs_retries_for_itself_and_for_the_run_after_it(
    steps, prefill, likely, needed
):
    assert play(steps).needed(prefill, likely) == needed
