from ebonyglade.forward.belief import LAPSE_S
from helpers.forwarding import Clock, belief, configuration, endpoint, listed, removed


def test_an_older_copy_takes_nothing_back():
    believed = belief(Clock())
    believed.apply([configuration(7, 40)], 40)
    believed.apply([configuration(5, 30)], 30)
    assert believed.table.version == 7
    assert believed.as_of == 40


def test_an_invalid_configuration_leaves_the_last_one_in_force():
    believed = belief(Clock())
    believed.apply([configuration(1, 2)], 2)
    broken = configuration(2, 3)
    believed.apply([type(broken)(broken.path, b"{", 3)], 3)
    assert believed.table.version == 1
    assert [record.outcome.value for record in believed.audit] == [
        "accepted",
        "rejected",
    ]


def test_an_entry_of_another_writer_names_no_endpoint():
    believed = belief(Clock())
    good = listed(endpoint("a"), 2)
    believed.apply([good, type(good)("endpoints/b", b'{"id": 3}', 3)], 3)
    assert list(believed.roster.endpoints) == ["a"]


def test_endpoints_that_lapsed_in_an_outage_count_until_they_had_time_to_return():
    clock = Clock()
    believed = belief(clock)
    believed.apply([listed(endpoint("a"), 2), listed(endpoint("b"), 3)], 3)
    believed.outage_ended(clock.now)
    believed.apply([removed("a", 4), removed("b", 5)], 5)
    assert set(believed.roster.endpoints) == {"a", "b"}
    believed.apply([listed(endpoint("a"), 6)], 6)
    clock.now += LAPSE_S
    believed.tick(clock.now)
    assert set(believed.roster.endpoints) == {"a"}


def test_a_leaving_endpoint_is_not_kept_by_an_outage():
    clock = Clock()
    believed = belief(clock)
    believed.apply([listed(endpoint("a", leaving=True), 2)], 2)
    believed.outage_ended(clock.now)
    believed.apply([removed("a", 4)], 4)
    assert not believed.roster.endpoints


def test_without_an_outage_a_removed_endpoint_is_gone_at_once():
    believed = belief(Clock())
    believed.apply([listed(endpoint("a"), 2)], 2)
    believed.apply([removed("a", 3)], 3)
    assert not believed.roster.endpoints


def test_the_next_process_at_an_address_replaces_the_one_before():
    believed = belief(Clock())
    old = endpoint("old", address="10.0.0.9:80", born_ms=10)
    new = endpoint("new", address="10.0.0.9:80", born_ms=20)
    believed.apply([listed(old, 2)], 2)
    believed.apply([listed(new, 3)], 3)
    assert list(believed.roster.endpoints) == ["new"]
    believed.apply([listed(old, 4)], 4)
    assert list(believed.roster.endpoints) == ["new"]


def test_pages_that_are_no_snapshot_undo_no_later_change():
    believed = belief(Clock())
    believed.apply([listed(endpoint("late"), 9)], 9)
    believed.replace([listed(endpoint("a"), 2)], 5)
    assert set(believed.roster.endpoints) == {"late", "a"}
    believed.replace([], 20)
    assert not believed.roster.endpoints


def test_a_confirmation_is_as_old_as_the_read_that_gave_it():
    clock = Clock(100.0)
    believed = belief(clock)
    believed.confirm(99.0)
    believed.confirm(98.0)
    assert believed.age(clock()) == 1.0
