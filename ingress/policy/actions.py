"""Actions that a gateway requests, as plain data.  Durations are in seconds.

The constructors are defined explicitly, for the reason given in `events`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(init=False, slots=True)
class StartAttempt:
    """Forwards a request to a backend.

    Attributes:
        request_id: The request to forward.
        backend: The backend's id.
        timeout: Seconds after which the attempt ends with `Outcome.TIMEOUT`; 0 for the request's
            deadline.
    """

    request_id: str
    backend: str
    timeout: float

    def __init__(self, request_id: str, backend: str, timeout: float = 0.0) -> None:
        self.request_id = request_id
        self.backend = backend
        self.timeout = timeout


@dataclass(init=False, slots=True)
class CancelAttempt:
    """Cancels an attempt in flight.

    Attributes:
        request_id: The request that the attempt belongs to.
        attempt: The number of the attempt within the request, from 0.
    """

    request_id: str
    attempt: int

    def __init__(self, request_id: str, attempt: int) -> None:
        self.request_id = request_id
        self.attempt = attempt


@dataclass(init=False, slots=True)
class RejectRequest:
    """Ends a request with the response that it did not run, so a retry is harmless.

    Attributes:
        request_id: The request to end.
        retry_after: Seconds that the client should wait before a retry; 0 to suggest none.
    """

    request_id: str
    retry_after: float

    def __init__(self, request_id: str, retry_after: float = 0.0) -> None:
        self.request_id = request_id
        self.retry_after = retry_after


@dataclass(init=False, slots=True)
class FailRequest:
    """Ends a request with the response that it may have run.

    Attributes:
        request_id: The request to end.
    """

    request_id: str

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


@dataclass(init=False, slots=True)
class SetTimer:
    """Sets a timer that triggers a `TimerFired` event.

    Attributes:
        delay: Seconds from now.
        token: The token that the event carries.
    """

    delay: float
    token: int

    def __init__(self, delay: float, token: int) -> None:
        self.delay = delay
        self.token = token


@dataclass(init=False, slots=True)
class StartProbe:
    """Sends a health check to a backend.

    Attributes:
        backend: The backend's id.
    """

    backend: str

    def __init__(self, backend: str) -> None:
        self.backend = backend


@dataclass(init=False, slots=True)
class CloseIdleConnections:
    """Closes the connections to a backend that have no attempt in flight.

    Attributes:
        backend: The backend's id.
    """

    backend: str

    def __init__(self, backend: str) -> None:
        self.backend = backend


@dataclass(init=False, slots=True)
class SendPeerMessage:
    """Sends a message to other gateways.

    Attributes:
        text: The message, at most 256 bytes.
        peer: The index of the receiving gateway; None for all.
    """

    text: str
    peer: int | None

    def __init__(self, text: str, peer: int | None = None) -> None:
        self.text = text
        self.peer = peer


@dataclass(init=False, slots=True)
class AddToCounter:
    """Adds to the counter that all gateways share and requests the total.

    Attributes:
        key: The counter key to add to.
        amount: Units to add; 0 only reads the total, and negative amounts return units.
        lifetime: Seconds after which the counter may discard the key.
    """

    key: int
    amount: float
    lifetime: float

    def __init__(self, key: int, amount: float, lifetime: float) -> None:
        self.key = key
        self.amount = amount
        self.lifetime = lifetime


@dataclass(init=False, slots=True)
class WatchBackends:
    """Subscribes to changes of the endpoint list, or unsubscribes.

    Attributes:
        enabled: Whether to subscribe.
    """

    enabled: bool

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled


@dataclass(frozen=True, slots=True)
class FetchBackends:
    """Fetches the complete endpoint list, where changes are not pushed."""


@dataclass(init=False, slots=True)
class WriteLog:
    """Writes a line to the log.

    Attributes:
        text: The line.
    """

    text: str

    def __init__(self, text: str) -> None:
        self.text = text


Action: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | StartProbe
    | CloseIdleConnections
    | SendPeerMessage
    | AddToCounter
    | WatchBackends
    | FetchBackends
    | WriteLog
)
