"""Invariants of each state that the model checker reaches."""

from __future__ import annotations

from itertools import pairwise

from ingress.handover.replica import RECORD_TTL_S
from ingress.simulation.model_checker.state import State


class InvariantViolationError(Exception):
    """An invariant is violated; the message names the key and the violation."""


def check_at_most_once(state: State) -> None:
    """Checks that no protected request takes effect again while its record exists.

    Raises:
        InvariantViolationError: A key took effect twice within `RECORD_TTL_S` seconds.
    """
    for key, times in state.backend.effects.items():
        if key in state.backend.unprotected:
            continue
        if any(later - earlier < RECORD_TTL_S for earlier, later in pairwise(times)):
            raise InvariantViolationError(f"{key} took effect {len(times)} times")
