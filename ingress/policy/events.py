"""Events that a gateway handles, as plain data.

Durations are in seconds; points in time are seconds of the clock that drives the gateway.

Events that occur with each request define their constructors explicitly: a constructor that
`dataclass` generates would stay interpreted in the compiled form.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import TypeAlias

NO_LOAD_REPORT: Mapping[str, float] = MappingProxyType({})
"""The load report of a response without one."""


class Outcome(Enum):
    """Outcome of an attempt, a probe or a counter call."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SUPERSEDED = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the backend did not run the request."""
        return self in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED)


class Readiness(Enum):
    """Whether a backend accepts requests; the values are those of the discovery service."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """Which entries of the endpoint list a `BackendsChanged` event contains."""

    UPDATE = "update"
    """Only the entries that changed."""
    COMPLETE = "complete"
    """All entries."""
    RESTORED = "restored"
    """All entries, either for the first time or after discovery was unavailable."""
    UNAVAILABLE = "unavailable"
    """No entries: discovery is unavailable, and the last list may be outdated."""


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the endpoint list.

    Attributes:
        id: The backend's name in discovery.
        zone: Its failure domain.
        kind: Its model, as reported by discovery.
        cell: The number of the group of backends that share one store of idempotency keys; 0 for
            none.
        readiness: Whether it accepts requests.
        weight: Its capacity relative to that of the other backends.
        started_at: When it started; 0 if it started long ago.
    """

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    readiness: Readiness = Readiness.READY
    weight: float = 1.0
    started_at: float = 0.0


@dataclass(init=False, slots=True)
class BackendsChanged:
    """The endpoint list changed or became unavailable.

    Attributes:
        kind: Which entries `backends` contains.
        backends: Entries of the list.
        version: A number that increases with each change of the list.
    """

    kind: EndpointListKind
    backends: tuple[Backend, ...]
    version: int

    def __init__(
        self, kind: EndpointListKind, backends: tuple[Backend, ...] = (), version: int = 0
    ) -> None:
        self.kind = kind
        self.backends = backends
        self.version = version


@dataclass(init=False, slots=True)
class RequestReceived:
    """A client sent a request.

    Attributes:
        request_id: Identifies the request until it has ended.
        request_class: The name of its class.
        plan: The name of its customer's plan.
        customer: The name of its customer.
        time_left: Seconds for which the client still waits.
        units: Units that it consumes from the quota and the ceiling.
        gateway_count: The number of gateways that its customer may use.
        first_gateway: The index of the first of these gateways; the others follow and wrap around.
        is_retry: Whether the client sent the same request before.
        is_write: Whether it changes data.
        cell: The only group of backends in which it may run, since an earlier submission with its
            idempotency key may have run there; 0 for any.
    """

    request_id: str
    request_class: str
    plan: str
    customer: str
    time_left: float
    units: float
    gateway_count: int
    first_gateway: int
    is_retry: bool
    is_write: bool
    cell: int

    def __init__(
        self,
        request_id: str,
        request_class: str,
        plan: str,
        customer: str,
        time_left: float,
        units: float = 1.0,
        gateway_count: int = 1,
        first_gateway: int = 0,
        is_retry: bool = False,
        is_write: bool = False,
        cell: int = 0,
    ) -> None:
        self.request_id = request_id
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.time_left = time_left
        self.units = units
        self.gateway_count = gateway_count
        self.first_gateway = first_gateway
        self.is_retry = is_retry
        self.is_write = is_write
        self.cell = cell


@dataclass(init=False, slots=True)
class ResponseStarted:
    """The first part of a streaming response arrived.

    Attributes:
        request_id: The request that the response belongs to.
        attempt: The number of the attempt within the request, from 0.
        backend: The backend's id.
        latency: Seconds since the attempt started.
    """

    request_id: str
    attempt: int
    backend: str
    latency: float

    def __init__(self, request_id: str, attempt: int, backend: str, latency: float = 0.0) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.backend = backend
        self.latency = latency


@dataclass(init=False, slots=True)
class AttemptEnded:
    """An attempt ended with its only outcome.

    Attributes:
        request_id: The request that the attempt belongs to.
        attempt: The number of the attempt within the request, from 0.
        backend: The backend's id.
        outcome: The outcome of the attempt.
        latency: Seconds since the attempt started.
        finished: Whether the request ended with this attempt.
        metered_use: The customer's use at all gateways in a past period, as 1 + percent of its
            rate; 0 if not reported.
        settled_units: The units that the request actually consumed; 0 if not reported.
        load_report: Metrics of the backend's load, by their names in `wire_settings.LOAD_FIELDS`.
    """

    request_id: str
    attempt: int
    backend: str
    outcome: Outcome
    latency: float
    finished: bool
    metered_use: int
    settled_units: float
    load_report: Mapping[str, float]

    def __init__(
        self,
        request_id: str,
        attempt: int,
        backend: str,
        outcome: Outcome,
        latency: float = 0.0,
        finished: bool = False,
        metered_use: int = 0,
        settled_units: float = 0.0,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.backend = backend
        self.outcome = outcome
        self.latency = latency
        self.finished = finished
        self.metered_use = metered_use
        self.settled_units = settled_units
        self.load_report = load_report


@dataclass(init=False, slots=True)
class ClientDisconnected:
    """The client of a request disconnected, which ends the request.

    Attributes:
        request_id: The request that ended.
    """

    request_id: str

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


@dataclass(init=False, slots=True)
class TimerFired:
    """A timer that a `SetTimer` action set has expired.

    Attributes:
        token: The token of that action.
    """

    token: int

    def __init__(self, token: int) -> None:
        self.token = token


@dataclass(init=False, slots=True)
class ProbeEnded:
    """A health check ended.

    Attributes:
        backend: The backend's id.
        outcome: The outcome of the health check.
        latency: Seconds since the health check started.
        load_report: Metrics of the backend's load.
    """

    backend: str
    outcome: Outcome
    latency: float
    load_report: Mapping[str, float]

    def __init__(
        self,
        backend: str,
        outcome: Outcome,
        latency: float = 0.0,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
    ) -> None:
        self.backend = backend
        self.outcome = outcome
        self.latency = latency
        self.load_report = load_report


@dataclass(init=False, slots=True)
class PeerMessageReceived:
    """A message that another gateway sent with `SendPeerMessage` arrived.

    Attributes:
        sender: The index of the sending gateway.
        text: The text of the message.
    """

    sender: int
    text: str

    def __init__(self, sender: int, text: str) -> None:
        self.sender = sender
        self.text = text


@dataclass(init=False, slots=True)
class CounterReply:
    """A counter call that `AddToCounter` started has ended.

    Attributes:
        key: The counter key of the call.
        outcome: `OK` if the amount was added; after `TIMEOUT` it may have been added.
        total: With `OK`, the sum that all gateways added under the key, including this call.
        latency: Seconds since the call started.
    """

    key: int
    outcome: Outcome
    total: float
    latency: float

    def __init__(
        self, key: int, outcome: Outcome, total: float = 0.0, latency: float = 0.0
    ) -> None:
        self.key = key
        self.outcome = outcome
        self.total = total
        self.latency = latency


@dataclass(init=False, slots=True)
class FleetShedFraction:
    """The fleet agreed on the fraction of load to shed.

    Attributes:
        shed_fraction: From 0 to 1; customers with a lower shed rank are rejected.
        until: When the fraction expires, unless another event replaces it earlier.
    """

    shed_fraction: float
    until: float

    def __init__(self, shed_fraction: float, until: float) -> None:
        self.shed_fraction = shed_fraction
        self.until = until


@dataclass(init=False, slots=True)
class PeerEjections:
    """Other gateways found backends down and probe them for the fleet; send nothing to them.

    Attributes:
        backends: The ids of these backends.
        until: When the ejections expire.
    """

    backends: tuple[str, ...]
    until: float

    def __init__(self, backends: tuple[str, ...], until: float) -> None:
        self.backends = backends
        self.until = until


Event: TypeAlias = (
    BackendsChanged
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessageReceived
    | CounterReply
    | FleetShedFraction
    | PeerEjections
)
