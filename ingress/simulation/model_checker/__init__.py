"""Model checker for the handover protocol; it runs the production code of the protocol.

The model has three instances, two idempotency keys, and a backend that deduplicates keys within a
window. Messages are lost, reordered and duplicated; instances pause, crash, and restart without
records or from an old state of the disk.

A write is a separate step: between the decision that admits a request and its write, a process may
stall for as long as the time budget allows, so no check of the clock protects a first write. A
retry checks the clock when it is written. The checker verifies two properties: a protected request
takes effect at most once; and after all faults are repaired, no request is postponed forever.
"""

from ingress.simulation.model_checker.actions import Action, ActionKind, available_actions
from ingress.simulation.model_checker.invariants import InvariantViolationError
from ingress.simulation.model_checker.search import (
    SearchResult,
    breadth_first_search,
    minimize_trace,
    random_run,
    random_runs,
    replay,
)
from ingress.simulation.model_checker.state import Budget, State
from ingress.simulation.model_checker.transitions import apply

__all__ = [
    "Action",
    "ActionKind",
    "Budget",
    "InvariantViolationError",
    "SearchResult",
    "State",
    "apply",
    "available_actions",
    "breadth_first_search",
    "minimize_trace",
    "random_run",
    "random_runs",
    "replay",
]
