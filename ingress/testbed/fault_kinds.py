"""The kinds of faults that a scenario may name, with the target and the parameters of each."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault: its type of target, and its parameters as (default, minimum, maximum)."""

    target_type: str
    description: str
    figures: Mapping[str, tuple[float, float, float]]


_DURATION_S = (1.5, 0.05, 600.0)
KINDS: dict[str, FaultKind] = {
    "kill": FaultKind(
        "ingress", "SIGKILL; restarted after `seconds`", {"seconds": (1.0, 0.05, 600.0)}
    ),
    "term": FaultKind(
        "ingress", "SIGTERM, SIGKILL after the grace period; restarted when it has ended", {}
    ),
    "reload": FaultKind(
        "ingress",
        "SIGHUP `count` times, `ms` apart, each with a new discovery address",
        {"count": (2.0, 1.0, 20.0), "ms": (5.0, 0.0, 1000.0)},
    ),
    "reload_term": FaultKind(
        "ingress",
        "SIGHUP and SIGTERM at the same time, SIGKILL after the grace period; restarted",
        {},
    ),
    "term_twice": FaultKind(
        "ingress",
        "SIGTERM twice, `ms` apart, SIGKILL after the grace period; restarted",
        {"ms": (100.0, 0.0, 3000.0)},
    ),
    "term_start": FaultKind(
        "ingress",
        "SIGKILL; restarted, SIGTERM `ms` later; restarted again",
        {"ms": (200.0, 0.0, 3000.0)},
    ),
    "report": FaultKind(
        "ingress",
        "SIGUSR1 `count` times, `ms` apart",
        {"count": (3.0, 1.0, 20.0), "ms": (5.0, 0.0, 1000.0)},
    ),
    "idle_clients": FaultKind(
        "ingress",
        "`count` clients connect, send nothing, and disconnect after `seconds`",
        {"seconds": (2.0, 0.1, 600.0), "count": (100.0, 1.0, 5000.0)},
    ),
    "knocks": FaultKind(
        "ingress",
        "a client connects every `ms` and sends a PING, for `seconds`",
        {"seconds": (2.0, 0.1, 600.0), "ms": (5.0, 1.0, 1000.0)},
    ),
    "pause": FaultKind(
        "ingress", "SIGSTOP, SIGCONT after `seconds`", {"seconds": (0.8, 0.05, 30.0)}
    ),
    "slow": FaultKind(
        "server",
        "runs `factor` times slower",
        {"seconds": _DURATION_S, "factor": (5.0, 1.0, 100.0)},
    ),
    "reset": FaultKind(
        "server", "resets each connection that receives a request", {"seconds": _DURATION_S}
    ),
    "silent": FaultKind(
        "server", "accepts requests and sends no response", {"seconds": _DURATION_S}
    ),
    "spoil": FaultKind("server", "sends invalid responses", {"seconds": _DURATION_S}),
    "busy": FaultKind("server", "rejects all requests", {"seconds": _DURATION_S}),
    "move": FaultKind("server", "moves to another address", {}),
    "restart": FaultKind(
        "server", "process ends; restarts cold after `seconds`", {"seconds": _DURATION_S}
    ),
    "drain": FaultKind(
        "server",
        "drains, is removed, and restarts cold after `seconds`",
        {"seconds": (2.0, 0.2, 600.0)},
    ),
    "upgrade": FaultKind(
        "server",
        "drains, and restarts cold as the new generation (http-v2)",
        {"seconds": (0.5, 0.05, 600.0)},
    ),
    "downgrade": FaultKind(
        "server",
        "drains, and restarts cold as the old generation (resp2-v1)",
        {"seconds": (0.5, 0.05, 600.0)},
    ),
    "halfway": FaultKind(
        "server",
        "drains, and restarts cold as the intermediate generation (resp3-v2)",
        {"seconds": (0.5, 0.05, 600.0)},
    ),
    "swap": FaultKind(
        "server",
        "process ends; the other generation starts cold at its address immediately",
        {"seconds": (0.1, 0.05, 600.0)},
    ),
    "unclear": FaultKind(
        "server",
        "does the work, and its response does not say whether it ran",
        {"seconds": _DURATION_S},
    ),
    "later": FaultKind(
        "server",
        "does the work, and responds that the result will follow",
        {"seconds": _DURATION_S},
    ),
    "delay": FaultKind(
        "link",
        "adds `ms` of latency in each direction",
        {"seconds": _DURATION_S, "ms": (60.0, 1.0, 5000.0)},
    ),
    "cut": FaultKind("link", "resets connections and refuses new ones", {"seconds": _DURATION_S}),
    "half_close": FaultKind("link", "does not forward a half-close", {"seconds": _DURATION_S}),
    "dribble": FaultKind("link", "forwards byte by byte", {"seconds": _DURATION_S}),
    "counter_lost": FaultKind(
        "counter", "refuses connections; keeps its counts", {"seconds": _DURATION_S}
    ),
    "counter_silent": FaultKind("counter", "sends no reply", {"seconds": _DURATION_S}),
    "counter_slow": FaultKind(
        "counter", "adds `ms` to each call", {"seconds": _DURATION_S, "ms": (120.0, 1.0, 5000.0)}
    ),
    "counter_busy": FaultKind("counter", "rejects all calls", {"seconds": _DURATION_S}),
    "counter_empty": FaultKind("counter", "loses all counts", {}),
    "counter_older": FaultKind(
        "counter", "restores its counts of `back` seconds earlier", {"back": (3.0, 0.5, 60.0)}
    ),
    "counter_split": FaultKind(
        "counter",
        "ingress-0 uses one copy and the others another; the first copy survives",
        {"seconds": _DURATION_S},
    ),
    "counter_flap": FaultKind(
        "counter", "refuses connections every other second", {"seconds": _DURATION_S}
    ),
    "counter_part": FaultKind(
        "counter", "rejects calls for the keys of one shard", {"seconds": _DURATION_S}
    ),
    "list_late": FaultKind("list", "publishes changes `seconds` later", {"seconds": _DURATION_S}),
    "list_silent": FaultKind("list", "sends no response", {"seconds": _DURATION_S}),
    "list_back": FaultKind("list", "publishes an old list as the newest", {"seconds": _DURATION_S}),
    "surge": FaultKind(
        "plan",
        "all its customers send `factor` times as many requests",
        {"seconds": _DURATION_S, "factor": (4.0, 1.0, 50.0)},
    ),
    "shift": FaultKind(
        "customers",
        "a `share` of them shifts load to other ingresses of their sets",
        {"share": (0.5, 0.01, 1.0)},
    ),
}
GENERATION_KINDS = ("upgrade", "downgrade", "halfway", "swap")
SIGNAL_KINDS = ("reload", "reload_term", "term_twice", "term_start", "report")
CROWD_KINDS = ("idle_clients", "knocks")
# The kinds that `draw` picks from. Generations change only where a scenario says so; only the soak
# draws signals and crowds.
RANDOM_KINDS = [kind for kind in KINDS if kind not in GENERATION_KINDS + SIGNAL_KINDS + CROWD_KINDS]
