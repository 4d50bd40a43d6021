"""Graceful shutdown: answers every request in flight before the earliest possible SIGKILL."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Protocol

from ingress.core.ports import Listener
from ingress.policy.settings import RequestClass

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections are accepted for so long
KILL_MARGIN_S = 0.7  # from the longest deadline to SIGKILL
MAX_DEADLINE_S = 3.0  # a longer deadline does not delay SIGKILL further
FINAL_RESPONSE_LEAD_S = 0.25  # open requests are failed so long before the earliest SIGKILL
FINAL_READ_TIMEOUT_S = 0.1  # to read and reject the requests that clients have sent
FLUSH_TIMEOUT_S = 0.03  # to write the last responses
DRAIN_POLL_INTERVAL_S = 0.02
FINAL_POLL_INTERVAL_S = 0.01
# Each lets the event loop read and write once; a hold-up of the process may use up the time.
MIN_FINAL_POLLS = 3

Sleep = Callable[[float], Awaitable[object]]


class OpenRequests(Protocol):
    """The part of the exchange that a shutdown uses."""

    def reject_new_requests(self) -> None:
        """Rejects all later requests."""

    def fail_open_requests(self) -> None:
        """Answers all open requests with a failure."""


async def drain(
    exchange: OpenRequests,
    listeners: Sequence[Listener],
    classes: Iterable[RequestClass],
    clock: Callable[[], float],
    sleep: Sleep = asyncio.sleep,
) -> None:
    """Drains `listeners`, then fails the requests that are still open and closes the listeners.

    A connection whose responses waited for an open request may hold more requests, which its client
    has pipelined and which were not parsed or not read yet.  They are rejected before it is closed.

    Args:
        exchange: Owner of the open requests.
        listeners: All listeners of the instance.
        classes: Request classes; their longest deadline limits how long requests may take.
        clock: Monotonic time in seconds.
        sleep: Waits for a number of seconds of `clock`.
    """
    longest_deadline = min(max(c.deadline for c in classes), MAX_DEADLINE_S)
    fail_at = clock() + longest_deadline + KILL_MARGIN_S - FINAL_RESPONSE_LEAD_S
    read_by = fail_at + FINAL_READ_TIMEOUT_S
    flushed_by = read_by + FLUSH_TIMEOUT_S
    await sleep(ACCEPT_AFTER_SIGTERM_S)
    for listener in listeners:
        listener.drain()
    while not _empty(listeners) and clock() < fail_at:
        await sleep(DRAIN_POLL_INTERVAL_S)
    exchange.reject_new_requests()
    exchange.fail_open_requests()
    await _wait_until_empty(listeners, read_by, clock, sleep)
    for listener in listeners:
        listener.close()
    await _wait_until_empty(listeners, flushed_by, clock, sleep)


def _empty(listeners: Sequence[Listener]) -> bool:
    """Returns whether no listener has an open connection."""
    return all(listener.empty() for listener in listeners)


async def _wait_until_empty(
    listeners: Sequence[Listener], deadline: float, clock: Callable[[], float], sleep: Sleep
) -> None:
    """Returns once no listener has an open connection, or at `deadline`.

    If the process was held up until then, it still reads and writes what it can.
    """
    polls = 0
    while not _empty(listeners) and (clock() < deadline or polls < MIN_FINAL_POLLS):
        await sleep(FINAL_POLL_INTERVAL_S)
        polls += 1
