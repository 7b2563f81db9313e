"""Tests that the fast paths of the RESP2 readers give the same results as the incremental reading."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.sockets import value_response
from thistletrail.gateway.resp import Answer, AnswerReader, CommandReader, ProtocolError, Reader, encode

ARGUMENT_LISTS = st.lists(
    st.one_of(st.binary(max_size=20), st.sampled_from([b"\r\n", b"$1", b"*1\r\n$1\r\nx", b"PING"])),
    min_size=1,
    max_size=12,
)
FRAGMENTS = st.sampled_from(
    [
        b"*1\r\n",
        b"*2\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"$1\r\n",
        b"$01\r\n",
        b"$-1\r\n",
        b"x\r\n",
        b"\r\n",
        b"$4\r\nPING\r\n",
        b"*1\r\n$4\r\nPING\r\n",
        b"*3\r\n",
        b"$5\r\na\r\nbc\r\n",
    ]
)


def outcome(reader: Reader, method: str) -> tuple[object, bytes]:
    """Return the result of a method, or the text of its error, and the bytes that it has not consumed."""
    try:
        result = getattr(reader, method)()
    except ProtocolError as error:
        return str(error), b""
    return result, bytes(reader.buffer)


def assert_same_outcome(reader_class: type[Reader], data: bytes) -> None:
    """Assert that the fast path reads nothing, or reads and leaves the same as the incremental reading."""
    fast = reader_class()
    incremental = reader_class()
    fast.feed(data)
    incremental.feed(data)
    fast_outcome = outcome(fast, "read_fast")
    if fast_outcome[0] is None:
        assert fast_outcome[1] == data
    else:
        assert fast_outcome == outcome(incremental, "read_incremental")


@settings(derandomize=True)
@given(st.lists(ARGUMENT_LISTS, min_size=1, max_size=3), st.integers(0, 40))
def test_fast_path_reads_commands_as_the_incremental_reader_does(
    commands: list[list[bytes]], cut: int
) -> None:
    data = b"".join(map(encode, commands))
    assert_same_outcome(CommandReader, data[: len(data) - cut])
    reader = CommandReader()
    reader.feed(data)
    assert [reader.next() for _ in commands] == commands and not reader.buffer


@settings(derandomize=True)
@given(st.lists(FRAGMENTS, max_size=8).map(b"".join))
def test_fast_path_reads_malformed_commands_as_the_incremental_reader_does(data: bytes) -> None:
    assert_same_outcome(CommandReader, data)


@settings(derandomize=True)
@given(st.binary(max_size=40), st.binary(max_size=10), st.integers(-2, 2))
def test_fast_path_reads_answers_as_the_incremental_reader_does(
    data: bytes, extra: bytes, length_error: int
) -> None:
    complete = value_response(data)
    wrong_length = complete.replace(b"$%d\r" % len(data), b"$%d\r" % (len(data) + length_error))
    for text in (complete, complete + extra, complete[:-1], wrong_length):
        assert_same_outcome(AnswerReader, text)
    reader = AnswerReader()
    reader.feed(complete)
    assert reader.next() == Answer(data) and not reader.buffer


def test_usual_commands_and_answers_take_the_fast_path(monkeypatch: pytest.MonkeyPatch) -> None:
    def read_incremental(reader: Reader) -> None:
        raise AssertionError("expected the fast path to read this, found an incremental read")

    command = encode([b"SVC.QUERY", b"1", b"2", b"c=read"])
    for reader_class, data in ((CommandReader, command), (AnswerReader, value_response(b"ok"))):
        monkeypatch.setattr(reader_class, "read_incremental", read_incremental)
        reader = reader_class()
        reader.feed(data)
        assert reader.next()
