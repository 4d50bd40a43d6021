"""The operator's file, named by --operator: what this installation adds.  Checked whole when it is read."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mulleinhall.platform.config import BadConfig, read_address

LONGEST = 1 << 20  # bytes of the file
MOST = 10_000  # entries of a table
MOST_LISTENERS = 16


class BadOperatorFile(BadConfig):
    """The file can't be used; the text names file, key and reason."""


@dataclass(frozen=True, slots=True)
class Dialects:
    """Which servers speak what: by cell, else by kind, else the default."""

    default: str = "resp2-v1"
    kinds: Mapping[str, str] = field(default_factory=dict)
    cells: Mapping[int, str] = field(default_factory=dict)

    def names(self) -> set[str]:
        return {self.default, *self.kinds.values(), *self.cells.values()}


@dataclass(frozen=True, slots=True)
class Listener:
    """A further address where clients of a dialect connect."""

    address: tuple[str, int]
    dialect: str


@dataclass(frozen=True, slots=True)
class Operator:
    """The file's tables; None or nothing for one that it does not have."""

    dialects: Dialects | None = None
    listeners: tuple[Listener, ...] = ()


def read_operator(path: Path, servers: frozenset[str], clients: frozenset[str]) -> Operator:
    """Reads the file.  `servers` and `clients` are the dialects that each may speak.  Raises
    BadOperatorFile."""
    try:
        data = path.read_bytes()
        if len(data) > LONGEST:
            raise BadOperatorFile(f"{path}: longer than {LONGEST} bytes")
        table = tomllib.loads(data.decode("utf-8"))
    except OSError as error:
        raise BadOperatorFile(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise BadOperatorFile(f"{path}: not UTF-8: {error.reason}") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise BadOperatorFile(f"{path}: not TOML: {error}") from None
    _known(f"{path}", table, ("dialects", "listener"))
    dialects = _dialects(f"{path}: dialects", table["dialects"], servers) if "dialects" in table else None
    return Operator(dialects, _listeners(f"{path}: listener", table.get("listener", []), clients))


def _known(where: str, table: Any, allowed: tuple[str, ...]) -> None:
    if not isinstance(table, dict):
        raise BadOperatorFile(f"{where}: not a table")
    for key in table:
        if key not in allowed:
            raise BadOperatorFile(f"{where}: {key}: not known; allowed are {', '.join(allowed)}")


def _listeners(where: str, rows: Any, known: frozenset[str]) -> tuple[Listener, ...]:
    if not isinstance(rows, list) or len(rows) > MOST_LISTENERS:
        raise BadOperatorFile(f"{where}: not a list of {MOST_LISTENERS} tables at most; write [[listener]]")
    made: list[Listener] = []
    for n, row in enumerate(rows, 1):
        spot = f"{where} {n}"
        _known(spot, row, ("address", "dialect"))
        if row.get("dialect") not in known:
            raise BadOperatorFile(f"{spot}: dialect: {row.get('dialect')!r} is no dialect of clients; there "
                                  f"are {', '.join(sorted(known))}")
        try:
            address = read_address(str(row.get("address", "")), f"{spot}: address")
        except BadConfig as error:
            raise BadOperatorFile(str(error)) from None
        if address in (other.address for other in made if other.address[1]):
            raise BadOperatorFile(f"{spot}: address: {row['address']!r} stands twice")
        made.append(Listener(address, row["dialect"]))
    return tuple(made)


def _dialects(where: str, table: Any, known: frozenset[str]) -> Dialects:
    _known(where, table, ("default", "kinds", "cells"))

    def name(key: str, value: Any) -> str:
        if not isinstance(value, str) or value not in known:
            raise BadOperatorFile(f"{where}: {key}: {value!r} is no dialect of servers; there are "
                                  f"{', '.join(sorted(known))}")
        return value

    def names(key: str) -> dict[str, str]:
        rows = table.get(key, {})
        if not isinstance(rows, dict) or len(rows) > MOST:
            raise BadOperatorFile(f"{where}: {key}: not a table of {MOST} entries at most")
        return {row: name(f"{key}.{row}", value) for row, value in rows.items()}

    cells = names("cells")
    for cell in cells:
        if not cell.isascii() or not cell.isdecimal() or len(cell) > 9:
            raise BadOperatorFile(f"{where}: cells.{cell}: {cell!r} is not the number of a cell")
    return Dialects(name("default", table.get("default", "resp2-v1")), names("kinds"),
                    {int(cell): value for cell, value in cells.items()})
