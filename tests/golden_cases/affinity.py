"""Placement of keyed submissions while backends of two protocol versions serve."""

from __future__ import annotations

from typing import Any

from tests.golden_cases.names import (
    ENDED_WITH_ERROR,
    NEVER_WRITTEN,
    Attempt,
    Backend,
    Call,
    Placement,
    Readiness,
    endpoints_changed,
    read_endpoint_list,
)
from tests.golden_cases.plain import CUSTOMERS, plain

WINDOW_S = 4.0
SETTLE_S = 10.0
OLD = 1  # cell
NEW = 2  # cell


def entry(number: int, cell: int, started_ms: int = 0, state: str = "ready") -> tuple[str, Backend]:
    """Returns a backend's own name and its entry, whose id includes the cell of its version."""
    fields = {"id": f"server-{number}#{cell}", "addr": "h:1", "state": state, "cell": cell}
    body = {"version": 1, "full": True, "servers": [fields | {"started_ms": started_ms}]}
    [backend] = read_endpoint_list(body).backends
    assert backend.readiness is Readiness(state)
    return f"server-{number}", backend


def submission(number: int, retry: bool = False) -> Call:
    """Returns a call with an idempotency key."""
    key = f"{number:016x}"
    return Call(
        b"r", CUSTOMERS[number % 3], "solution-submit", "base", 2.0, 1.0, 2, 0, retry, True, key
    )


def decisions(placement: Placement, now: float, retry: bool = False) -> list[Any]:
    """Returns the placement decision for each of twelve submissions."""
    return [plain(placement.admit(submission(number, retry), now)) for number in range(12)]


def affinity() -> dict[str, Any]:
    """Replaces three of six old backends with new ones, then drains the other old backends."""
    placement = Placement(WINDOW_S, SETTLE_S)
    endpoints_changed(placement, [entry(number, OLD) for number in range(6)], True, 1000.0)
    results: dict[str, Any] = {"old alone": decisions(placement, 1001.0)}
    moved = [entry(number, NEW, 1_010_000) for number in range(3)]
    removed = [entry(number, OLD, 0, "gone") for number in range(3)]
    endpoints_changed(placement, removed + moved, False, 1010.0)
    results["before the new count"] = decisions(placement, 1015.0)
    results["just after"] = decisions(placement, 1020.5)
    results["marked retries just after"] = decisions(placement, 1020.5, retry=True)
    results["later"] = decisions(placement, 1030.0)
    for number in range(6):
        attempt = Attempt(f"r{number}", 0, "server-4#1", 1030.0, 1032.0, submission(number))
        placement.sent(attempt, 1030.0)
        placement.ended(attempt, ENDED_WITH_ERROR if number % 2 else NEVER_WRITTEN)
    results["after attempts at an old one"] = decisions(placement, 1031.0)
    drained = [entry(number, OLD, 0, "draining") for number in range(3, 6)]
    endpoints_changed(placement, drained, False, 1040.0)
    results["old ones drain"] = decisions(placement, 1041.0)
    results["marked retries while they do"] = decisions(placement, 1041.0, retry=True)
    results["counts"] = dict(sorted(placement.counts.items()))
    return results
