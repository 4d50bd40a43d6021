"""Counts events that may repeat without limit, and selects a sample of them for the log."""

from __future__ import annotations

from typing import Final

MAX_UNSAMPLED_EVENTS: Final = 50


class SampledLog:
    """Counts events of one kind.

    The first `MAX_UNSAMPLED_EVENTS` are logged, then one in `interval`.  Otherwise a peer that
    repeats a fault could fill the log and take processing time from requests.
    """

    __slots__ = ("count", "interval")

    def __init__(self, interval: int) -> None:
        self.interval = interval
        self.count = 0

    def record(self) -> bool:
        """Counts one event; returns whether to log it."""
        self.count += 1
        return self.count <= MAX_UNSAMPLED_EVENTS or self.count % self.interval == 0
