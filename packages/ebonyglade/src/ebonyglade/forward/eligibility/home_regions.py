"""Regions whose endpoints may serve a request, by its route and its workspace."""

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.store.routing_table import RoutingTable
from ebonyglade.forward.types import Route, Workspace

HomeRegions = frozenset[str] | None
"""Home regions of a request; None for any region, empty for none."""


def home_regions(call: ForwardCall, table: RoutingTable | None) -> HomeRegions:
    """Return the regions in which both route and workspace allow a request.

    Args:
        call: the request.
        table: the configuration in force. It may have changed since the request was
            admitted, and applies to what is sent from now on.
    """
    route, workspace = _current_route(call, table), _current_workspace(call, table)
    of_workspace = workspace.home_regions if workspace is not None else ()
    if not (route.home_regions or of_workspace):
        return None
    if not (route.home_regions and of_workspace):
        return frozenset(route.home_regions or of_workspace)
    return frozenset(route.home_regions) & frozenset(of_workspace)


def _current_route(call: ForwardCall, table: RoutingTable | None) -> Route:
    """Return the route in force; the one of the admission if it is no longer listed."""
    path = call.target.partition("?")[0]
    route = table.route(call.host, path) if table is not None else None
    is_same = route is not None and route.name == call.route.name
    return route if is_same else call.route


def _current_workspace(
    call: ForwardCall, table: RoutingTable | None
) -> Workspace | None:
    if table is None or call.workspace is None:
        return call.workspace
    return table.workspaces.get(call.workspace.name, call.workspace)
