"""What comes in to a gateway's decisions.

All times are whole microseconds. Each event is handed to the decisions with the time at which it came, and
they answer with the actions to carry out, in order.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class AttemptResult(Enum):
    """How an attempt, a probe or a call of the shared counter ended."""

    OK = "ok"
    ERROR = "error"
    AT_CAPACITY = "full"  # the server rejected it without running it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    MALFORMED = "spoilt"  # the answer cannot be read: the request ran
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    OWNED_ELSEWHERE = (
        "elsewhere"  # not sent: another gateway has the same work, or had it and kept its outcome
    )


# Results after which the request never came complete to a server, and after which it has surely not run.
NOT_SENT_RESULTS = frozenset(
    {AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT, AttemptResult.OWNED_ELSEWHERE}
)
NEVER_RAN_RESULTS = NOT_SENT_RESULTS | {AttemptResult.AT_CAPACITY}


class ServerState(Enum):
    """What the endpoint list says of a server."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list holds."""

    FULL = "full"
    CACHED = "saved"  # the complete list as it was before this process started: it may be old
    CHANGES = "changes"
    FAILED = "failed"  # no list: a call of discovery has failed


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server reports of itself; None where it reports nothing. `util` is busy cores over all cores."""

    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    service_ms: float | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the endpoint list. One that comes back with another `started_us` is a new process."""

    name: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    size: float = 1.0
    started_us: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The complete endpoint list, changes to it, or notice that a call of discovery failed."""

    kind: EndpointUpdateKind
    version: int
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; the gateway now owes one final answer.

    `remaining_us` is what its client still waits. The customer's quota is kept by `set_size` gateways, from
    number `set_first` on. A request that is taken over was admitted, and charged, by another gateway; it
    may have run at `ran_on_server`.
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
    """A streamed answer has begun: the attempt belongs to the client."""

    id: str
    attempt: int
    server: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; each StartAttempt gets one. `request_ended`: its request is owed nothing more."""

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
    """The client of a request left; nothing is owed any more."""

    id: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The gateway ends soon: no request, open or new, may last longer than this from now."""

    remaining_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the decisions set has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a ProbeServer."""

    server: str
    result: AttemptResult
    latency_us: int
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class QuotaMessage:
    """What one gateway reports to another of a customer: to its quota owner, or from there in an answer.

    A customer goes by a checksum of its name. `demand` and `spent` (units) are new to the owner; in an
    answer, `demand` is that of the whole set, and `spent` what the owner grants of what was requested, from
    its share of the ceiling. A `requested` amount waits for an answer; `level` is what the set has left, or
    owes.
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
    """What one gateway observed of one server in a digest's span.

    Successes and their mean latency over their class's objective, failures, and the attempts in flight
    there. A server goes by a checksum of its name.
    """

    server: int
    latency_ratio: float = 0.0
    successes: int = 0
    failures: int = 0
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class HealthDigest:
    """What one gateway observed of the servers in a short while, sent along with quota messages.

    `occupancy` is the mean of `samples` samples of the occupancy signal. `serial` changes from one digest
    of a sender to its next, so that nobody counts the same one twice.
    """

    serial: int
    occupancy: float = 0.0
    samples: int = 0
    observations: tuple[ServerObservation, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another gateway."""

    sender: int
    quota_messages: tuple[QuotaMessage, ...]
    digest: HealthDigest | None = None


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The shared counter's reply to an AddToCounter."""

    name: int
    result: AttemptResult
    total: float
    latency_us: int


@dataclass(frozen=True, slots=True)
class CustomerSnapshot:
    """A customer's buckets as they were when it was last looked at, in units."""

    customer: int
    plan_index: int
    set_first: int
    set_size: int
    share: float
    level: float
    ceiling: float
    grants: float


@dataclass(frozen=True, slots=True)
class EjectedServerSnapshot:
    """A server that was ejected: for how much longer, and its latency over the objective."""

    server: str
    ejected_for_us: int
    backoff_us: int
    latency_ratio: float


@dataclass(frozen=True, slots=True)
class PolicySnapshot:
    """What a gateway leaves to its successor; times are from its making on."""

    customers: tuple[CustomerSnapshot, ...] = ()
    ejected_servers: tuple[EjectedServerSnapshot, ...] = ()
    admission_rate_per_s: float | None = None  # None: overload control was not engaged


@dataclass(frozen=True, slots=True)
class SnapshotFound:
    """At a start, before any request: what a predecessor left, and how long ago."""

    snapshot: PolicySnapshot
    age_us: int


class BudgetKind(StrEnum):
    """Which of a customer's budgets the lease service divides."""

    CEILING = "ceiling"
    QUOTA = "quota"
    IN_FLIGHT = "open"


class BudgetKey(NamedTuple):
    """A customer's budget that is divided by leases. In place of one, None is the fleet's retry budget."""

    kind: BudgetKind
    customer: int
    plan_index: int
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class BudgetDemand:
    """A budget of which a share is needed here.

    `demand` is in units a second, or a count; `returned` are units of the last grant that did not fit;
    `needed` are units that requests wait for now; `in_use` is what is in use of a count.
    """

    key: BudgetKey | None
    demand: float
    returned: int = 0
    needed: float = 0.0
    in_use: int = 0


@dataclass(frozen=True, slots=True)
class BudgetGranted:
    """The lease service's grant: a share of a budget until a time, and units that come with it."""

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
