"""The maximum time for which a backend connection may be idle before it is used again."""

from __future__ import annotations

from typing import Final

# Fraction of the backend's own idle timeout, so that the pool closes a connection first.
IDLE_LIMIT_FRACTION: Final = 0.6
IDLE_LIMIT_DOUBLING_TIME_S: Final = 60.0  # a limit that resets have lowered doubles in this time
MIN_IDLE_LIMIT_S: Final = 0.1


class IdleLimit:
    """An idle time limit that connection resets lower and that recovers over time.

    Some backends drop idle connections earlier than configured, which shows only as a reset after
    the next write.  A crash of a backend looks the same; if the limit stayed low after it, each
    later request would cost a handshake.

    Attributes:
        max_seconds: The limit if no resets have been observed.
        seconds: The current limit.
    """

    __slots__ = ("max_seconds", "seconds")

    def __init__(self, backend_idle_timeout: float) -> None:
        self.max_seconds = backend_idle_timeout * IDLE_LIMIT_FRACTION
        self.seconds = self.max_seconds

    def lower_after_reset(self, idle_duration: float) -> None:
        """Lowers the limit after a request on a connection was reset.

        Args:
            idle_duration: Seconds for which the connection had been idle before the request.
        """
        if idle_duration >= MIN_IDLE_LIMIT_S:
            limit = max(MIN_IDLE_LIMIT_S, idle_duration * IDLE_LIMIT_FRACTION)
            self.seconds = min(self.seconds, limit)

    def recover(self, elapsed: float) -> None:
        """Raises the limit according to the `elapsed` seconds."""
        raised = self.seconds * 2.0 ** (elapsed / IDLE_LIMIT_DOUBLING_TIME_S)
        self.seconds = min(self.max_seconds, raised)
