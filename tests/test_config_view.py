import random

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config.checks import record_warnings
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import ViewIndexer, build_view, hash_key
from ebonyglade.wire.control import ConfigItem

WORKSPACE = "rate = 1.0\nburst = 1.0\n"


def key(text, workspace, withdrawn=False):
    flag = str(withdrawn).lower()
    return (
        f'workspace = "{workspace}"\ndigest = "{hash_key(text)}"\nwithdrawn = {flag}\n'
    )


def route(path, open_to_all=False, pool="rooms"):
    flag = str(open_to_all).lower()
    return f'kind = "service"\npool = "{pool}"\npath = "{path}"\nopen = {flag}\n'


def instance(pool="rooms", state="live"):
    return (
        'role = "agent"\naddress = "tcp://10.0.0.1:7000"\nzone = "a"\n'
        f'stage = "service"\npool = "{pool}"\nstate = "{state}"\n'
    )


class PublishedConfig:
    """A store and indexes to which every published change is applied."""

    def __init__(self):
        self.audit = AuditTrail(lambda: 0.0)
        self.store = ConfigStore(self.audit)
        self.indexer = ViewIndexer()
        self.items = {}
        self.revision = 1

    def put(self, **values):
        for path, text in values.items():
            self.revision += 1
            path = path.replace("__", "/")
            self.items[path] = ConfigItem(path, self.revision, text)
        return self._apply()

    def remove(self, path):
        self.revision += 1
        self.items.pop(path.replace("__", "/"), None)
        return self._apply()

    def warnings(self):
        return [r for r in self.audit if r.outcome is Outcome.WARNED]

    def _apply(self):
        changed = self.store.apply_snapshot(self.revision, list(self.items.values()))
        view = self.indexer.apply(self.store, changed)
        record_warnings(self.store, self.indexer, changed, self.audit)
        return view


def test_view_updated_incrementally_equals_one_built_from_scratch():
    for seed in range(15):
        rng = random.Random(seed)
        published = PublishedConfig()
        for _ in range(60):
            name = rng.randrange(3)
            team = rng.choice("ab")
            choices = {
                f"teams__{team}__workspaces__{name}": WORKSPACE,
                f"teams__{team}__keys__{name}": key(
                    f"k{rng.randrange(3)}", str(rng.randrange(3)), rng.random() < 0.2
                ),
                f"teams__{team}__routes__{name}": route(
                    f"/{rng.randrange(2)}", rng.random() < 0.5
                ),
                f"platform__instances__{name}": instance(),
            }
            path = rng.choice(list(choices))
            if rng.random() < 0.3:
                view = published.remove(path)
            else:
                view = published.put(**{path: choices[path]})
            assert view == build_view(published.store)


def test_returned_view_never_changes():
    published = PublishedConfig()
    before = published.put(teams__a__workspaces__w=WORKSPACE)
    published.put(teams__a__keys__k=key("secret", "w"))
    published.remove("teams/a/workspaces/w")
    assert list(before.workspaces) == ["a/w"]
    assert before.keys == {}


def test_key_of_a_missing_workspace_is_unknown_until_the_workspace_comes():
    published = PublishedConfig()
    view = published.put(teams__a__keys__k=key("secret", "w"))
    assert view.key_owner("secret") is None
    warning = published.warnings()[0]
    assert (warning.path, warning.revision) == ("teams/a/keys/k", 2)
    assert warning.reason.startswith("line 1: workspace: there is no workspace 'w'")
    view = published.put(teams__a__workspaces__w=WORKSPACE)
    assert view.key_owner("secret").workspace == "a/w"
    assert published.remove("teams/a/workspaces/w").key_owner("secret") is None


def test_no_team_takes_over_the_key_of_another():
    published = PublishedConfig()
    published.put(teams__b__workspaces__w=WORKSPACE, teams__a__workspaces__w=WORKSPACE)
    published.put(teams__b__keys__k=key("secret", "w"))
    view = published.put(teams__a__keys__copy=key("secret", "w"))
    assert view.key_owner("secret").team == "b"
    assert "line 2: digest: also claimed by" in published.warnings()[0].reason
    view = published.put(teams__b__keys__also=key("secret", "w", withdrawn=True))
    assert view.key_owner("secret").withdrawn


def test_no_team_takes_over_the_open_path_of_another():
    published = PublishedConfig()
    published.put(platform__instances__r=instance())
    published.put(teams__b__routes__listings=route("/listings", open_to_all=True))
    view = published.put(
        teams__a__routes__listings=route("/listings/", open_to_all=True)
    )
    assert [entry.team for entry in view.services if entry.route.open] == ["b"]
    reasons = [record.reason for record in published.warnings()]
    assert reasons == ["line 3: path: '/listings' is also claimed by b/listings"]


def test_route_whose_pool_has_no_endpoint_is_reported():
    published = PublishedConfig()
    published.put(platform__instances__r=instance(state="leaving"))
    published.put(teams__a__routes__r=route("/r"))
    assert "line 2: pool: no live endpoint" in published.warnings()[0].reason
