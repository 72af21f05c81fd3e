from pathlib import Path

import pytest

from ebonyglade.verdict import REFUSALS, Verdict, refuse

PAGE = Path(__file__).parents[1] / "docs/operators/refusals.md"


def test_page_for_operators_lists_each_refusal():
    rows = PAGE.read_text()
    for code, refusal in REFUSALS.items():
        start = f"| `{code}` | {refusal.status} | {refusal.verdict.value} | "
        assert start in rows, f"{code} is missing in {PAGE.name}"


def test_refusal_keeps_what_is_not_changed():
    changed = refuse("overloaded", verdict=Verdict.MAY_HAVE_RUN, retry_after=0.0)
    assert changed.status == refuse("overloaded").status
    assert (changed.verdict, changed.retry_after) == (Verdict.MAY_HAVE_RUN, 0.0)


def test_unknown_code_is_a_bug():
    with pytest.raises(KeyError):
        refuse("no_such_code")
