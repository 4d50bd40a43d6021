"""Detects stalls of the event loop and estimates the arrival time of requests read after one."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from ingress.core.clock import Clock

log = logging.getLogger(__name__)

# All input received during a stall is read within this time, unless more connections are waiting to
# be accepted.
CATCH_UP_TIME_S: Final = 0.01


class StallDetector:
    """Estimates when received bytes arrived.

    While the process does not run, requests wait in the system's socket buffers and use up part of
    their timeout.  Their arrival time is taken as the last time at which the event loop was active
    before the stall.

    Attributes:
        stalled_since: The start of the current stall, until all its input is read; else None.
        more_to_accept: Whether connections may be waiting in the backlog.
        backlog_emptied: Whether the backlog has been empty at some time since the stall.
        unread_connections: Number of connections accepted before the backlog was empty and not read
            yet.
    """

    __slots__ = (
        "backlog_emptied",
        "clock",
        "last_active_at",
        "loop",
        "more_to_accept",
        "stalled_since",
        "threshold_s",
        "unread_connections",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, threshold_s: float) -> None:
        self.loop = loop
        self.clock = clock
        self.threshold_s = threshold_s
        self.last_active_at = clock()
        self.stalled_since: float | None = None
        self.more_to_accept = False
        self.backlog_emptied = True
        self.unread_connections = 0

    def reset(self) -> None:
        """Sets the last activity to now; call it when no input can have arrived before."""
        self.last_active_at = self.clock()

    def arrival_time(self) -> float:
        """Returns the earliest time at which the input read now may have arrived."""
        now = self.clock()
        if now - self.last_active_at > self.threshold_s and self.stalled_since is None:
            self.stalled_since = self.last_active_at
            self.backlog_emptied = False
            log.warning("event loop stalled for %.3f s", now - self.last_active_at)
            self.loop.call_later(CATCH_UP_TIME_S, self._catch_up)
        self.last_active_at = now
        return now if self.stalled_since is None else self.stalled_since

    def batch_accepted(self, more_to_accept: bool) -> None:
        """Records that a batch of connections was accepted, and whether more may be waiting."""
        self.more_to_accept = more_to_accept
        self.backlog_emptied = self.backlog_emptied or not more_to_accept

    def connection_accepted(self) -> bool:
        """Returns whether a connection accepted now may have been opened during a stall.

        If so, the caller must call `connection_read` after the first read from the connection.
        """
        if self.stalled_since is None or self.backlog_emptied:
            return False
        self.unread_connections += 1
        return True

    def connection_read(self) -> None:
        """Records the first read from a connection opened during a stall."""
        self.unread_connections -= 1

    def _catch_up(self) -> None:
        if not self.more_to_accept and not self.unread_connections:
            self.backlog_emptied = True
            self.stalled_since = None
        else:
            self.more_to_accept = False  # until the next batch is accepted
            self.loop.call_later(CATCH_UP_TIME_S, self._catch_up)
