import random
import time
from itertools import product

import pytest

from ebonyglade.completeness import Content
from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.events import EventSplitter
from ebonyglade.forward.stage_planning import next_stage_change, throughput
from ebonyglade.forward.types import Load, Stage
from helpers.forwarding import endpoint


def test_only_complete_events_are_returned():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == b""
    assert splitter.feed(b"\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_event_id == "1"
    assert splitter.remainder_size == len(b"id: 2\nda")
    assert splitter.feed(b"ta: b\r\n\r\n") == b"id: 2\ndata: b\r\n\r\n"
    assert splitter.last_event_id == "2"


# Each line may end in its own way; a stream that ends so is complete.
@pytest.mark.parametrize(
    ("first", "second"),
    # CR and LF are the end of one line.
    [
        pair
        for pair in product([b"\n", b"\r", b"\r\n"], repeat=2)
        if pair != (b"\r", b"\n")
    ],
)
def test_an_event_ends_with_an_empty_line_whatever_ends_its_lines(first, second):
    event = b"data: a" + first + second
    splitter = EventSplitter()
    parts = [splitter.feed(event[at : at + 1]) for at in range(len(event))]
    assert splitter.content is Content.WHOLE_EVENTS
    assert b"".join(parts) + splitter.take_remainder() == event


@pytest.mark.parametrize(
    ("stream", "last_id"),
    [
        (b"id: 7\ndata: id: 8\n\n", "7"),
        (b"id:7\r\nid: 8\r\n\r\ndata: id:9\n\n", "8"),
        (b"data: x\n\n", ""),
        (b"data: x\nid\n\n", ""),
        (b"id: 7\n\nid: 8", "7"),
    ],
)
def test_the_last_id_is_that_of_a_field_and_of_a_complete_event(stream, last_id):
    splitter = EventSplitter()
    splitter.feed(stream)
    assert splitter.last_event_id == last_id


# The bytes before were copied and searched again with each part that arrived.
def test_the_cost_of_an_unfinished_event_grows_with_its_bytes_and_not_their_square():
    def seconds(parts):
        splitter = EventSplitter()
        started = time.process_time()
        for _ in range(parts):
            splitter.feed(b"data: " + b"x" * 1018)
        return time.process_time() - started

    # Linear cost is 16 times that of the smaller size, quadratic cost 256 times.
    assert seconds(16_000) < 64 * seconds(1000)


@pytest.mark.parametrize(
    ("stream", "content"),
    [
        (b"", Content.NO_EVENTS),
        (b": ping\n\n", Content.NO_EVENTS),
        (b"data: a\n\n: ping\n", Content.WHOLE_EVENTS),
        (b"data: a\n\n\n", Content.WHOLE_EVENTS),
        (b"data: a\n\n: pi", Content.UNFINISHED_EVENT),
        (b"data: a\n\nid: 2\n", Content.UNFINISHED_EVENT),
        (b"data: a\n", Content.UNFINISHED_EVENT),
    ],
)
def test_comments_and_empty_lines_are_no_events(stream, content):
    splitter = EventSplitter()
    splitter.feed(stream)
    assert splitter.content is content


def test_the_least_loaded_endpoint_that_is_not_ejected_is_chosen():
    loads, rng = EndpointLoads(), random.Random(1)
    listed = [endpoint("a"), endpoint("b"), endpoint("c")]
    loads.record_load("a", Load(4, 2, 4), 0.0)
    loads.request_started("b")
    assert loads.choose(listed, set(), "z", 0.1, rng).id == "c"
    loads.ejections.record_failure("c", 0.1)
    assert loads.choose(listed, set(), "z", 0.2, rng).id == "b"
    assert loads.choose(listed, {"a", "b"}, "z", 0.2, rng).id == "c"
    assert loads.choose(listed, {"a", "b", "c"}, "z", 0.2, rng) is None


def test_an_endpoint_that_fails_more_than_the_others_is_avoided():
    loads, rng = EndpointLoads(), random.Random(1)
    listed = [endpoint("grey"), endpoint("sound")]
    for _ in range(20):
        loads.record_outcome("grey", True, 0.0)
        loads.record_outcome("sound", False, 0.0)
    loads.request_started("sound")
    assert loads.choose(listed, set(), "z", 0.0, rng).id == "sound"


def test_an_endpoint_is_used_again_when_its_failure_rate_has_decayed():
    """One of two endpoints fails for a while; later the other one is overloaded."""
    loads, rng = EndpointLoads(), random.Random(1)
    listed = [endpoint("failed"), endpoint("sound", slots=12)]
    for _ in range(20):
        loads.record_outcome("failed", True, 0.0)
    for _ in range(4):
        loads.request_started("sound")
    assert loads.choose(listed, set(), "z", 1.0, rng).id == "sound"
    assert loads.choose(listed, set(), "z", 30.0, rng).id == "failed"


def _model(name, stage, leaving=False):
    return endpoint(name, "model", stage=stage, leaving=leaving)


def test_all_agents_choose_the_same_endpoint_to_change():
    listed = [
        _model("b", Stage.PREFILL),
        _model("a", Stage.PREFILL),
        _model("c", Stage.DECODE),
        _model("d", Stage.DECODE),
    ]
    for _ in range(5):
        random.shuffle(listed)
        wanted = next_stage_change(listed)
        assert (wanted.endpoint, wanted.stage) == ("a", Stage.DECODE)


def test_a_missing_prefill_endpoint_is_replaced_but_not_by_the_last_decode():
    listed = [_model("c", Stage.DECODE), _model("d", Stage.DECODE)]
    assert next_stage_change(listed).stage is Stage.PREFILL
    assert next_stage_change([*listed, _model("p", Stage.PREFILL)]) is None
    assert next_stage_change([_model("c", Stage.DECODE)]) is None
    assert next_stage_change([_model("p", Stage.PREFILL)]).stage is Stage.DECODE


def test_a_leaving_endpoint_is_ignored_in_stage_planning():
    listed = [
        _model("p", Stage.PREFILL, leaving=True),
        _model("q", Stage.PREFILL),
        _model("c", Stage.DECODE),
    ]
    assert next_stage_change(listed) is None


def _pool(prefills, decodes):
    return [_model(f"p{n}", Stage.PREFILL) for n in range(prefills)] + [
        _model(f"q{n}", Stage.DECODE) for n in range(decodes)
    ]


def test_a_large_pool_gets_more_than_one_prefill_endpoint():
    # With eight decode endpoints at peak load one prefill endpoint is saturated.
    assert next_stage_change(_pool(1, 8)).stage is Stage.PREFILL
    assert next_stage_change(_pool(3, 5)).stage is Stage.DECODE
    assert next_stage_change(_pool(1, 7)).stage is Stage.PREFILL
    assert next_stage_change(_pool(2, 6)) is None


def test_every_pool_settles_near_its_best_throughput():
    for size in range(2, 60):
        best = max(throughput(n, size - n) for n in range(size))
        for prefills in range(size + 1):
            assert throughput(*_settled(prefills, size - prefills)) >= best / 1.2


def _settled(prefills, decodes):
    """Return the numbers of endpoints after all stage changes."""
    for _ in range(prefills + decodes + 1):
        wanted = next_stage_change(_pool(prefills, decodes))
        if wanted is None:
            return prefills, decodes
        step = 1 if wanted.stage is Stage.PREFILL else -1
        prefills, decodes = prefills + step, decodes - step
    raise AssertionError("the stages do not settle")


def test_an_endpoint_that_joins_and_leaves_does_not_cause_stage_changes():
    for size in range(2, 60):
        prefills, decodes = _settled(1, size - 1)
        pool = prefills, decodes
        for _ in range(3):
            joined = _settled(pool[0], pool[1] + 1)
            pool = _settled(joined[0], joined[1] - 1)
        settled = pool
        for _ in range(3):
            joined = _settled(pool[0], pool[1] + 1)
            assert joined == (pool[0], pool[1] + 1)
            pool = _settled(joined[0], joined[1] - 1)
            assert pool == settled


def test_prompts_go_to_the_prefill_endpoint_with_the_shorter_queue():
    """One of two prefill endpoints is slow; its agent reports a queue there."""
    loads, rng = EndpointLoads(), random.Random(1)
    listed = [
        endpoint("slow", "model", stage=Stage.PREFILL, slots=12),
        endpoint("far", "model", stage=Stage.PREFILL, slots=12, zone="other"),
    ]
    loads.record_load("slow", Load(2, 1, 12), 0.0)
    loads.record_load("far", Load(1, 0, 12), 0.0)
    assert loads.choose(listed, set(), "z", 0.1, rng).id == "far"
    # An older report does not replace a newer one.
    loads.record_load("far", Load(9, 0, 12), -0.5)
    assert loads.choose(listed, set(), "z", 0.1, rng).id == "far"
