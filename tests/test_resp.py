"""RESP2: what is read at one blow is what a careful reading finds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.sockets import value
from thistletrail.gateway.resp import Answer, AnswerReader, CommandReader, ProtocolError, Reader, encode

WORDS = st.lists(
    st.one_of(st.binary(max_size=20), st.sampled_from([b"\r\n", b"$1", b"*1\r\n$1\r\nx", b"PING"])),
    min_size=1,
    max_size=12,
)
PIECES = st.sampled_from(
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


def outcome(reader: Reader, step: str) -> tuple[object, bytes]:
    """What one step finds, or how it fails, and what it leaves."""
    try:
        found = getattr(reader, step)()
    except ProtocolError as error:
        return str(error), b""
    return found, bytes(reader.buffer)


def agree(kind: type[Reader], data: bytes) -> None:
    """Where the plain step finds anything, a careful one finds the same and leaves the same."""
    plain, careful = kind(), kind()
    plain.feed(data)
    careful.feed(data)
    found = outcome(plain, "read_fast")
    if found[0] is None:
        assert found[1] == data
    else:
        assert found == outcome(careful, "read_incremental")


@settings(derandomize=True)
@given(st.lists(WORDS, min_size=1, max_size=3), st.integers(0, 40))
def test_commands_read_at_one_blow_are_those_that_a_careful_reading_finds(
    commands: list[list[bytes]], cut: int
) -> None:
    data = b"".join(map(encode, commands))
    agree(CommandReader, data[: len(data) - cut])
    reader = CommandReader()
    reader.feed(data)
    assert [reader.next() for _ in commands] == commands and not reader.buffer


@settings(derandomize=True)
@given(st.lists(PIECES, max_size=8).map(b"".join))
def test_odd_commands_too(data: bytes) -> None:
    agree(CommandReader, data)


@settings(derandomize=True)
@given(st.binary(max_size=40), st.binary(max_size=10), st.integers(-2, 2))
def test_answers_too(data: bytes, behind: bytes, off: int) -> None:
    whole = value(data)
    wrong = whole.replace(b"$%d\r" % len(data), b"$%d\r" % (len(data) + off))
    for text in (whole, whole + behind, whole[:-1], wrong):
        agree(AnswerReader, text)
    reader = AnswerReader()
    reader.feed(whole)
    assert reader.next() == Answer(data) and not reader.buffer


def test_plain_ones_need_no_careful_reading(monkeypatch: pytest.MonkeyPatch) -> None:
    def read_incremental(reader: Reader) -> None:
        raise AssertionError("read word by word")

    command = encode([b"SVC.QUERY", b"1", b"2", b"c=read"])
    for kind, data in ((CommandReader, command), (AnswerReader, value(b"ok"))):
        monkeypatch.setattr(kind, "read_incremental", read_incremental)
        reader = kind()
        reader.feed(data)
        assert reader.next()
