"""Scenarios: faults and their times, read from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from ingress.testbed.deployment import Deployment
from ingress.testbed.fault_kinds import KINDS, RANDOM_KINDS


class ScenarioError(Exception):
    """A scenario is invalid; the message names the file, the key and the allowed values."""


OLD_DIALECT = "resp2-v1"
LINK = re.compile(r"(clients>ingress-(\d+)|ingress-(\d+)>(server-(\d+)|counter|list))")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: `kind` is injected into `target`, `at` seconds after the clients start."""

    at: float
    kind: str
    target: str
    figures: Mapping[str, float]

    def __str__(self) -> str:
        values = ", ".join(f"{name} {value:g}" for name, value in self.figures.items())
        return f"{self.at:.1f} s: {self.kind} {self.target}" + (f" ({values})" if values else "")


@dataclass(frozen=True, slots=True)
class Scenario:
    """A run: its length, deployment and faults."""

    name: str
    seconds: float
    seed: int
    deployment: Deployment
    faults: tuple[Fault, ...] = ()
    clients: Mapping[str, float] = field(default_factory=dict)  # shares of customers, by dialect
    generations: Mapping[str, str] = field(
        default_factory=dict
    )  # dialects of the servers that are not of the old generation

    def dialects(self) -> set[str]:
        """Returns the dialects in use other than the old one."""
        dialect_after = {"upgrade": "http-v2", "swap": "http-v2", "halfway": "resp3-v2"}
        return {
            *self.clients,
            *self.generations.values(),
            *(dialect_after[f.kind] for f in self.faults if f.kind in dialect_after),
        } - {OLD_DIALECT}

    def translates(self) -> bool:
        """Returns whether ingresses need an operator configuration file."""
        return bool(self.dialects())

    def needs_http(self) -> bool:
        """Returns whether any client or server speaks http-v2."""
        return "http-v2" in self.dialects()


DIALECTS = (OLD_DIALECT, "resp3-v2", "http-v2")
SIZE_LIMITS: dict[str, tuple[float, float]] = {
    "seconds": (0.5, 86_400),
    "seed": (0, 2**63),
    "ingresses": (1, 16),
    "servers": (1, 64),
    "rate": (1, 5000),
}
DEPLOYMENT_LIMITS: dict[str, tuple[float, float]] = {  # keys of [deployment]: minimum and maximum
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
INTEGER_KEYS = {f.name for f in fields(Deployment) if f.type == "int"} | {"seed"}


def _checked_number(source: str, key: str, value: Any, minimum: float, maximum: float) -> Any:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not minimum <= value <= maximum
    ):
        raise ScenarioError(
            f"{source}: {key}: {value!r} is not a number from {minimum:g} to {maximum:g}"
        )
    if key in INTEGER_KEYS and value != int(value):
        raise ScenarioError(f"{source}: {key}: {value!r} is not a whole number")
    return int(value) if key in INTEGER_KEYS else float(value)


def _checked_flag(source: str, key: str, value: Any) -> bool:
    if not isinstance(value, bool):
        raise ScenarioError(f"{source}: {key}: {value!r} is not true or false")
    return value


def _check_keys(source: str, table: Mapping[str, Any], allowed: set[str]) -> None:
    for key in table:
        if key not in allowed:
            raise ScenarioError(
                f"{source}: {key}: not known; allowed are {', '.join(sorted(allowed))}"
            )


def check_target(source: str, kind: str, target: str, deployment: Deployment) -> None:
    """Raises ScenarioError if `target` is invalid for faults of `kind` in this deployment."""
    target_type, sizes = (
        KINDS[kind].target_type,
        {
            "ingress": deployment.ingresses,
            "server": deployment.servers,
            "list": deployment.ingresses,
        },
    )
    if target_type in sizes:
        name, _, number = target.partition("-")
        if name == target_type and (number.isdecimal() and int(number) < sizes[target_type]):
            return
        if name == target_type == "list" and not number:
            return
        allowed = f"{target_type}-0 to {target_type}-{sizes[target_type] - 1}"
        allowed += ", or list for all" if target_type == "list" else ""
    elif target_type == "link":
        matched = LINK.fullmatch(target)
        if matched and (
            int(matched[2] or matched[3]) < deployment.ingresses
            and int(matched[5] or 0) < deployment.servers
        ):
            return
        allowed = "clients>ingress-N, ingress-N>server-N, ingress-N>counter, ingress-N>list"
    elif target_type == "plan":
        if target in deployment.by_plan:
            return
        allowed = ", ".join(deployment.by_plan)
    else:
        if target == target_type:
            return
        allowed = target_type
    raise ScenarioError(f"{source}: target: {target!r} is none for {kind}; allowed are {allowed}")


def read_scenario(text: str, source: str, **overrides: float | None) -> Scenario:
    """Parses a scenario file; `overrides`, from the command line, take precedence over its sizes.

    Raises ScenarioError.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{source}: not TOML: {error}") from None
    _check_keys(
        source, table, {"name", "deployment", "fault", "clients", "generations", *SIZE_LIMITS}
    )
    sizes: dict[str, Any] = {"seconds": 20.0, "seed": 1}
    for key, (minimum, maximum) in SIZE_LIMITS.items():
        value = overrides.get(key)
        value = table.get(key) if value is None else value
        if value is not None:
            sizes[key] = _checked_number(source, key, value, minimum, maximum)
    figures = table.get("deployment", {})
    if not isinstance(figures, dict):
        raise ScenarioError(f"{source}: deployment: not a table")
    _check_keys(f"{source}: deployment", figures, {*DEPLOYMENT_LIMITS, "marks"})
    figures = {
        key: _checked_number(f"{source}: deployment", key, value, *DEPLOYMENT_LIMITS[key])
        if key != "marks"
        else _checked_flag(f"{source}: deployment", key, value)
        for key, value in figures.items()
    }
    seconds, seed = sizes.pop("seconds"), sizes.pop("seed")
    deployment = Deployment(**sizes, **figures)
    faults, rows = [], table.get("fault", [])
    if not isinstance(rows, list):
        raise ScenarioError(f"{source}: fault: not a list of tables; write [[fault]]")
    for n, row in enumerate(rows, 1):
        location = f"{source}: fault {n}"
        if not isinstance(row, dict):
            raise ScenarioError(f"{location}: not a table")
        kind = row.get("kind")
        if not isinstance(kind, str) or kind not in KINDS:
            raise ScenarioError(
                f"{location}: kind: {kind!r} is none; allowed are {', '.join(KINDS)}"
            )
        defaults = KINDS[kind].figures
        _check_keys(location, row, {"at", "kind", "target", *defaults})
        target = row.get("target", KINDS[kind].target_type)
        if not isinstance(target, str):
            raise ScenarioError(f"{location}: target: {target!r} is not a text")
        check_target(location, kind, target, deployment)
        faults.append(
            Fault(
                _checked_number(location, "at", row.get("at", 0.0), 0.0, seconds),
                kind,
                target,
                {
                    key: _checked_number(location, key, row.get(key, value), minimum, maximum)
                    for key, (value, minimum, maximum) in defaults.items()
                },
            )
        )
    name = table.get("name", Path(source).stem)
    if not isinstance(name, str):
        raise ScenarioError(f"{source}: name: {name!r} is not a text")
    return Scenario(
        name,
        seconds,
        seed,
        deployment,
        tuple(sorted(faults, key=lambda f: f.at)),
        _read_shares(f"{source}: clients", table.get("clients", {})),
        _read_generations(f"{source}: generations", table.get("generations", {}), deployment),
    )


def _read_shares(source: str, table: Any) -> dict[str, float]:
    if not isinstance(table, dict):
        raise ScenarioError(f"{source}: not a table")
    _check_keys(source, table, set(DIALECTS))
    shares = {key: _checked_number(source, key, value, 0.0, 1.0) for key, value in table.items()}
    if shares and abs(sum(shares.values()) - 1.0) > 1e-6:
        raise ScenarioError(f"{source}: the shares add up to {sum(shares.values()):g} instead of 1")
    return {key: value for key, value in shares.items() if value}


def _read_generations(source: str, table: Any, deployment: Deployment) -> dict[str, str]:
    if not isinstance(table, dict):
        raise ScenarioError(f"{source}: not a table")
    _check_keys(source, table, {f"server-{n}" for n in range(deployment.servers)})
    for key, value in table.items():
        if value not in DIALECTS:
            raise ScenarioError(
                f"{source}: {key}: {value!r} is an unknown dialect; allowed are {', '.join(DIALECTS)}"
            )
    return table


def _draw_target(rng: random.Random, target_type: str, deployment: Deployment) -> str:
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
    }[target_type]


def draw(seed: int, seconds: float, deployment: Deployment, faults: int) -> Scenario:
    """Returns a scenario with `faults` random faults, between 10% and 80% of the run.

    The same arguments always give the same scenario.
    """
    rng, drawn = random.Random(seed), []
    for _ in range(faults):
        kind = rng.choice(RANDOM_KINDS)
        target = _draw_target(rng, KINDS[kind].target_type, deployment)
        figures = {
            key: round(default * rng.uniform(0.5, 1.5), 3) if key != "share" else default
            for key, (default, _, _) in KINDS[kind].figures.items()
        }
        drawn.append(Fault(round(rng.uniform(0.1, 0.8) * seconds, 2), kind, target, figures))
    return Scenario(
        f"drawn-{seed}", seconds, seed, deployment, tuple(sorted(drawn, key=lambda f: f.at))
    )
