"""Searches for violations: seeded random runs, breadth-first search, and minimized traces."""

from __future__ import annotations

import pickle
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from ingress.simulation.model_checker.actions import Action, ActionKind, available_actions
from ingress.simulation.model_checker.invariants import InvariantViolationError
from ingress.simulation.model_checker.progress import close as close_run
from ingress.simulation.model_checker.state import KEYS, Budget, State
from ingress.simulation.model_checker.transitions import apply

RUN_LENGTH: Final = 40  # actions
ACTION_WEIGHTS: Final = (0.1, 1.0, 5.0)
DELIVERY_WEIGHTS: Final = (3.0, 10.0, 30.0)
# Each run draws the weights of the kinds in this order, and the weight of deliveries last.
WEIGHTED_KINDS: Final = (
    ActionKind.ANSWER,
    ActionKind.DROP,
    ActionKind.RESTART_EMPTY,
    ActionKind.RESTART_STALE,
    ActionKind.LOSE_RESPONSE,
    ActionKind.PAUSE,
    ActionKind.RESUME,
    ActionKind.OPEN,
    ActionKind.DUPLICATE,
    ActionKind.WAIT,
    ActionKind.WRITE,
)

StateFactory = Callable[[], State]


def initial_state() -> State:
    """Returns a new state with the default budget."""
    return State(Budget())


@dataclass
class SearchResult:
    """Result of a search.

    Attributes:
        states: Number of states reached.
        runs: Number of seeded runs.
        trace: Actions that led to a violation; empty if there is none.
        violation: Message of the violation; empty if there is none.
        observed: Counts of actions and verdicts.
    """

    states: int = 0
    runs: int = 0
    trace: list[Action] = field(default_factory=list)
    violation: str = ""
    observed: Counter[str] = field(default_factory=Counter)


def random_run(
    seed: int, length: int, make_state: StateFactory = initial_state, *, close: bool = True
) -> SearchResult:
    """Performs one random run.

    Args:
        seed: Seed of the run; the same seed gives the same run.
        length: Maximum number of actions.
        make_state: Returns the initial state.
        close: Whether to check at the end that no request is postponed forever. Without this
            check the actions are the same, at a quarter of the cost.
    """
    rng = Random(f"walk {seed}")
    state = make_state()
    result = SearchResult(runs=1)
    trace: list[Action] = []
    weights = _draw_weights(rng)
    state.submitted_keys = KEYS[: rng.randint(1, 2)]
    try:
        for _ in range(length):
            action = _draw_action(rng, available_actions(state), weights)
            if action is None:
                break
            trace.append(action)
            apply(state, action)
            result.states += 1
        if close:
            trace.append(Action(ActionKind.CLOSE))
            close_run(state)
    except InvariantViolationError as violation:
        result.trace = trace
        result.violation = str(violation)
    result.observed = state.observed
    return result


def _draw_weights(rng: Random) -> dict[ActionKind, float]:
    """Draws the weight of each kind of action for one run.

    Each run has its own weights (swarm testing: Groce et al., 2012), because a run that does a
    little of everything rarely goes far in any one direction.
    """
    weights = {kind: rng.choice(ACTION_WEIGHTS) for kind in WEIGHTED_KINDS}
    weights[ActionKind.DELIVER] = rng.choice(DELIVERY_WEIGHTS)
    return weights


def _draw_action(
    rng: Random, actions: list[Action], weights: dict[ActionKind, float]
) -> Action | None:
    if not actions:
        return None
    kinds = sorted({action.kind for action in actions})
    [kind] = rng.choices(kinds, [weights[kind] for kind in kinds])
    return rng.choice([action for action in actions if action.kind is kind])


def random_runs(first_seed: int, end_seed: int) -> SearchResult:
    """Runs the seeds from `first_seed` to before `end_seed`; stops at the first violation."""
    total = SearchResult()
    for seed in range(first_seed, end_seed):
        result = random_run(seed, RUN_LENGTH)
        total.runs += 1
        total.states += result.states
        total.observed += result.observed
        if result.violation:
            total.violation = f"seed {seed}: {result.violation}"
            total.trace = result.trace
            break
    return total


def breadth_first_search(
    depth: int, max_states: int, make_state: StateFactory = initial_state
) -> SearchResult:
    """Explores runs of up to `depth` actions, each state once, until `max_states` are reached."""
    result = SearchResult()
    initial = pickle.dumps(make_state())
    queue: deque[tuple[bytes, tuple[Action, ...]]] = deque([(initial, ())])
    visited = {hash(initial)}
    while queue and result.states < max_states:
        pickled, trace = queue.popleft()
        if len(trace) >= depth:
            continue
        for action in available_actions(pickle.loads(pickled)):
            state: State = pickle.loads(pickled)
            try:
                apply(state, action)
            except InvariantViolationError as violation:
                result.trace = [*trace, action]
                result.violation = str(violation)
                return result
            successor = pickle.dumps(state)
            if hash(successor) not in visited:
                visited.add(hash(successor))
                result.states += 1
                queue.append((successor, (*trace, action)))
    return result


def replay(trace: Iterable[Action], make_state: StateFactory) -> str:
    """Replays a trace without its impossible actions; returns the violation, or an empty string."""
    state = make_state()
    try:
        for action in trace:
            if action.kind is ActionKind.CLOSE:
                close_run(state)
            elif action in available_actions(state):
                apply(state, action)
    except InvariantViolationError as violation:
        return str(violation)
    return ""


def minimize_trace(trace: list[Action], make_state: StateFactory) -> list[Action]:
    """Returns a trace that still causes a violation and from which no action can be removed."""
    position = 0
    while position < len(trace):
        shorter = trace[:position] + trace[position + 1 :]
        if replay(shorter, make_state):
            trace = shorter
            position = 0
        else:
            position += 1
    return trace
