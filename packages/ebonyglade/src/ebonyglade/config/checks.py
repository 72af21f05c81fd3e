"""Consistency checks between documents, reported in the audit trail.

A document that is valid by itself can still conflict with others. It is
accepted nevertheless, because the document that it depends on may be published
later, and its conflicting claim has no effect. The audit trail reports the
path, the line and the reason.
"""

from collections.abc import Callable, Iterable, Iterator

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config.documents import Key, Route, line_of
from ebonyglade.config.store import AcceptedDocument, ConfigStore
from ebonyglade.config.view import ConfigView, ViewIndexer, document_kind, route_claim

Problem = tuple[str, str]  # name of the field and the reason


def record_warnings(
    store: ConfigStore, indexer: ViewIndexer, changed: Iterable[str], audit: AuditTrail
) -> None:
    """Add an audit record for each conflict of the changed documents."""
    for path in sorted(changed):
        accepted = store.documents.get(path)
        check = _CHECKS.get(document_kind(path))
        if accepted is None or check is None:
            continue
        for name, reason in check(path, accepted, indexer):
            line = line_of(name, accepted.item.value)
            place = f"line {line}: " if line else ""
            audit.add(
                path,
                accepted.item.revision,
                Outcome.WARNED,
                accepted.document.author,
                f"{place}{name}: {reason}",
            )


def _check_key(
    path: str, accepted: AcceptedDocument, indexer: ViewIndexer
) -> Iterator[Problem]:
    key: Key = accepted.document
    team = path.split("/")[1]
    if f"{team}/{key.workspace}" not in indexer.view.workspaces:
        yield (
            "workspace",
            f"there is no workspace {key.workspace!r}; requests with it are refused",
        )
    others = sorted(indexer.key_claims(key.digest) - {path})
    if others:
        yield (
            "digest",
            f"also claimed by {', '.join(others)}; the oldest one is in force",
        )


def _check_route(
    path: str, accepted: AcceptedDocument, indexer: ViewIndexer
) -> Iterator[Problem]:
    route: Route = accepted.document
    view = indexer.view
    if not route.pool or not _has_endpoints(view, route):
        yield "pool", f"no live endpoint is listed in pool {route.pool!r}"
    field, claim = route_claim(route)
    if not claim:
        yield field, "is empty, so no request can match the route"
    team = path.split("/")[1]
    others = [
        entry.name
        for entry in _routes_with_same_claim(view, route)
        if entry.team != team
    ]
    if others:
        yield field, f"{claim!r} is also claimed by {', '.join(sorted(others))}"


def _has_endpoints(view: ConfigView, route: Route) -> bool:
    stages = ("prefill", "decode") if route.kind == "model" else ("service",)
    return all(view.endpoints(route.pool, stage) for stage in stages)


def _routes_with_same_claim(view: ConfigView, route: Route) -> list:
    if route.kind == "model":
        return view.models.get(route.model, [])
    return [
        entry
        for entry in view.services
        if route_claim(entry.route) == route_claim(route)
    ]


_CHECKS: dict[
    str, Callable[[str, AcceptedDocument, ViewIndexer], Iterator[Problem]]
] = {
    "keys": _check_key,
    "routes": _check_route,
}
