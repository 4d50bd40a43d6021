"""What a gateway is told, what happens to it, and what it may do.

Times are seconds, rates are units a second.  Everything here is plain data: no
decision is taken in this file.  Settings check themselves when they are built.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias


class Semantics(Enum):
    """How often a request of a class may take effect."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """For keyed classes: the backends that drop repeats of one request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the backend did not run the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Readiness(Enum):
    """What the list says of a backend."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message about the backends holds."""

    UPDATE = "update"
    REPLACE = "replace"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


def _check(name: str, value: float, low: float = 0.0) -> None:
    if not low <= value < float("inf"):
        raise ValueError(f"{name}: {value!r} is not a number from {low:g} up")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what an answer is worth, by when, and its semantics."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    semantics: Semantics = Semantics.SAFE
    scope: Scope = Scope.ALL
    window: float = 0.0
    aim_stretch: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        for key in ("aim", "deadline", "worth", "late_worth", "window", "aim_stretch"):
            _check(f"class {self.name}: {key}", getattr(self, key))


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: quota, cap on open attempts, ceiling and prices.  0 means: no such limit."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        for key in ("rate", "burst", "open_limit", "price", "over_worth", "over_cost",
                    "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            _check(f"plan {self.name}: {key}", getattr(self, key))


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    number: int = 0
    gateways: int = 1
    zone: str = ""
    tick: float = 0.001
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_time: float = 0.0
    cold_share: float = 1.0
    fall_factor: float = 1.0
    fall_time: float = 1.0
    ask_within: float = 0.0
    ask_discovery: bool = False
    max_attempts: int = 1
    second_copies: bool = False
    cancel: bool = False
    probing: bool = False
    peers: bool = False
    peer_rate: float = 0.0
    counter: bool = False
    counter_timeout: float = 0.0
    meter_period: float = 0.0
    settles: bool = False
    most_units: float = 1.0
    retry_after: bool = True

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if not self.plans:
            raise ValueError("plans: at least one is needed")
        for key in ("number", "answer_slack", "drain_grace", "cold_time", "cold_share", "fall_factor",
                    "fall_time", "ask_within", "peer_rate", "counter_timeout", "meter_period"):
            _check(key, getattr(self, key))
        for key in ("gateways", "max_attempts", "most_units"):
            _check(key, getattr(self, key), 1)


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the list of backends.  `started` is 0 when it started long ago."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    readiness: Readiness = Readiness.READY
    weight: float = 1.0
    started: float = 0.0


# Events.

@dataclass(frozen=True, slots=True)
class BackendsChanged:
    kind: ListKind
    backends: tuple[Backend, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks.  `time_left` is how long it waits; `spread` gateways from number `first`
    on are those that its customer may use.  `cell`: it may only run there, since an earlier try
    of the same submission may have run there; 0 for none."""

    id: str
    request_class: str
    plan: str
    customer: str
    time_left: float
    units: float = 1.0
    spread: int = 1
    first: int = 0
    repeat: bool = False
    write: bool = False
    cell: int = 0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    id: str
    attempt: int
    backend: str
    latency: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """`finished`: the request is over.  `used`: the customer's metered use, 1 + percent of its
    rate, 0 for none.  `settled`: the true units, 0 for none."""

    id: str
    attempt: int
    backend: str
    outcome: Outcome
    latency: float = 0.0
    finished: bool = False
    used: int = 0
    settled: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Abandoned:
    id: str


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    backend: str
    outcome: Outcome
    latency: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    name: int
    outcome: Outcome
    total: float = 0.0
    latency: float = 0.0


# Actions.

@dataclass(frozen=True, slots=True)
class Send:
    id: str
    backend: str
    timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """The final answer "no": tells the client that a retry does no harm."""

    id: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer "failed": promises nothing about the effect."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    backend: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    backend: str


@dataclass(frozen=True, slots=True)
class TellPeers:
    """A message to one peer, or to all when `peer` is None; at most 256 bytes."""

    text: str
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Count:
    name: int
    add: float
    lifetime: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchBackends:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Event: TypeAlias = (BackendsChanged | Request | StreamStarted | AttemptEnded | Abandoned | Timer
                    | ProbeEnded | PeerMessage | CounterReply)
Action: TypeAlias = (Send | Cancel | Refuse | Fail | SetTimer | Probe | CloseIdle | TellPeers | Count
                     | Subscribe | FetchBackends | Log)
