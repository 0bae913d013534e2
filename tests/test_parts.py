"""Parts of a search: the answer has the top records and counts no shard twice."""

from __future__ import annotations

import random
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lineworks.decisions import parts

RECORDS = st.lists(st.binary(min_size=16, max_size=16), max_size=12)


def part(shards, records, top=5):
    return parts.Part(
        frozenset(shards), tuple(f"s{n}" for n in shards), parts.top_records(records, top)
    )


@given(st.lists(RECORDS, min_size=1, max_size=6), st.integers(1, 9), st.randoms())
def test_merging_in_any_grouping_keeps_the_top_records(bodies, top, rng):
    singles = [part([number], body, top) for number, body in enumerate(bodies)]
    cut = rng.randint(0, len(singles))
    found = parts.PartSet(len(singles), top)
    for group in (singles[:cut], singles[cut:]):
        if group:
            assert found.add(parts.merge(group, top))
    everything = sorted((record for body in bodies for record in body), reverse=True)
    assert list(found.merged().records) == everything[:top]
    assert found.missing == 0


def test_duplicate_records_are_kept():
    same = b"x" * 16
    assert parts.top_records([same, same, same], 2) == (same, same)


def test_an_incomplete_record_is_dropped():
    assert parts.split_records(b"a" * 16 + b"b" * 15) == [b"a" * 16]


def test_a_shard_is_never_added_twice():
    found = parts.PartSet(4, 5)
    assert found.add(part([0], [b"a" * 16]))
    assert found.add(part([1, 2], [b"b" * 16]))
    assert not found.add(part([2, 3], [b"c" * 16]))
    assert found.covered == {0, 1, 2}
    assert found.merged().stamps == ("s0", "s1", "s2")


def test_a_merged_part_never_replaces_an_added_one():
    # Parts filtered by a floor stay correct only while the parts that define the floor are kept.
    found = parts.PartSet(4, 5)
    found.add(part([1], [b"a" * 16]))
    assert not found.add(part([1, 2], [b"b" * 16]))
    assert found.merged().stamps == ("s1",)


@given(st.lists(st.tuples(st.sets(st.integers(0, 5), min_size=1), RECORDS), max_size=8))
def test_the_floor_never_falls(arriving):
    found = parts.PartSet(6, 3)
    floors = [found.floor()]
    for shards, records in arriving:
        found.add(part(sorted(shards), records, 3))
        floors.append(found.floor())
    assert floors == sorted(floors)


def test_the_floor_is_the_last_record_of_a_full_answer():
    found = parts.PartSet(3, 2)
    found.add(part([0], [b"c" * 16], 2))
    assert found.floor() == b""
    found.add(part([1], [b"a" * 16, b"b" * 16], 2))
    assert found.floor() == b"b" * 16


def test_the_number_of_required_shards_is_rounded_up():
    assert parts.required_shards(20, 0.89) == 18
    assert parts.required_shards(20, 0.75) == 15
    assert parts.required_shards(30, 0.89) == 27
    assert parts.required_shards(3, 0.0) == 1


@pytest.mark.parametrize("top", [0, 1, 20, 100_000])
@pytest.mark.parametrize("count", [0, 1, 20, 4096, 4097, 20_000])
def test_the_top_of_a_body_is_that_of_all_its_records(top, count):
    rng = random.Random(count)
    records = [rng.randbytes(2) * 8 for _ in range(count)]
    for ordered in (records, sorted(records), sorted(records, reverse=True)):
        body = b"".join(ordered) + b"rest"
        assert parts.top_of_body(body, top) == tuple(sorted(records, reverse=True)[:top])


def test_the_records_of_a_long_body_take_little_memory():
    body = random.Random(1).randbytes(4 * 1024 * 1024)
    tracemalloc.start()
    try:
        parts.top_of_body(body, 20)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 1024 * 1024
