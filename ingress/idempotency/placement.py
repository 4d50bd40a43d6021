"""Selects the cell for a request with an idempotency key by its attempts and key affinity."""

from __future__ import annotations

import json
import logging
from collections import Counter
from collections.abc import Iterable
from typing import Final

from ingress.core.calls import Call
from ingress.core.ports import Attempt, PlacementConstraint
from ingress.idempotency.in_doubt import InDoubtTable, Submission
from ingress.idempotency.key_affinity import NOT_LISTED, KeyAffinity, Period, ring_position
from ingress.policy.events import Backend, Outcome, Readiness

log = logging.getLogger(__name__)

ANYWHERE: Final = PlacementConstraint()
MAX_SUBMISSIONS: Final = 20_000  # in doubt; about 300 bytes each

# Keys of the reported counts.
ATTEMPT_IN_DOUBT: Final = "held-seen"  # bound to the cell of an attempt made by this gateway
HOME_AVAILABLE: Final = "held-home"  # bound to its home cell
HOME_UNAVAILABLE: Final = "moved-home"  # bound to another cell: its home accepts no requests
REJECTED: Final = "unsure"  # rejected: other gateways may have, or have had, another home for it
RETRY_ELSEWHERE: Final = "held-back"  # may have run, while another cell could have accepted a retry


def submission_of(call: Call) -> Submission:
    """Returns the identity shared by a call and all its retries."""
    return call.customer, call.request_class, call.idempotency_key


class Placement:
    """Decides where calls with an idempotency key may run; see `core.ports.PlacementTracker`.

    Attributes:
        window_s: Seconds for which backends remember keys.
        key_affinity: The home cells. `settle_s` is the number of seconds after a backend's start at
            which its generation takes effect.
        in_doubt: The submissions that may have run.
        counts: The counts, by the keys above.
        cell_by_backend: The cell of each backend, by the backend's id.
    """

    def __init__(
        self, window_s: float, settle_s: float, max_submissions: int = MAX_SUBMISSIONS
    ) -> None:
        self.window_s = window_s
        self.key_affinity = KeyAffinity(settle_s)
        self.in_doubt = InDoubtTable(window_s, max_submissions)
        self.counts = Counter[str]()
        self.cell_by_backend: dict[str, int] = {}

    def endpoints_changed(
        self, backends: Iterable[tuple[str, Backend]], is_full: bool, now: float
    ) -> None:
        """Applies the full endpoint list or its changes, given as pairs of name and entry."""
        entries = list(backends)
        if is_full:
            self.cell_by_backend.clear()
        for _, backend in entries:
            self.cell_by_backend[backend.id] = backend.cell
        self.key_affinity.endpoints_changed(entries, is_full, now)
        for _, backend in entries:
            if backend.readiness is Readiness.REMOVED:
                self.cell_by_backend.pop(backend.id, None)

    def admit(self, call: Call, now: float) -> PlacementConstraint:
        """Returns where a call with an idempotency key may run."""
        constraint = self._constraint_of(call, now)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("placement %s", json.dumps(self._describe(call, constraint, now)))
        return constraint

    def _describe(
        self, call: Call, constraint: PlacementConstraint, now: float
    ) -> dict[str, object]:
        """Returns the inputs and the result of a decision, for the log; times are in seconds."""
        affinity = self.key_affinity
        submission = submission_of(call)
        position = ring_position("/".join(submission))
        return {
            "at": now,
            "request": call.client_request_id.decode("latin-1"),
            "key": call.idempotency_key,
            "is_retry": call.is_retry,
            "cell": constraint.cell,
            "retry_after": constraint.retry_after,
            "in_doubt": self.in_doubt.cell_of(submission, now),
            "home": affinity.home_cell(position, now, False),
            "possible": sorted(affinity.possible_cells(position, Period(now - self.window_s, now))),
            "ready_counts": affinity.ready_counts,
            "names": len(affinity.histories),
            "listed_for": now - affinity.first_list_at,
            "list_age": now - affinity.list_changed_at,
        }

    def _constraint_of(self, call: Call, now: float) -> PlacementConstraint:
        submission = submission_of(call)
        if cell := self.in_doubt.cell_of(submission, now):
            self.counts[ATTEMPT_IN_DOUBT] += 1
            return PlacementConstraint(cell)
        affinity = self.key_affinity
        if call.is_retry and (wait := self._time_until_window_is_known(now)) > 0:
            return self._reject(wait)
        if not affinity.spans_several_cells(now - self.window_s):
            return ANYWHERE
        if (wait := self._time_until_lists_agree(now)) > 0:
            return self._reject(wait)
        position = ring_position("/".join(submission))
        home = affinity.home_cell(position, now, False)
        if home == NOT_LISTED:
            return self._constraint_while_all_settle(call, position)
        available = affinity.home_cell(position, now, True) or home
        if not affinity.ready_counts.get(available):
            # Other gateways may not know yet that the cell accepts no requests any more.
            return self._reject(self.window_s if call.is_retry else affinity.list_skew_s)
        if call.is_retry:
            possible = affinity.possible_cells(position, Period(now - self.window_s, now))
            if possible != {available}:
                return self._reject(self._retry_delay(home, available, now))
        self.counts[HOME_AVAILABLE if home == available else HOME_UNAVAILABLE] += 1
        return PlacementConstraint(available)

    def _constraint_while_all_settle(self, call: Call, position: int) -> PlacementConstraint:
        """Returns where a call may run while no backend's generation is in effect."""
        cell = self.key_affinity.settling_cell(position)
        if call.is_retry or cell == NOT_LISTED:
            return self._reject(self.window_s / 2)
        return PlacementConstraint(cell)

    def _time_until_lists_agree(self, now: float) -> float:
        """Returns the seconds for which other gateways may have older lists than the first here."""
        return self.key_affinity.first_list_at + self.key_affinity.list_skew_s - now

    def _time_until_window_is_known(self, now: float) -> float:
        """Returns the seconds until a window has passed without lists older than the first here.

        A backend on an older list keeps its place at other gateways until all of them have received
        the change.
        """
        return self._time_until_lists_agree(now) + self.key_affinity.list_skew_s + self.window_s

    def _retry_delay(self, home: int, available: int, now: float) -> float:
        """Returns the seconds to wait before retrying a request whose home has changed recently."""
        if home == available:
            return self.window_s / 2
        unavailable_at = self.key_affinity.availability[home].latest_change_at()
        return max(self.window_s / 2, unavailable_at + self.window_s - now)

    def _reject(self, wait: float) -> PlacementConstraint:
        self.counts[REJECTED] += 1
        return PlacementConstraint(0, min(self.window_s, wait))

    def sent(self, attempt: Attempt, now: float) -> None:
        """Records an attempt with an idempotency key that is about to be written."""
        if cell := self.cell_by_backend.get(attempt.backend):
            self.in_doubt.record_attempt(
                submission_of(attempt.call), cell, now, attempt.request_key
            )

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Records an outcome.

        Proof that nothing ran releases a submission that had no other attempt.
        """
        if outcome.never_ran:
            self.in_doubt.record_never_ran(submission_of(attempt.call), attempt.request_key)
        elif outcome is not Outcome.OK and self._another_cell_is_ready(attempt):
            self.counts[RETRY_ELSEWHERE] += 1

    def _another_cell_is_ready(self, attempt: Attempt) -> bool:
        own = self.cell_by_backend.get(attempt.backend, 0)
        ready_counts = self.key_affinity.ready_counts
        return any(count for cell, count in ready_counts.items() if cell != own)
