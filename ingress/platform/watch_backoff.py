"""Timeouts and pauses of the calls that poll the endpoint list; no I/O, no clock.

There are two kinds of deployment.  Where the list is polled, one discovery service serves the whole
fleet: a call may wait in its queue, and the work for a call that is abandoned early is wasted.  If
all instances start at the same time, and each abandons its call and retries within a second, none
ever receives the list.  Where changes are pushed, an agent on the same machine answers at once, and
this instance is expected to know of a drain as soon as the agent does: it must read the drain well
within the drain grace, also right after an outage of the agent.
"""

from __future__ import annotations

from random import Random

FIRST_CALL_TIMEOUT_S = 3.0  # the first call of a watch may wait 2 s in the service's queue
MAX_CALL_TIMEOUT_S = 6.0  # instances are expected to know the list by then
FAILURE_PAUSES_S = (0.05, 0.1, 0.2, 0.5, 1.0)  # after the first, second, ... consecutive failure
LOCAL_TIMEOUT_FRACTION = 0.3  # of the drain grace: timeout of a call to an agent on this machine
# Of the drain grace: longest pause before the next call to such an agent.  A timeout and a pause
# fit into half of the grace; the other half is for the requests in flight.
LOCAL_PAUSE_FRACTION = 0.1
MIN_DRAIN_GRACE_S = 0.2  # a fraction of it must suffice to read an answer on a busy core
FIRST_OVERLOAD_PAUSE_S = 0.25  # after a call that the service rejected; doubles each time
MAX_OVERLOAD_PAUSE_S = 4.0
MAX_DOUBLINGS = 8  # keeps the powers of two finite however long an outage lasts


class WatchBackoff:
    """Timeout of the next call for the endpoint list, and pause after a failed call.

    The pauses have jitter from the instance's own generator, so that the instances of a fleet whose
    calls fail at the same time do not retry in step.

    Args:
        rng: Source of the jitter.
        drain_grace: Drain grace in seconds if an agent on this machine provides the list; None if
            one service serves the whole fleet.
    """

    def __init__(self, rng: Random, drain_grace: float | None = None) -> None:
        self.rng = rng
        self.consecutive_failures = 0
        self.drain_grace = None if drain_grace is None else max(drain_grace, MIN_DRAIN_GRACE_S)

    def record_success(self) -> None:
        """Resets the backoff after an answered call."""
        self.consecutive_failures = 0

    def call_timeout(self) -> float:
        """Returns the seconds to wait for an answer.

        At a shared service the timeout doubles with each failure, since an abandoned call loses its
        place in the queue.
        """
        if self.drain_grace is not None:
            return LOCAL_TIMEOUT_FRACTION * self.drain_grace
        doublings = min(self.consecutive_failures, MAX_DOUBLINGS)
        return min(MAX_CALL_TIMEOUT_S, FIRST_CALL_TIMEOUT_S * 2.0**doublings)

    def record_failure(self, overloaded: bool) -> float:
        """Counts a failed call and returns the seconds to pause before the next one.

        Args:
            overloaded: Whether the service rejected the call because it is overloaded.
        """
        earlier_failures = self.consecutive_failures
        self.consecutive_failures += 1
        if overloaded:
            # An agent that serves only this machine is never overloaded: this is a shared service.
            self.drain_grace = None
            doublings = min(earlier_failures, MAX_DOUBLINGS)
            pause = min(MAX_OVERLOAD_PAUSE_S, FIRST_OVERLOAD_PAUSE_S * 2.0**doublings)
            return self.rng.uniform(0.5, 1.5) * pause
        pause = FAILURE_PAUSES_S[min(earlier_failures, len(FAILURE_PAUSES_S) - 1)]
        if self.drain_grace is not None:
            pause = min(pause, LOCAL_PAUSE_FRACTION * self.drain_grace)
        return self.rng.uniform(0.5, 1.0) * pause
