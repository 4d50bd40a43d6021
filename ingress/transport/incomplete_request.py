"""The timeout of a request of which a client has sent only a part."""

from __future__ import annotations


class IncompleteRequest:
    """Measures how long a client leaves one request incomplete.

    Times are those of the listener's `ActiveClock`.

    Attributes:
        waiting_since: The time since which the client could send the rest, or None if no incomplete
            request is known.
        overdue: Whether the timeout has passed while bytes were unread. Whether the request is
            complete is known once they are read.
    """

    __slots__ = ("overdue", "waiting_since")

    def __init__(self) -> None:
        self.waiting_since: float | None = None
        self.overdue = False

    def begin(self, now: float) -> None:
        """Starts the timeout, unless it runs; later bytes of the same request do not extend it."""
        if self.waiting_since is None:
            self.waiting_since = now

    def end(self) -> None:
        """Ends the timeout: the request is complete, or its bytes are not parsed yet."""
        self.waiting_since = None
        self.overdue = False

    def restart(self, now: float) -> None:
        """Starts the timeout again if it runs: until now, this process did not read."""
        if self.waiting_since is not None:
            self.waiting_since = now
            self.overdue = False

    def has_expired(self, now: float, timeout_s: float) -> bool:
        """Returns whether the client had more than `timeout_s` to send the rest."""
        return self.waiting_since is not None and now - self.waiting_since > timeout_s
