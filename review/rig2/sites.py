"""Settings like those of a small deployment, within the ranges of its site file."""

from __future__ import annotations

from typing import Any


def request_class(
    name: str,
    aim: float,
    give_up: float,
    importance: float,
    semantics: str,
    scope: str,
    window: float,
) -> dict[str, Any]:
    """Returns the settings of a request class."""
    return {
        "name": name,
        "aim-s": aim,
        "give-up-s": give_up,
        "importance": importance,
        "late-worth": 0.2,
        "semantics": semantics,
        "key-scope": scope,
        "dedup-window-s": window,
        "stream": False,
    }


def plan(name: str, refill: float, burst: float, hard_rate: float = 0.0) -> dict[str, Any]:
    """Returns the settings of a plan."""
    return {
        "name": name,
        "refill": refill,
        "burst": burst,
        "at-once": 0,
        "worth-factor": 1.0,
        "over-worth": 0.0,
        "excess-cost": 0.6,
        "hard-rate": hard_rate,
        "ceiling-burst": 2.0 * hard_rate,
        "cap-slack": 0.2 * hard_rate,
    }


def settings(
    classes: list[dict[str, Any]],
    plans: list[dict[str, Any]],
    limits: dict[str, Any],
    rules: dict[str, Any],
    discovery: str,
    zones: list[str],
) -> dict[str, Any]:
    """Returns the settings of an ingress without its own number and zone."""
    return {
        "balancers": 3,
        "self-index": 0,
        "zone": "",
        "tick-s": 0.002,
        "membership-mode": discovery,
        "service-type": "gate",
        "categories": classes,
        "contracts": plans,
        "clients": {"marks-retry": False},
        "localities": zones,
        "limits": {
            "cancel": True,
            "max-open": 20000,
            "max-retry-after-s": 0.5,
            "peers": False,
            "probing": False,
            "retry-after": True,
            "second-copies": False,
        }
        | limits,
        "rules": {
            "answer-slack-s": 0.008,
            "ask-within-s": 10.0,
            "cold-s": 15.0,
            "fall-s": 1.0,
            "overload-factor": 2.0,
            "start-capacity": 0.2,
        }
        | rules,
        "family-info": {
            "counter": True,
            "cost-after": False,
            "count-wait-s": 0.08,
            "mail-per-s": 0.0,
            "meter-s": 0.0,
            "most-units": 1,
        },
    }


PADANA_ZONES = ["hall-a", "hall-b"]
PADANA = settings(
    [
        request_class("grid-fetch", 1.5, 4.0, 2.0, "safe", "all", 0.0),
        request_class("solution-submit", 1.5, 4.0, 6.0, "keyed", "all", 4.0),
    ],
    [plan("base", 0.8, 3.5), plan("plus", 2.4, 10.0), plan("editorial", 9.0, 22.0, 18.0)],
    {"connect-timeout-s": 0.25, "keepalive-s": 15.0, "max-attempts": 4},
    {"drain-grace-s": 1.0},
    "pushed",
    PADANA_ZONES,
)
"""Like `padana-enigmi`."""
