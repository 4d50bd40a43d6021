"""A request that has no response yet, and how its time is divided."""

from __future__ import annotations

from typing import Final

from ingress.core.calls import Call
from ingress.core.ports import Attempt, Downstream, TimerHandle
from ingress.policy.events import RequestReceived
from ingress.policy.settings import MAX_PROCESS_PAUSE_S

POLICY_MARGIN_S: Final = 0.020
"""Before the client's timeout: when the policy's ends."""
POLICY_MARGIN_DIVISOR: Final = 10
"""The policy's margin is at most the client's timeout divided by this."""
FORCED_RESPONSE_MARGIN_S: Final = 0.005
"""Before the client's timeout: when a final response is forced."""
DEDUPLICATION_MARGIN_S: Final = MAX_PROCESS_PAUSE_S + 0.005
"""Before a memory of idempotency keys ends: for a retry's write, and its way to the backend."""
OPEN_REQUEST_BYTES: Final = 2048
"""What an open request takes beside its call."""


class OpenRequest:
    """A request that the exchange owes a response, or whose end the policy does not know yet.

    Attributes:
        key: The exchange's name for the request.
        downstream: The client's side.
        call: What the client asked.
        deadline: When the client's timeout ends, by the clock.
        attempt_count: How many attempts were started.
        answered: Whether the client has its response, or has gone.
        size_bytes: What the request counts against the limit on buffered bytes.
        attempt_in_flight: The attempt that has no outcome yet.
        possibly_ran_at: When the first attempt that may have run was started.
        timer: Forces a final response.
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

    def received(self, time_left: float, cell: int) -> RequestReceived:
        """Returns the policy's event for the request, which may run in `cell` only; 0 for any."""
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
        """Returns until when a further attempt that ends by `deadline` may be written.

        The policy retries a request with an idempotency key only while backends remember the key,
        but a connection may come up when that is over: the request would take effect a second time.

        Args:
            deadline: When the attempt ends.
            deduplication_window: Seconds for which backends remember the key; 0 for no key.
        """
        if self.possibly_ran_at is None or not deduplication_window:
            return deadline
        remembered_until = self.possibly_ran_at + deduplication_window - DEDUPLICATION_MARGIN_S
        return min(deadline, remembered_until)

    def describe_attempts(self, now: float) -> str:
        """Returns what became of the request's attempts, for the log."""
        attempt = self.attempt_in_flight
        if attempt is None:
            return f"{self.attempt_count} attempts, none in flight"
        written = "written" if attempt.connection else "not written"
        return (
            f"{self.attempt_count} attempts, one in flight for {now - attempt.sent_at:.3f} s "
            f"at {attempt.backend}, {written}"
        )


def policy_timeout(timeout: float, time_left: float) -> float:
    """Returns the seconds that the policy is told a client waits; 0 or less if its time is up.

    The margin is fixed by the client's own timeout, so that the policy sees the same one whenever
    the request was read; a request that waited unread for longer than the margin has what is left.

    Args:
        timeout: What the client said that it waits, in seconds.
        time_left: What is left of that, in seconds.
    """
    margin = min(POLICY_MARGIN_S, timeout / POLICY_MARGIN_DIVISOR)
    if time_left < timeout - margin:
        return time_left - margin
    return timeout - margin
