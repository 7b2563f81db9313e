"""The events that the policy engine handles.

Times are whole microseconds, and their names end in `_us`; amounts of quota are in units. The host process
passes each event to the engine with the time at which it arrived, and carries out the actions that the engine
returns.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class AttemptResult(Enum):
    """The result of an attempt, a probe or a call of the shared counter."""

    SUCCESS = "ok"
    ERROR = "error"
    AT_CAPACITY = "full"  # the server rejected it without running it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    MALFORMED = "spoilt"  # the answer cannot be parsed, so the request has run
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # nothing was sent, for a reason at this gateway or its client, such as too little time
    OWNED_ELSEWHERE = "elsewhere"  # not sent, as another gateway owns the same work item or has its outcome


# Results after which no complete request reached a server: NOT_SENT, and others that say why.
NOT_SENT_RESULTS = frozenset(
    {AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT, AttemptResult.OWNED_ELSEWHERE}
)
# Results after which the request has certainly not run.
NEVER_RAN_RESULTS = NOT_SENT_RESULTS | {AttemptResult.AT_CAPACITY}


class ServerState(Enum):
    """The state of a server in the endpoint list."""

    SERVING = "up"
    DRAINING = "draining"
    GONE = "gone"


class EndpointUpdateKind(Enum):
    """The contents of an update of the endpoint list."""

    FULL = "full"
    CACHED = "saved"  # the complete list from before this process started, which may be out of date
    CHANGES = "changes"
    FAILED = "failed"  # no list, as a call of discovery failed


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's report of its own load; a field is None if the server does not report it.

    Attributes:
        inflight: requests in flight at the server.
        queue: requests queued at the server.
        util: busy cores over all cores, as a fraction.
        service_ms: time to serve a request, in ms; not used by the policy.
        served_per_s: requests served per second; not used by the policy.
        errors_per_s: requests failed per second; not used by the policy.
    """

    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the endpoint list; another `started_us` under the same name is a new process.

    Attributes:
        name: name of the instance.
        zone: number of its zone.
        kind: number of its kind of machine; not used by the policy.
        cell: number of its cell.
        state: whether it may be sent new requests.
        size: its weight in the endpoint list, 1.0 by default; not used by the policy.
        started_us: when its process started, on the gateway's clock; 0 means long ago.
    """

    name: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    size: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The complete endpoint list, changes to it, or the failure of a call of discovery.

    `version` is the revision of the list; not used by the policy.
    """

    kind: EndpointUpdateKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which must get exactly one final answer.

    Attributes:
        id: id of the request, unique at this gateway.
        class_index: index of its request class in the settings.
        plan_index: index of its customer's plan in the settings.
        customer: name of the customer.
        remaining_us: how long its client will wait for the answer.
        units: units of quota that it uses.
        set_size: number of gateways that share the customer's quota.
        set_first: index of the first of these gateways; the others follow it.
        is_retry: whether the client marked it as a retry.
        is_write: whether the client marked it as a write; not used by the policy, which goes by the effect of
            the request class.
        is_taken_over: whether another gateway admitted it and charged its units before.
        ran_on_server: for one that was taken over and may have run, a listed server: the one on which it may
            have run, or another one of the same place; otherwise empty.
    """

    id: str
    class_index: int
    plan_index: int
    customer: str
    remaining_us: int
    units: float = 1.0
    set_size: int = 1
    set_first: int = 0
    is_retry: bool = False
    is_write: bool = False
    is_taken_over: bool = False
    ran_on_server: str = ""


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun, so that its request needs no further answer.

    `latency_us` is the time from the start of the attempt.
    """

    id: str
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt; there is one for each StartAttempt.

    Attributes:
        id: id of the request.
        request_ended: whether the request needs no answer from the policy; on success, the host process has
            already given the answer to the client.
        attempt: number of the attempt, from 0.
        server: name of the server.
        result: how the attempt ended.
        latency_us: time from the start of the attempt to its end.
        used_percent: number that the simulator's ATTEMPT_END line carries; not used by the policy.
        true_units: units of quota that the request really used; 0.0 if not reported.
        report: load report that came with the answer, if any.
    """

    id: str
    request_ended: bool
    attempt: int
    server: str
    result: AttemptResult
    latency_us: int
    used_percent: int = 0
    true_units: float = 0.0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected, so that it needs no answer."""

    id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """A graceful shutdown has started: all requests, pending and new, must end within `remaining_us`."""

    remaining_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that a SetTimer action set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a ProbeServer action; `latency_us` is the time that the probe took."""

    server: str
    result: AttemptResult
    latency_us: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class QuotaMessage:
    """A message about a customer's quota: a gateway's report to the quota owner, or the owner's answer.

    With a `set_size` of 0, the message announces an incarnation instead (see `incarnations`).

    Attributes:
        customer: checksum of the customer's name.
        plan_index: index of the customer's plan in the settings.
        set_first: index of the first gateway that shares the quota.
        set_size: number of gateways that share it.
        is_answer: whether the quota owner sent the message.
        demand: in a report, units requested since the last one; in an answer, the demand of the whole set.
        spent: in a report, units spent since the last one; in an answer, units granted of the requested ones
            from the owner's share of the ceiling.
        requested: units for which the sender awaits an answer.
        level: units that the whole set has left; negative if its quota is overspent.
    """

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    is_answer: bool = False
    demand: float = 0.0
    spent: float = 0.0
    requested: float = 0.0
    level: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """What one gateway observed of one server in the span of a digest.

    Attributes:
        server: fingerprint (checksum) of the server's name.
        latency_ratio: mean latency of the successes over their class's latency objective.
        successes: number of successful attempts, and of time-outs that the request caused rather than the
            server.
        failures: number of failed attempts, or 1 if only a failure of an earlier span is reported again.
        in_flight: number of attempts in flight at the server when the digest was made.
    """

    server: int
    latency_ratio: float = 0.0
    successes: int = 0
    failures: int = 0
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class HealthDigest:
    """What one gateway observed of the servers during a short span; it is sent along with quota messages.

    Attributes:
        serial: serial number, by which receivers recognise a digest that they already have.
        occupancy: mean of the samples of the occupancy signal, as a fraction.
        samples: number of these samples.
        observations: what was observed of each server.
    """

    serial: int
    occupancy: float = 0.0
    samples: int = 0
    observations: tuple[ServerObservation, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another gateway; `sender` is its gateway index."""

    sender: int
    quota_messages: tuple[QuotaMessage, ...]
    digest: HealthDigest | None = None


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The shared counter's reply to an AddToCounter; `total` is the counter's new value."""

    name: int
    result: AttemptResult
    total: float
    latency_us: int


@dataclass(frozen=True, slots=True)
class CustomerSnapshot:
    """The levels of a customer's buckets, in units, as of its last refill.

    Attributes:
        customer: checksum of the customer's name.
        plan_index: index of the customer's plan in the settings.
        set_first: index of the first gateway that shares the quota.
        set_size: number of gateways that share it.
        local_level: level of this gateway's share of the quota.
        set_level: level of the quota over the whole set; negative if it is overspent.
        ceiling_level: level of this gateway's share of the ceiling.
        grants_level: at the quota owner, level of the share of the ceiling that it grants from.
    """

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    local_level: float
    set_level: float
    ceiling_level: float
    grants_level: float


@dataclass(frozen=True, slots=True)
class EjectedServerSnapshot:
    """An ejected server.

    Attributes:
        server: name of the server.
        half_open_after_us: time from the snapshot until half-open attempts are allowed.
        backoff_us: the whole time without half-open attempts, which doubles if the next one fails.
        latency_ratio: mean latency over the latency objective.
    """

    server: str
    half_open_after_us: int
    backoff_us: int
    latency_ratio: float


@dataclass(frozen=True, slots=True)
class PolicySnapshot:
    """The state of the policy that a gateway stores for its next process.

    Times count from the collection of the snapshot. `limit_per_scaled_second` is N of overload control, in
    first attempts a scaled second, or None if the control was not engaged.
    """

    customers: tuple[CustomerSnapshot, ...] = ()
    ejected_servers: tuple[EjectedServerSnapshot, ...] = ()
    limit_per_scaled_second: float | None = None


@dataclass(frozen=True, slots=True)
class SnapshotFound:
    """The snapshot of the previous process, collected `age_us` ago; it comes before any request."""

    snapshot: PolicySnapshot
    age_us: int


class BudgetKind(StrEnum):
    """The kind of a budget that the lease service divides."""

    CEILING = "ceiling"
    QUOTA = "quota"
    IN_FLIGHT = "open"


class BudgetKey(NamedTuple):
    """The key of a customer's budget that is divided by leases.

    Where such a key is expected, None stands for the retry budget of all gateways.
    """

    kind: BudgetKind
    customer: int
    plan_index: int
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class BudgetDemand:
    """This gateway's demand for a share of a budget.

    Attributes:
        key: the budget; None is the retry budget of all gateways.
        demand: units per second; for requests in flight, a count.
        returned: units of the last grant that exceeded the share's capacity.
        needed: units, or a count, that requests are waiting for.
        in_use: for requests in flight, how many there are; otherwise 0.
    """

    key: BudgetKey | None
    demand: float
    returned: int = 0
    needed: float = 0.0
    in_use: int = 0


@dataclass(frozen=True, slots=True)
class BudgetGranted:
    """A lease on a share of a budget, granted by the lease service.

    Attributes:
        key: the budget; None is the retry budget of all gateways.
        share: fraction of the budget's rate and burst.
        units: units that are available at once.
        expires_us: when the lease ends, on the gateway's clock.
    """

    key: BudgetKey | None
    share: float
    units: float
    expires_us: int


Event = (
    EndpointUpdate
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | ShutdownStarted
    | TimerFired
    | ProbeEnded
    | PeerMessageReceived
    | CounterReply
    | SnapshotFound
    | BudgetGranted
)
