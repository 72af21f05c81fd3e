import re
from pathlib import Path

from ebonyglade.verdict import REFUSALS
from ebonyglade_lab import reference

ROOT = Path(__file__).parent.parent


def test_settings_page_is_that_of_the_models():
    assert (ROOT / reference.PAGE).read_text() == reference.page()


def test_every_setting_has_a_meaning():
    empty = re.findall(r"^\| `(\w+)` \|[^|]*\|\s*\|$", reference.page(), re.MULTILINE)
    assert empty == []


def test_every_link_between_pages_leads_somewhere():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)[)#]", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"


def test_codes_are_named_as_their_rows():
    assert all(code == refusal.code for code, refusal in REFUSALS.items())
