"""State transitions of the model checker, one for each kind of action."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ingress.handover.coordinator import Coordinator
from ingress.handover.messages import body_digest
from ingress.handover.replica import Replica
from ingress.handover.transition_table import RequestKind
from ingress.simulation.model_checker.actions import Action, ActionKind
from ingress.simulation.model_checker.invariants import check_at_most_once
from ingress.simulation.model_checker.state import (
    INSTANCES,
    WRITES_EXPIRED,
    State,
    record_name_of,
)

RESPONSE: Final = b"v"
STALE_STORE_ID: Final = b"d"
STALE_STORE_POSITION: Final = 10  # durable position of a store that lost its last record


def apply(state: State, action: Action) -> None:
    """Performs an action that `available_actions` returned, and checks the resulting state.

    Raises:
        InvariantViolationError: A protected request took effect more than once.
    """
    if action.kind is ActionKind.WRITE and _is_expired(state, action):
        _discard_expired_write(state, action)
    else:
        TRANSITIONS[action.kind](state, action)
        state.observed[action.kind.value] += 1
    state.flush()
    check_at_most_once(state)


def advance(state: State, duration: float) -> None:
    """Advances the time by `duration` seconds in one step, then ticks all running instances."""
    state.now += duration
    tick(state)


def tick(state: State) -> None:
    """Ticks all running instances at the current time."""
    for index, coordinator in enumerate(state.coordinators):
        if index not in state.paused:
            coordinator.tick(state.now)
    state.flush()


def _deliver(state: State, action: Action) -> None:
    message = state.messages_in_flight.pop(action.target)
    state.deliver(message.sender, message.receiver, message.message)


def _duplicate(state: State, action: Action) -> None:
    state.budget.duplicates -= 1
    message = state.messages_in_flight[action.target]
    state.deliver(message.sender, message.receiver, message.message)


def _drop(state: State, action: Action) -> None:
    state.budget.drops -= 1
    del state.messages_in_flight[action.target]


def _is_expired(state: State, action: Action) -> bool:
    """Returns whether a write is too late: a retry checks the clock when it is written."""
    return state.now >= state.writes[action.target].send_before


def _discard_expired_write(state: State, action: Action) -> None:
    state.observed[WRITES_EXPIRED] += 1
    write = state.writes.pop(action.target)
    state.coordinators[write.instance].ended(write.operation, RequestKind.RELEASE)


def _write(state: State, action: Action) -> None:
    write = state.writes[action.target]
    write.written = True
    if not write.protected:
        state.backend.unprotected.add(write.key)
    state.backend.receive(state.now, write.key)
    state.coordinators[write.instance].sent(write.operation)


def _answer(state: State, action: Action) -> None:
    _end_write(state, action, RequestKind.DONE)


def _lose_response(state: State, action: Action) -> None:
    _end_write(state, action, RequestKind.UNCLEAR)


def _end_write(state: State, action: Action, outcome: RequestKind) -> None:
    write = state.writes.pop(action.target)
    state.coordinators[write.instance].ended(write.operation, outcome, RESPONSE)


def _open(state: State, action: Action) -> None:
    state.budget.requests -= 1
    coordinator = state.coordinators[action.target]
    coordinator.open(state.now, record_name_of(action.key), body_digest(b""))


def _wait(state: State, action: Action) -> None:
    state.budget.waits -= 1
    advance(state, action.duration)


def _pause(state: State, action: Action) -> None:
    state.budget.pauses -= 1
    state.paused.add(action.target)


def _resume(state: State, action: Action) -> None:
    state.paused.discard(action.target)
    tick(state)


def _restart_empty(state: State, action: Action) -> None:
    state.budget.crashes -= 1
    _restart(state, action.target, stale=False)


def _restart_stale(state: State, action: Action) -> None:
    """Restarts an instance from an old state of its disk that claims to be the latest."""
    state.budget.crashes -= 1
    _restart(state, action.target, stale=True)


def _restart(state: State, index: int, *, stale: bool) -> None:
    """Replaces the process of an instance with a new one that has stale records or none."""
    previous = state.coordinators[index]
    state.writes = [write for write in state.writes if write.instance != index]
    state.messages_in_flight = [
        message
        for message in state.messages_in_flight
        if index not in (message.sender, message.receiver)
    ]
    state.coordinators[index] = Coordinator(
        INSTANCES[index],
        previous.incarnation + 1,
        INSTANCES,
        state.settings,
        state.now,
        _without_last_record(previous.replica) if stale else None,
        STALE_STORE_ID if stale else b"",
        STALE_STORE_POSITION if stale else 0,
    )
    _reconnect(state, index, stale=stale)
    state.flush()


def _without_last_record(replica: Replica) -> Replica:
    copy = replica.copy()
    for name in list(copy.records)[-1:]:
        del copy.records[name]
    return copy


def _reconnect(state: State, index: int, *, stale: bool) -> None:
    restarted = state.coordinators[index]
    for other_index, other in enumerate(state.coordinators):
        if other_index == index:
            continue
        # The other instances have received a later position than that of the stale store.
        peer = other.peers[INSTANCES[index]]
        peer.store_id = STALE_STORE_ID if stale else b""
        peer.durable_position = STALE_STORE_POSITION + 1 if stale else 0
        other.on_connection_change(state.now, INSTANCES[index], True)
        restarted.on_connection_change(state.now, INSTANCES[other_index], True)


# `ActionKind.CLOSE` consists of many actions: see `progress.close`.
TRANSITIONS: Final[dict[ActionKind, Callable[[State, Action], None]]] = {
    ActionKind.DELIVER: _deliver,
    ActionKind.DUPLICATE: _duplicate,
    ActionKind.DROP: _drop,
    ActionKind.WRITE: _write,
    ActionKind.ANSWER: _answer,
    ActionKind.LOSE_RESPONSE: _lose_response,
    ActionKind.OPEN: _open,
    ActionKind.WAIT: _wait,
    ActionKind.PAUSE: _pause,
    ActionKind.RESUME: _resume,
    ActionKind.RESTART_EMPTY: _restart_empty,
    ActionKind.RESTART_STALE: _restart_stale,
}
