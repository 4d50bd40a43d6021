"""The simulated deployment: request classes, plans, limits, and the settings of each instance."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

MAX_DEADLINE_S = 3.0  # longest deadline that delays SIGKILL
KILL_MARGIN_S = 0.7  # from that deadline to SIGKILL


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; times are in seconds.

    `semantics` is safe, keyed or unsafe; `window` is the time for which backends remember a key.
    """

    name: str
    share: float
    semantics: str
    worth: float
    aim: float = 1.5
    deadline: float = 4.0
    late_worth: float = 0.0
    window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota plan; rates are units per second and customer, `ceiling_rate` 0 means no ceiling."""

    name: str
    share: float
    rate: float
    burst: float
    price: float
    over_cost: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


CLASSES = (
    RequestClass("grid-fetch", 0.62, "safe", 2.0),
    RequestClass("solution-submit", 0.38, "keyed", 6.0, late_worth=0.2, window=4.0),
)
PLANS = (
    Plan("base", 0.37, 0.8, 3.5, 0.72, 1.2),
    Plan("plus", 0.37, 2.4, 10.0, 1.3, 0.5),
    Plan("editorial", 0.26, 9.0, 22.0, 1.6, 0.6, 18.0, 45.0, 4.5),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and parameters of a run.

    `busy` is the share of the backends' capacity that the offered rate uses.
    """

    ingresses: int = 3
    servers: int = 9
    rate: float = 75.0  # first attempts per second, about within quota
    cores: int = 2
    queue: int = 40  # requests that may wait at a server, which rejects any more
    busy: float = 0.5
    max_attempts: int = 4
    drain_grace: float = 1.0
    cold_share: float = 0.2
    cold_time: float = 10.0
    fall_factor: float = 2.0
    fall_time: float = 1.0
    answer_slack: float = 0.05  # s added to each time limit that is measured on sockets
    notice: float = 0.6  # s, the longest delay until discovery publishes a change of the list
    counter_rate: float = 520.0  # calls per second, over all shards
    counter_parts: int = 3
    cores_each: float = 1.0  # the core limit in the configuration of each ingress
    memory_mb: int = 192
    sockets: int = 1024
    retries: float = 0.7  # share of the clients that retry, once
    marks: bool = False  # whether clients mark their retries
    keeps_connections: bool = False  # whether clients reuse open connections until they are closed
    classes: tuple[RequestClass, ...] = CLASSES
    plans: tuple[Plan, ...] = PLANS
    by_class: dict[str, RequestClass] = field(init=False, compare=False)
    by_plan: dict[str, Plan] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_class", {c.name: c for c in self.classes})
        object.__setattr__(self, "by_plan", {p.name: p for p in self.plans})

    @property
    def kill_after_s(self) -> float:
        """Returns the time from SIGTERM to the earliest SIGKILL, in seconds."""
        longest = max(request_class.deadline for request_class in self.classes)
        return min(longest, MAX_DEADLINE_S) + KILL_MARGIN_S

    @property
    def mean_work(self) -> float:
        """Returns the mean work of a request, in seconds of one core."""
        return self.busy * self.servers * self.cores / self.rate

    def with_(self, **changes: Any) -> Deployment:
        """Returns a copy of the deployment with some fields replaced."""
        return replace(self, **changes)

    def settings(self, number: int) -> dict[str, Any]:
        """Returns the `settings` section of the configuration of ingress `number`."""
        return {
            "balancers": self.ingresses,
            "self-index": number,
            "zone": zone(number),
            "tick-s": 0.002,
            "membership-mode": "pushed",
            "categories": [
                {
                    "name": c.name,
                    "aim-s": c.aim,
                    "give-up-s": c.deadline,
                    "importance": c.worth,
                    "late-worth": c.late_worth,
                    "semantics": c.semantics,
                    "key-scope": "all",
                    "dedup-window-s": c.window,
                    "stream": False,
                }
                for c in self.classes
            ],
            "contracts": [
                {
                    "name": p.name,
                    "refill": p.rate,
                    "burst": p.burst,
                    "at-once": 0,
                    "worth-factor": p.price,
                    "over-worth": 0.0,
                    "excess-cost": p.over_cost,
                    "hard-rate": p.ceiling_rate,
                    "ceiling-burst": p.ceiling_burst,
                    "cap-slack": p.ceiling_slack,
                }
                for p in self.plans
            ],
            "limits": {
                "max-attempts": self.max_attempts,
                "second-copies": False,
                "cancel": True,
                "probing": False,
                "peers": False,
                "retry-after": True,
                "connect-timeout-s": 0.25,
                "keepalive-s": 15.0,
                "max-open": 20000,
            },
            "rules": {
                "answer-slack-s": 0.008,
                "drain-grace-s": self.drain_grace,
                "cold-s": self.cold_time,
                "start-capacity": self.cold_share,
                "overload-factor": self.fall_factor,
                "fall-s": self.fall_time,
                "ask-within-s": 10.0,
            },
            "family-info": {
                "counter": True,
                "count-wait-s": 0.08,
                "most-units": 1.0,
                "cost-after": False,
            },
        }


def zone(number: int) -> str:
    """Returns the zone of an instance or a server."""
    return f"hall-{'ab'[number % 2]}"
