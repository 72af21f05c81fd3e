import pytest

from ebonyglade_lab.experiments.placement import VARIANTS, measure


@pytest.fixture(scope="module")
def full():
    """All but a few decode slots in use."""
    row = measure(VARIANTS[-1], 1.0, seed=3, seconds=20.0)
    assert row.variant == "timed"
    assert row.occupancy >= 0.95
    return row


def test_goodput_is_near_the_central_bound(full):
    assert full.goodput >= 0.95 * full.bound


def test_hardly_any_prefill_is_wasted(full):
    assert full.wasted < 0.01
