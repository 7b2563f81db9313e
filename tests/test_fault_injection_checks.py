"""Checks of histories: a valid history passes, and only the check of its rule reports a planted violation."""

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from thistletrail.fault_injection.checks import CHECKS, RunHistory, check
from thistletrail.fault_injection.figures import compute_figures, max_per_second
from thistletrail.fault_injection.history import Record, merge, read, read_gateway_log
from thistletrail.fault_injection.plan import Plan
from thistletrail.simulation.scenario import Demand, Scenario, Servers

US_PER_S, US_PER_MS = 1_000_000, 1_000
SCENARIO = Scenario(
    name="small", doors=2, length_s=10, servers=Servers(count=2), demand=Demand(load=(0.3, 0.3))
)
PLAN = Plan(name="p", fleet=SCENARIO)


def request_records(
    request_id: str,
    at_us: int,
    gateway: int = 0,
    server: str = "servers-0",
    zone: int = 0,
    duration_us: int = 50 * US_PER_MS,
    request_class: str = "submit-record",
    customer: str = "c",
    plan: str = "basic",
    outcome: str = "served",
    serial: int = 0,
) -> list[Record]:
    """Return the records of one request that a gateway forwards to a scan server, and of its answer."""
    key = request_id if request_class == "submit-record" else ""
    common = {"id": request_id, "customer": customer, "key": key, "class": request_class, "plan": plan}
    return [
        {"at": at_us, "kind": "try", "door": gateway, "left_ms": 2000, "number": 1, **common},
        {
            "at": at_us + US_PER_MS,
            "kind": "sent",
            "door": f"doors-{gateway}",
            "server": server,
            "id": request_id,
        },
        {
            "at": at_us + 2 * US_PER_MS,
            "kind": "came",
            "server": server,
            "zone": zone,
            "serial": serial or at_us,
            **common,
        },
        {
            "at": at_us + duration_us,
            "kind": "left",
            "server": server,
            "serial": serial or at_us,
            "how": outcome,
        },
        {
            "at": at_us + duration_us + US_PER_MS,
            "kind": "end",
            "id": request_id,
            "how": outcome,
            "wait_us": 0,
        },
        {
            "at": at_us + duration_us + 2 * US_PER_MS,
            "kind": "ask",
            "first_us": at_us,
            "customer": customer,
            "worth": 3.0,
            "ideal": True,
            "tries": 1,
            "served": request_id,
            "in_time": True,
            "class": request_class,
            "plan": plan,
        },
    ]


def retry_records(request_id: str, at_us: int, **values: object) -> list[Record]:
    """Return the records of a further attempt of a request."""
    return [
        record
        for record in request_records(request_id, at_us, **values)
        if record["kind"] in ("sent", "came", "left")
    ]


def endpoint_update(at_us: int, lifecycle: str, is_full: bool = False, **other_servers: str) -> Record:
    """Return the record of an update of the endpoint list that gateway 0 receives."""
    return {
        "at": at_us,
        "kind": "told",
        "door": "doors-0",
        "generation": 1,
        "whole": is_full,
        "servers": {"servers-0": lifecycle, **other_servers},
    }


def fault_records(kind: str, begin_us: int, end_us: int, *targets: str, number: int = 0) -> list[Record]:
    """Return the records of the begin and the end of a fault."""
    return [
        {"at": begin_us, "kind": "fault", "fault": kind, "number": number, "struck": list(targets)},
        {"at": end_us, "kind": "undone", "fault": kind, "number": number, "struck": list(targets)},
    ]


def log_record(at_us: int, text: str, level: str = "INFO") -> Record:
    """Return the record of a line in the log of gateway 0."""
    return {"at": at_us, "kind": "door", "door": 0, "level": level, "text": text}


LOAD_SPAN = {"at": 0, "kind": "go", "start_us": 0, "end_us": 10 * US_PER_S}
GATEWAY_RESTART = [
    *fault_records("kill", 4 * US_PER_S, 5 * US_PER_S, "doors-0"),
    {"at": 4 * US_PER_S, "kind": "died", "who": "doors-0", "meant": True, "code": -9},
    {"at": 5 * US_PER_S, "kind": "started", "who": "doors-0", "cold": True},
]
VALID_HISTORY: list[Record] = [
    LOAD_SPAN,
    endpoint_update(0, "SERVING", is_full=True, **{"servers-1": "SERVING"}),
    *(
        record
        for n in range(20)
        for record in request_records(f"r{n}", n * US_PER_S // 4, gateway=n % 2, customer=f"c{n}")
    ),
]
UNREACHED_END = {"at": 9 * US_PER_S, "kind": "end", "id": "x", "how": "unreached", "wait_us": 0}


def broken_rules(*extra_records: Record) -> set[str]:
    """Return the rules that a valid history breaks with these records added."""
    history = RunHistory(merge([VALID_HISTORY, extra_records]), PLAN, 1)
    return {violation.rule for violation in check(history)}


def test_valid_history_breaks_no_rule() -> None:
    assert broken_rules() == set()
    assert set(CHECKS) == {
        "one_answer",
        "executions",
        "refusals",
        "kept_work",
        "one_attempt",
        "drains",
        "quotas",
        "budgets",
        "further",
        "stale",
        "processes",
    }


REQUEST = request_records("x", 8 * US_PER_S)
# A scan server turns the request away, and the gateway refuses it.
REFUSED_REQUEST = [
    *request_records("x", 8 * US_PER_S, outcome="full")[:4],
    {"at": 8 * US_PER_S + 60 * US_PER_MS, "kind": "end", "id": "x", "how": "refused 500", "wait_us": 0},
]
PLANTED_VIOLATIONS: list[tuple[str, list[Record]]] = [
    ("one answer", [*REQUEST, {**REQUEST[4], "at": 8 * US_PER_S + 90 * US_PER_MS}]),
    ("one answer", [{"at": 8 * US_PER_S, "kind": "extra", "data": "'+OK'"}]),
    (
        "one answer",
        [
            *REQUEST[:4],
            {"at": 10 * US_PER_S, "kind": "end", "id": "x", "how": "gone", "wait_us": 0},
            {"at": 11 * US_PER_S, "kind": "lost", "id": "x"},
        ],
    ),
    ("one answer", [*REQUEST[:4], UNREACHED_END]),
    ("one answer", REQUEST[:4]),
    (
        "executions",
        [*REQUEST, *retry_records("x", 8 * US_PER_S + 60 * US_PER_MS, server="servers-1", zone=1)],
    ),
    ("executions", [*REQUEST, *retry_records("x", 13 * US_PER_S)]),
    (
        "refusals",
        [*REFUSED_REQUEST, *retry_records("x", 9 * US_PER_S, server="servers-1")],
    ),
    (
        "one attempt",
        [
            *request_records("x", 8 * US_PER_S, duration_us=400 * US_PER_MS),
            *retry_records("x", 8 * US_PER_S + 100 * US_PER_MS, server="servers-1"),
        ],
    ),
    (
        "drains",
        [endpoint_update(8 * US_PER_S, "DRAINING"), *request_records("x", 8 * US_PER_S + 400 * US_PER_MS)],
    ),
    (
        "drains",
        [endpoint_update(8 * US_PER_S, "DELETED"), *request_records("x", 8 * US_PER_S + 400 * US_PER_MS)],
    ),
    (
        "drains",
        [
            {**endpoint_update(8 * US_PER_S, "SERVING", is_full=True), "servers": {"servers-1": "SERVING"}},
            *request_records("x", 8 * US_PER_S + 400 * US_PER_MS),
        ],
    ),
    (
        "quotas",
        [
            record
            for n in range(400)
            for record in request_records(
                f"x{n}",
                6 * US_PER_S + n * US_PER_MS,
                request_class="view-sheet",
                customer="greedy",
                plan="standard",
            )
        ],
    ),
    (
        "ceilings",
        [
            record
            for n in range(400)
            for record in request_records(
                f"x{n}",
                6 * US_PER_S + n * US_PER_MS,
                request_class="view-sheet",
                customer="greedy",
                plan="institution",
            )
        ],
    ),
    ("stale state", [log_record(8 * US_PER_S, "takes up a snapshot of 3600.0 s ago: 4 customers")]),
    ("processes", [{"at": 8 * US_PER_S, "kind": "died", "who": "doors-1", "meant": False, "code": 1}]),
    ("processes", [log_record(8 * US_PER_S, "the module failed on Timer()", "ERROR")]),
    ("processes", [{"at": 8 * US_PER_S, "kind": "unread", "server": "servers-0", "words": "[b'X']"}]),
    ("cold servers", [{"at": 8 * US_PER_S, "kind": "fell", "server": "servers-1"}]),
]


@pytest.mark.parametrize("rule, records", PLANTED_VIOLATIONS)
def test_planted_violation_is_reported_by_its_rule_alone(rule: str, records: list[Record]) -> None:
    # Units beyond a ceiling are beyond the quota as well.
    assert broken_rules(*records) in ({rule}, {rule, "quotas"} if rule == "ceilings" else {rule})


@pytest.mark.parametrize(
    "records",
    [
        [
            *request_records("x", 4 * US_PER_S - US_PER_MS)[:4],
            {**UNREACHED_END, "at": 4 * US_PER_S + US_PER_MS},
            *GATEWAY_RESTART,
        ],  # the gateway was killed while the request was in flight
        [
            *REQUEST[:4],
            {"at": 11 * US_PER_S, "kind": "lost", "id": "x"},
            {**UNREACHED_END, "how": "gone", "at": 10 * US_PER_S},
            *fault_records("pause", 8 * US_PER_S, 13 * US_PER_S, "doors-0"),
        ],
        [*REQUEST[:4], UNREACHED_END, *fault_records("cut", 8 * US_PER_S, 9 * US_PER_S, "clients-doors")],
        REFUSED_REQUEST,
        [
            *REFUSED_REQUEST,
            *retry_records("x", 9 * US_PER_S, server="servers-1"),
            *fault_records("pause", 8 * US_PER_S, 9 * US_PER_S, "servers-1"),
        ],  # the scan server may have read late what was sent before the refusal
        [
            endpoint_update(8 * US_PER_S, "DRAINING"),
            *request_records("x", 8 * US_PER_S + 200 * US_PER_MS),
        ],  # within the grace period
        [
            endpoint_update(8 * US_PER_S, "DRAINING"),
            *request_records("x", 9 * US_PER_S),
            *fault_records("pause", 7 * US_PER_S, 9 * US_PER_S, "doors-0"),
        ],
        [
            endpoint_update(8 * US_PER_S, "DRAINING"),
            endpoint_update(9 * US_PER_S, "SERVING"),
            *request_records("x", 9 * US_PER_S + 500 * US_PER_MS),
        ],
        [
            endpoint_update(1, "DRAINING"),
            endpoint_update(2, "SERVING"),
            *GATEWAY_RESTART,
        ],  # the new process has not received the endpoint list
        [
            *REQUEST,
            *retry_records("x", 8 * US_PER_S + 60 * US_PER_MS),
        ],  # scan servers of the same zone drop the duplicate
        [
            *request_records("x", 8 * US_PER_S, outcome="full"),
            *retry_records("x", 8 * US_PER_S + 60 * US_PER_MS, server="servers-1", zone=1),
        ],  # the first attempt was not executed
        [
            *request_records("x", 8 * US_PER_S, duration_us=400 * US_PER_MS),
            *retry_records("x", 8 * US_PER_S + 100 * US_PER_MS, server="servers-1"),
            *fault_records("delay", 7 * US_PER_S, 9 * US_PER_S, "doors-servers"),
        ],
        [log_record(8 * US_PER_S, "takes up a snapshot of 2.5 s ago: 4 customers")],
        [
            *REQUEST[:4],
            {"at": 11 * US_PER_S, "kind": "lost", "id": "x"},
            {**UNREACHED_END, "how": "gone", "at": 10 * US_PER_S},
            {"at": 9 * US_PER_S, "kind": "stalled", "us": 600 * US_PER_MS},
        ],  # the event loop of fault injection was late
        [
            log_record(8 * US_PER_S, "request x was left without an answer", "ERROR"),
            *fault_records("pause", 6 * US_PER_S, 8 * US_PER_S, "doors-0"),
        ],
    ],
)
def test_history_that_faults_excuse_breaks_no_rule(records: list[Record]) -> None:
    assert broken_rules(*records) == set()


@pytest.mark.parametrize(
    "later_records, message",
    [
        (lambda: request_records("other", 3 * US_PER_S, zone=1, server="servers-1"), "ran in two zones"),
        (lambda: request_records("other", 3 * US_PER_S), "ran again after its client was told"),
    ],
)
def test_work_item_that_runs_again_under_its_key_is_a_violation_where_work_items_are_stored(
    later_records: Callable[[], list[Record]], message: str
) -> None:
    """Another request has the key of a served one, which is allowed where work items are not stored."""
    records = [{**record, "key": "r1"} if "key" in record else record for record in later_records()]
    history = merge([VALID_HISTORY, records])
    assert CHECKS["kept_work"](RunHistory(history, PLAN)) == []
    storing_plan = msgspec.structs.replace(PLAN, takeover=("submit-record",))
    (first, *_) = CHECKS["kept_work"](RunHistory(history, storing_plan))
    assert message in first.text
    assert CHECKS["kept_work"](RunHistory(VALID_HISTORY, storing_plan)) == []


def test_figures_are_computed_from_the_records() -> None:
    connections = [
        {"at": US_PER_S, "kind": "open", "link": "doors-servers", "sides": ["doors-0", "servers-0"]}
    ] * 3
    history = RunHistory(merge([VALID_HISTORY, GATEWAY_RESTART, connections]), PLAN, 1)
    baseline = RunHistory(VALID_HISTORY, PLAN, 1)
    figures = compute_figures(history, baseline)
    assert figures.served == 1.0 and figures.connections == 3 and figures.connections_calm == 0
    assert figures.full_s == 0.0 and figures.full_after_pong_s == 0.0 and figures.lost == 0.0
    assert figures.beyond == 0 and figures.retries == 0.0 and figures.pushed_over == 0
    baseline_figures = compute_figures(baseline)
    assert baseline_figures.full_s is None and baseline_figures.worst_second is None
    assert max_per_second([0, 1, 950_000, 1_100_000], [1, 1, 5, 9]) == 14


def test_incomplete_last_line_of_a_history_is_skipped(tmp_path: Path) -> None:
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
    assert second["at"] - first["at"] == US_PER_S and second["text"] == "a: b"


def test_retries_beyond_a_leased_retry_budget_are_a_violation() -> None:
    records = [
        record
        for n in range(12)
        for record in (
            *request_records(
                f"x{n}",
                8 * US_PER_S + n * US_PER_MS,
                duration_us=10 * US_PER_MS,
                request_class="view-sheet",
                outcome="error",
            ),
            *retry_records(
                f"x{n}", 8 * US_PER_S + n * US_PER_MS + 20 * US_PER_MS, request_class="view-sheet"
            ),
        )
    ]
    history = merge([VALID_HISTORY, records])
    assert CHECKS["further"](RunHistory(history, PLAN)) == []
    leased_plan = msgspec.structs.replace(PLAN, steward=True, further=(1.0, 5.0))
    (violation,) = CHECKS["further"](RunHistory(history, leased_plan))
    assert "7.0 further attempts beyond" in violation.text
    larger_budget = msgspec.structs.replace(leased_plan, further=(1.0, 10.0))
    assert CHECKS["further"](RunHistory(history, larger_budget)) == []
