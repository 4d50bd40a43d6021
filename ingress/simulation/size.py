"""Parameters of a simulation: fleet size, request classes, plans, and fault scenarios."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ingress.policy.settings import Plan, RequestClass, RetrySemantics

CLASSES = (
    RequestClass("grid-fetch", 1.5, 4.0, priority_weight=2.0),
    RequestClass(
        "solution-submit",
        1.5,
        4.0,
        priority_weight=6.0,
        late_priority_weight=0.2,
        semantics=RetrySemantics.IDEMPOTENCY_KEY,
        deduplication_window=4.0,
    ),
)
CLASS_SHARES = (0.62, 0.38)
PLANS = (
    Plan("base", 0.8, 3.5, price=0.72, over_quota_cost=1.2),
    Plan("plus", 2.4, 10.0, price=1.3, over_quota_cost=0.5),
    Plan(
        "editorial",
        9.0,
        22.0,
        price=1.6,
        over_quota_cost=0.6,
        ceiling_rate=18.0,
        ceiling_burst=45.0,
        ceiling_slack=4.5,
    ),
)
PLAN_SHARES = (0.37, 0.37, 0.26)  # of the first requests
MAX_INSTANCES: Final = 1000  # limit for gateways and for backends
SUBSET_SIZE: Final = 12  # backends that a gateway prefers
CONNECTIONS_PER_GATEWAY: Final = 3
MIN_CONNECTION_LIMIT: Final = 60


@dataclass(frozen=True, slots=True)
class Size:
    """Parameters of a fleet and its clients. Times are in seconds.

    Attributes:
        gateways: Number of gateways.
        backends: Number of backends.
        zones: Number of zones, over which gateways and backends are spread.
        duration: Time during which clients send first requests.
        load: Core time of the first requests, as a share of the capacity of warm backends.
        cores: Number of cores of each backend.
        mean_core_s: Mean core time of a request.
        max_queue: Maximum number of queued requests at a backend.
        max_connections: Connection limit of a backend; 0 for three connections for each gateway of
            a subset, at least 60.
        handshake_core_s: Core time of the handshake of a new connection.
        network_delay: One-way delay between gateways and backends.
        cold_capacity: Capacity of a backend that has just started, as a share of the capacity of a
            warm backend.
        warmup_time: Time until a backend is warm.
        collapse_factor: Work that a warming backend can accept, relative to its capacity.
        collapse_window: Time over which that work is counted.
        gateways_per_customer: Number of gateways at which the requests of a customer arrive.
        quota_use: Mean demand of a customer, as a share of its quota.
        heavy_share: Share of the customers whose demand is `heavy_quota_use` instead.
        heavy_quota_use: Demand of these customers, as a share of their quota.
        gateway_skew: Skew of the weights of a customer's gateways; 0 gives equal weights.
        client_retries: Maximum number of retries by a client.
        retry_after_share: Share of the clients that respect Retry-After.
        client_backoff: Mean delay before the retries of the other clients.
        max_list_delay: Maximum delay until a watcher receives a change to the endpoint list.
        discovery_calls_per_s: Call rate of the discovery service; 0 for one call for each gateway
            in 3 s.
        counter_calls_per_s: Call rate of the counter; 0 for six calls a second for each gateway, at
            least 300.
        failure_detection_delay: Time until clients detect that a gateway has died.
    """

    gateways: int = 12
    backends: int = 12
    zones: int = 3
    duration: float = 20.0
    load: float = 0.6
    cores: int = 2
    mean_core_s: float = 0.04
    max_queue: int = 30
    max_connections: int = 0
    handshake_core_s: float = 0.002
    network_delay: float = 0.0005
    cold_capacity: float = 0.2
    warmup_time: float = 8.0
    collapse_factor: float = 2.0
    collapse_window: float = 1.0
    gateways_per_customer: int = 4
    quota_use: float = 0.4
    heavy_share: float = 0.0
    heavy_quota_use: float = 3.0
    gateway_skew: float = 1.0
    client_retries: int = 2
    retry_after_share: float = 0.7
    client_backoff: float = 0.1
    max_list_delay: float = 0.6
    discovery_calls_per_s: float = 0.0
    counter_calls_per_s: float = 0.0
    failure_detection_delay: float = 1.5

    def __post_init__(self) -> None:
        """Raises ValueError if a count or the load is out of range."""
        counts = (self.gateways, self.backends)
        if not all(1 <= count <= MAX_INSTANCES for count in counts) or self.load <= 0:
            raise ValueError(
                f"size: gateways={self.gateways} and backends={self.backends} must be between 1 and"
                f" {MAX_INSTANCES}, load={self.load:g} must be positive"
            )

    @property
    def capacity(self) -> float:
        """Returns the requests a second that all backends can serve when warm."""
        return self.backends * self.cores / self.mean_core_s

    @property
    def connection_limit(self) -> int:
        """Returns the number of connections that a backend accepts simultaneously."""
        if self.max_connections:
            return self.max_connections
        subset = min(SUBSET_SIZE, self.backends)
        per_backend = CONNECTIONS_PER_GATEWAY * self.gateways * subset // self.backends
        return max(MIN_CONNECTION_LIMIT, per_backend)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that lasts from `start` to `end`.

    Attributes:
        kind: One of
            kill: a `share` of the gateways dies at once, and restarts after `amount` seconds;
            release: a `share` of the backends is replaced by cold ones, one after another;
            zone_lost: the backends of zone 0 die, and restart cold at `end`;
            zone_cut: a partition separates zone 0 from the other zones;
            list_late: changes to the endpoint list are reported `amount` seconds later;
            counter_down: the counter refuses connections;
            counter_empty: the counter loses all totals;
            load: clients send `amount` times as many first requests;
            slow: work takes `amount` times as long at a `share` of the backends;
            hot: a `share` of all requests arrives at gateway 0;
            unsaid: a `share` of the backends is down while the endpoint list reports it as ready.
        start: Start time in seconds.
        end: End time in seconds.
        amount: Depends on `kind`.
        share: Depends on `kind`.
    """

    kind: str
    start: float
    end: float
    amount: float = 0.0
    share: float = 0.0


SCENARIOS: dict[str, tuple[Fault, ...]] = {
    "calm": (),
    # 70% of the gateways die during a release, while discovery receives too many calls.
    "herd": (Fault("release", 5.0, 12.0, share=0.5), Fault("kill", 6.0, 6.0, 1.0, 0.7)),
    "zone": (Fault("zone_lost", 5.0, 10.0),),
    "join": (Fault("release", 5.0, 12.0, share=0.6),),
    # A zone is partitioned while endpoint list updates are late and the counter is down.
    "split": (
        Fault("zone_cut", 5.0, 11.0),
        Fault("list_late", 4.0, 12.0, 2.0),
        Fault("counter_down", 6.0, 10.0),
    ),
    # The live gateways of a customer change as groups of gateways die one after another.
    "moved": (
        Fault("kill", 5.0, 5.0, 2.0, 0.3),
        Fault("kill", 9.0, 9.0, 2.0, 0.3),
        Fault("kill", 13.0, 13.0, 2.0, 0.3),
    ),
    "trigger": (Fault("load", 5.0, 8.0, 4.0),),
    "hot": (Fault("hot", 4.0, 12.0, share=0.4),),
    "replaced": (Fault("counter_down", 4.0, 7.0), Fault("counter_empty", 7.0, 7.0)),
    "slow": (Fault("slow", 4.0, 12.0, 8.0, 0.15),),
    "unsaid": (Fault("unsaid", 4.0, 16.0, share=0.1),),
}
