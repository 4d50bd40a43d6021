"""The cell of each submission that all gateways derive alike, without messages.

The names of the listed backends lie on a ring (consistent hashing: Karger et al., 1997). A
submission belongs to the next name on it, and its home is the cell, one deduplication scope, of
that backend's generation. Homes follow from the endpoint list and the start times in it alone, so
that a gateway that has just started derives the same ones as those that have run for days.

Gateways hear of a change up to `list_skew_s` apart. So it takes effect that long after a gateway
heard of it, by when all have, and `possible_cells` returns every cell that was a home at any of
them lately. A generation takes effect at one moment for all, a fixed time after the start of its
process, as discovery reports it. A backend that is draining keeps its place.
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

MAX_BACKENDS: Final = 20_000  # names; an endpoint list is not believed beyond
REMOVED_RETENTION_S: Final = 600.0  # for which the history of a removed backend is kept
MAX_LIST_SKEW_S: Final = 1.0  # between two gateways' learning of one change
NOT_LISTED: Final = 0  # in place of a cell
ANY_CELL: Final = -1  # in place of a cell: too much changed to tell

# Points of each backend on the ring, by how many backends it has at most. The steps bound the ring;
# with 64 points the shares of ten backends differ by an eighth or so.
POINTS_BY_BACKENDS: Final = ((100, 64), (400, 16), (1600, 4))
MIN_POINTS: Final = 1


def ring_position(text: str) -> int:
    """Returns where a text lies on the ring, from 0 to 2**64 - 1."""
    return int.from_bytes(blake2b(text.encode("utf-8", "replace"), digest_size=8).digest(), "big")


def points_per_backend(backend_count: int) -> int:
    """Returns how many points each of so many backends has on the ring."""
    for most_backends, points in POINTS_BY_BACKENDS:
        if backend_count <= most_backends:
            return points
    return MIN_POINTS


@dataclass(frozen=True, slots=True)
class Period:
    """A time span, in seconds of the caller's clock, in which a decision may have been taken."""

    start: float
    end: float


class BackendHistory:
    """What is known of one backend's name.

    Attributes:
        generations: The cell to which it belongs, `NOT_LISTED` while there is none, over time.
        started_at: When its latest process started, as discovery gives it; 0 if it does not.
        ready: For each cell under which the name is listed, whether it takes requests.
        removed_at: When it was removed, or infinity.
    """

    __slots__ = ("generations", "ready", "removed_at", "started_at")

    def __init__(self) -> None:
        self.generations: Timeline[int] = Timeline(NOT_LISTED)
        self.started_at = 0.0
        self.ready: dict[int, bool] = {}
        self.removed_at = inf

    def list_first(self, backend: Backend, settle_s: float) -> None:
        """Takes the backend's entry of a gateway's first list, which tells of no change."""
        effective_at = backend.started_at + settle_s if backend.started_at else -inf
        self.generations.change(effective_at, backend.cell)
        self._note(backend)

    def update(self, backend: Backend, settle_s: float, now: float, list_skew_s: float) -> None:
        """Takes the backend's entry of a later list."""
        if backend.readiness is Readiness.REMOVED:
            self.ready.pop(backend.cell, None)
            if not self.ready:
                self.remove(now, list_skew_s)
            return
        if self._is_new(backend):
            heard_by_all_at = now + list_skew_s
            if self.ready:
                self.generations.change(heard_by_all_at, NOT_LISTED)
            effective_at = max(backend.started_at + settle_s, heard_by_all_at)
            self.generations.change(effective_at, backend.cell)
        self._note(backend)

    def _is_new(self, backend: Backend) -> bool:
        """Returns whether an entry tells of another process than the one that was listed."""
        if backend.cell not in self.ready:
            return True
        return backend.started_at > 0.0 and backend.started_at != self.started_at

    def _note(self, backend: Backend) -> None:
        self.removed_at = inf
        self.started_at = backend.started_at or self.started_at
        self.ready[backend.cell] = backend.readiness is Readiness.READY

    def remove(self, now: float, list_skew_s: float) -> None:
        """Notes that the backend is not listed any more."""
        self.generations.change(now + list_skew_s, NOT_LISTED)
        self.removed_at = min(self.removed_at, now)
        self.started_at = 0.0
        self.ready.clear()


class KeyAffinity:
    """The ring of backends. A generation takes effect `settle_s` seconds after its process started.

    Attributes:
        settle_s: As above.
        list_skew_s: Within which all gateways hear of a change, in seconds.
        histories: What is known of each backend, by its name.
        ready_counts: The number of backends that take requests, by cell.
        availability: Whether any backend of a cell takes requests, by cell, as time goes on.
        first_list_at: When the first list came; infinity before.
        list_changed_at: When the latest change came.
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
        """Takes the full endpoint list or what changed: each backend's own name, and its entry."""
        entries = list(backends)
        names_before = set(self.histories)
        is_first = self.first_list_at == inf
        self.first_list_at = min(self.first_list_at, now)
        self.list_changed_at = now
        if is_full:
            for name in names_before - {name for name, _ in entries}:
                self.histories[name].remove(now, self.list_skew_s)
        for name, backend in entries:
            self._take_entry(name, backend, is_first, now)
        self._forget_removed(now)
        if self.histories.keys() != names_before:
            self._rings_by_points.clear()
            self.ring = self._ring(points_per_backend(self._listed_count(now)))
        self._count_ready(is_first, now)

    def _take_entry(self, name: str, backend: Backend, is_first: bool, now: float) -> None:
        history = self.histories.get(name)
        if history is None:
            if backend.readiness is Readiness.REMOVED or len(self.histories) >= MAX_BACKENDS:
                return
            history = BackendHistory()
            self.histories[name] = history
        if is_first and backend.readiness is not Readiness.REMOVED and not history.ready:
            history.list_first(backend, self.settle_s)
        else:
            history.update(backend, self.settle_s, now, self.list_skew_s)

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
            # A first list doesn't tell since when: others may still hold the cell for available.
            timeline = self.availability.setdefault(cell, Timeline(is_first))
            if timeline.latest() != is_available:
                timeline.change(now + self.list_skew_s, is_available)
        self.ready_counts = ready_counts

    def spans_several_cells(self, since: float) -> bool:
        """Whether backends of more than one cell take requests, or did so later than `since`.

        What gateways that hear of changes earlier or later took for so counts too.
        """
        in_use = sum(
            self.ready_counts.get(cell, 0) > 0
            or timeline.values_between(since - self.list_skew_s, inf) != {False}
            for cell, timeline in self.availability.items()
        )
        return in_use > 1

    def home_cell(self, position: int, time: float, ready_only: bool) -> int:
        """Returns the cell that owns a position on the ring at a time, or 0 if there is none.

        With `ready_only`, cells of which no backend takes requests then are passed over.
        """
        points = points_per_backend(self._listed_count(time))
        for name in self._names_from(position, points):
            cell = self.histories[name].generations.value_at(time)
            if cell != NOT_LISTED and (not ready_only or self.availability[cell].value_at(time)):
                return cell
        return NOT_LISTED

    def settling_cell(self, position: int) -> int:
        """Returns the cell of the next backend that takes requests, in effect or not, or 0."""
        for name in self._names_from(position, points_per_backend(len(self.histories))):
            for cell, is_ready in self.histories[name].ready.items():
                if is_ready:
                    return cell
        return NOT_LISTED

    def possible_cells(self, position: int, period: Period) -> set[int]:
        """Returns the cells to which gateways may have sent a position's submission in a period.

        `ANY_CELL` is among them if that can't be told.
        """
        start = period.start - self.list_skew_s
        end = period.end + self.list_skew_s
        fewest, most = self._listed_counts(start, end)
        points = points_per_backend(most)
        if points_per_backend(fewest) != points:
            return {ANY_CELL}
        found = set[int]()
        for name in self._names_from(position, points):
            cells = self.histories[name].generations.values_between(start, end)
            if cells is None:
                return {ANY_CELL}
            may_be_passed_over = NOT_LISTED in cells
            for cell in cells - {NOT_LISTED}:
                availability = self._availability(cell, start, end)
                if True in availability:
                    found.add(cell)
                may_be_passed_over |= False in availability
            if not may_be_passed_over or len(found) > 1:
                return found
        return {ANY_CELL}  # there may have been no home

    def _availability(self, cell: int, start: float, end: float) -> set[bool]:
        """Returns whether a cell was available, both if it was for a part of the time."""
        return self.availability[cell].values_between(start, end) or {False, True}

    def _listed_count(self, time: float) -> int:
        """Returns how many backends are listed at a time, or a bound that makes no difference."""
        if len(self.histories) <= POINTS_BY_BACKENDS[0][0]:
            return len(self.histories)
        return sum(
            history.generations.value_at(time) != NOT_LISTED for history in self.histories.values()
        )

    def _listed_counts(self, start: float, end: float) -> tuple[int, int]:
        """Returns how many backends were listed at least and at most, in a time span."""
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
        """Yields each name once, in the order in which they follow a position on the ring."""
        ring = self._ring(points)
        start = bisect_left(ring, (position, ""))
        passed = set[str]()
        for offset in range(len(ring)):
            name = ring[(start + offset) % len(ring)][1]
            if name not in passed:
                passed.add(name)
                yield name

    def _ring(self, points: int) -> list[tuple[int, str]]:
        """Returns the ring on which each backend has so many points."""
        ring = self._rings_by_points.get(points)
        if ring is None:
            ring = sorted(
                (ring_position(f"{name}/{number}"), name)
                for name in self.histories
                for number in range(points)
            )
            self._rings_by_points[points] = ring
        return ring
