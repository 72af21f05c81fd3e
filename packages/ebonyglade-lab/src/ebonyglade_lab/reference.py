"""Generates the settings reference from the pydantic models."""

import inspect
import re
from pathlib import Path
from types import NoneType
from typing import get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from ebonyglade.config import documents
from ebonyglade_agent.settings import AgentSettings
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_entry.settings import EntrySettings

PAGE = Path("docs/settings.md")
INTRODUCTION = """# Settings

This page is written from the models by `python -m ebonyglade_lab reference`.
There are two kinds of settings, both TOML.

- A *settings file* belongs to one process and is read once, at its start.
  `ebonyglade-entry check FILE` and `ebonyglade-agent check FILE` check it.
- A *document* is published at a path of the platform's configuration service
  and is in force on all processes within seconds. An invalid one is refused
  with path, line and reason; the last valid one stays in force.

An instance's address must be an IP number: `tcp://10.0.0.1:7000`.
"""
FILES = (
    ("an entry", EntrySettings),
    ("an agent", AgentSettings),
    ("an entry that forwards (`ebonyglade-entry forward`)", ForwardSettings),
    ("an agent that gives orders (`ebonyglade-agent stage`)", StagingSettings),
)
_ATTRIBUTE = re.compile(r"^ {4,8}(\w+): (.+)$")


def page() -> str:
    """Return the reference as Markdown."""
    parts = [INTRODUCTION]
    for title, model in FILES:
        parts.append(f"## Settings file of {title}\n")
        parts += _sections(model)
    parts.append("## Published documents\n")
    for pattern, model in documents.document_types():
        parts.append(_table(f"### `{pattern}`", model))
    return "\n".join(parts)


def write() -> None:
    """Write the reference to `PAGE`."""
    PAGE.write_text(page())


def _sections(model: type[BaseModel]) -> list[str]:
    parts = _top_level(model)
    for name, field in model.model_fields.items():
        repeated, section = _section_of(field)
        if section is not None:
            heading = f"[[{name}]]" if repeated else f"[{name}]"
            parts.append(_table(f"### `{heading}`", section))
    return parts


def _top_level(model: type[BaseModel]) -> list[str]:
    """Return the lines on settings that belong to no section."""
    meanings = _meanings(model)
    return [
        f"`{name}` (top level): {meanings[name]}\n"
        for name, field in model.model_fields.items()
        if _section_of(field)[1] is None
    ]


def _section_of(field: FieldInfo) -> tuple[bool, type[BaseModel] | None]:
    annotation = field.annotation
    inner = [kind for kind in get_args(annotation) if kind not in (NoneType, ...)]
    chosen = inner[0] if inner else annotation
    if isinstance(chosen, type) and issubclass(chosen, BaseModel):
        return bool(inner), chosen
    return False, None


def _table(heading: str, model: type[BaseModel]) -> str:
    about = inspect.getdoc(model) or ""
    meanings = _meanings(model)
    lines = [heading, "", about.splitlines()[0], ""]
    lines += ["| name | default | meaning |", "| --- | --- | --- |"]
    for name, field in model.model_fields.items():
        meaning = meanings.get(name, "").replace("|", "\\|")
        lines.append(f"| `{name}` | {_default(field)} | {meaning} |")
    return "\n".join(lines) + "\n"


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    value = field.get_default(call_default_factory=True)
    if isinstance(value, frozenset):
        value = sorted(value)
    return f"`{value!r}`" if value not in ("", (), []) else "empty"


def _meanings(model: type[BaseModel]) -> dict[str, str]:
    """Return the meaning of each setting, from the docstrings of a model's classes."""
    found: dict[str, str] = {}
    for base in reversed(model.__mro__):
        current = ""
        for line in (base.__doc__ or "").splitlines():
            match = _ATTRIBUTE.match(line)
            if match and match[1] in model.model_fields:
                current = match[1]
                found[current] = match[2]
            elif current and line.strip():
                found[current] += " " + line.strip()
            else:
                current = ""
    return found
