import pytest

from ebonyglade_lab.experiments.placement import VARIANTS, measure


@pytest.fixture(scope="module")
def full():
    """Measure goodput with nearly all decode slots in use."""
    row = measure(VARIANTS[-1], 1.0, seed=3, seconds=20.0)
    assert row.variant == "timed"
    assert row.occupancy >= 0.95
    return row


def test_goodput_is_near_that_of_a_central_scheduler(full):
    assert full.goodput >= 0.95 * full.bound


def test_few_prefilled_tokens_are_wasted(full):
    assert full.wasted < 0.01
