"""Filters that identify the caller and find the route of a request."""

from result import Err

from ebonyglade.calls import Call, NextHandler, Reply
from ebonyglade.config.view import OPEN_WORKSPACE, KeyOwner, RouteEntry
from ebonyglade.verdict import refuse

_OPEN_OWNER = KeyOwner(OPEN_WORKSPACE, "", withdrawn=False)


async def identify(call: Call, proceed: NextHandler) -> Reply:
    """Find the workspace of the caller's key, then remove the key from the call."""
    key, call.key = call.key, ""
    owner = call.view.key_owner(key) if key else None
    if key and owner is None:
        return Err(refuse("key_unknown"))
    if owner is not None and owner.withdrawn:
        return Err(refuse("key_withdrawn"))
    call.owner = owner
    return await proceed(call)


async def find_route(call: Call, proceed: NextHandler) -> Reply:
    """Find a route that is open or that the workspace may use."""
    routes = _candidates(call)
    allowed = [entry for entry in routes if may_use(call.owner, entry)]
    if not routes or (call.owner is not None and not allowed):
        return Err(refuse("route_unknown"))
    if not allowed:
        return Err(refuse("key_missing"))
    call.route = _preferred(call.owner, allowed)
    is_service = call.prompt is None and not call.wants_ticket
    if is_service and call.method not in call.route.route.methods:
        return Err(refuse("method_not_allowed"))
    if call.owner is None:
        call.owner = _OPEN_OWNER
    call.deadline = call.arrived_at + call.route.route.deadline_s
    return await proceed(call)


async def check_size(call: Call, proceed: NextHandler) -> Reply:
    """Refuse prompts that are longer than the route's limit."""
    route = call.route.route
    if call.prompt is not None and call.prompt.tokens > route.max_prompt_tokens:
        return Err(refuse("prompt_too_long"))
    return await proceed(call)


def _candidates(call: Call) -> list[RouteEntry]:
    if call.prompt is not None:
        return call.view.models.get(call.prompt.model, [])
    path = call.path.partition("?")[0]
    matching = [entry for entry in call.view.services if _path_matches(entry, path)]
    if not matching:
        return []
    # `view.services` is sorted with the longest path first.
    longest = len(matching[0].route.path)
    return [entry for entry in matching if len(entry.route.path) == longest]


def _path_matches(entry: RouteEntry, path: str) -> bool:
    prefix = entry.route.path.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")


def may_use(owner: KeyOwner | None, entry: RouteEntry) -> bool:
    """Return whether a caller may use a route; None is a caller without a key."""
    if entry.route.open:
        return True
    if owner is None:
        return False
    return owner.team == entry.team or owner.team in entry.route.shared_with


def _preferred(owner: KeyOwner | None, allowed: list[RouteEntry]) -> RouteEntry:
    team = owner.team if owner else ""
    return min(allowed, key=lambda entry: (entry.team != team, entry.name))
