"""Open requests, and the deadlines derived from a client's timeout."""

from __future__ import annotations

from typing import Final

from ingress.core.calls import Call
from ingress.core.ports import Attempt, ClientPresence, Downstream, TimerHandle
from ingress.policy.events import RequestReceived
from ingress.policy.settings import MAX_PROCESS_PAUSE_S

POLICY_MARGIN_S: Final = 0.020
"""Seconds by which the policy's timeout ends before the client's."""
POLICY_MARGIN_DIVISOR: Final = 10
"""`POLICY_MARGIN_S` is limited to the client's timeout divided by this."""
FORCED_RESPONSE_MARGIN_S: Final = 0.005
"""Seconds before the end of the client's timeout at which a final response is forced."""
DEDUPLICATION_MARGIN_S: Final = MAX_PROCESS_PAUSE_S + 0.005
"""Seconds by which the last write of a retry precedes the expiry of its idempotency key.

Covers the write and the transfer to the backend.
"""
OPEN_REQUEST_BYTES: Final = 2048
"""Memory that an open request takes in addition to its call, in bytes."""


class OpenRequest:
    """A request without a response, or whose end has not been reported to the policy yet.

    Attributes:
        key: The exchange's id for the request.
        downstream: The client's side.
        call: The client's call.
        deadline: The time at which the client's timeout ends.
        attempt_count: The number of attempts that were started.
        answered: Whether the client has received its response or has disconnected.
        size_bytes: Bytes that the request counts against the limit on buffered bytes.
        attempt_in_flight: The attempt that has no outcome yet, if any.
        possibly_ran_at: The start time of the first attempt that may have run, if any.
        timer: The timer that forces a final response.
    """

    __slots__ = (
        "answered",
        "attempt_count",
        "attempt_in_flight",
        "call",
        "deadline",
        "downstream",
        "key",
        "possibly_ran_at",
        "size_bytes",
        "timer",
    )

    def __init__(self, key: str, downstream: Downstream, call: Call, deadline: float) -> None:
        self.key = key
        self.downstream = downstream
        self.call = call
        self.deadline = deadline
        self.attempt_count = 0
        self.answered = False
        self.size_bytes = OPEN_REQUEST_BYTES + call.size()
        self.attempt_in_flight: Attempt | None = None
        self.possibly_ran_at: float | None = None
        self.timer: TimerHandle | None = None

    def received_event(self, time_left: float, cell: int) -> RequestReceived:
        """Returns the policy's event for the request, which may run only in `cell`; 0 for any."""
        call = self.call
        return RequestReceived(
            self.key,
            call.request_class,
            call.plan,
            call.customer,
            time_left,
            call.units,
            call.gateway_count,
            call.first_gateway,
            call.is_retry,
            call.is_write,
            cell,
        )

    def write_by(self, deadline: float, deduplication_window: float) -> float:
        """Returns the time until which another attempt, which ends by `deadline`, may be written.

        The policy retries a request with an idempotency key only while backends remember the key.
        A connection may be established after that time, and a retry written to it would take effect
        a second time.

        Args:
            deadline: The time at which the attempt ends.
            deduplication_window: Seconds for which backends remember the key; 0 for no key.
        """
        if self.possibly_ran_at is None or not deduplication_window:
            return deadline
        last_write_at = self.possibly_ran_at + deduplication_window - DEDUPLICATION_MARGIN_S
        return min(deadline, last_write_at)

    def is_awaited(self) -> bool:
        """Returns whether the client surely still waits for the response."""
        return self.downstream.presence() is ClientPresence.CONNECTED

    def may_have_run(self) -> bool:
        """Returns whether a backend may have run the request."""
        attempt = self.attempt_in_flight
        written = attempt is not None and attempt.connection is not None
        return written or self.possibly_ran_at is not None

    def describe_attempts(self, now: float) -> str:
        """Returns a description of the request's attempts for the log."""
        attempt = self.attempt_in_flight
        if attempt is None:
            return f"{self.attempt_count} attempts, none in flight"
        written = "written" if attempt.connection else "not written"
        return (
            f"{self.attempt_count} attempts, one in flight for {now - attempt.sent_at:.3f} s "
            f"at {attempt.backend}, {written}"
        )


def policy_timeout(timeout: float, time_left: float) -> float:
    """Returns the request's timeout for the policy, in seconds; 0 or less if it has expired.

    The timeout is the client's less a margin, which depends on the client's timeout alone: the
    policy receives the same timeout however long the request waited to be read. Only a request that
    waited for longer than the margin gets its remaining time less the margin.

    Args:
        timeout: The client's timeout, in seconds.
        time_left: The remaining part of the client's timeout, in seconds.
    """
    margin = min(POLICY_MARGIN_S, timeout / POLICY_MARGIN_DIVISOR)
    if time_left < timeout - margin:
        return time_left - margin
    return timeout - margin
