"""Scenarios: what goes wrong and when, read from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from ingress.testbed.deployment import Deployment
from ingress.testbed.fault_kinds import DRAWN, KINDS


class BadScenario(Exception):
    """The scenario can't be played; the text names file, key and what is allowed."""


OLD = "resp2-v1"
LINK = re.compile(r"(clients>ingress-(\d+)|ingress-(\d+)>(server-(\d+)|counter|list))")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: at `at` seconds from when clients come, `kind` strikes `target`."""

    at: float
    kind: str
    target: str
    figures: Mapping[str, float]

    def __str__(self) -> str:
        words = ", ".join(f"{name} {value:g}" for name, value in self.figures.items())
        return f"{self.at:.1f} s: {self.kind} {self.target}" + (f" ({words})" if words else "")


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played: for how long, on which deployment, with which faults."""

    name: str
    seconds: float
    seed: int
    deployment: Deployment
    faults: tuple[Fault, ...] = ()
    clients: Mapping[str, float] = field(default_factory=dict)  # shares of customers, by dialect
    generations: Mapping[str, str] = field(
        default_factory=dict
    )  # dialects of servers that are not old

    def dialects(self) -> set[str]:
        """Those beside today's."""
        told = {"upgrade": "http-v2", "swap": "http-v2", "halfway": "resp3-v2"}
        return {
            *self.clients,
            *self.generations.values(),
            *(told[f.kind] for f in self.faults if f.kind in told),
        } - {OLD}

    def translates(self) -> bool:
        """Whether ingresses need an operator's file."""
        return bool(self.dialects())

    def needs_http(self) -> bool:
        return "http-v2" in self.dialects()


DIALECTS = (OLD, "resp3-v2", "http-v2")
SIZES: dict[str, tuple[float, float]] = {
    "seconds": (0.5, 86_400),
    "seed": (0, 2**63),
    "ingresses": (1, 16),
    "servers": (1, 64),
    "rate": (1, 5000),
}
FIGURES: dict[str, tuple[float, float]] = {  # keys of [deployment]: least and most
    "cores": (1, 64),
    "queue": (0, 10_000),
    "busy": (0.01, 4.0),
    "max_attempts": (1, 16),
    "drain_grace": (0.05, 60),
    "cold_share": (0.01, 1.0),
    "cold_time": (0.1, 600),
    "fall_factor": (1.0, 100),
    "fall_time": (0.1, 60),
    "notice": (0.0, 60),
    "counter_rate": (1, 1e6),
    "counter_parts": (1, 16),
    "memory_mb": (24, 65_536),
    "sockets": (64, 65_536),
    "retries": (0.0, 1.0),
}
WHOLE = {f.name for f in fields(Deployment) if f.type == "int"} | {"seed"}


def _number(where: str, key: str, value: Any, least: float, most: float) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise BadScenario(f"{where}: {key}: {value!r} is not a number from {least:g} to {most:g}")
    if key in WHOLE and value != int(value):
        raise BadScenario(f"{where}: {key}: {value!r} is not a whole number")
    return int(value) if key in WHOLE else float(value)


def _flag(where: str, key: str, value: Any) -> bool:
    if not isinstance(value, bool):
        raise BadScenario(f"{where}: {key}: {value!r} is neither true nor false")
    return value


def _known(where: str, table: Mapping[str, Any], allowed: set[str]) -> None:
    for key in table:
        if key not in allowed:
            raise BadScenario(
                f"{where}: {key}: not known; allowed are {', '.join(sorted(allowed))}"
            )


def check_target(where: str, kind: str, target: str, deployment: Deployment) -> None:
    """Raises BadScenario if `kind` can't strike `target` in this deployment."""
    strikes, sizes = (
        KINDS[kind].strikes,
        {
            "ingress": deployment.ingresses,
            "server": deployment.servers,
            "list": deployment.ingresses,
        },
    )
    if strikes in sizes:
        name, _, number = target.partition("-")
        if name == strikes and (number.isdecimal() and int(number) < sizes[strikes]):
            return
        if name == strikes == "list" and not number:
            return
        allowed = f"{strikes}-0 to {strikes}-{sizes[strikes] - 1}"
        allowed += ", or list for all" if strikes == "list" else ""
    elif strikes == "link":
        found = LINK.fullmatch(target)
        if found and (
            int(found[2] or found[3]) < deployment.ingresses
            and int(found[5] or 0) < deployment.servers
        ):
            return
        allowed = "clients>ingress-N, ingress-N>server-N, ingress-N>counter, ingress-N>list"
    elif strikes == "plan":
        if target in deployment.by_plan:
            return
        allowed = ", ".join(deployment.by_plan)
    else:
        if target == strikes:
            return
        allowed = strikes
    raise BadScenario(f"{where}: target: {target!r} is none for {kind}; allowed are {allowed}")


def read_scenario(text: str, where: str, **overrides: float | None) -> Scenario:
    """Reads a scenario; `overrides` (from the command line) go before the file's sizes."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise BadScenario(f"{where}: not TOML: {error}") from None
    _known(where, table, {"name", "deployment", "fault", "clients", "generations", *SIZES})
    sizes: dict[str, Any] = {"seconds": 20.0, "seed": 1}
    for key, (least, most) in SIZES.items():
        value = overrides.get(key)
        value = table.get(key) if value is None else value
        if value is not None:
            sizes[key] = _number(where, key, value, least, most)
    figures = table.get("deployment", {})
    if not isinstance(figures, dict):
        raise BadScenario(f"{where}: deployment: not a table")
    _known(f"{where}: deployment", figures, {*FIGURES, "marks"})
    figures = {
        key: _number(f"{where}: deployment", key, value, *FIGURES[key])
        if key != "marks"
        else _flag(f"{where}: deployment", key, value)
        for key, value in figures.items()
    }
    seconds, seed = sizes.pop("seconds"), sizes.pop("seed")
    deployment = Deployment(**sizes, **figures)
    faults, rows = [], table.get("fault", [])
    if not isinstance(rows, list):
        raise BadScenario(f"{where}: fault: not a list of tables; write [[fault]]")
    for n, row in enumerate(rows, 1):
        spot = f"{where}: fault {n}"
        if not isinstance(row, dict):
            raise BadScenario(f"{spot}: not a table")
        kind = row.get("kind")
        if not isinstance(kind, str) or kind not in KINDS:
            raise BadScenario(f"{spot}: kind: {kind!r} is none; allowed are {', '.join(KINDS)}")
        usual = KINDS[kind].figures
        _known(spot, row, {"at", "kind", "target", *usual})
        target = row.get("target", KINDS[kind].strikes)
        if not isinstance(target, str):
            raise BadScenario(f"{spot}: target: {target!r} is not a text")
        check_target(spot, kind, target, deployment)
        faults.append(
            Fault(
                _number(spot, "at", row.get("at", 0.0), 0.0, seconds),
                kind,
                target,
                {
                    key: _number(spot, key, row.get(key, value), least, most)
                    for key, (value, least, most) in usual.items()
                },
            )
        )
    name = table.get("name", Path(where).stem)
    if not isinstance(name, str):
        raise BadScenario(f"{where}: name: {name!r} is not a text")
    return Scenario(
        name,
        seconds,
        seed,
        deployment,
        tuple(sorted(faults, key=lambda f: f.at)),
        _shares(f"{where}: clients", table.get("clients", {})),
        _generations(f"{where}: generations", table.get("generations", {}), deployment),
    )


def _shares(where: str, table: Any) -> dict[str, float]:
    if not isinstance(table, dict):
        raise BadScenario(f"{where}: not a table")
    _known(where, table, set(DIALECTS))
    shares = {key: _number(where, key, value, 0.0, 1.0) for key, value in table.items()}
    if shares and abs(sum(shares.values()) - 1.0) > 1e-6:
        raise BadScenario(f"{where}: the shares add up to {sum(shares.values()):g} and not to 1")
    return {key: value for key, value in shares.items() if value}


def _generations(where: str, table: Any, deployment: Deployment) -> dict[str, str]:
    if not isinstance(table, dict):
        raise BadScenario(f"{where}: not a table")
    _known(where, table, {f"server-{n}" for n in range(deployment.servers)})
    for key, value in table.items():
        if value not in DIALECTS:
            raise BadScenario(
                f"{where}: {key}: {value!r} is no dialect; allowed are {', '.join(DIALECTS)}"
            )
    return table


def _draw_target(rng: random.Random, strikes: str, deployment: Deployment) -> str:
    ingress = f"ingress-{rng.randrange(deployment.ingresses)}"
    server = f"server-{rng.randrange(deployment.servers)}"
    one_list = rng.choice(["list", ingress.replace("ingress", "list")])
    return {
        "ingress": ingress,
        "server": server,
        "list": one_list,
        "link": rng.choice(
            [f"clients>{ingress}", f"{ingress}>counter", f"{ingress}>list", f"{ingress}>{server}"]
        ),
        "plan": rng.choice(list(deployment.by_plan)),
        "counter": "counter",
        "customers": "customers",
    }[strikes]


def draw(seed: int, seconds: float, deployment: Deployment, faults: int) -> Scenario:
    """A scenario of so many faults that the seed alone tells, spread over the run but for its end."""
    rng, drawn = random.Random(seed), []
    for _ in range(faults):
        kind = rng.choice(DRAWN)
        target = _draw_target(rng, KINDS[kind].strikes, deployment)
        figures = {
            key: round(usual * rng.uniform(0.5, 1.5), 3) if key != "share" else usual
            for key, (usual, _, _) in KINDS[kind].figures.items()
        }
        drawn.append(Fault(round(rng.uniform(0.1, 0.8) * seconds, 2), kind, target, figures))
    return Scenario(
        f"drawn-{seed}", seconds, seed, deployment, tuple(sorted(drawn, key=lambda f: f.at))
    )
