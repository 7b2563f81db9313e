"""The simulator adapter as a process, and the codecs of its wire protocol."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from thistletrail.policy.actions import (
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    ProbeServer,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from thistletrail.policy.events import HealthDigest, LoadReport, QuotaMessage, ServerObservation
from thistletrail.policy.load_report_codec import read_load_report
from thistletrail.policy.peer_codec import MAX_DATAGRAM_BYTES, pack_datagrams, unpack_datagram
from thistletrail.policy.simulator_adapter import Host
from thistletrail.policy.simulator_wire import write_action

ROOT = Path(__file__).parent.parent
PARAMS = (
    "balancers=3 categories.count=1 categories.0.deadline-us=6000000 categories.0.group=all "
    "categories.0.idempotency=read_like categories.0.on-time-us=2500000 categories.0.points=1.0 "
    "ceilings.max-attempts=4 ceilings.may-cancel=true ceilings.peers=true ceilings.retry-after=true "
    "ceilings.max-retry-after-us=500000 extra.mail-per-s=100.0 an.unknown-key=7 plans.count=1 "
    "plans.0.burst=3.0 plans.0.units-per-s=0.65 plans.0.value-factor=0.55 stats.how=inline "
    "stats.names=strange,cpu_share registry-mode=automatic"
)
SHEET = "SHEET 0 2\nM 10.0.0.1:5000 0 0 0 U 1 -\nM 10.0.0.2:5000 0 0 0 U 1.5 6100000\n"


def start(number: int, seed: int = 5) -> str:
    return f"TARGET_INSTANCE {number}\nNEW_INSTANCE {seed} me={number} {PARAMS}\n{SHEET}UPDATE disk 41 0\n"


def batch(now: int, body: str = "") -> str:
    return f"MARK {now}\n{body}EOF_BATCH\n"


def requests(now: int, number: int) -> str:
    lines = [f"NEW_REQUEST rq_{number}_{now}_{n} 0 0 cust/{n % 3} 900000 1 3 0 1" for n in range(8)]
    return f"TARGET_INSTANCE {number}\n" + "\n".join(lines) + "\n"


def run(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "thistletrail.policy.simulator_adapter"],
        input=text,
        text=True,
        capture_output=True,
        cwd=ROOT,
        env=environment,
        check=False,
        timeout=60,
    )


def workload(numbers: list[int]) -> str:
    """The input of a workload of 1.2 s, with requests to each of the instances in every batch."""
    text = batch(7, "".join(start(number, number + 10) for number in numbers))
    for step in range(1, 60):
        now = 7 + step * 20_000
        timers = "".join(f"TARGET_INSTANCE {number}\nBELL 0\n" for number in numbers)
        text += batch(now, timers + "".join(requests(now, number) for number in numbers))
    return text


def actions_of(output: str, number: int) -> list[str]:
    actions, current = [], -1
    for line in output.splitlines():
        if line.startswith("CONTEXT "):
            current = int(line.split()[1])
        elif line != "FINISHED" and current == number:
            actions.append(line)
    return actions


def test_empty_batches_and_end_of_input() -> None:
    done = run(batch(1) + batch(1))
    assert (done.returncode, done.stdout, done.stderr) == (0, "FINISHED\nFINISHED\n", "")


def test_a_request_is_forwarded_to_a_listed_server() -> None:
    body = "TARGET_INSTANCE 0\nNEW_REQUEST rq_a 0 0 cust/x 900000 1 1 0 1\n"
    done = run(batch(5, start(0)) + batch(9, body))
    lines = done.stdout.splitlines()
    assert lines[:3] == ["CONTEXT 0", "ARM 1000000 0", "FINISHED"]
    assert lines[3] == "CONTEXT 0" and lines[4].startswith("TRY rq_a 10.0.0.") and lines[-1] == "FINISHED"


def test_the_output_depends_neither_on_hash_seeds_nor_on_other_instances() -> None:
    together, other = run(workload([0, 1, 2]), "1"), run(workload([0, 1, 2]), "2")
    assert together.stdout == other.stdout
    for number in (0, 1, 2):
        separate = actions_of(run(workload([number])).stdout, number)
        assert separate and separate == actions_of(together.stdout, number)


def test_an_instance_is_replaced_within_a_batch_and_a_server_list_number_is_reused() -> None:
    other = "SHEET 0 1\nM 10.0.0.9:5000 0 0 0 U 1 -\nUPDATE snapshot 42 0\n"
    body = f"TARGET_INSTANCE 0\nKILLED\n{start(0)}{other}NEW_REQUEST rq_a 0 0 cust/x 900000 1 3 0\n"
    done = run(batch(5, start(0)) + batch(9, body))
    assert "TRY rq_a 10.0.0.9:5000" in done.stdout


def test_values_of_a_load_report_are_read_by_their_names() -> None:
    host = Host()
    for line in (start(0) + "NEW_REQUEST rq_a 0 0 c 900000 1 1 0 -").splitlines():
        name, *parts = line.split(" ")
        if name != "M":
            host.event(name, parts, iter(SHEET.splitlines()[1:]))
    server = host.instances[0].gateway.requests_by_id["rq_a"].attempted_servers[0].entry.name
    host.event("ATTEMPT_END", ["rq_a", "1", "0", server, "served", "9", "-", "-", "9,0.4"], iter(()))
    assert host.instances[0].gateway.overload.utilization_samples == [0.4]


@pytest.mark.parametrize(
    ("text", "line", "expected_text"),
    [
        ("HELLO\n", 1, "MARK"),
        ("MARK x\n", 1, "invalid"),
        (batch(1, "TARGET_INSTANCE 0\nBELL 0\n"), 3, "no instance 0"),
        (batch(1, "BELL 0\n"), 2, "no instance is named"),
        (batch(1, f"{start(0)}WHAT 1\n"), 8, "unknown message"),
        (batch(1, f"{start(0)}NEW_REQUEST rq_a 0\n"), 8, "missing"),
        (batch(1, f"{start(0)}ATTEMPT_END rq_a 1 0 s odd 5\n"), 8, "unknown word"),
        (batch(1, "TARGET_INSTANCE 0\nSHEET 0 3\nM a 0 0 0 U\n"), 5, "entry"),
        ("MARK 1\nSHEET 0 3\nM a 0 0 0 U\n", 3, "cut off"),
        ("MARK 1\n", 1, "within a batch"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line(text: str, line: int, expected_text: str) -> None:
    done = run(batch(0) + text)
    assert done.returncode != 0
    assert done.stdout == "FINISHED\n"
    assert done.stderr.startswith(f"simulator_adapter: line {line + 2}: ")
    assert expected_text in done.stderr
    assert done.stderr.count("\n") == 1


def test_an_exception_in_a_policy_engine_is_reported_in_the_reply() -> None:
    body = "TARGET_INSTANCE 0\nNEW_REQUEST rq_a 9 0 cust/x 900000 1 1 0\n"
    done = run(batch(5, start(0)) + batch(9, body))
    assert "CONTEXT 0\nFAULT IndexError" in done.stdout and done.stdout.endswith("FINISHED\n")


def test_each_action_is_formatted_as_its_line() -> None:
    actions = [
        (CancelAttempt("a", 1), "CANCEL a 1"),
        (RejectRequest("a", 5), "TURN_AWAY a 5"),
        (FailRequest("a"), "END_FAILED a"),
        (SetTimer(5, 7), "ARM 5 7"),
        (ProbeServer("s"), "CHECK s"),
        (CloseIdleConnections("s"), "HANG_UP s"),
        (
            SendPeerMessage(2, (QuotaMessage(5, 1, 3, 4, True, level=-1.5),)),
            f"TELL 2 0100000005010003000401{0:012x}ffb5",
        ),
        (AddToCounter(4, 1, 9), "ADD_TO 4 1 9"),
        (WatchEndpoints(False), "STREAM_CHANGES 0"),
        (FetchEndpoints(), "SNAPSHOT"),
        (WriteLog("a\nb"), "EMIT a b"),
    ]
    assert [write_action(action) for action, _ in actions] == [line for _, line in actions]


def test_decoded_datagrams_equal_what_was_encoded() -> None:
    messages = tuple(QuotaMessage(n, 1, 300, 200, n % 2 == 1, 2.5, 0.5, 1.0, -0.5) for n in range(30))
    digest = HealthDigest(300, 0.5, 999, tuple(ServerObservation(n, 0.25, 3, 1) for n in range(60)))
    datagrams = pack_datagrams(messages, digest)
    assert len(datagrams) > 1 and max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES == 256
    decoded = [unpack_datagram(data) for data in datagrams]
    assert sum((datagram.quota_messages for datagram in decoded), ()) == messages
    assert [datagram.digest is None for datagram in decoded] == [False] + [True] * (len(decoded) - 1)
    (data,) = pack_datagrams((), digest)
    digest_alone = unpack_datagram(data).digest  # without messages there is room for more observations
    assert (digest_alone.serial, digest_alone.occupancy, digest_alone.samples) == (300 & 255, 0.5, 255)
    assert (
        digest_alone.observations == digest.observations[: len(digest_alone.observations)]
        and len(digest_alone.observations) > 40
    )
    (data,) = pack_datagrams([QuotaMessage(1, 0, 0, 2, level=1e9)])
    assert unpack_datagram(data).quota_messages[0].level == 32767 / 50


def test_a_datagram_of_another_length_is_not_decoded() -> None:
    (data,) = pack_datagrams(
        (QuotaMessage(1, 0, 0, 2),), HealthDigest(1, 0.5, 3, (ServerObservation(7, 0.25, 3, 1),))
    )
    assert unpack_datagram(data)
    truncated = [data[:length] for length in range(len(data))]
    decoded_lengths = [length for length, prefix in enumerate(truncated) if unpack_datagram(prefix)]
    # The quota message alone, and with a digest that has no observation.
    assert decoded_lengths == [19, 22]
    assert unpack_datagram(data + b"x") is None and unpack_datagram(b"\xff") is None


def test_a_load_report_value_out_of_range_counts_as_not_reported() -> None:
    """A value that no server can have is not an error, as the wire may carry it."""
    assert read_load_report([("util", "7"), ("queue", "3")]) == LoadReport(queue=3.0)
    with pytest.raises(ValueError, match="nan"):
        read_load_report([("util", "nan")])
