"""The view in force: the store's documents indexed for requests."""

import hashlib
from dataclasses import dataclass, field

from ebonyglade.config.published import Instance, Key, Route, Workspace
from ebonyglade.config.store import ConfigStore

OPEN_WORKSPACE = "open"


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route, its name "<team>/<route>" and its team."""

    name: str
    team: str
    route: Route


@dataclass(frozen=True, slots=True)
class Owner:
    """The workspace and team that a key belongs to."""

    workspace: str
    team: str
    withdrawn: bool


@dataclass(slots=True)
class View:
    """Indexes over the configuration in force.

    Attributes:
        revision: newest revision known.
        workspaces: by "<team>/<workspace>".
        keys: owner by key digest.
        models: model routes by model name.
        services: service routes, longest path first.
        instances: listed instances by id.
        pools: ids of the live agents by (pool, stage), in order.
        entries: ids of the live entries, in order.
    """

    revision: int = 0
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    keys: dict[str, Owner] = field(default_factory=dict)
    models: dict[str, list[RouteEntry]] = field(default_factory=dict)
    services: list[RouteEntry] = field(default_factory=list)
    instances: dict[str, Instance] = field(default_factory=dict)
    pools: dict[tuple[str, str], tuple[str, ...]] = field(default_factory=dict)
    entries: tuple[str, ...] = ()

    def owner_of(self, key: str) -> Owner | None:
        """Return whom a key's text belongs to; None if it is not known."""
        return self.keys.get(digest(key))

    def endpoints(self, pool: str, stage: str) -> tuple[str, ...]:
        """Return the ids of the live agents of a pool's stage."""
        return self.pools.get((pool, stage), ())

    def zone_of(self, instance: str) -> str:
        """Return the availability zone of a listed instance, or ""."""
        listed = self.instances.get(instance)
        return listed.zone if listed else ""

    def weight_of(self, workspace: str) -> float:
        """Return a workspace's fair-share weight; 1 if it is not published."""
        published = self.workspaces.get(workspace)
        return published.weight if published else 1.0


def digest(key: str) -> str:
    """Return the digest under which a key is published."""
    return hashlib.sha256(key.encode()).hexdigest()


def build(store: ConfigStore) -> View:
    """Return the indexes over a store's documents."""
    view = View(revision=store.revision)
    adders = {
        Workspace: _add_workspace,
        Key: _add_key,
        Route: _add_route,
        Instance: _add_instance,
    }
    for path, accepted in sorted(store.documents.items()):
        adders[type(accepted.document)](view, path.split("/"), accepted.document)
    view.services.sort(key=lambda entry: (-len(entry.route.path), entry.name))
    _index_instances(view)
    return view


def _index_instances(view: View) -> None:
    """Group the live instances once, so that no request has to look at all."""
    pools: dict[tuple[str, str], list[str]] = {}
    entries = []
    for name, instance in view.instances.items():
        if instance.state != "live":
            continue
        if instance.role == "entry":
            entries.append(name)
            continue
        pools.setdefault((instance.pool, instance.stage), []).append(name)
    view.pools = {key: tuple(names) for key, names in pools.items()}
    view.entries = tuple(entries)


def _add_workspace(view: View, parts: list[str], document: Workspace) -> None:
    view.workspaces[f"{parts[1]}/{parts[3]}"] = document


def _add_key(view: View, parts: list[str], document: Key) -> None:
    workspace = f"{parts[1]}/{document.workspace}"
    view.keys[document.digest] = Owner(workspace, parts[1], document.withdrawn)


def _add_route(view: View, parts: list[str], document: Route) -> None:
    entry = RouteEntry(f"{parts[1]}/{parts[3]}", parts[1], document)
    if document.kind == "model":
        view.models.setdefault(document.model, []).append(entry)
    else:
        view.services.append(entry)


def _add_instance(view: View, parts: list[str], document: Instance) -> None:
    view.instances[parts[2]] = document
