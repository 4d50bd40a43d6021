"""Outlier detection: ejects backends that fail, stall or are overloaded."""

from __future__ import annotations

from typing import Final

from ingress.policy.backend_state import BUSY_LATENCY_SHARE, BackendState
from ingress.policy.events import Outcome

MAX_CONSECUTIVE_FAILURES: Final = 3
"""Consecutive errors or timeouts that eject a backend."""
MAX_EJECTION_DOUBLINGS: Final = 4
STALL_LATENCIES: Final = 4.0
"""Mean latencies of silence, with attempts in flight, after which a backend has stalled."""


def record_success(target: BackendState) -> None:
    """Ends an ejection after a response from the backend."""
    target.consecutive_failures = 0
    target.unreachable = False
    target.consecutive_overloads = 0
    target.ejected_by_peers_until = 0.0


def record_failure(target: BackendState, now: float, outcome: Outcome, timeout: float) -> None:
    """Counts a failed attempt and ejects the backend if necessary.

    A dead or stuck backend looks idle and would attract all traffic.  A refused or broken
    connection ejects it immediately, other failures only after several in a row.  Each further
    failure doubles the ejection time, after which a single attempt tests the backend.

    Args:
        target: The backend to which the attempt was sent.
        now: The time in seconds.
        outcome: The outcome of the attempt.
        timeout: The longest latency objective in seconds; ejection times are multiples of half
            of it.
    """
    if outcome is Outcome.OVERLOADED and target.latency_share >= BUSY_LATENCY_SHARE:
        target.ejected_until = max(target.ejected_until, now + timeout / 4)
        return
    # A draining backend that an outdated endpoint list still names as ready rejects everything
    # immediately and looks idle.  A single rejection says nothing about the backend's load while
    # other requests are answered quickly.
    if outcome is Outcome.OVERLOADED:
        target.consecutive_overloads += 1
    else:
        target.consecutive_overloads = 0
    if target.consecutive_overloads == 1:
        return
    target.consecutive_failures += 1
    target.unreachable = outcome.never_ran or outcome is Outcome.RESET
    tolerated = 0 if target.unreachable else MAX_CONSECUTIVE_FAILURES - 1
    excess = target.consecutive_failures - tolerated
    if excess > 0:
        doublings = min(excess - 1, MAX_EJECTION_DOUBLINGS)
        target.ejected_until = now + timeout / 2 * 2.0**doublings


def is_ejected(target: BackendState, now: float) -> bool:
    """Returns whether no further attempt may be sent; after an ejection, one at a time may be."""
    failing = target.unreachable or target.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    return now < max(target.ejected_until, target.ejected_by_peers_until) or (
        failing and bool(target.in_flight)
    )


def is_stalled(target: BackendState, now: float, mean_latency: float) -> bool:
    """Returns whether attempts are in flight without a response for several mean latencies.

    A backend that died silently, or runs many times slower, looks idle until a deadline expires.
    """
    return target.silent_for(now) > STALL_LATENCIES * mean_latency
