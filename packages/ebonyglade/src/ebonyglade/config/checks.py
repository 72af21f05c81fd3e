"""Checks of documents against each other, told in the audit trail.

A document that is valid by itself can still be at odds with others. Such a
document is taken, since the other one may follow, and what it claims wrongly
has no effect; the trail says so with path, line and reason.
"""

from collections.abc import Callable, Iterable, Iterator

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config.published import Key, Route, line_of
from ebonyglade.config.store import Accepted, ConfigStore
from ebonyglade.config.view import Indexer, View, claim_of, kind_of

Problem = tuple[str, str]  # name of the field and the reason


def warn(
    store: ConfigStore, indexer: Indexer, changed: Iterable[str], audit: AuditTrail
) -> None:
    """Add a record for each problem of the documents that changed."""
    for path in sorted(changed):
        accepted = store.documents.get(path)
        check = _CHECKS.get(kind_of(path))
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


def _check_key(path: str, accepted: Accepted, indexer: Indexer) -> Iterator[Problem]:
    key: Key = accepted.document
    team = path.split("/")[1]
    if f"{team}/{key.workspace}" not in indexer.view.workspaces:
        yield (
            "workspace",
            f"there is no workspace {key.workspace!r}; the key is unknown",
        )
    others = sorted(indexer.claims(key.digest) - {path})
    if others:
        yield "digest", f"also claimed by {', '.join(others)}; the oldest one holds"


def _check_route(path: str, accepted: Accepted, indexer: Indexer) -> Iterator[Problem]:
    route: Route = accepted.document
    view = indexer.view
    if not route.pool or not _serves(view, route):
        yield "pool", f"no live endpoint is listed in pool {route.pool!r}"
    field, claim = claim_of(route)
    if not claim:
        yield field, "is empty, so no request can name the route"
    team = path.split("/")[1]
    others = [entry.name for entry in _claimants(view, route) if entry.team != team]
    if others:
        yield field, f"{claim!r} is also claimed by {', '.join(sorted(others))}"


def _serves(view: View, route: Route) -> bool:
    stages = ("prefill", "decode") if route.kind == "model" else ("service",)
    return all(view.endpoints(route.pool, stage) for stage in stages)


def _claimants(view: View, route: Route) -> list:
    if route.kind == "model":
        return view.models.get(route.model, [])
    return [
        entry for entry in view.services if claim_of(entry.route) == claim_of(route)
    ]


_CHECKS: dict[str, Callable[[str, Accepted, Indexer], Iterator[Problem]]] = {
    "keys": _check_key,
    "routes": _check_route,
}
