import random
from collections import Counter

from ebonyglade.placement.choice import PlacementRequest, choose_endpoint, choose_pair
from ebonyglade.placement.prefixes import MAX_HINT_AGE_S, PrefixIndex, prompt_blocks
from ebonyglade.placement.subset import (
    COVERING_ENTRIES,
    SUBSET_ENDPOINTS,
    Subsets,
)
from ebonyglade.wire.control import LoadReport
from helpers.placement import POOL, snapshot_of, view_of

PROMPT = "an announcement " * 640  # ten blocks


class Unscannable(tuple):
    """A tuple that fails when it is iterated over."""

    def __iter__(self):
        raise AssertionError("iterated over all endpoints")


def test_small_pools_are_used_completely():
    view = view_of(2, 4, 4)
    assert Subsets("entry-0").of(view, POOL, "decode") == view.endpoints(POOL, "decode")


def test_subsets_are_bounded_and_cover_every_endpoint():
    view = view_of(60, 0, 290)
    subsets = [Subsets(name).of(view, POOL, "decode") for name in view.entries]
    used = Counter(name for subset in subsets for name in subset)
    assert min(used[name] for name in view.endpoints(POOL, "decode")) >= (
        COVERING_ENTRIES
    )
    # Each entry uses its own picks and its share of the covering assignments.
    share = COVERING_ENTRIES * 290 / 60
    assert max(map(len, subsets)) <= SUBSET_ENDPOINTS + 2.5 * share


def test_subset_has_endpoints_in_several_zones():
    view = view_of(60, 0, 290)
    subset = Subsets("entry-1").of(view, POOL, "decode")
    zones = Counter(view.zone_of(name) for name in subset)
    assert len(zones) == 3


def test_a_removed_endpoint_changes_little_of_a_subset():
    before, after = view_of(60, 0, 290), view_of(60, 0, 289)
    subsets = Subsets("entry-0")
    first = set(subsets.of(before, POOL, "decode"))
    second = set(subsets.of(after, POOL, "decode"))
    assert len(first ^ second) <= 2
    assert second == set(Subsets("entry-0").of(after, POOL, "decode"))


def test_updated_subset_equals_a_newly_computed_one():
    subsets = Subsets("entry-0")
    subsets.of(view_of(60, 0, 100), POOL, "decode")
    for entries in (58, 64):
        view = view_of(entries, 0, 100)
        fresh = Subsets("entry-0").of(view, POOL, "decode")
        assert subsets.of(view, POOL, "decode") == fresh


def test_no_choice_iterates_over_all_endpoints():
    snapshot = snapshot_of(view_of(60, 290, 290))
    rng = random.Random(1)
    ask = PlacementRequest(POOL, 1000)
    choose_pair(snapshot, ask, rng, 0.0)
    for key, names in list(snapshot.view.pools.items()):
        cached = snapshot.subsets._cached[key]
        snapshot.view.pools[key] = Unscannable(names)
        snapshot.subsets._cached[key] = type(cached)(
            snapshot.view.pools[key], cached.entries, cached.subset
        )
    snapshot.view.instances = dict(snapshot.view.instances)
    assert choose_pair(snapshot, ask, rng, 0.0) is not None
    assert choose_endpoint(snapshot, POOL, "decode", set(), rng, 0.0) is not None


def test_excluded_and_avoided_endpoints_are_not_chosen():
    snapshot = snapshot_of(view_of(1, 3, 3))
    snapshot.loads.avoid.add("decode-0")
    ask = PlacementRequest(POOL, 100, excluded={"decode-1", "prefill-2"})
    pairs = [choose_pair(snapshot, ask, random.Random(seed), 0.0) for seed in range(50)]
    assert {pair.decode for pair in pairs} == {"decode-2"}
    assert {pair.prefill for pair in pairs} == {"prefill-0", "prefill-1"}
    snapshot.loads.avoid |= {"decode-1", "decode-2"}
    assert choose_pair(snapshot, ask, random.Random(1), 0.0) is None


def test_the_rest_of_the_pool_is_used_if_the_subset_is_lost():
    snapshot = snapshot_of(view_of(60, 290, 290))
    snapshot.loads.avoid |= set(snapshot.subsets.of(snapshot.view, POOL, "decode"))
    assert (
        choose_pair(snapshot, PlacementRequest(POOL, 100), random.Random(1), 0.0)
        is not None
    )


def test_an_endpoint_with_the_cached_prefix_is_chosen_unless_it_is_busy():
    snapshot = snapshot_of(view_of(1, 12, 1))
    blocks = prompt_blocks(PROMPT)
    assert len(blocks) == 10
    snapshot.prefixes.apply("prefill-7", "a", 1, list(blocks), [], 0.0)
    ask = PlacementRequest(POOL, 2560, blocks)
    chosen = {
        choose_pair(snapshot, ask, random.Random(s), 1.0).prefill for s in range(20)
    }
    assert chosen == {"prefill-7"}
    busy = LoadReport(1, 9, 1, 0, ready_in=2.0)
    snapshot.loads.report("prefill-7", busy, 1.0)
    chosen = {
        choose_pair(snapshot, ask, random.Random(s), 1.0).prefill for s in range(20)
    }
    assert "prefill-7" not in chosen


def test_the_earlier_slot_is_chosen():
    snapshot = snapshot_of(view_of(1, 1, 2))
    for name, ready in (("decode-0", 3.0), ("decode-1", 0.2)):
        load = LoadReport(20, 2, 20, 0, ready_in=ready, interval=0.1)
        snapshot.loads.report(name, load, 0.0)
    ask = PlacementRequest(POOL, 100)
    assert choose_pair(snapshot, ask, random.Random(1), 0.0).decode == "decode-1"


def test_attempts_sent_since_the_report_count():
    snapshot = snapshot_of(view_of(1, 1, 2))
    for name in ("decode-0", "decode-1"):
        snapshot.loads.report(name, LoadReport(20, 0, 20, 0, interval=0.1), 0.0)
    chosen = Counter()
    for seed in range(40):
        name = choose_pair(
            snapshot, PlacementRequest(POOL, 1), random.Random(seed), 0.0
        ).decode
        snapshot.loads.begun(name, 1)
        chosen[name] += 1
    assert abs(chosen["decode-0"] - chosen["decode-1"]) <= 2


def test_a_gap_in_the_reports_removes_the_hints():
    index, blocks = PrefixIndex(), prompt_blocks(PROMPT)
    index.apply("p", "a", 4, list(blocks), [], 0.0)
    index.apply("p", "a", 5, [], [blocks[-1]], 0.0)
    assert index.cached_tokens("p", blocks, 0.0) == 9 * 256
    index.apply("p", "a", 5, list(blocks), [], 0.0)
    assert index.cached_tokens("p", blocks, 0.0) == 9 * 256
    index.apply("p", "a", 7, [blocks[0]], [], 0.0)
    assert index.cached_tokens("p", blocks, 0.0) == 256
    assert index.gaps == 1
    index.apply("p", "b", 8, [], [], 0.0)
    assert index.cached_tokens("p", blocks, 0.0) == 0
    assert len(index) == 0


def test_hints_expire_and_are_bounded():
    index, blocks = PrefixIndex(max_hints=4), prompt_blocks(PROMPT)
    index.apply("p", "a", 1, list(blocks), [], 0.0)
    assert len(index) == 4
    index = PrefixIndex()
    index.apply("p", "a", 1, list(blocks), [], 0.0)
    assert index.cached_tokens("p", blocks, MAX_HINT_AGE_S + 1) == 0


def test_block_hashes_cover_the_prefix_before_them():
    other = "x" + PROMPT[1:]
    assert not set(prompt_blocks(PROMPT)) & set(prompt_blocks(other))
    assert prompt_blocks(PROMPT + "more")[:10] == prompt_blocks(PROMPT)


def test_an_old_report_counts_less_than_own_attempts():
    snapshot = snapshot_of(view_of(1, 1, 2))
    snapshot.loads.report("decode-0", LoadReport(19, 0, 20, 0), 0.0)
    snapshot.loads.report("decode-1", LoadReport(10, 0, 20, 0), 0.0)
    snapshot.loads.counts["decode-1"] = 4
    chosen = [
        choose_endpoint(snapshot, POOL, "decode", set(), random.Random(1), now)
        for now in (0.0, 8.0)
    ]
    assert chosen == ["decode-1", "decode-0"]


def test_an_agent_found_full_is_not_chosen():
    snapshot = snapshot_of(view_of(1, 1, 2))
    for name in ("decode-0", "decode-1"):
        snapshot.loads.report(name, LoadReport(5, 0, 20, 0), 0.0)
    snapshot.loads.found_full("decode-0", 0.4, 0.1)
    assert choose_endpoint(snapshot, POOL, "decode", set(), random.Random(1), 0.1) == (
        "decode-1"
    )
