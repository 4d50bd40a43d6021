"""The ids of requests that may have run although their client has disconnected."""

from __future__ import annotations

from typing import Final

RETENTION_S: Final = 60.0
"""Seconds for which an id is remembered, several times the longest usual deadline."""


class DepartedIds:
    """The client request ids that must not run again, limited in time and number.

    Attributes:
        max_ids: The limit on their number; beyond it the oldest is forgotten.
        expiry_times: The time until which each id is remembered, the oldest first.
    """

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self.expiry_times: dict[bytes, float] = {}

    def add(self, request_id: bytes, now: float) -> None:
        """Remembers an id whose request may have run."""
        self.expiry_times.pop(request_id, None)
        self.expiry_times[request_id] = now + RETENTION_S
        self._drop_oldest(now)

    def contains(self, request_id: bytes, now: float) -> bool:
        """Returns whether a request with this id may have run for a client that disconnected."""
        return bool(self.expiry_times) and self.expiry_times.get(request_id, now) > now

    def _drop_oldest(self, now: float) -> None:
        while self.expiry_times:
            oldest = next(iter(self.expiry_times))
            if len(self.expiry_times) <= self.max_ids and self.expiry_times[oldest] > now:
                return
            del self.expiry_times[oldest]
