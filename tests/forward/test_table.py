from ebonyglade.forward.table import build, pick_share
from ebonyglade.forward.types import Share
from helpers.forwarding import published, route


def test_the_longest_prefix_that_begins_a_path_wins():
    table = build(
        published(routes=[route(name="short"), route(name="long", prefix="/a/b/")])
    )
    assert table.route("h.example", "/a/b/c").name == "long"
    assert table.route("h.example", "/a/b").name == "short"
    assert table.route("H.example:80", "/a/").name == "short"
    assert table.route("h.example", "/b/") is None
    assert table.route("other.example", "/a/") is None


def test_shares_get_requests_by_weight():
    shares = (Share("x", 90), Share("y", 10))
    picked = [pick_share(shares, point / 100) for point in range(100)]
    assert picked.count("y") == 10
    assert pick_share((Share("only", 0.0),), 0.9) == "only"


def test_keys_lead_to_workspaces_and_none_are_asked_without_any():
    table = build(published())
    assert table.by_key["key"].name == "w"
    assert table.asks_keys
