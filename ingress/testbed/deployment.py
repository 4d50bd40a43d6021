"""The deployment that is played: classes, plans, rules, and an instance's settings for them."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

MAX_DEADLINE_S = 3.0  # up to which a deadline puts SIGKILL off
KILL_MARGIN_S = 0.7  # that SIGKILL leaves beyond it


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; times are seconds.

    `semantics` is safe, keyed or unsafe; `window` is how long a key is remembered.
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
    """Rates are units a second for one customer; `ceiling_rate` 0 means: no ceiling."""

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
    """Sizes and figures of a run.

    `busy` is the share of the fleet's work that the rate asks for.
    """

    ingresses: int = 3
    servers: int = 9
    rate: float = 75.0  # first tries a second, about within quota
    cores: int = 2
    queue: int = 40  # requests that wait at a server; more are turned away
    busy: float = 0.5
    max_attempts: int = 4
    drain_grace: float = 1.0
    cold_share: float = 0.2
    cold_time: float = 10.0
    fall_factor: float = 2.0
    fall_time: float = 1.0
    answer_slack: float = 0.05  # by which each time limit is longer on sockets
    notice: float = 0.6  # s at most until a change of the list is told
    counter_rate: float = 520.0  # calls a second, all parts together
    counter_parts: int = 3
    cores_each: float = 1.0  # told to an ingress
    memory_mb: int = 192
    sockets: int = 1024
    retries: float = 0.7  # share of the clients that try again, once
    marks: bool = False  # whether clients mark what they try again
    keeps_connections: bool = False  # whether clients use open connections until they are closed
    classes: tuple[RequestClass, ...] = CLASSES
    plans: tuple[Plan, ...] = PLANS
    by_class: dict[str, RequestClass] = field(init=False, compare=False)
    by_plan: dict[str, Plan] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_class", {c.name: c for c in self.classes})
        object.__setattr__(self, "by_plan", {p.name: p for p in self.plans})

    @property
    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        longest = max(request_class.deadline for request_class in self.classes)
        return min(longest, MAX_DEADLINE_S) + KILL_MARGIN_S

    @property
    def mean_work(self) -> float:
        """Seconds of one core that a request takes in the mean."""
        return self.busy * self.servers * self.cores / self.rate

    def with_(self, **changes: Any) -> Deployment:
        """Returns the deployment with other figures."""
        return replace(self, **changes)

    def settings(self, number: int) -> dict[str, Any]:
        """What ingress `number` finds in its configuration under `settings`."""
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
