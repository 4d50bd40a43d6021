"""The kinds of faults that a scenario may name: what each strikes, and its figures."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault: what it strikes, and its figures as (usual, least, most)."""

    strikes: str
    does: str
    figures: Mapping[str, tuple[float, float, float]]


_FOR = (1.5, 0.05, 600.0)
KINDS: dict[str, Kind] = {
    "kill": Kind(
        "ingress", "SIGKILL; started again after `seconds`", {"seconds": (1.0, 0.05, 600.0)}
    ),
    "term": Kind("ingress", "SIGTERM, SIGKILL after its time; started again when it has ended", {}),
    "reload": Kind(
        "ingress",
        "SIGHUP `count` times, `ms` apart, each with discovery at another address",
        {"count": (2.0, 1.0, 20.0), "ms": (5.0, 0.0, 1000.0)},
    ),
    "reload_term": Kind(
        "ingress",
        "SIGHUP and SIGTERM in one moment, SIGKILL after its time; started again",
        {},
    ),
    "term_twice": Kind(
        "ingress",
        "SIGTERM twice, `ms` apart, SIGKILL after its time; started again",
        {"ms": (100.0, 0.0, 3000.0)},
    ),
    "term_start": Kind(
        "ingress",
        "SIGKILL; started, SIGTERM `ms` after; started again",
        {"ms": (200.0, 0.0, 3000.0)},
    ),
    "report": Kind(
        "ingress",
        "SIGUSR1 `count` times, `ms` apart",
        {"count": (3.0, 1.0, 20.0), "ms": (5.0, 0.0, 1000.0)},
    ),
    "idle_clients": Kind(
        "ingress",
        "`count` clients connect, send nothing, and leave after `seconds`",
        {"seconds": (2.0, 0.1, 600.0), "count": (100.0, 1.0, 5000.0)},
    ),
    "knocks": Kind(
        "ingress",
        "a client connects every `ms` and sends a PING, for `seconds`",
        {"seconds": (2.0, 0.1, 600.0), "ms": (5.0, 1.0, 1000.0)},
    ),
    "pause": Kind("ingress", "SIGSTOP, SIGCONT after `seconds`", {"seconds": (0.8, 0.05, 30.0)}),
    "slow": Kind(
        "server", "works `factor` times slower", {"seconds": _FOR, "factor": (5.0, 1.0, 100.0)}
    ),
    "reset": Kind("server", "resets each connection on which a request comes", {"seconds": _FOR}),
    "silent": Kind("server", "takes requests and says nothing", {"seconds": _FOR}),
    "spoil": Kind("server", "answers with what is no answer", {"seconds": _FOR}),
    "busy": Kind("server", "turns all requests away", {"seconds": _FOR}),
    "move": Kind("server", "goes on at another address", {}),
    "restart": Kind(
        "server", "its process ends; after `seconds` it starts again, cold", {"seconds": _FOR}
    ),
    "drain": Kind(
        "server",
        "drains, is gone, and comes back cold after `seconds`",
        {"seconds": (2.0, 0.2, 600.0)},
    ),
    "upgrade": Kind(
        "server",
        "drains, and comes back as a new one (http-v2), cold",
        {"seconds": (0.5, 0.05, 600.0)},
    ),
    "downgrade": Kind(
        "server",
        "drains, and comes back as an old one (resp2-v1), cold",
        {"seconds": (0.5, 0.05, 600.0)},
    ),
    "halfway": Kind(
        "server",
        "drains, and comes back as one that moved half way (resp3-v2), cold",
        {"seconds": (0.5, 0.05, 600.0)},
    ),
    "swap": Kind(
        "server",
        "its process ends; at once the other generation starts at its address, cold",
        {"seconds": (0.1, 0.05, 600.0)},
    ),
    "unclear": Kind("server", "does the work, and answers without saying so", {"seconds": _FOR}),
    "later": Kind(
        "server", "does the work, and says that the result comes later", {"seconds": _FOR}
    ),
    "delay": Kind(
        "link", "each way takes `ms` longer", {"seconds": _FOR, "ms": (60.0, 1.0, 5000.0)}
    ),
    "cut": Kind("link", "connections are reset, new ones refused", {"seconds": _FOR}),
    "half_close": Kind("link", "an end of sending is not passed on", {"seconds": _FOR}),
    "dribble": Kind("link", "passes on byte by byte", {"seconds": _FOR}),
    "counter_lost": Kind("counter", "refuses connections; its counts are kept", {"seconds": _FOR}),
    "counter_silent": Kind("counter", "says nothing", {"seconds": _FOR}),
    "counter_slow": Kind(
        "counter", "each call takes `ms` longer", {"seconds": _FOR, "ms": (120.0, 1.0, 5000.0)}
    ),
    "counter_busy": Kind("counter", "turns all calls away", {"seconds": _FOR}),
    "counter_empty": Kind("counter", "forgets all counts", {}),
    "counter_older": Kind(
        "counter", "goes on from its counts of `back` seconds before", {"back": (3.0, 0.5, 60.0)}
    ),
    "counter_split": Kind(
        "counter",
        "ingress-0 sees one copy, others another; the first outlives it",
        {"seconds": _FOR},
    ),
    "counter_flap": Kind("counter", "refuses connections every other second", {"seconds": _FOR}),
    "counter_part": Kind(
        "counter", "turns away calls for names on one of its parts", {"seconds": _FOR}
    ),
    "list_late": Kind("list", "changes are told `seconds` later", {"seconds": _FOR}),
    "list_silent": Kind("list", "says nothing", {"seconds": _FOR}),
    "list_back": Kind("list", "tells an old list as the newest", {"seconds": _FOR}),
    "surge": Kind(
        "plan",
        "all its customers ask `factor` times as much",
        {"seconds": _FOR, "factor": (4.0, 1.0, 50.0)},
    ),
    "shift": Kind(
        "customers",
        "a `share` of them moves to others of their ingresses",
        {"share": (0.5, 0.01, 1.0)},
    ),
}
GENERATION_KINDS = ("upgrade", "downgrade", "halfway", "swap")
SIGNAL_KINDS = ("reload", "reload_term", "term_twice", "term_start", "report")
CROWD_KINDS = ("idle_clients", "knocks")
# What a seed draws from: a generation changes only where a scenario says so, and signals and crowds
# are the soak's.
DRAWN = [kind for kind in KINDS if kind not in GENERATION_KINDS + SIGNAL_KINDS + CROWD_KINDS]
