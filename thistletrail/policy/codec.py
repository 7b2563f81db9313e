"""What the simulator's adapter and the real front door share: settings, load reports, peers' words."""

import re
import struct
from collections.abc import Iterable, Mapping

from thistletrail.policy.events import HealthDigest, LoadReport, QuotaMessage, ServerObservation
from thistletrail.policy.settings import Effect, IdempotencyScope, Plan, RequestClass, Settings

EFFECTS = {
    "read_like": Effect.IDEMPOTENT,
    "idempotency_key": Effect.IDEMPOTENT_BY_KEY,
    "non_idempotent": Effect.UNSAFE,
}
# The fields of a load report: as the wire names them, and as the servers themselves do.
REPORT_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "inflight",
    "queue": "queue",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}

# What a server says of itself is not trusted: plain numbers, none below 0, and none that no server can mean.
REPORTED = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?(e[-+]?[0-9]{1,2})?", re.ASCII)
MOST_REPORTED = {"util": 2.0}  # busy cores over all; some noise may lie on it
MOST_OTHERS = 1e9

# A message between gateways: how many words it holds, the words, and a digest with its notes where there
# is one. Amounts of words go in steps of 1 / UNIT, shares of an aim in steps of 1 / SHARE.
WORD = struct.Struct("!IBHHBhhhh")
UNIT = 50
DIGEST, NOTE = struct.Struct("!BBB"), struct.Struct("!HBBB")  # in a note, answers and failures share a byte
SHARE = 64
BYTE, HALF, HALF_BITS = 255, 15, 4
MESSAGE_BYTES = 256

MOST_NUMBER = 1e15  # of any setting: a day is 1e11 microseconds


class Pairs:
    """The settings of an instance as texts by their paths; unknown paths are never asked for."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str = "") -> str:
        value = self.values.get(path, "-")
        return default if value == "-" else value

    def number(self, path: str, default: float = 0.0) -> float:
        value = float(self.text(path, str(default)))
        if not 0 <= value <= MOST_NUMBER:  # also false for what is no number
            raise ValueError(f"{path} is out of range")
        return value

    def whole(self, path: str, default: int = 0) -> int:
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.text(path, "false") in ("true", "1")


def read_class(pairs: Pairs, at: str) -> RequestClass:
    return RequestClass(
        latency_objective_us=pairs.whole(f"{at}.on-time-us"),
        deadline_us=pairs.whole(f"{at}.deadline-us"),
        value=pairs.number(f"{at}.points", 1.0),
        late_value=pairs.number(f"{at}.late-worth"),
        effect=EFFECTS[pairs.text(f"{at}.idempotency", "read_like")],
        idempotency_scope=IdempotencyScope(pairs.text(f"{at}.group", "all")),
        idempotency_window_us=pairs.whole(f"{at}.window-us"),
        streamed=pairs.flag(f"{at}.streamed"),
    )


def read_plan(pairs: Pairs, at: str) -> Plan:
    return Plan(
        rate=pairs.number(f"{at}.units-per-s"),
        burst=pairs.number(f"{at}.burst"),
        max_in_flight=pairs.whole(f"{at}.max-out"),
        value_factor=pairs.number(f"{at}.value-factor", 1.0),
        over_quota_value=pairs.number(f"{at}.extra-worth"),
        over_quota_cost=pairs.number(f"{at}.overrun-cost"),
        ceiling_rate=pairs.number(f"{at}.never-over-rate"),
        ceiling_burst=pairs.number(f"{at}.hard-burst"),
        ceiling_slack=pairs.number(f"{at}.hard-slack"),
    )


def read_settings(seed: int, pairs: Pairs) -> Settings:
    classes = range(pairs.whole("categories.count"))
    plans = range(pairs.whole("plans.count"))
    return Settings(
        seed=seed,
        gateway_index=pairs.whole("me"),
        gateway_count=pairs.whole("balancers", 1),
        classes=tuple(read_class(pairs, f"categories.{n}") for n in classes),
        plans=tuple(read_plan(pairs, f"plans.{n}") for n in plans),
        zone=pairs.whole("zone"),
        max_attempts=pairs.whole("ceilings.max-attempts", 1),
        max_retry_after_us=(
            pairs.whole("ceilings.max-retry-after-us") if pairs.flag("ceilings.retry-after") else 0
        ),
        may_hedge=pairs.flag("ceilings.parallel-tries"),
        may_probe=pairs.flag("ceilings.may-probe"),
        may_cancel=pairs.flag("ceilings.may-cancel"),
        may_message_peers=pairs.flag("ceilings.peers"),
        has_shared_counter=pairs.flag("extra.counter"),
        must_subscribe=pairs.text("registry-mode") == "subscribe",
        settles_true_units=pairs.flag("extra.trued-up"),
        peer_messages_per_s=pairs.number("extra.mail-per-s"),
        cross_zone_price=pairs.number("prices.cross-zone"),
        handshake_price=pairs.number("prices.handshake"),
        waste_price=pairs.number("prices.waste"),
        late_fail_price=pairs.number("prices.late-fail"),
        message_price=pairs.number("prices.peer"),
        probe_price=pairs.number("prices.probe"),
        answer_grace_us=pairs.whole("obligations.grace-to-answer-us"),
        ask_within_us=pairs.whole("obligations.ask-within-us"),
        cold_capacity=pairs.number("obligations.cold-from", 1.0),
        warm_up_us=pairs.whole("obligations.warm-within-us"),
        overload_multiple=pairs.number("obligations.fall-multiple", 1.0),
        overload_window_us=pairs.whole("obligations.fall-us", 1),
    )


def read_reported(name: str, text: str) -> float | None:
    """One value of a load report; one out of its range says nothing, what is no number is a ValueError."""
    if not REPORTED.fullmatch(text):
        raise ValueError(f"a load report says {name}={text:.20}")
    value = float(text)
    return value if value <= MOST_REPORTED.get(name, MOST_OTHERS) else None


def read_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """A load report from names and values; unknown names and absent values are skipped."""
    return LoadReport(
        **{
            REPORT_FIELDS[name]: read_reported(REPORT_FIELDS[name], value)
            for name, value in values
            if name in REPORT_FIELDS and value not in ("", "-")
        }
    )


def share(value: float) -> int:
    return max(0, min(BYTE, round(value * SHARE)))


def pack_message(words: Iterable[QuotaMessage], digest: HealthDigest | None = None) -> list[bytes]:
    """Messages between gateways, each as long as the wire allows; the first has as many of the digest's
    notes as find room."""
    packed = [
        WORD.pack(
            word.customer,
            word.plan_index,
            word.set_first,
            word.set_size,
            word.is_answer,
            *(
                max(-32768, min(32767, round(amount * UNIT)))
                for amount in (word.demand, word.spent, word.requested, word.level)
            ),
        )
        for word in words
    ]
    head = b""
    if digest:
        head = DIGEST.pack(digest.serial & BYTE, share(digest.occupancy), min(BYTE, digest.samples))
    at_once = (MESSAGE_BYTES - 1 - len(head)) // WORD.size
    parts = [packed[n : n + at_once] for n in range(0, len(packed), at_once)] or [[]]
    messages = [bytes([len(part)]) + b"".join(part) for part in parts]
    if digest:
        room = (MESSAGE_BYTES - len(messages[0]) - len(head)) // NOTE.size
        messages[0] += head + b"".join(
            NOTE.pack(
                note.server,
                share(note.latency_ratio),
                min(HALF, note.successes) << HALF_BITS | min(HALF, note.failures),
                min(BYTE, note.in_flight),
            )
            for note in digest.observations[:room]
        )
    return messages


def unpack_message(data: bytes) -> tuple[tuple[QuotaMessage, ...], HealthDigest | None] | None:
    """The words and the digest of a message; None where it is not of this version's form."""
    end = 1 + data[0] * WORD.size if data else 1
    rest = len(data) - end - DIGEST.size
    if len(data) < end or (len(data) > end and (rest < 0 or rest % NOTE.size)):
        return None
    words = tuple(
        QuotaMessage(*key, bool(answer), *(amount / UNIT for amount in amounts))
        for *key, answer, demand, spent, asked, level in WORD.iter_unpack(data[1:end])
        for amounts in [(demand, spent, asked, level)]
    )
    if len(data) == end:
        return words, None
    serial, occupancy, samples = DIGEST.unpack_from(data, end)
    notes = tuple(
        ServerObservation(server, latency_ratio / SHARE, counts >> HALF_BITS, counts & HALF, out)
        for server, latency_ratio, counts, out in NOTE.iter_unpack(data[end + DIGEST.size :])
    )
    return words, HealthDigest(serial, occupancy / SHARE, samples, notes)
