"""The home cell of each submission, which all gateways derive identically and without messages.

The names of the listed backends are placed on a ring (consistent hashing: Karger et al., 1997). A
submission belongs to the first name at or after its position. Its home is the cell (a deduplication
scope) of that backend's generation. Homes depend only on the endpoint list and the start times in
it, so that a gateway that has just started derives the same homes as gateways that have run for
days.

Gateways receive the same change at most `list_skew_s` seconds apart. A change therefore takes
effect `list_skew_s` after a gateway receives it, when all gateways have received it.
`possible_cells` returns each cell that was a home at any gateway during a period. A generation
takes effect at the same time at all gateways, a fixed time after the start of its process, as
reported by discovery. A backend that is draining keeps its place on the ring.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from math import inf
from typing import Final

from ingress.idempotency.timeline import Timeline
from ingress.policy.events import Backend, Readiness

MAX_BACKENDS: Final = 20_000  # names; further entries of an endpoint list are ignored
REMOVED_RETENTION_S: Final = 600.0  # how long the history of a removed backend is kept
MAX_LIST_SKEW_S: Final = 1.0  # longest time between two gateways' receipt of the same change
NOT_LISTED: Final = 0  # instead of a cell
ANY_CELL: Final = -1  # instead of a cell: too many changes to determine it

# Pairs of a maximum number of backends and each backend's points on the ring. The steps bound the
# size of the ring; with 64 points the shares of ten backends differ by about an eighth.
POINTS_BY_BACKENDS: Final = ((100, 64), (400, 16), (1600, 4))
MIN_POINTS: Final = 1


def ring_position(text: str) -> int:
    """Returns the position of a text on the ring, from 0 to 2**64 - 1."""
    return int.from_bytes(blake2b(text.encode("utf-8", "replace"), digest_size=8).digest(), "big")


def points_per_backend(backend_count: int) -> int:
    """Returns the number of points that each backend has on a ring of `backend_count` backends."""
    for max_count, points in POINTS_BY_BACKENDS:
        if backend_count <= max_count:
            return points
    return MIN_POINTS


@dataclass(frozen=True, slots=True)
class Period:
    """A time span, in seconds of the caller's clock, in which a decision may have been made."""

    start: float
    end: float


class BackendHistory:
    """The history of a backend name in the endpoint list.

    Attributes:
        generations: The cell to which the backend belongs over time, `NOT_LISTED` while it has
            none.
        started_at: The start time of its latest process as reported by discovery; 0 if discovery
            reports none.
        ready: Whether the backend accepts requests, for each cell under which the name is listed.
        removed_at: The time at which it was removed; infinity while it is listed.
    """

    __slots__ = ("generations", "ready", "removed_at", "started_at")

    def __init__(self) -> None:
        self.generations: Timeline[int] = Timeline(NOT_LISTED)
        self.started_at = 0.0
        self.ready: dict[int, bool] = {}
        self.removed_at = inf

    def apply_first_entry(self, backend: Backend, settle_s: float) -> None:
        """Applies the backend's entry in a gateway's first list, which reports no change."""
        effective_at = backend.started_at + settle_s if backend.started_at else -inf
        self.generations.change(effective_at, backend.cell)
        self._record_entry(backend)

    def apply_update(
        self, backend: Backend, settle_s: float, now: float, list_skew_s: float
    ) -> None:
        """Applies the backend's entry in a later list."""
        if backend.readiness is Readiness.REMOVED:
            self.ready.pop(backend.cell, None)
            if not self.ready:
                self.mark_removed(now, list_skew_s)
            return
        if self._is_new(backend):
            received_by_all_at = now + list_skew_s
            if self.ready:
                self.generations.change(received_by_all_at, NOT_LISTED)
            effective_at = max(backend.started_at + settle_s, received_by_all_at)
            self.generations.change(effective_at, backend.cell)
        self._record_entry(backend)

    def _is_new(self, backend: Backend) -> bool:
        """Returns whether an entry belongs to a different process than the listed one."""
        if backend.cell not in self.ready:
            return True
        return backend.started_at > 0.0 and backend.started_at != self.started_at

    def _record_entry(self, backend: Backend) -> None:
        self.removed_at = inf
        self.started_at = backend.started_at or self.started_at
        self.ready[backend.cell] = backend.readiness is Readiness.READY

    def mark_removed(self, now: float, list_skew_s: float) -> None:
        """Records that the backend is not listed any more."""
        self.generations.change(now + list_skew_s, NOT_LISTED)
        self.removed_at = min(self.removed_at, now)
        self.started_at = 0.0
        self.ready.clear()


class KeyAffinity:
    """The ring of backends. A generation takes effect `settle_s` seconds after its process started.

    Attributes:
        settle_s: Seconds between the start of a process and the effect of its generation.
        list_skew_s: Seconds within which all gateways receive a change.
        histories: The history of each backend, by its name.
        ready_counts: The number of backends that accept requests, by cell.
        availability: Whether any backend of a cell accepts requests over time, by cell.
        first_list_at: The time at which the first list was received; infinity before.
        list_changed_at: The time at which the latest change was received.
        ring: The backends' points, in order.
    """

    def __init__(self, settle_s: float) -> None:
        self.settle_s = settle_s
        self.list_skew_s = min(MAX_LIST_SKEW_S, settle_s / 2)
        self.histories: dict[str, BackendHistory] = {}
        self.ready_counts: dict[int, int] = {}
        self.availability: dict[int, Timeline[bool]] = {}
        self.first_list_at = inf
        self.list_changed_at = -inf
        self.ring: list[tuple[int, str]] = []
        self._rings_by_points: dict[int, list[tuple[int, str]]] = {}

    def endpoints_changed(
        self, backends: Iterable[tuple[str, Backend]], is_full: bool, now: float
    ) -> None:
        """Applies the full endpoint list or its changes, given as pairs of name and entry."""
        entries = list(backends)
        names_before = set(self.histories)
        is_first = self.first_list_at == inf
        self.first_list_at = min(self.first_list_at, now)
        self.list_changed_at = now
        if is_full:
            for name in names_before - {name for name, _ in entries}:
                self.histories[name].mark_removed(now, self.list_skew_s)
        for name, backend in entries:
            self._apply_entry(name, backend, is_first, now)
        self._forget_removed(now)
        if self.histories.keys() != names_before:
            self._rings_by_points.clear()
            self.ring = self._ring(points_per_backend(self._listed_count(now)))
        self._count_ready(is_first, now)

    def _apply_entry(self, name: str, backend: Backend, is_first: bool, now: float) -> None:
        history = self.histories.get(name)
        if history is None:
            if backend.readiness is Readiness.REMOVED or len(self.histories) >= MAX_BACKENDS:
                return
            history = BackendHistory()
            self.histories[name] = history
        if is_first and backend.readiness is not Readiness.REMOVED and not history.ready:
            history.apply_first_entry(backend, self.settle_s)
        else:
            history.apply_update(backend, self.settle_s, now, self.list_skew_s)

    def _forget_removed(self, now: float) -> None:
        expired = [
            name
            for name, history in self.histories.items()
            if history.removed_at + REMOVED_RETENTION_S < now
        ]
        for name in expired:
            del self.histories[name]

    def _count_ready(self, is_first: bool, now: float) -> None:
        ready_counts: dict[int, int] = {}
        for history in self.histories.values():
            for cell, is_ready in history.ready.items():
                ready_counts[cell] = ready_counts.get(cell, 0) + is_ready
        for cell in self.availability.keys() | ready_counts:
            is_available = ready_counts.get(cell, 0) > 0
            # The first list has no time of change: other gateways may still use the cell.
            timeline = self.availability.setdefault(cell, Timeline(is_first))
            if timeline.latest() != is_available:
                timeline.change(now + self.list_skew_s, is_available)
        self.ready_counts = ready_counts

    def spans_several_cells(self, since: float) -> bool:
        """Returns whether backends of several cells accept requests, or did so after `since`.

        Includes the views of gateways that receive changes earlier or later.
        """
        cells_in_use = sum(
            self.ready_counts.get(cell, 0) > 0
            or timeline.values_between(since - self.list_skew_s, inf) != {False}
            for cell, timeline in self.availability.items()
        )
        return cells_in_use > 1

    def home_cell(self, position: int, time: float, ready_only: bool) -> int:
        """Returns the cell that owns a position on the ring at a time, or 0 if there is none.

        With `ready_only`, cells without a backend that accepts requests at that time are skipped.
        """
        points = points_per_backend(self._listed_count(time))
        for name in self._names_from(position, points):
            cell = self.histories[name].generations.value_at(time)
            if cell != NOT_LISTED and (not ready_only or self.availability[cell].value_at(time)):
                return cell
        return NOT_LISTED

    def settling_cell(self, position: int) -> int:
        """Returns the next ready backend's cell, even before its generation takes effect, or 0."""
        for name in self._names_from(position, points_per_backend(len(self.histories))):
            for cell, is_ready in self.histories[name].ready.items():
                if is_ready:
                    return cell
        return NOT_LISTED

    def possible_cells(self, position: int, period: Period) -> set[int]:
        """Returns the cells to which gateways may have sent a position's submission in a period.

        Includes `ANY_CELL` if the cells can't be determined.
        """
        start = period.start - self.list_skew_s
        end = period.end + self.list_skew_s
        fewest, most = self._listed_counts(start, end)
        points = points_per_backend(most)
        if points_per_backend(fewest) != points:
            return {ANY_CELL}
        possible = set[int]()
        for name in self._names_from(position, points):
            cells = self.histories[name].generations.values_between(start, end)
            if cells is None:
                return {ANY_CELL}
            may_be_skipped = NOT_LISTED in cells
            for cell in cells - {NOT_LISTED}:
                availability = self._availability(cell, start, end)
                if True in availability:
                    possible.add(cell)
                may_be_skipped |= False in availability
            if not may_be_skipped or len(possible) > 1:
                return possible
        return {ANY_CELL}  # the position may have had no home

    def _availability(self, cell: int, start: float, end: float) -> set[bool]:
        """Returns a cell's availability in a time span; both values if it changed or is unknown."""
        return self.availability[cell].values_between(start, end) or {False, True}

    def _listed_count(self, time: float) -> int:
        """Returns the number of backends listed at a time, or a bound that gives the same ring."""
        if len(self.histories) <= POINTS_BY_BACKENDS[0][0]:
            return len(self.histories)
        return sum(
            history.generations.value_at(time) != NOT_LISTED for history in self.histories.values()
        )

    def _listed_counts(self, start: float, end: float) -> tuple[int, int]:
        """Returns the minimum and maximum number of backends listed in a time span."""
        if len(self.histories) <= POINTS_BY_BACKENDS[0][0]:
            return len(self.histories), len(self.histories)
        fewest = 0
        most = 0
        for history in self.histories.values():
            cells = history.generations.values_between(start, end)
            fewest += cells is not None and NOT_LISTED not in cells
            most += cells is None or cells != {NOT_LISTED}
        return fewest, most

    def _names_from(self, position: int, points: int) -> Iterator[str]:
        """Yields each name once, in the order of the ring from a position on."""
        ring = self._ring(points)
        start = bisect_left(ring, (position, ""))
        yielded = set[str]()
        for offset in range(len(ring)):
            name = ring[(start + offset) % len(ring)][1]
            if name not in yielded:
                yielded.add(name)
                yield name

    def _ring(self, points: int) -> list[tuple[int, str]]:
        """Returns the ring on which each backend has the given number of points."""
        ring = self._rings_by_points.get(points)
        if ring is None:
            ring = sorted(
                (ring_position(f"{name}/{number}"), name)
                for name in self.histories
                for number in range(points)
            )
            self._rings_by_points[points] = ring
        return ring
