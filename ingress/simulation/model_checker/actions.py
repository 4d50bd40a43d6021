"""Actions of the model checker, and which of them are possible in a state."""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple

from ingress.simulation.model_checker.state import INSTANCE_COUNT, State

# Longer than a coordinator's delay; longer than the suspicion timeout; near the end of the
# deduplication window; and far beyond that window in combination with other waits.
WAIT_DURATIONS_S: Final = (0.06, 0.7, 3.0, 12.0)


class ActionKind(StrEnum):
    """Kinds of actions; their values are the names in traces and reports."""

    DELIVER = "deliver"
    DUPLICATE = "twice"  # deliver a message and keep it in flight
    DROP = "drop"
    WRITE = "write"  # write an admitted request to the backend
    ANSWER = "answer"  # the backend's response arrives
    LOSE_RESPONSE = "lose"
    OPEN = "try"  # a client submits a request at an instance
    WAIT = "wait"
    PAUSE = "pause"  # an instance's process stops running
    RESUME = "resume"
    RESTART_EMPTY = "forget"  # an instance crashes and restarts without records
    RESTART_STALE = "lie"  # an instance crashes and restarts from an old state of its disk
    CLOSE = "close"  # repair all faults, and check that all requests make progress


class Action(NamedTuple):
    """One step of a run.

    Attributes:
        kind: Kind of the action.
        target: Index of the message in flight, pending write or instance, depending on the kind.
        key: Idempotency key that `OPEN` submits.
        duration: Duration of `WAIT` in seconds.
    """

    kind: ActionKind
    target: int = 0
    key: str = ""
    duration: float = 0.0

    def describe(self) -> tuple[str | int | float, ...]:
        """Returns the name and the arguments of the action, as reports show them."""
        name = self.kind.value
        match self.kind:
            case ActionKind.CLOSE:
                return (name,)
            case ActionKind.WAIT:
                return (name, self.duration)
            case ActionKind.OPEN:
                return (name, self.target, self.key)
            case _:
                return (name, self.target)

    def __str__(self) -> str:
        """Returns the action as it appears in a printed trace."""
        return str(self.describe())


def available_actions(state: State) -> list[Action]:
    """Returns all possible actions; seeded runs depend on their order."""
    running = [index for index in range(INSTANCE_COUNT) if index not in state.paused]
    return [
        *_message_actions(state, running),
        *_write_actions(state, running),
        *_budgeted_actions(state, running),
    ]


def _message_actions(state: State, running: list[int]) -> list[Action]:
    budget = state.budget
    actions: list[Action] = []
    for number, message in enumerate(state.messages_in_flight):
        if message.receiver in running:
            actions.append(Action(ActionKind.DELIVER, number))
            if budget.duplicates:
                actions.append(Action(ActionKind.DUPLICATE, number))
        if budget.drops:
            actions.append(Action(ActionKind.DROP, number))
    return actions


def _write_actions(state: State, running: list[int]) -> list[Action]:
    actions: list[Action] = []
    for number, write in enumerate(state.writes):
        if write.instance not in running:
            continue
        if write.incarnation != state.coordinators[write.instance].incarnation:
            continue
        if write.written:
            actions.append(Action(ActionKind.ANSWER, number))
            actions.append(Action(ActionKind.LOSE_RESPONSE, number))
        else:
            actions.append(Action(ActionKind.WRITE, number))
    return actions


def _budgeted_actions(state: State, running: list[int]) -> list[Action]:
    budget = state.budget
    actions: list[Action] = []
    if budget.requests:
        actions += [
            Action(ActionKind.OPEN, index, key) for index in running for key in state.submitted_keys
        ]
    if budget.waits:
        actions += [Action(ActionKind.WAIT, duration=duration) for duration in WAIT_DURATIONS_S]
    if budget.pauses:
        actions += [Action(ActionKind.PAUSE, index) for index in running]
    actions += [Action(ActionKind.RESUME, index) for index in sorted(state.paused)]
    if budget.crashes:
        for index in running:
            actions.append(Action(ActionKind.RESTART_EMPTY, index))
            actions.append(Action(ActionKind.RESTART_STALE, index))
    return actions
