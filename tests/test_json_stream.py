"""Tests of reading JSON objects from a stream of bytes, with any indentation and any sizes of chunks."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from thistletrail.gateway.errors import MalformedJsonError
from thistletrail.gateway.json_stream import JsonObjectReader

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=10,
)
OBJECTS = st.lists(st.dictionaries(st.text(), VALUES, max_size=4), max_size=4)


@given(OBJECTS, st.sampled_from([None, 0, 1, 4]), st.integers(1, 40))
def test_objects_are_read_with_any_indentation_and_chunk_size(
    objects: list[dict[str, object]], indent: int | None, chunk_size: int
) -> None:
    stream = b"\n".join(json.dumps(value, indent=indent).encode() + b"\n" for value in objects)
    reader, complete = JsonObjectReader(1 << 20), []
    for start in range(0, len(stream), chunk_size):
        complete += reader.feed(stream[start : start + chunk_size])
    assert [json.loads(data) for data in complete] == objects
    assert not reader.has_partial_object() and reader.finish() == []


@pytest.mark.parametrize("line", [b"{not json\n", b'{"generation":43,"inst\n', b'{"a": tru\n'])
def test_a_truncated_or_malformed_first_line_is_rejected_at_once(line: bytes) -> None:
    with pytest.raises(MalformedJsonError):
        JsonObjectReader(1 << 20).feed(line)


@pytest.mark.parametrize("data", [b"{", b'{"a":\n', b"x"])
def test_an_object_above_the_maximum_size_is_rejected(data: bytes) -> None:
    reader = JsonObjectReader(1000)
    with pytest.raises(MalformedJsonError):
        for _ in range(1001):
            reader.feed(data)
