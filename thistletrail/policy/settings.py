"""What is configured for a gateway's decisions: request classes, plans, limits and prices.

Settings are given once, at start. Times are whole microseconds, rates are per second. Field names of the
settings file are read in `settings_codec`; the names here are the code's own.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether requests of a class may be attempted more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_BY_KEY = (
        "keyed"  # servers drop repeats with the same idempotency key, within a scope and a window
    )
    UNSAFE = "unsafe"


class IdempotencyScope(Enum):
    """Which servers recognise a repeated idempotency key: all, those of one zone, or those of one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its times, its value, and whether it may be repeated.

    `latency_objective_us` is the time by which an answer has its full `value`; later ones, up to
    `deadline_us`, have `late_value` times that. A repeated idempotency key is recognised for
    `idempotency_window_us`.
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
    """A plan's quota and ceiling, which hold for each of its customers over all gateways; 0 means none.

    `rate` (units a second) and `burst` (units) are the quota, `ceiling_rate` and `ceiling_burst` the
    ceiling, and `max_in_flight` bounds a customer's requests in flight. A request beyond the quota has
    `over_quota_value` of its value and costs `over_quota_cost`.
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
    """What one gateway is configured with at start.

    `gateway_index` is this gateway's number among `gateway_count`. A server that started serves
    `cold_capacity` of its capacity at first and all of it after `warm_up_us`; it collapses under more than
    `overload_multiple` times what it can serve by then, counted over `overload_window_us`. Prices are in
    units of request value.
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
    # Which of a customer's budgets the lease service divides, in place of fixed shares and quota messages:
    # its ceiling, its quota, and its requests in flight.
    leases_ceilings: bool = False
    leases_quotas: bool = False
    leases_in_flight: bool = False
    # The retry budget of all gateways together (retries a second, and at once), divided in the same way;
    # 0: each gateway lives on a share of its own first attempts.
    retry_rate: float = 0.0
    retry_burst: float = 0.0
