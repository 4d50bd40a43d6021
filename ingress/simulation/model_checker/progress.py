"""Final check of a run: repairs all faults and verifies that no request is postponed forever."""

from __future__ import annotations

from typing import Final

from ingress.handover.decision import Verdict
from ingress.simulation.model_checker.actions import Action, ActionKind
from ingress.simulation.model_checker.invariants import InvariantViolationError
from ingress.simulation.model_checker.state import (
    INSTANCE_COUNT,
    INSTANCES,
    KEYS,
    State,
    reported_name,
)
from ingress.simulation.model_checker.transitions import advance, apply

MAX_CLOSING_STEPS: Final = 200
RECOVERY_STEP_S: Final = 0.5
EXTRA_RECOVERY_STEPS: Final = 8
MAX_REQUESTS_UNTIL_FINAL_DECISION: Final = 3
DECISION_WAIT_S: Final = 0.06  # longer than a coordinator's delay


def close(state: State) -> None:
    """Ends all faults, completes messages and writes, and checks that all requests make progress.

    Raises:
        InvariantViolationError: A request is postponed forever, or took effect more than once.
    """
    for index in list(state.paused):
        apply(state, Action(ActionKind.RESUME, index))
    for _ in range(MAX_CLOSING_STEPS):
        step = _closing_step(state)
        if step is None:
            break
        apply(state, step)
    for _ in range(int(state.settings.recovery_time / RECOVERY_STEP_S) + EXTRA_RECOVERY_STEPS):
        advance(state, RECOVERY_STEP_S)
    for index in range(INSTANCE_COUNT):
        for key in KEYS:
            if not any(
                _gets_final_decision(state, index, key)
                for _ in range(MAX_REQUESTS_UNTIL_FINAL_DECISION)
            ):
                raise InvariantViolationError(f"{key} is postponed forever at {INSTANCES[index]}")


def _closing_step(state: State) -> Action | None:
    """Returns the action that completes the next message or write, or None if none is pending."""
    if state.messages_in_flight:
        return Action(ActionKind.DELIVER, 0)
    for number, write in enumerate(state.writes):
        if not write.written:
            return Action(ActionKind.WRITE, number)
    if state.writes:
        return Action(ActionKind.ANSWER, 0)
    return None


def _gets_final_decision(state: State, index: int, key: str) -> bool:
    """Submits a request; returns whether it gets a final decision."""
    postponed = reported_name(Verdict.RETRY_LATER)
    postponed_before = state.observed[postponed]
    state.budget.requests += 1
    apply(state, Action(ActionKind.OPEN, index, key))
    for _ in range(2):
        _deliver_all(state)
        advance(state, DECISION_WAIT_S)
    while state.writes:
        apply(state, _next_write_step(state))
    _deliver_all(state)
    return state.observed[postponed] == postponed_before


def _deliver_all(state: State) -> None:
    while state.messages_in_flight:
        apply(state, Action(ActionKind.DELIVER, 0))


def _next_write_step(state: State) -> Action:
    for number, write in enumerate(state.writes):
        if write.written:
            return Action(ActionKind.ANSWER, number)
    return Action(ActionKind.WRITE, 0)
