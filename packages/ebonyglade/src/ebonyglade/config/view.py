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
    """

    revision: int = 0
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    keys: dict[str, Owner] = field(default_factory=dict)
    models: dict[str, list[RouteEntry]] = field(default_factory=dict)
    services: list[RouteEntry] = field(default_factory=list)
    instances: dict[str, Instance] = field(default_factory=dict)

    def owner_of(self, key: str) -> Owner | None:
        """Return whom a key's text belongs to; None if it is not known."""
        return self.keys.get(digest(key))

    def endpoints(self, pool: str, stage: str) -> list[str]:
        """Return the ids of the live agents of a pool's stage."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.role == "agent"
            and instance.state == "live"
            and instance.pool == pool
            and instance.stage == stage
        ]


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
    return view


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
