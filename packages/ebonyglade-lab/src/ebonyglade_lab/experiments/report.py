"""Tables that experiments print and record."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

MEASUREMENTS = Path("docs/measurements")


@dataclass(slots=True)
class Table:
    """A table with a title, the command that reproduces it, and its rows.

    Attributes:
        title: heading of the page.
        command: command that reproduces the table.
        columns: names of the columns.
        rows: cells of each row.
        notes: sentences below the table.
    """

    title: str
    command: str
    columns: Sequence[str]
    rows: list[Sequence[object]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Append a row."""
        self.rows.append(cells)

    def markdown(self) -> str:
        """Return the table as a Markdown page."""
        lines = [f"# {self.title}", "", f"    {self.command}", ""]
        lines.append(_line(self.columns))
        lines.append(_line(["---"] * len(self.columns)))
        lines += [_line(row) for row in self.rows]
        for note in self.notes:
            lines += ["", note]
        return "\n".join(lines) + "\n"

    def record(self, name: str, directory: Path = MEASUREMENTS) -> None:
        """Write the page to `directory`/`name`.md."""
        directory.mkdir(parents=True, exist_ok=True)
        (directory / f"{name}.md").write_text(self.markdown())


def _line(cells: Sequence[object]) -> str:
    return "| " + " | ".join(_cell(cell) for cell in cells) + " |"


def _cell(cell: object) -> str:
    return f"{cell:.4g}" if isinstance(cell, float) else str(cell)
