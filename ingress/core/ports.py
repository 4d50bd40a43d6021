"""The ports of the exchange: protocols for clients, backends, the policy, the counter and timers.

Durations are in seconds; points in time are in Unix seconds of the exchange's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from ingress.core.calls import Call, Response
from ingress.policy.actions import Action
from ingress.policy.events import Backend, Event, Outcome


class ClientPresence(Enum):
    """Whether the client of a call may still wait for the response."""

    CONNECTED = auto()
    """It had not closed its connection when its input was last read as a whole."""
    UNKNOWN = auto()
    """It may have closed its connection behind input that is not read yet."""
    GONE = auto()
    """It has closed its connection."""


class Downstream(Protocol):
    """The client's side of one call.

    Attributes:
        request_key: The exchange's id for the open request; the exchange sets it as soon as it
            opens the request.
    """

    request_key: str

    def respond(self, response: Response) -> None:
        """Sends the final response; further responses are dropped."""

    def presence(self) -> ClientPresence:
        """Returns whether the client still waits; no attempt starts unless it surely does."""


class Policy(Protocol):
    """Makes the decisions: a `Gateway`, or a stub in tests.

    Attributes:
        actions: The actions decided so far for the current event.
    """

    actions: list[Action]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions to carry out for an event."""


class Attempt:
    """One attempt at one backend, from its start to its outcome.

    Attributes:
        request_key: The exchange's id for the open request.
        number: The number of the attempt within the request, from 0.
        backend: The backend's id.
        sent_at: The time at which the attempt was started.
        deadline: The time at which the attempt ends if there is no response.
        call: The call to send.
        write_by: The time from which no byte of the attempt may be written any more; an attempt
            that is not written by then ends as one that never ran.
        ended: Whether the attempt has an outcome.
        final_response: The response to send to the client when the attempt ends, if the upstream
            chooses it.
        connection: The connection that carries the attempt, from its write to its end; used by the
            upstream only.
        incarnation: The backend's process for which the attempt was started; used by the upstream
            only.
        timer: A timer used by the upstream only.
        overdue: Whether the deadline has passed while bytes of the backend were unread; used by the
            upstream only.
        is_awaited: Returns whether the client surely still waits; the upstream asks before it
            writes an attempt that had to wait for a connection. None if no client waits.
        on_written: A function that the upstream calls once the whole attempt has been handed to the
            operating system, if set.
    """

    __slots__ = (
        "backend",
        "call",
        "connection",
        "deadline",
        "ended",
        "final_response",
        "incarnation",
        "is_awaited",
        "number",
        "on_written",
        "overdue",
        "request_key",
        "sent_at",
        "timer",
        "write_by",
    )

    def __init__(
        self,
        request_key: str,
        number: int,
        backend: str,
        sent_at: float,
        deadline: float,
        call: Call,
    ) -> None:
        self.request_key = request_key
        self.number = number
        self.backend = backend
        self.sent_at = sent_at
        self.deadline = deadline
        self.call = call
        self.write_by = deadline
        self.ended = False
        self.final_response: Response | None = None
        self.connection: Any = None
        self.incarnation = 0
        self.timer: TimerHandle | None = None
        self.overdue = False
        self.is_awaited: Callable[[], bool] | None = None
        self.on_written: Callable[[Attempt], None] | None = None


AttemptEndHandler = Callable[[Attempt, Outcome, bytes | None, Mapping[str, float]], None]
"""Receives the end of an attempt: attempt, outcome, value if it was served, load report."""


class Upstream(Protocol):
    """Carries attempts to the backends of one protocol.

    Each started attempt ends exactly once, by a call of the `AttemptEndHandler` that the upstream
    was created with; that call may occur before `start` returns.
    """

    def update_endpoints(
        self, full: bool, backends: tuple[Backend, ...], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Applies entries of the endpoint list.

        Args:
            full: Whether `backends` is the complete list rather than the changed entries.
            backends: The entries.
            addresses: Host and port of each backend, by its id.
        """

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancels the attempt: after this returns, none of its bytes are written any more."""

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the attempt as `SUPERSEDED`, before this returns, if none of it is written yet.

        An attempt that has been written continues, though no client waits for it any more.
        """

    def close_idle(self, backend: str) -> None:
        """Closes the connections to a backend that carry no attempt."""

    def close(self) -> None:
        """Closes all connections."""


@dataclass(frozen=True, slots=True)
class PlacementConstraint:
    """Where a call with an idempotency key may run.

    Attributes:
        cell: The number of the only cell in which the call may run; 0 for any cell.
        retry_after: If above 0, seconds for which the call may not run anywhere.
    """

    cell: int = 0
    retry_after: float = 0.0


class PlacementTracker(Protocol):
    """Tracks, across requests, where calls with an idempotency key may have run."""

    def admit(self, call: Call, now: float) -> PlacementConstraint:
        """Returns where a newly received call may run."""

    def sent(self, attempt: Attempt, now: float) -> None:
        """Records an attempt that is about to be sent."""

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Records an attempt's outcome."""


class Listener(Protocol):
    """Accepts the connections of clients."""

    def open(self) -> None:
        """Starts to accept connections."""

    def drain(self) -> None:
        """Serves the requests already received, then closes each connection once it is idle."""

    def empty(self) -> bool:
        """Returns whether every connection is closed."""

    def close(self) -> None:
        """Closes all connections."""


class Counter(Protocol):
    """The counter shared by all gateways."""

    def call(self, key: int, amount: float, lifetime: float) -> None:
        """Adds an amount to a key; its one `CounterReply` arrives after this returns.

        Args:
            key: The counter key.
            amount: The units to add; 0 reads the total only.
            lifetime: Seconds after which the counter may forget the key.
        """


class TimerHandle(Protocol):
    """A timer that is set."""

    def cancel(self) -> None:
        """Prevents the timer from firing; has no effect on one that has fired."""


class Timers(Protocol):
    """The part of an event loop that the exchange uses."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Calls `callback` with `args` after `delay` seconds."""
