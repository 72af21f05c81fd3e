"""Which connection is closed when there are too many."""

import pytest

from ebonyglade.callers.connection_table import (
    CallerConnection,
    ConnectionTable,
    Progress,
)


def connections(table, *stages):
    """Add connections with the given progress; return them."""
    added = [CallerConnection(lambda: None) for _ in stages]
    for connection, progress in zip(added, stages, strict=True):
        table.add(connection)
        table.move(connection, progress)
    return added


def test_no_connection_is_closed_up_to_the_bound():
    table = ConnectionTable(2)
    assert [table.add(CallerConnection(lambda: None)) for _ in range(2)] == [None, None]


# A caller that sends its request at once keeps its connection while others don't.
@pytest.mark.parametrize("progress", [item for item in Progress if item])
def test_a_connection_without_a_request_is_closed_before_others(progress):
    table = ConnectionTable(2)
    _, silent = connections(table, progress, Progress.NO_REQUEST)
    assert table.add(CallerConnection(lambda: None)) is silent


def test_the_connection_that_has_waited_longest_is_closed():
    table = ConnectionTable(3)
    first, second, third = connections(table, *[Progress.IDLE] * 3)
    table.move(first, Progress.ACTIVE)
    table.move(first, Progress.IDLE)
    table.remove(second)
    new = CallerConnection(lambda: None)
    assert table.add(new) is None
    table.move(new, Progress.ACTIVE)
    newest = CallerConnection(lambda: None)
    assert table.add(newest) is newest
    table.move(newest, Progress.ACTIVE)
    assert table.add(CallerConnection(lambda: None, Progress.ACTIVE)) is third


def test_a_new_connection_is_closed_if_all_others_have_whole_requests():
    table = ConnectionTable(2)
    connections(table, Progress.ACTIVE, Progress.ACTIVE)
    new = CallerConnection(lambda: None)
    assert table.add(new) is new
    table.remove(new)
    assert len(table) == 2
