"""Tests that messages, frames and journal records of the lease service keep their encoded bytes.

Gateways and lease services of different revisions exchange messages, and a process reads the journal of an
earlier revision. The encoded names must therefore not change when an attribute is renamed.
"""

import json
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from thistletrail.leasing.budget_state import BudgetLimits, BudgetState, HolderGrant, IssuedGrant
from thistletrail.leasing.framing import RENEW_PATH, SIGNATURE_HEADER, WORK_PATH, encode_frame, sign
from thistletrail.leasing.journal import Journal, LeasingStates
from thistletrail.leasing.leadership import begin_term
from thistletrail.leasing.messages import (
    AttemptWork,
    BeginWork,
    BudgetRequest,
    CompleteWork,
    Grant,
    Message,
    OperationResult,
    OperationStatus,
    ReleaseWork,
    RenewRequest,
    RenewResponse,
    TransferredWork,
    WorkEffect,
    WorkRequest,
    WorkResponse,
)
from thistletrail.leasing.work_records import (
    WorkAttempted,
    WorkBegan,
    WorkDropped,
    WorkEnded,
    WorkOutcome,
    WorkOwned,
    WorkRecord,
)
from thistletrail.leasing.work_state import WorkState

SECRET = b"0123456789abcdef"
BOOT = "boot-1"

BUDGET_REQUEST = BudgetRequest(budget="open/a", demand=7, fence=3, returned_units=2, needed_units=5, in_use=4)
GRANT = Grant(budget="open/a", share=9, fence=1001, units=2)
BEGIN = BeginWork(
    name="c/k",
    request_id="r-1",
    digest="d1",
    customer="c",
    effect=WorkEffect.KEYED,
    left_ms=2000,
    window_ms=4000,
    request=b"\x00req",
    server="s1",
    place="zone 1",
)
ATTEMPT = AttemptWork(name="c/k", fence=8, number=2, server="s2", place="zone 2", earlier_never_ran=True)
COMPLETE = CompleteWork(name="c/k", fence=8, value=b"\xffv")
RELEASE = ReleaseWork(name="c/k", fence=8, transfer=True, never_ran=True)
RESULT = OperationResult(
    status=OperationStatus.PERSISTED, fence=8, left_ms=1500, server="s1", place="zone 1", value=b"v"
)
OTHER_STATUSES = (
    OperationStatus.FULL,
    OperationStatus.ANSWERED,
    OperationStatus.FAILED,
    OperationStatus.ELSEWHERE,
    OperationStatus.CONFLICT,
    OperationStatus.LOST,
)
TRANSFERRED = TransferredWork(name="c/k", fence=9, request=b"req", left_ms=700, server="s1", place="zone 1")

MESSAGES: dict[str, Message] = {
    "BudgetRequest": BUDGET_REQUEST,
    "RenewRequest": RenewRequest(
        gateway=3,
        incarnation=99,
        serial=12,
        budgets=(BUDGET_REQUEST, BudgetRequest(budget="rate/b", demand=1)),
    ),
    "Grant": GRANT,
    "RenewResponse": RenewResponse(gateway=3, incarnation=99, serial=12, lease_ms=3000, grants=(GRANT,)),
    "BeginWork": BEGIN,
    "AttemptWork": ATTEMPT,
    "CompleteWork": COMPLETE,
    "ReleaseWork": RELEASE,
    "WorkRequest": WorkRequest(
        gateway=3,
        incarnation=99,
        serial=13,
        operations=(BEGIN, ATTEMPT, COMPLETE, RELEASE),
        accepted_fences=(7, 8),
        is_draining=True,
    ),
    "OperationResult": RESULT,
    "TransferredWork": TRANSFERRED,
    "WorkResponse": WorkResponse(
        gateway=3,
        incarnation=99,
        serial=13,
        lease_ms=1000,
        results=(RESULT, *(OperationResult(status=status) for status in OTHER_STATUSES)),
        transferred=(TRANSFERRED,),
    ),
}

BEGAN = WorkBegan(
    name="c/k",
    digest="d1",
    customer="c",
    effect=WorkEffect.KEYED,
    end_ms=5000,
    window_ms=4000,
    request=b"\x00req",
    owner="3/99",
    fence=8,
    request_id="r-1",
)
ATTEMPTED = WorkAttempted(
    name="c/k", server="s1", place="zone 1", at_ms=4000, number=2, earlier_never_ran=True
)
RECORDS: dict[str, WorkRecord] = {
    "WorkBegan": BEGAN,
    "WorkAttempted": ATTEMPTED,
    "WorkOwned": WorkOwned(
        name="c/k", owner="4/1", fence=9, end_ms=5000, request_id="r-2", deaths=1, awaits_taker=True
    ),
    "WorkEnded served": WorkEnded(name="c/k", outcome=WorkOutcome.SERVED, at_ms=4500, value=b"\xffv"),
    "WorkEnded unknown": WorkEnded(name="c/k", outcome=WorkOutcome.UNKNOWN, at_ms=4500),
    "WorkEnded parked": WorkEnded(name="c/k", outcome=WorkOutcome.PARKED, at_ms=4500),
    "WorkDropped": WorkDropped(name="c/k"),
}

# Recorded at a1df16a: messages as msgpack in hexadecimal, records as the JSON of the log.
RECORDED: dict[str, str] = json.loads((Path(__file__).parent / "data" / "leasing_bytes.json").read_bytes())


@pytest.fixture
def journal(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Journal]:
    monkeypatch.setattr("thistletrail.leasing.journal.boot_id", lambda: BOOT)
    journal = Journal(begin_term(tmp_path))
    yield journal
    journal.close()


def as_logged(value: object) -> str:
    """Return the text of a log record."""
    return json.dumps(value, separators=(",", ":"))


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_has_its_recorded_bytes(name: str) -> None:
    message = MESSAGES[name]
    assert msgspec.msgpack.encode(message).hex() == RECORDED[name]
    assert msgspec.msgpack.decode(bytes.fromhex(RECORDED[name]), type=type(message)) == message


@pytest.mark.parametrize("name", RECORDS)
def test_a_work_record_has_its_recorded_bytes(name: str, journal: Journal) -> None:
    record = RECORDS[name]
    assert as_logged(journal.stored_work_record(record)) == RECORDED[name]
    stored = json.loads(RECORDED[name])
    assert stored.pop("boot") == BOOT
    assert msgspec.convert(stored, type=WorkRecord) == record


def test_a_grant_has_its_recorded_bytes(journal: Journal) -> None:
    grant = HolderGrant("open/a", "3/99", IssuedGrant(1001, 9, 8000, 2))
    assert as_logged(msgspec.to_builtins(journal.stored_grant(grant))) == RECORDED["StoredGrant"]


def test_a_snapshot_has_its_recorded_bytes(journal: Journal) -> None:
    budgets = BudgetState(1000, 100, 50, 3000)
    budgets.set_limits("open/a", BudgetLimits(100), 100)
    budgets.restore_grant("open/a", "3/99", IssuedGrant(1001, 9, 8000, 2))
    work = WorkState(5)
    work.restore(BEGAN)
    work.restore(ATTEMPTED)
    snapshot = journal.snapshot(LeasingStates(budgets, work))
    assert as_logged(msgspec.to_builtins(snapshot)) == RECORDED["StoredSnapshot"]


def test_a_frame_and_a_signature_have_their_recorded_bytes() -> None:
    assert encode_frame(SECRET, b"body", 1).hex() == RECORDED["frame"]
    assert sign(SECRET, b"body") == RECORDED["signature"]


def test_paths_and_the_signature_header_are_unchanged() -> None:
    assert RECORDED["paths"] == [RENEW_PATH, WORK_PATH, SIGNATURE_HEADER]
