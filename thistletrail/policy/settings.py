"""The settings of the policy engine: request classes, plans, limits and prices.

Settings are fixed at the start of the process. Times are whole microseconds, and their names end in `_us`;
rates are per second. `settings_codec` maps the paths of the settings file to the fields here.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether requests of a class may be attempted more than once."""

    IDEMPOTENT = "safe"
    # Servers drop repeats with the same idempotency key, within the class's scope and window.
    IDEMPOTENT_BY_KEY = "keyed"
    UNSAFE = "unsafe"


class IdempotencyScope(Enum):
    """Which servers recognise a repeated idempotency key: all, or those of the same zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its times, its value, and whether it may be repeated.

    Attributes:
        latency_objective_us: time from arrival within which an answer has its full value.
        deadline_us: time after which an answer has no value.
        value: value of an answer within the latency objective, for each unit.
        late_value: fraction of `value` that an answer between the two times has.
        effect: whether a request may be attempted more than once.
        idempotency_scope: which servers recognise a repeated idempotency key.
        idempotency_window_us: how long they recognise it.
        streamed: whether answers are streamed; attempts at a streamed answer are not cancelled.
    """

    latency_objective_us: int
    deadline_us: int
    value: float = 1.0
    late_value: float = 0.0
    effect: Effect = Effect.IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_us: int = 0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's limits, which apply to each of its customers over all gateways; a limit of 0 means none.

    Attributes:
        rate: rate of the quota, in units per second.
        burst: burst of the quota, in units.
        max_in_flight: maximum number of a customer's requests in flight.
        value_factor: factor on the value of a request class.
        over_quota_value: fraction of its value that a request beyond the quota has.
        over_quota_cost: cost of sending a request beyond the quota to a server, as a fraction of its value.
            It is also the reserve of the quota decision, as a fraction of the request's units.
        ceiling_rate: rate of the ceiling, in units per second.
        ceiling_burst: burst of the ceiling, in units.
        ceiling_slack: units by which the ceiling may be exceeded without being violated; not used by the
            policy.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    value_factor: float = 1.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway.

    Prices are in units of request value.

    Attributes:
        seed: seed of the gateway's random generator.
        gateway_index: number of this gateway, from 0.
        gateway_count: number of gateways in the fleet.
        classes: request classes, by index.
        plans: plans, by index.
        zone: number of this gateway's zone.
        max_attempts: maximum number of attempts for a request, including the first.
        max_retry_after_us: maximum Retry-After; 0 means that clients are advised no time.
        may_hedge: whether a request may have several attempts in flight (hedged requests); not used by the
            policy, which never does that.
        may_probe: whether servers may be probed; not used by the policy, which sends no probes.
        may_cancel: whether attempts may be cancelled.
        may_message_peers: whether gateways may send messages to each other.
        has_shared_counter: whether there is a counter that all gateways share; not used by the policy.
        must_subscribe: whether updates of the endpoint list must be requested with a watch.
        settles_true_units: whether servers report the units that a request really used.
        peer_messages_per_s: messages from peers that a gateway can take in per second.
        cross_zone_price: price of an attempt at a server in another zone.
        handshake_price: price of a new connection.
        waste_price: price of servers' work that came to no use; not used by the policy.
        late_fail_price: price of a failure that is answered after the latency objective; not used by the
            policy.
        message_price: price of messages to peers; not used by the policy.
        probe_price: price of a probe; not used by the policy.
        answer_grace_us: time after its deadline within which a final answer still counts as given; not used
            by the policy.
        ask_within_us: value of `obligations.ask-within-us`; not used by the policy.
        cold_capacity: fraction of its capacity that a server has when it starts.
        warm_up_us: time from its start after which a server has its full capacity.
        overload_multiple: multiple of its present capacity above which a server collapses; not used by the
            policy.
        overload_window_us: time over which that load is counted; not used by the policy.
        leases_ceilings: whether the lease service divides customers' ceilings, in place of fixed shares.
        leases_quotas: whether it divides customers' quotas, in place of quota messages.
        leases_in_flight: whether it divides the limits on requests in flight, in place of fixed shares.
        retry_rate: rate of the retry budget of all gateways that the lease service divides, in retries per
            second; 0 gives each gateway a share of its own first attempts as its retry budget instead.
        retry_burst: burst of that retry budget, in retries.
    """

    seed: int
    gateway_index: int
    gateway_count: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int = 0
    max_attempts: int = 1
    max_retry_after_us: int = 0
    may_hedge: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    may_message_peers: bool = False
    has_shared_counter: bool = False
    must_subscribe: bool = False
    settles_true_units: bool = False
    peer_messages_per_s: float = 0.0
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0
    waste_price: float = 0.0
    late_fail_price: float = 0.0
    message_price: float = 0.0
    probe_price: float = 0.0
    answer_grace_us: int = 0
    ask_within_us: int = 0
    cold_capacity: float = 1.0
    warm_up_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 1
    leases_ceilings: bool = False
    leases_quotas: bool = False
    leases_in_flight: bool = False
    retry_rate: float = 0.0
    retry_burst: float = 0.0
