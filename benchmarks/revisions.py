"""Finds the names needed to start another revision of the program, whose package may differ."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

DEPLOY_FILE = Path("deploy") / "balancer.toml"
RUN_MODULE = re.compile(r"-m\s+([A-Za-z_][\w.]*)")


def program_package(tree: Path) -> str:
    """Returns the import package of the program in a checkout, as the deploy file's `run` line names it.

    Raises:
        OSError: The checkout has no deploy file.
        ValueError: Its `run` line starts no Python module.
    """
    command = tomllib.loads((tree / DEPLOY_FILE).read_text(encoding="utf-8"))["run"]
    match = RUN_MODULE.search(command)
    if match is None:
        raise ValueError(f"{tree / DEPLOY_FILE}: run: {command!r} has no -m MODULE")
    return match[1]


def compilation_switch(tree: Path) -> str:
    """Returns the environment variable that chooses the compiled form in a checkout."""
    return f"{program_package(tree).upper()}_COMPILED"
