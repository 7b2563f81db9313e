"""Checks of histories: a correct history passes, and each planted violation is found by its check alone."""

from collections.abc import Callable

import msgspec
import pytest

from thistletrail.fault_injection.checks import CHECKS, RunHistory, check
from thistletrail.fault_injection.figures import compute_figures, max_per_second
from thistletrail.fault_injection.history import Record, merge, read, read_gateway_log
from thistletrail.fault_injection.plan import Plan
from thistletrail.simulation.scenario import Demand, Scenario, Servers

S, MS = 1_000_000, 1_000
FLEET = Scenario(name="small", doors=2, length_s=10, servers=Servers(count=2), demand=Demand(load=(0.3, 0.3)))
PLAN = Plan(name="p", fleet=FLEET)
PLANS = [plan.name for plan in FLEET.plans]


def ask(
    name: str,
    at: int,
    door: int = 0,
    server: str = "servers-0",
    zone: int = 0,
    took: int = 50 * MS,
    kind: str = "submit-record",
    customer: str = "c",
    plan: str = "basic",
    how: str = "served",
    serial: int = 0,
) -> list[Record]:
    """One request on its way through a door and a scan server and back."""
    key = name if kind == "submit-record" else ""
    same = {"id": name, "customer": customer, "key": key, "class": kind, "plan": plan}
    return [
        {"at": at, "kind": "try", "door": door, "left_ms": 2000, "number": 1, **same},
        {"at": at + MS, "kind": "sent", "door": f"doors-{door}", "server": server, "id": name},
        {"at": at + 2 * MS, "kind": "came", "server": server, "zone": zone, "serial": serial or at, **same},
        {"at": at + took, "kind": "left", "server": server, "serial": serial or at, "how": how},
        {"at": at + took + MS, "kind": "end", "id": name, "how": how, "wait_us": 0},
        {
            "at": at + took + 2 * MS,
            "kind": "ask",
            "first_us": at,
            "customer": customer,
            "worth": 3.0,
            "ideal": True,
            "tries": 1,
            "served": name,
            "in_time": True,
            "class": kind,
            "plan": plan,
        },
    ]


def again(name: str, at: int, **more: object) -> list[Record]:
    """A further attempt of a request that was asked before."""
    return [record for record in ask(name, at, **more) if record["kind"] in ("sent", "came", "left")]


def told(at: int, lifecycle: str, whole: bool = False, **others: str) -> Record:
    return {
        "at": at,
        "kind": "told",
        "door": "doors-0",
        "generation": 1,
        "whole": whole,
        "servers": {"servers-0": lifecycle, **others},
    }


def fault(kind: str, begin: int, end: int, *struck: str, number: int = 0) -> list[Record]:
    return [
        {"at": begin, "kind": "fault", "fault": kind, "number": number, "struck": list(struck)},
        {"at": end, "kind": "undone", "fault": kind, "number": number, "struck": list(struck)},
    ]


def log(at: int, text: str, level: str = "INFO") -> Record:
    return {"at": at, "kind": "door", "door": 0, "level": level, "text": text}


GO = {"at": 0, "kind": "go", "start_us": 0, "end_us": 10 * S}
KILLED = [
    *fault("kill", 4 * S, 5 * S, "doors-0"),
    {"at": 4 * S, "kind": "died", "who": "doors-0", "meant": True, "code": -9},
    {"at": 5 * S, "kind": "started", "who": "doors-0", "cold": True},
]
CALM: list[Record] = [
    GO,
    told(0, "SERVING", whole=True, **{"servers-1": "SERVING"}),
    *(record for n in range(20) for record in ask(f"r{n}", n * S // 4, door=n % 2, customer=f"c{n}")),
]
NONE = {"at": 9 * S, "kind": "end", "id": "x", "how": "unreached", "wait_us": 0}


def found(*more: Record) -> set[str]:
    """The rules that a history with these records breaks."""
    return {one.rule for one in check(RunHistory(merge([CALM, more]), PLAN, 1))}


def test_a_history_in_order_breaks_nothing() -> None:
    assert found() == set()
    assert set(CHECKS) == {
        "one_answer",
        "executions",
        "kept_work",
        "one_attempt",
        "drains",
        "quotas",
        "budgets",
        "further",
        "stale",
        "processes",
    }


LOST = ask("x", 8 * S)
PLANTED: list[tuple[str, list[Record]]] = [
    ("one answer", [*LOST, {**LOST[4], "at": 8 * S + 90 * MS}]),
    ("one answer", [{"at": 8 * S, "kind": "extra", "data": "'+OK'"}]),
    (
        "one answer",
        [
            *LOST[:4],
            {"at": 10 * S, "kind": "end", "id": "x", "how": "gone", "wait_us": 0},
            {"at": 11 * S, "kind": "lost", "id": "x"},
        ],
    ),
    ("one answer", [*LOST[:4], NONE]),
    ("one answer", LOST[:4]),
    ("executions", [*LOST, *again("x", 8 * S + 60 * MS, server="servers-1", zone=1)]),
    ("executions", [*LOST, *again("x", 13 * S)]),
    ("one attempt", [*ask("x", 8 * S, took=400 * MS), *again("x", 8 * S + 100 * MS, server="servers-1")]),
    ("drains", [told(8 * S, "DRAINING"), *ask("x", 8 * S + 400 * MS)]),
    ("drains", [told(8 * S, "DELETED"), *ask("x", 8 * S + 400 * MS)]),
    (
        "drains",
        [
            {**told(8 * S, "SERVING", whole=True), "servers": {"servers-1": "SERVING"}},
            *ask("x", 8 * S + 400 * MS),
        ],
    ),
    (
        "quotas",
        [
            record
            for n in range(400)
            for record in ask(f"x{n}", 6 * S + n * MS, kind="view-sheet", customer="greedy", plan="standard")
        ],
    ),
    (
        "ceilings",
        [
            record
            for n in range(400)
            for record in ask(
                f"x{n}", 6 * S + n * MS, kind="view-sheet", customer="greedy", plan="institution"
            )
        ],
    ),
    ("stale state", [log(8 * S, "takes up a snapshot of 3600.0 s ago: 4 customers")]),
    ("processes", [{"at": 8 * S, "kind": "died", "who": "doors-1", "meant": False, "code": 1}]),
    ("processes", [log(8 * S, "the module failed on Timer()", "ERROR")]),
    ("processes", [{"at": 8 * S, "kind": "unread", "server": "servers-0", "words": "[b'X']"}]),
    ("cold servers", [{"at": 8 * S, "kind": "fell", "server": "servers-1"}]),
]


@pytest.mark.parametrize("rule, records", PLANTED)
def test_a_planted_violation_is_found_and_no_other(rule: str, records: list[Record]) -> None:
    # Units beyond a ceiling are beyond the quota as well.
    assert found(*records) in ({rule}, {rule, "quotas"} if rule == "ceilings" else {rule})


@pytest.mark.parametrize(
    "records",
    [
        [
            *ask("x", 4 * S - MS)[:4],
            {**NONE, "at": 4 * S + MS},
            *KILLED,
        ],  # the gateway was killed with the request in flight
        [
            *LOST[:4],
            {"at": 11 * S, "kind": "lost", "id": "x"},
            {**NONE, "how": "gone", "at": 10 * S},
            *fault("pause", 8 * S, 13 * S, "doors-0"),
        ],
        [*LOST[:4], NONE, *fault("cut", 8 * S, 9 * S, "clients-doors")],
        [told(8 * S, "DRAINING"), *ask("x", 8 * S + 200 * MS)],  # within the grace
        [told(8 * S, "DRAINING"), *ask("x", 9 * S), *fault("pause", 7 * S, 9 * S, "doors-0")],
        [told(8 * S, "DRAINING"), told(9 * S, "SERVING"), *ask("x", 9 * S + 500 * MS)],
        [told(1, "DRAINING"), told(2, "SERVING"), *KILLED],  # a new process was not notified
        [*LOST, *again("x", 8 * S + 60 * MS)],  # its zone drops the repeat
        [*ask("x", 8 * S, how="full"), *again("x", 8 * S + 60 * MS, server="servers-1", zone=1)],  # never ran
        [
            *ask("x", 8 * S, took=400 * MS),
            *again("x", 8 * S + 100 * MS, server="servers-1"),
            *fault("delay", 7 * S, 9 * S, "doors-servers"),
        ],
        [log(8 * S, "takes up a snapshot of 2.5 s ago: 4 customers")],
        [
            *LOST[:4],
            {"at": 11 * S, "kind": "lost", "id": "x"},
            {**NONE, "how": "gone", "at": 10 * S},
            {"at": 9 * S, "kind": "stalled", "us": 600 * MS},
        ],  # the event loop of fault injection was late
        [
            log(8 * S, "request x was left without an answer", "ERROR"),
            *fault("pause", 6 * S, 8 * S, "doors-0"),
        ],
    ],
)
def test_what_the_faults_excuse_is_no_violation(records: list[Record]) -> None:
    assert found(*records) == set()


@pytest.mark.parametrize(
    "later, said",
    [
        (lambda: ask("other", 3 * S, zone=1, server="servers-1"), "in two zones"),
        (lambda: ask("other", 3 * S), "after its client was told"),
    ],
)
def test_kept_work_that_runs_again_under_its_key_is_found_where_it_is_kept(
    later: Callable[[], list[Record]], said: str
) -> None:
    """Another request has the key of a served one; without stored work items that is allowed."""
    records = [{**record, "key": "r1"} if "key" in record else record for record in later()]
    history = merge([CALM, records])
    assert CHECKS["kept_work"](RunHistory(history, PLAN)) == []
    kept = msgspec.structs.replace(PLAN, takeover=("submit-record",))
    (first, *_) = CHECKS["kept_work"](RunHistory(history, kept))
    assert said in first.text
    assert CHECKS["kept_work"](RunHistory(CALM, kept)) == []


def test_figures_count_what_the_history_tells() -> None:
    extra = [{"at": S, "kind": "open", "link": "doors-servers", "sides": ["doors-0", "servers-0"]}] * 3
    seen = RunHistory(merge([CALM, KILLED, extra]), PLAN, 1)
    calm = RunHistory(CALM, PLAN, 1)
    figured = compute_figures(seen, calm)
    assert figured.served == 1.0 and figured.connections == 3 and figured.connections_calm == 0
    assert figured.full_s == 0.0 and figured.full_after_pong_s == 0.0 and figured.lost == 0.0
    assert figured.beyond == 0 and figured.retries == 0.0 and figured.pushed_over == 0
    alone = compute_figures(calm)
    assert alone.full_s is None and alone.worst_second is None
    assert max_per_second([0, 1, 950_000, 1_100_000], [1, 1, 5, 9]) == 14


def test_histories_are_read_to_the_last_whole_line(tmp_path: object) -> None:
    path = tmp_path / "x.jsonl"
    path.write_bytes(b'{"at":1,"kind":"a"}\n{"at":2,"ki')
    assert list(read(path)) == [{"at": 1, "kind": "a"}]
    lines = [
        "2026-12-01 10:00:00,250 INFO thistletrail.gateway: doors-0 serves at 127.0.0.1:1",
        "no log line",
        "2026-12-01 10:00:01,250 ERROR thistletrail.gateway.x: a: b",
    ]
    path.write_text("\n".join(lines))
    first, second = read_gateway_log(path, 3, 0)
    assert (first["door"], first["level"], first["text"]) == (3, "INFO", "doors-0 serves at 127.0.0.1:1")
    assert second["at"] - first["at"] == S and second["text"] == "a: b"


def test_further_attempts_beyond_the_whole_are_found_where_they_are_divided() -> None:
    records = [
        record
        for n in range(12)
        for record in (
            *ask(f"x{n}", 8 * S + n * MS, took=10 * MS, kind="view-sheet", how="error"),
            *again(f"x{n}", 8 * S + n * MS + 20 * MS, kind="view-sheet"),
        )
    ]
    history = merge([CALM, records])
    assert CHECKS["further"](RunHistory(history, PLAN)) == []
    divided = msgspec.structs.replace(PLAN, steward=True, further=(1.0, 5.0))
    (one,) = CHECKS["further"](RunHistory(history, divided))
    assert "7.0 further attempts beyond" in one.text
    assert CHECKS["further"](RunHistory(history, msgspec.structs.replace(divided, further=(1.0, 10.0)))) == []
