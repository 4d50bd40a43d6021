"""A value that changes at known times, with a bounded history."""

from __future__ import annotations

from math import inf
from typing import Final, Generic, TypeVar

MAX_CHANGES: Final = 4  # kept in one timeline

Value = TypeVar("Value")


class Timeline(Generic[Value]):
    """The values of a variable over time. Times are seconds of the caller's clock.

    Attributes:
        changes: Pairs of the time at which a value takes effect and the value, in order of time.
        known_since: The start of the history; earlier values have been dropped.
    """

    __slots__ = ("changes", "known_since")

    def __init__(self, value: Value) -> None:
        self.changes: list[tuple[float, Value]] = [(-inf, value)]
        self.known_since = -inf

    def __len__(self) -> int:
        return len(self.changes)

    def change(self, at: float, value: Value) -> None:
        """Schedules a value to take effect at a time, replacing all changes scheduled after it.

        A value that takes effect at the same time is kept, so that `values_between` returns it.
        """
        if at == -inf:
            self.changes.clear()
        while self.changes and self.changes[-1][0] > at:
            self.changes.pop()
        if self.changes and self.latest() == value:
            return
        self.changes.append((at, value))
        if len(self.changes) > MAX_CHANGES:
            del self.changes[0]
            self.known_since = self.changes[0][0]

    def latest(self) -> Value:
        """Returns the value that applies after all changes have taken effect."""
        return self.changes[-1][1]

    def latest_change_at(self) -> float:
        """Returns the time at which the latest value takes effect."""
        return self.changes[-1][0]

    def value_at(self, time: float) -> Value:
        """Returns the value at a time, or the earliest known value if the history starts later."""
        for effective_at, value in reversed(self.changes):
            if effective_at <= time:
                return value
        return self.changes[0][1]

    def values_between(self, start: float, end: float) -> set[Value] | None:
        """Returns all values that applied at any time after `start` and up to `end`.

        Returns None if the history starts later than `start`.
        """
        if start < self.known_since:
            return None
        in_effect = set[Value]()
        next_change_at = inf
        for effective_at, value in reversed(self.changes):
            if effective_at <= end and next_change_at > start:
                in_effect.add(value)
            next_change_at = effective_at
        return in_effect
