"""Indexes over the documents in force, used to process requests."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ebonyglade.config.documents import Instance, Key, Route, Workspace
from ebonyglade.config.store import ConfigStore

OPEN_WORKSPACE = "open"


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route with its name "<team>/<route>" and its team."""

    name: str
    team: str
    route: Route


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The workspace and team that a key belongs to."""

    workspace: str
    team: str
    withdrawn: bool


@dataclass(slots=True)
class ConfigView:
    """Indexes over the configuration in force.

    Attributes:
        revision: newest revision known.
        workspaces: by "<team>/<workspace>".
        keys: owner by key digest.
        models: model routes by model name.
        services: service routes, longest path first.
        instances: listed instances by id.
        pools: ids of the live agents by (pool, stage), sorted by id.
        entries: ids of the live entries, sorted by id.
    """

    revision: int = 0
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    keys: dict[str, KeyOwner] = field(default_factory=dict)
    models: dict[str, list[RouteEntry]] = field(default_factory=dict)
    services: list[RouteEntry] = field(default_factory=list)
    instances: dict[str, Instance] = field(default_factory=dict)
    pools: dict[tuple[str, str], tuple[str, ...]] = field(default_factory=dict)
    entries: tuple[str, ...] = ()

    def key_owner(self, key: str) -> KeyOwner | None:
        """Return the owner of a key, given its text; None if it is unknown."""
        return self.keys.get(hash_key(key))

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


def hash_key(key: str) -> str:
    """Return the digest under which a key is published."""
    return hashlib.sha256(key.encode()).hexdigest()


def build_view(store: ConfigStore) -> ConfigView:
    """Return the indexes over a store's documents."""
    return ViewIndexer().apply(store, store.documents)


class ViewIndexer:
    """Updates the indexes after a change without indexing every document again.

    A returned view never changes: an index is copied before it is modified.
    Workspaces and keys are updated path by path; unchanged ones are only copied.
    Routes and instances are few or change seldom, so their indexes are rebuilt when
    one of them changes.

    A key is valid only while its workspace exists. If several documents claim
    the same digest, the one with the oldest revision is in force, but any of
    them can withdraw the key. This prevents a team from taking over another
    team's key.
    """

    def __init__(self) -> None:
        self._view = ConfigView()
        self._known_keys: dict[str, tuple[str, str]] = {}
        self._paths_by_digest: dict[str, set[str]] = defaultdict(set)
        self._keys_by_workspace: dict[str, set[str]] = defaultdict(set)
        self._paths_by_kind: dict[str, set[str]] = {kind: set() for kind in _REBUILDERS}

    @property
    def view(self) -> ConfigView:
        """The current view."""
        return self._view

    def key_claims(self, key_digest: str) -> set[str]:
        """Return the paths of the key documents with this digest."""
        return self._paths_by_digest.get(key_digest, set())

    def apply(self, store: ConfigStore, changed: Iterable[str]) -> ConfigView:
        """Return a new view after the documents at some paths changed."""
        view = replace(self._view, revision=store.revision)
        by_kind: dict[str, list[str]] = defaultdict(list)
        for path in sorted(changed):
            by_kind[document_kind(path)].append(path)
        digests = self._apply_workspaces(view, store, by_kind["workspaces"])
        digests |= self._apply_keys(store, by_kind["keys"])
        self._index_keys(view, store, digests)
        for kind, rebuild in _REBUILDERS.items():
            if by_kind[kind]:
                self._update_paths(kind, store, by_kind[kind])
                rebuild(view, store, sorted(self._paths_by_kind[kind]))
        self._view = view
        return view

    def _apply_workspaces(
        self, view: ConfigView, store: ConfigStore, paths: list[str]
    ) -> set[str]:
        """Update the workspaces; return the key digests of those added or removed."""
        if not paths:
            return set()
        view.workspaces = dict(view.workspaces)
        digests = set()
        for path in paths:
            parts = path.split("/")
            name = f"{parts[1]}/{parts[3]}"
            accepted = store.documents.get(path)
            existed = view.workspaces.pop(name, None) is not None
            if accepted is not None:
                _add_workspace(view, parts, accepted.document)
            if existed != (accepted is not None):
                digests |= {
                    self._known_keys[key][0] for key in self._keys_by_workspace[name]
                }
        return digests

    def _apply_keys(self, store: ConfigStore, paths: list[str]) -> set[str]:
        """Record the claims of key documents and return the affected digests."""
        digests = set()
        for path in paths:
            before = self._known_keys.pop(path, None)
            if before is not None:
                digests.add(before[0])
                self._paths_by_digest[before[0]].discard(path)
                self._keys_by_workspace[before[1]].discard(path)
            accepted = store.documents.get(path)
            if accepted is not None:
                key: Key = accepted.document
                workspace = f"{path.split('/')[1]}/{key.workspace}"
                digests.add(key.digest)
                self._known_keys[path] = (key.digest, workspace)
                self._paths_by_digest[key.digest].add(path)
                self._keys_by_workspace[workspace].add(path)
        return digests

    def _index_keys(
        self, view: ConfigView, store: ConfigStore, digests: set[str]
    ) -> None:
        if not digests:
            return
        view.keys = dict(view.keys)
        for key_digest in digests:
            owner = self._resolve_owner(view, store, key_digest)
            if owner is None:
                view.keys.pop(key_digest, None)
            else:
                view.keys[key_digest] = owner

    def _resolve_owner(
        self, view: ConfigView, store: ConfigStore, key_digest: str
    ) -> KeyOwner | None:
        paths = self._paths_by_digest[key_digest]
        if not paths:
            del self._paths_by_digest[key_digest]
            return None
        oldest = min(
            paths, key=lambda path: (store.documents[path].item.revision, path)
        )
        workspace = self._known_keys[oldest][1]
        if workspace not in view.workspaces:
            return None
        withdrawn = any(store.documents[path].document.withdrawn for path in paths)
        return KeyOwner(workspace, oldest.split("/")[1], withdrawn)

    def _update_paths(self, kind: str, store: ConfigStore, changed: list[str]) -> None:
        for path in changed:
            if path in store.documents:
                self._paths_by_kind[kind].add(path)
            else:
                self._paths_by_kind[kind].discard(path)


def document_kind(path: str) -> str:
    """Return the part of a path that names the kind of its document."""
    parts = path.split("/")
    return parts[1] if parts[0] == "platform" else parts[2]


def _rebuild_routes(view: ConfigView, store: ConfigStore, paths: list[str]) -> None:
    view.models, view.services = {}, []
    in_force = open_routes_in_force(store, paths)
    for path in paths:
        route: Route = store.documents[path].document
        if route.open and in_force[route_claim(route)] != path:
            route = route.model_copy(update={"open": False})
        _add_route(view, path.split("/"), route)
    view.services.sort(key=lambda entry: (-len(entry.route.path), entry.name))


def _rebuild_instances(view: ConfigView, store: ConfigStore, paths: list[str]) -> None:
    view.instances = {}
    for path in paths:
        _add_instance(view, path.split("/"), store.documents[path].document)
    _group_live_instances(view)


_REBUILDERS = {"routes": _rebuild_routes, "instances": _rebuild_instances}


def route_claim(route: Route) -> tuple[str, str]:
    """Return the field and value by which callers select a route."""
    if route.kind == "model":
        return "model", route.model
    return "path", route.path.rstrip("/")


def open_routes_in_force(
    store: ConfigStore, paths: Iterable[str]
) -> dict[tuple[str, str], str]:
    """Return the path of the open route in force for each claim.

    Of several open routes with the same claim, the one with the oldest revision
    serves callers without a key, so that no team can take over another's callers.
    """
    in_force: dict[tuple[str, str], str] = {}
    for path in sorted(paths, key=lambda path: store.documents[path].item.revision):
        route: Route = store.documents[path].document
        if route.open:
            in_force.setdefault(route_claim(route), path)
    return in_force


def _group_live_instances(view: ConfigView) -> None:
    """Group the live instances, so that no request has to scan all of them."""
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


def _add_workspace(view: ConfigView, parts: list[str], document: Workspace) -> None:
    view.workspaces[f"{parts[1]}/{parts[3]}"] = document


def _add_route(view: ConfigView, parts: list[str], document: Route) -> None:
    entry = RouteEntry(f"{parts[1]}/{parts[3]}", parts[1], document)
    if document.kind == "model":
        view.models.setdefault(document.model, []).append(entry)
    else:
        view.services.append(entry)


def _add_instance(view: ConfigView, parts: list[str], document: Instance) -> None:
    view.instances[parts[2]] = document
