import pytest

from ebonyglade.forward.store.store_replica import RELIST_GRACE_S
from helpers.forwarding import (
    Clock,
    at,
    configuration,
    endpoint,
    listed,
    removed,
    store_replica,
)


def test_an_older_copy_does_not_revert_a_newer_one():
    replica = store_replica(Clock())
    replica.apply([configuration(7, 40)], at(40))
    replica.apply([configuration(5, 30)], at(30))
    assert replica.table.version == 7
    assert replica.as_of == at(40)


def test_an_invalid_configuration_leaves_the_previous_one_in_force():
    replica = store_replica(Clock())
    replica.apply([configuration(1, 2)], at(2))
    broken = configuration(2, 3)
    replica.apply([type(broken)(broken.path, b"{", at(3))], at(3))
    assert replica.table.version == 1
    assert [record.outcome.value for record in replica.audit] == [
        "accepted",
        "rejected",
    ]


def test_an_invalid_endpoint_document_lists_no_endpoint():
    replica = store_replica(Clock())
    good = listed(endpoint("a"), 2)
    replica.apply([good, type(good)("endpoints/b", b'{"id": 3}', at(3))], at(3))
    assert list(replica.registry.endpoints) == ["a"]


def test_endpoints_that_expired_in_an_outage_are_kept_for_the_relist_grace():
    clock = Clock()
    replica = store_replica(clock)
    replica.apply([listed(endpoint("a"), 2), listed(endpoint("b"), 3)], at(3))
    replica.record_outage_end(clock.now)
    replica.apply([removed("a", 4), removed("b", 5)], at(5))
    assert set(replica.registry.endpoints) == {"a", "b"}
    replica.apply([listed(endpoint("a"), 6)], at(6))
    clock.now += RELIST_GRACE_S
    replica.refresh_endpoints(clock.now)
    assert set(replica.registry.endpoints) == {"a"}


def test_a_leaving_endpoint_is_not_kept_after_an_outage():
    clock = Clock()
    replica = store_replica(clock)
    replica.apply([listed(endpoint("a", leaving=True), 2)], at(2))
    replica.record_outage_end(clock.now)
    replica.apply([removed("a", 4)], at(4))
    assert not replica.registry.endpoints


def test_without_an_outage_a_removed_endpoint_is_dropped_at_once():
    replica = store_replica(Clock())
    replica.apply([listed(endpoint("a"), 2)], at(2))
    replica.apply([removed("a", 3)], at(3))
    assert not replica.registry.endpoints


def test_a_newer_process_at_an_address_replaces_the_older_one():
    replica = store_replica(Clock())
    old = endpoint("old", address="10.0.0.9:80", born_ms=10)
    new = endpoint("new", address="10.0.0.9:80", born_ms=20)
    replica.apply([listed(old, 2)], at(2))
    replica.apply([listed(new, 3)], at(3))
    assert list(replica.registry.endpoints) == ["new"]
    replica.apply([listed(old, 4)], at(4))
    assert list(replica.registry.endpoints) == ["new"]


# Another writer's document took the place of a sound endpoint.
@pytest.mark.parametrize("first", ["sound", "odd"])
def test_a_document_of_an_unknown_service_takes_over_no_address(first):
    replica = store_replica(Clock())
    replica.apply([configuration(1, 1)], at(1))
    sound = endpoint("sound", address="10.0.0.9:80", born_ms=10)
    odd = endpoint("odd", "nobody", address="10.0.0.9:80", born_ms=20)
    order = [sound, odd] if first == "sound" else [odd, sound]
    replica.apply([listed(item, 2 + n) for n, item in enumerate(order)], at(5))
    assert [item.id for item in replica.registry.accepting("desk")] == ["sound"]


def test_replacing_from_pages_does_not_undo_later_changes():
    replica = store_replica(Clock())
    replica.apply([listed(endpoint("late"), 9)], at(9))
    replica.replace([listed(endpoint("a"), 2)], at(5))
    assert set(replica.registry.endpoints) == {"late", "a"}
    replica.replace([], at(20))
    assert not replica.registry.endpoints


def test_an_older_confirmation_does_not_lower_the_age():
    clock = Clock(100.0)
    replica = store_replica(clock)
    replica.confirm_current_at(99.0)
    replica.confirm_current_at(98.0)
    assert replica.age(clock()) == 1.0


def test_a_configuration_that_is_known_already_is_not_put_in_force_again():
    """Guards against decoding all routes once for each member that sends them."""
    clock = Clock()
    replica = store_replica(clock)
    replica.apply([configuration(3, 10)], at(10))
    table = replica.table
    replica.adopt_configuration(configuration(3, 9))
    replica.apply([configuration(3, 12)], at(12))
    assert replica.table is table
    assert replica.as_of == at(12)
    assert [record.revision for record in replica.audit] == [10]


@pytest.mark.parametrize("whole", [False, True])
def test_a_late_answer_does_not_list_an_endpoint_again_that_was_removed(whole):
    """Guards against a slow read that lists an endpoint after its removal."""
    replica = store_replica(Clock())
    replica.replace([listed(endpoint("a"), 4), listed(endpoint("b"), 5)], at(10))
    replica.apply([removed("a", 12)], at(12))
    late = [listed(endpoint("a"), 4), listed(endpoint("b"), 5)]
    if whole:
        replica.replace(late, at(11))
    else:
        replica.apply(late, at(11))
    assert set(replica.registry.endpoints) == {"b"}
    replica.apply([listed(endpoint("a"), 13)], at(13))
    assert set(replica.registry.endpoints) == {"a", "b"}


def test_an_endpoint_that_is_listed_and_removed_in_one_page_is_not_used():
    """Guards against a page whose removal is dropped, as the endpoint was not known."""
    replica = store_replica(Clock())
    replica.replace([listed(endpoint("b"), 5)], at(10))
    replica.apply([listed(endpoint("a"), 11), removed("a", 12)], at(12))
    assert set(replica.registry.endpoints) == {"b"}
