"""Fills in the templates of the deploy folder as the users' page DEPLOY.md says."""

import json
import re

_TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def render(template: str, fields: dict) -> str:
    """Return a template with its placeholders and sections filled in."""
    text, _ = _render(template, 0, [fields], "")
    return text


def _render(text: str, at: int, scopes: list, until: str) -> tuple[str, int]:
    parts = []
    while (match := _TAG.search(text, at)) is not None:
        parts.append(text[at : match.start()])
        kind, name, as_json = match.groups()
        at = match.end()
        if kind == "/":
            return "".join(parts), at
        if kind:
            value = _lookup(scopes, name)
            shown = _entries(value) if kind == "#" else ([] if value else [{}])
            end = at
            for entry in shown:
                part, end = _render(text, at, [*scopes, entry], name)
                parts.append(part)
            if not shown:
                _, end = _render(text, at, [*scopes, {}], name)
            at = end
        else:
            value = _lookup(scopes, name)
            parts.append(json.dumps(value) if as_json else _plain(value))
    parts.append(text[at:])
    return "".join(parts), len(text)


def _entries(value: object) -> list:
    if isinstance(value, dict):
        return [{"@": key, ".": item} for key, item in value.items()]
    if isinstance(value, list):
        return [{"@": index, ".": item} for index, item in enumerate(value)]
    return [{".": value}] if value not in (None, False) else []


def _lookup(scopes: list, name: str) -> object:
    for scope in reversed(scopes):
        if name in scope:
            return scope[name]
        value: object = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                break
        else:
            return value
    return None


def _plain(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(_plain, value))
    return value if isinstance(value, str) else json.dumps(value)
