"""Index of the published configuration for request routing."""

from bisect import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import accumulate

from ebonyglade.forward.types import (
    PublishedConfiguration,
    RequestLimits,
    Route,
    Service,
    Share,
    Workspace,
)


@dataclass(slots=True)
class RoutingTable:
    """Routes by host and path, services by name, workspaces by key.

    Attributes:
        published: configuration that the table was built from.
        services: services by name.
        workspaces: workspaces by name.
        workspaces_by_key: workspace of each key in force.
    """

    published: PublishedConfiguration
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    workspaces_by_key: dict[str, Workspace] = field(default_factory=dict)
    _routes: dict[str, dict[str, Route]] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.published.version

    @property
    def limits(self) -> RequestLimits:
        """Limits on what a caller may send."""
        return self.published.limits

    @property
    def requires_keys(self) -> bool:
        """Whether the configuration requires keys of callers."""
        return self.published.workspaces is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None if there is none."""
        prefixes = self._routes.get(_without_port(host))
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None


def build_routing_table(published: PublishedConfiguration) -> RoutingTable:
    """Return the routing table of a configuration."""
    routes: dict[str, dict[str, Route]] = defaultdict(dict)
    for route in published.routes:
        routes[_without_port(route.host)][route.prefix] = route
    workspaces = published.workspaces or ()
    return RoutingTable(
        published,
        {item.name: item for item in published.services},
        {item.name: item for item in workspaces},
        {key: item for item in workspaces for key in item.keys},
        dict(routes),
    )


def pick_service(shares: tuple[Share, ...], point: float) -> str:
    """Return the service at a point from 0 to 1 of the cumulative weights."""
    bounds = list(accumulate(share.weight for share in shares))
    if not bounds or bounds[-1] <= 0:
        return shares[0].service if shares else ""
    index = bisect(bounds, point * bounds[-1])
    return shares[min(index, len(shares) - 1)].service


def _without_port(host: str) -> str:
    return host.partition(":")[0].lower()
