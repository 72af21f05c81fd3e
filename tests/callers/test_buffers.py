"""Who gives memory up for others when it is short."""

from ebonyglade.buffers import (
    ALWAYS_GRANTED_BYTES,
    MIB,
    MIN_BUFFERED_BYTES,
    BufferBudget,
    BufferLease,
    buffered_bytes_within,
)

LARGE = 10 * ALWAYS_GRANTED_BYTES


class Uploads:
    """Leases of uploads on a clock that a test sets."""

    def __init__(self, max_bytes):
        self.now = 0.0
        self.budget = BufferBudget(max_bytes, lambda: self.now)
        self.given_up = []

    def begin(self, name, size, at=0.0):
        self.now = at
        lease = BufferLease(self.budget)
        lease.may_be_given_up(lambda: self.given_up.append(name))
        assert lease.hold(size)
        return lease


def test_the_upload_that_has_held_most_for_longest_is_given_up():
    uploads = Uploads(3 * LARGE)
    uploads.begin("short", LARGE // 10, 0.0)
    stalled = uploads.begin("stalled", LARGE, 0.0)
    uploads.begin("later", LARGE, 5.0)
    ordinary = uploads.begin("ordinary", LARGE, 6.0)
    assert uploads.given_up == ["stalled"]
    assert (stalled.held, ordinary.held) == (0, LARGE)
    assert uploads.budget.used == 2 * LARGE + LARGE // 10


def test_an_upload_that_is_itself_the_first_to_go_is_refused():
    uploads = Uploads(2 * LARGE)
    largest = uploads.begin("largest", LARGE, 0.0)
    uploads.begin("other", LARGE // 2, 0.0)
    uploads.now = 1.0
    assert not largest.hold(2 * LARGE)
    assert (largest.held, uploads.given_up) == (LARGE, [])


def test_a_whole_request_is_not_given_up():
    uploads = Uploads(2 * LARGE)
    whole = uploads.begin("whole", 2 * LARGE, 0.0)
    whole.may_be_given_up(None)
    uploads.now = 9.0
    lease = BufferLease(uploads.budget)
    lease.may_be_given_up(lambda: None)
    assert not lease.hold(LARGE)
    assert lease.hold(ALWAYS_GRANTED_BYTES)
    assert uploads.given_up == []


def test_a_small_request_gets_its_memory_and_stalled_ones_give_theirs_up():
    uploads = Uploads(LARGE)
    uploads.begin("stalled", LARGE, 0.0)
    uploads.begin("small", ALWAYS_GRANTED_BYTES, 1.0)
    assert uploads.given_up == ["stalled"]
    assert uploads.budget.used == ALWAYS_GRANTED_BYTES


def test_memory_for_callers_follows_the_memory_of_the_machine():
    assert buffered_bytes_within(0, 32 * MIB) == 32 * MIB
    assert buffered_bytes_within(1024 * MIB, 32 * MIB) == 32 * MIB
    assert buffered_bytes_within(128 * MIB, 32 * MIB) == 16 * MIB
    assert buffered_bytes_within(10 * MIB, 32 * MIB) == MIN_BUFFERED_BYTES
    assert buffered_bytes_within(10 * MIB, MIB) == MIB
