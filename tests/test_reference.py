import re
from pathlib import Path

from ebonyglade.verdict import REFUSALS
from ebonyglade_lab import reference

ROOT = Path(__file__).parent.parent


def test_settings_page_matches_the_models():
    assert (ROOT / reference.PAGE).read_text() == reference.page()


def test_every_setting_has_a_description():
    empty = re.findall(r"^\| `(\w+)` \|[^|]*\|\s*\|$", reference.page(), re.MULTILINE)
    assert empty == []


def test_every_link_between_pages_has_an_existing_target():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)[)#]", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"


def test_every_refusal_is_stored_under_its_own_code():
    assert all(code == refusal.code for code, refusal in REFUSALS.items())
