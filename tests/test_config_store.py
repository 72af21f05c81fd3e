import random

import pytest

from ebonyglade.audit import AuditTrail, Outcome
from ebonyglade.config import store as store_module
from ebonyglade.config.documents import MAX_VALUE_BYTES, parse_document
from ebonyglade.config.store import ConfigStore
from ebonyglade.wire.control import ConfigItem

WORKSPACE = "teams/aula/workspaces/physics"
OTHER = "teams/pham/workspaces/notes"


def new_store():
    return ConfigStore(AuditTrail(lambda: 0.0))


def workspace(revision, rate=1.0, path=WORKSPACE):
    return ConfigItem(path, revision, f"rate = {rate}\nburst = 1.0\n")


def broken(revision, path=WORKSPACE):
    return ConfigItem(path, revision, "rate = -1.0\nburst = 1.0\n")


def rate(store, path=WORKSPACE):
    return store.documents[path].document.rate


def records(store, outcome):
    return [record for record in store._audit if record.outcome is outcome]


@pytest.mark.parametrize("revision", [4, 5])
def test_snapshot_that_is_not_newer_changes_nothing(revision):
    store = new_store()
    store.apply_snapshot(5, [workspace(5, rate=2.0)])
    assert store.apply_snapshot(revision, [workspace(4, rate=1.0)]) == set()
    assert store.apply_snapshot(revision, []) == set()
    assert (store.revision, rate(store)) == (5, 2.0)


def test_neighbours_older_copy_does_not_bring_a_removed_path_back():
    store, neighbour = new_store(), new_store()
    neighbour.apply_snapshot(5, [workspace(5), workspace(3, path=OTHER)])
    store.apply_snapshot(5, [workspace(5), workspace(3, path=OTHER)])
    store.apply_snapshot(6, [workspace(3, path=OTHER)])
    assert store.apply_push(neighbour.push_since(0)) == set()
    assert list(store.documents) == [OTHER]
    assert neighbour.apply_push(store.push_since(5)) == {WORKSPACE}


def test_path_added_and_removed_between_two_reads_is_removed_at_a_neighbour(
    monkeypatch,
):
    """The neighbour was at a revision between two that this instance has read."""

    def history():
        store, neighbour = new_store(), new_store()
        store.apply_snapshot(3, [workspace(3, path=OTHER)])
        neighbour.apply_snapshot(4, [workspace(3, path=OTHER), workspace(4)])
        store.apply_snapshot(5, [workspace(3, path=OTHER)])
        neighbour.apply_push(store.push_since(4))
        return neighbour

    assert list(history().documents) == [OTHER]
    monkeypatch.setattr(ConfigStore, "_remove_unlisted", lambda *args: set())
    assert WORKSPACE in history().documents


def test_invalid_value_keeps_the_last_valid_one_and_blocks_no_other_path():
    store = new_store()
    store.apply_snapshot(2, [workspace(2, rate=2.0)])
    changed = store.apply_snapshot(4, [broken(3), workspace(4, path=OTHER)])
    assert changed == {OTHER}
    assert rate(store) == 2.0
    rejected = records(store, Outcome.REJECTED)[0]
    assert (rejected.path, rejected.revision) == (WORKSPACE, 3)
    assert rejected.reason.startswith("line 1: rate")


def test_new_instance_gets_the_last_good_value_although_it_has_the_same_revision():
    old, new = new_store(), new_store()
    old.apply_snapshot(2, [workspace(2, rate=2.0)])
    old.apply_snapshot(8, [broken(8)])
    new.apply_snapshot(8, [broken(8)])
    assert new.invalid() == [(WORKSPACE, 0)]
    assert old.push_since(8).good == []
    assert new.apply_push(old.push_since(8, new.invalid())) == {WORKSPACE}
    assert rate(new) == 2.0
    newer = new_store()
    newer.apply_push(new.push_since(0))
    assert rate(newer) == 2.0


def test_older_good_value_of_a_neighbour_does_not_replace_a_newer_one():
    ahead, behind = new_store(), new_store()
    behind.apply_snapshot(2, [workspace(2, rate=2.0)])
    ahead.apply_snapshot(5, [workspace(5, rate=5.0)])
    for item in (ahead, behind):
        item.apply_snapshot(8, [broken(8)])
    assert ahead.apply_push(behind.push_since(8, ahead.invalid())) == set()
    assert behind.apply_push(ahead.push_since(8, behind.invalid())) == {WORKSPACE}
    assert rate(ahead) == rate(behind) == 5.0


@pytest.mark.parametrize("page_bytes", [1, 100, store_module.PAGE_BYTES])
def test_copies_agree_whatever_route_the_revisions_took(page_bytes, monkeypatch):
    monkeypatch.setattr(store_module, "PAGE_BYTES", page_bytes)
    for seed in range(20):
        _run_history(random.Random(seed))


def _run_history(rng):
    published, revision = {}, 1
    copies = [new_store() for _ in range(4)]
    snapshots = [(1, [])]
    for _ in range(150):
        if rng.random() < 0.4:
            revision += 1
            path = f"teams/aula/workspaces/{rng.randrange(6)}"
            if rng.random() < 0.3:
                published.pop(path, None)
            else:
                make = broken if rng.random() < 0.2 else workspace
                published[path] = make(revision, path=path)
            snapshots.append((revision, list(published.values())))
        target = rng.choice(copies)
        before = target.revision
        if rng.random() < 0.3:
            # The platform may return an older copy to any reader at any time.
            target.apply_snapshot(*rng.choice(snapshots[-5:]))
        else:
            _catch_up(target, rng.choice(copies))
        assert target.revision >= before
    copies[0].apply_snapshot(*snapshots[-1])
    newest = {item.path: item for item in published.values()}
    for copy in copies:
        _catch_up(copy, copies[0])
        assert copy._latest == newest
        assert copy.documents.keys() <= newest.keys()


def _catch_up(target, source):
    while source.revision > target.revision:
        push = source.push_since(target.revision, target.invalid())
        assert target.apply_push(push) is not None


@pytest.mark.parametrize(
    "text",
    [
        "rate = " + "[" * 100_000,
        "a = " + "{b = " * 20_000,
        "rate = " + "9" * 100_000,
        "rate = inf\nburst = 1.0",
        "rate = nan\nburst = 1.0",
        "rate = 1e999\nburst = 1.0",
        "\x00\xff",
        "#" * (MAX_VALUE_BYTES + 1),
        "rate = 2020-01-01\nburst = [[[]]]",
        ".".join("a" * 500_000) + " = 1",
        ".".join(["'a b'"] * 100_000) + " = 1",
        "a" * 1_000_000,
        "'" * 1_000_000,
        "x = [" + "{}," * 300_000 + "]",
        ("[" + ".".join("abcdefg") + "]\n") * 60_000,
        "\n".join(f"{number} = 1" for number in range(100_000)),
    ],
    ids=range(16),
)
def test_hostile_value_is_refused_and_raises_nothing(text):
    assert parse_document(WORKSPACE, text).is_err()


def test_old_removals_are_deleted(monkeypatch):
    monkeypatch.setattr(store_module, "MAX_KNOWN_REVISIONS", 50)
    store = new_store()
    store._known_revisions = type(store._known_revisions)(maxlen=50)
    for number in range(500):
        path = f"platform/instances/agent-{number}"
        store.apply_snapshot(2 * number + 1, [ConfigItem(path, 2 * number + 1, "")])
        store.apply_snapshot(2 * number + 2, [])
    assert len(store._removed) <= 60
