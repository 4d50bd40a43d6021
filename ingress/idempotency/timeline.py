"""A value that changes at known times, as far back as it matters."""

from __future__ import annotations

from math import inf
from typing import Final, Generic, TypeVar

MAX_CHANGES: Final = 4  # remembered of one timeline

Value = TypeVar("Value")


class Timeline(Generic[Value]):
    """What a value was, is, and will be. Times are seconds of the caller's clock.

    Attributes:
        changes: When each value takes effect, and the value, in order of time.
        known_since: What held before is forgotten.
    """

    __slots__ = ("changes", "known_since")

    def __init__(self, value: Value) -> None:
        self.changes: list[tuple[float, Value]] = [(-inf, value)]
        self.known_since = -inf

    def __len__(self) -> int:
        return len(self.changes)

    def change(self, at: float, value: Value) -> None:
        """Lets a value take effect, in place of all that were to take effect later.

        One that took effect at the same time stays, for `values_between`.
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
        """Returns the value that holds once all changes have taken effect."""
        return self.changes[-1][1]

    def latest_change_at(self) -> float:
        """Returns when that value takes effect."""
        return self.changes[-1][0]

    def value_at(self, time: float) -> Value:
        """Returns the value at a time; the earliest that is known if that is forgotten."""
        for effective_at, value in reversed(self.changes):
            if effective_at <= time:
                return value
        return self.changes[0][1]

    def values_between(self, start: float, end: float) -> set[Value] | None:
        """Returns all values that held at some time after `start` up to `end`.

        None if what held is forgotten.
        """
        if start < self.known_since:
            return None
        found = set[Value]()
        until = inf
        for effective_at, value in reversed(self.changes):
            if effective_at <= end and until > start:
                found.add(value)
            until = effective_at
        return found
