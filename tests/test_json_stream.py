"""JSON objects out of a stream of bytes, however they are cut and indented."""

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
def test_objects_are_the_same_however_cut_and_indented(
    objects: list[dict[str, object]], indent: int | None, size: int
) -> None:
    stream = b"\n".join(json.dumps(value, indent=indent).encode() + b"\n" for value in objects)
    reader, found = JsonObjectReader(1 << 20), []
    for at in range(0, len(stream), size):
        found += reader.feed(stream[at : at + size])
    assert [json.loads(data) for data in found] == objects
    assert not reader.has_partial_object() and reader.finish() == []


@pytest.mark.parametrize("line", [b"{not json\n", b'{"generation":43,"inst\n', b'{"a": tru\n'])
def test_a_first_line_that_is_cut_off_or_malformed_is_rejected_at_once(line: bytes) -> None:
    with pytest.raises(MalformedJsonError):
        JsonObjectReader(1 << 20).feed(line)


@pytest.mark.parametrize("piece", [b"{", b'{"a":\n', b"x"])
def test_an_object_is_bounded(piece: bytes) -> None:
    reader = JsonObjectReader(1000)
    with pytest.raises(MalformedJsonError):
        for _ in range(1001):
            reader.feed(piece)
