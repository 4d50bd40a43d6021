"""Detects that the event loop stalled, and when the requests that it then reads may have come."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from ingress.core.clock import Clock

log = logging.getLogger(__name__)

# Within this time all that came during a stall is read, if no more connections wait to be accepted.
CATCH_UP_TIME_S: Final = 0.01


class StallDetector:
    """Gives the time at which received bytes may have arrived.

    Requests that waited in the system's buffers while the process did not run have used up part of
    their time already.  It counts from the last moment at which nothing waited.

    Attributes:
        stalled_since: The start of a stall that is not caught up with yet, else None.
        more_to_accept: Whether connections may wait to be accepted, so that reading is behind.
        backlog_emptied: Whether no connection has waited to be accepted at some time since.
        unread_connections: Accepted before that, and not read yet.
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
        """Starts anew: nothing can have arrived before now."""
        self.last_active_at = self.clock()

    def arrival_time(self) -> float:
        """Returns the earliest time at which what is read now may have arrived."""
        now = self.clock()
        if now - self.last_active_at > self.threshold_s and self.stalled_since is None:
            self.stalled_since = self.last_active_at
            self.backlog_emptied = False
            log.warning("event loop stalled for %.3f s", now - self.last_active_at)
            self.loop.call_later(CATCH_UP_TIME_S, self._catch_up)
        self.last_active_at = now
        return now if self.stalled_since is None else self.stalled_since

    def accepted(self, more_to_accept: bool) -> None:
        """Records that connections were accepted, and whether more may wait."""
        self.more_to_accept = more_to_accept
        self.backlog_emptied = self.backlog_emptied or not more_to_accept

    def connection_accepted(self) -> bool:
        """Returns whether a connection accepted now may have come during a stall.

        If so, `connection_read` has to follow once it was read for the first time.
        """
        if self.stalled_since is None or self.backlog_emptied:
            return False
        self.unread_connections += 1
        return True

    def connection_read(self) -> None:
        """Records that what such a connection had received is read."""
        self.unread_connections -= 1

    def _catch_up(self) -> None:
        if not self.more_to_accept and not self.unread_connections:
            self.backlog_emptied = True
            self.stalled_since = None
        else:
            self.more_to_accept = False  # until more are accepted
            self.loop.call_later(CATCH_UP_TIME_S, self._catch_up)
