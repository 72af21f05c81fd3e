"""Tables of results as Markdown."""

from collections.abc import Iterable
from pathlib import Path


def table(head: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a Markdown table."""
    head = list(head)
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(map(str, line))} |" for line in lines)


def record(path: str, title: str, command: str, body: str) -> str:
    """Write a page of results and return its body.

    Args:
        path: file to write; empty to write none.
        title: heading of the page.
        command: what repeats the measurement.
        body: the tables and what was run.
    """
    if path:
        text = f"# {title}\n\nMade by `{command}`.\n\n{body}\n"
        Path(path).write_text(text)
    return body
