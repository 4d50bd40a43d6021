"""Reads the operator's file, named by `--operator`, which adds features to an installation.

The whole file is checked when it is read.  Its keys are the operators' terms, which this module
translates into the terms of the code.  Each error names file, key, value and the allowed values.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ingress.platform.config import Address, ConfigurationError, read_address
from ingress.platform.key_file import KeyFileError, read_key_file

MAX_FILE_BYTES = 1 << 20
MAX_TABLE_ENTRIES = 10_000
MAX_LISTENERS = 16
MAX_SEEDS = 32
MAX_PEERS = 64
MAX_CELL_DIGITS = 9
DEFAULT_PROTOCOL_VERSION = "resp2-v1"
DEFAULT_PROTOCOL_PERIOD_S = 0.5
MIN_PROTOCOL_PERIOD_S = 0.1
MAX_PROTOCOL_PERIOD_S = 60


class OperatorConfigError(ConfigurationError):
    """Invalid operator's file; the message names file, key and cause."""


@dataclass(frozen=True, slots=True)
class ProtocolVersions:
    """Protocol versions of backends ([dialects]): by cell, else by kind, else the default."""

    default: str = DEFAULT_PROTOCOL_VERSION
    by_kind: Mapping[str, str] = field(default_factory=dict)
    by_cell: Mapping[int, str] = field(default_factory=dict)

    def names(self) -> set[str]:
        """Returns all protocol versions that a backend may speak."""
        return {self.default, *self.by_kind.values(), *self.by_cell.values()}


@dataclass(frozen=True, slots=True)
class AdditionalListener:
    """An additional address for clients ([[listener]]), and its protocol version."""

    address: Address
    protocol_version: str


@dataclass(frozen=True, slots=True)
class Membership:
    """Gossip between this instance and the others ([members]).

    Attributes:
        address: Address where this instance listens.
        advertise: Address at which the others reach this instance.
        seeds: Addresses of members through which to join.
        keys: Authentication keys by id.
        active_key_id: Id of the key that authenticates outgoing messages.
        protocol_period: Seconds between two probes.
    """

    address: Address
    advertise: Address
    seeds: tuple[Address, ...]
    keys: Mapping[int, bytes] = field(repr=False)
    active_key_id: int = 0
    protocol_period: float = DEFAULT_PROTOCOL_PERIOD_S


@dataclass(frozen=True, slots=True)
class Handover:
    """Takeover of requests in flight whose instance failed ([handover]).  Times are in seconds.

    Attributes:
        file: The operator's file, for errors that are detected later.
        address: Address where this instance listens for its peers.
        peers: Addresses of all instances by name, including this one.
        keys: Authentication keys by id.
        active_key_id: Id of the key that authenticates outgoing messages.
        copies: Number of replicas that must hold a record.
        deduplication_window: Minimum time for which backends remember idempotency keys.
        max_delay: Maximum time by which a query to the replicas may delay a request.
        recovery_time: Time for which a replica that may have lost records is not counted.
        takeover_timeout: Timeout of a request that was taken over.
        resend: Whether a request in doubt is sent again within the deduplication window.
        takeover_rate: Maximum number of requests taken over per second.
        max_bytes: Maximum size of the records that this instance holds.
        storage_dir: Directory of the write-ahead log; None keeps records in memory only.
    """

    file: Path
    address: Address
    peers: Mapping[str, Address]
    keys: Mapping[int, bytes] = field(repr=False)
    active_key_id: int = 0
    copies: int = 2
    deduplication_window: float = 4.0
    max_delay: float = 0.05
    recovery_time: float = 30.0
    takeover_timeout: float = 2.0
    resend: bool = True
    takeover_rate: float = 50.0
    max_bytes: int = 64 << 20
    storage_dir: Path | None = None


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The tables of the file; a missing table is None or empty."""

    protocol_versions: ProtocolVersions | None = None
    listeners: tuple[AdditionalListener, ...] = ()
    membership: Membership | None = None
    handover: Handover | None = None


@dataclass(frozen=True, slots=True)
class NumberRange:
    """Default and limits of a number in the file."""

    default: float
    minimum: float
    maximum: float


HANDOVER_NUMBERS: Mapping[str, NumberRange] = {
    "copies": NumberRange(2, 1, 2),
    "window_s": NumberRange(4.0, 0.5, 3600.0),
    "bound_ms": NumberRange(50.0, 1.0, 1000.0),
    "forget_s": NumberRange(30.0, 1.0, 30.0),
    "patience_s": NumberRange(2.0, 0.1, 60.0),
    "take_per_s": NumberRange(50.0, 0.0, 10_000.0),
    "most_mb": NumberRange(64, 1, 4096),
}
HANDOVER_INTEGERS = ("copies", "most_mb")


def read_operator_config(
    path: Path, backend_versions: frozenset[str], client_versions: frozenset[str]
) -> OperatorConfig:
    """Reads the operator's file.

    Args:
        path: The file; paths in it are relative to its directory.
        backend_versions: Protocol versions that backends may speak.
        client_versions: Protocol versions that clients may speak.

    Raises:
        OperatorConfigError: The file can't be read or is invalid.
    """
    table = _load(path)
    _check_keys(f"{path}", table, ("dialects", "listener", "members", "handover"))
    protocol_versions = None
    if "dialects" in table:
        protocol_versions = _read_protocol_versions(
            f"{path}: dialects", table["dialects"], backend_versions
        )
    membership = None
    if "members" in table:
        membership = _read_membership(f"{path}: members", table["members"], path.parent)
    handover = _read_handover(path, table["handover"]) if "handover" in table else None
    listeners = _read_listeners(f"{path}: listener", table.get("listener", []), client_versions)
    return OperatorConfig(protocol_versions, listeners, membership, handover)


def _load(path: Path) -> dict[str, Any]:
    try:
        data = path.read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise OperatorConfigError(f"{path}: longer than {MAX_FILE_BYTES} bytes")
        return tomllib.loads(data.decode("utf-8"))
    except OSError as error:
        raise OperatorConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise OperatorConfigError(f"{path}: not UTF-8: {error.reason}") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorConfigError(f"{path}: not TOML: {error}") from None


def _check_keys(where: str, table: Any, allowed: tuple[str, ...]) -> None:
    if not isinstance(table, dict):
        raise OperatorConfigError(f"{where}: not a table")
    for key in table:
        if key not in allowed:
            raise OperatorConfigError(
                f"{where}: {key}: unknown key; allowed are {', '.join(allowed)}"
            )


def _read_number(where: str, table: Any, key: str, limits: NumberRange) -> float:
    value = table.get(key, limits.default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not limits.minimum <= value <= limits.maximum:
        raise OperatorConfigError(
            f"{where}: {key}: {value!r} is not a number from "
            f"{limits.minimum:g} to {limits.maximum:g}"
        )
    number: float = value
    return number


def _read_address(where: str, text: object) -> Address:
    try:
        return read_address(str(text), where)
    except ConfigurationError as error:
        raise OperatorConfigError(str(error)) from None


def _read_reachable_address(where: str, table: Any, key: str) -> Address:
    """Reads an address at which others connect, whose port must not be chosen at the start."""
    host, port = _read_address(f"{where}: {key}", table.get(key, ""))
    if not port:
        raise OperatorConfigError(f"{where}: {key}: port 0 can't be reached by other instances")
    return host, port


def _read_key_file(where: str, table: Any, folder: Path) -> dict[int, bytes]:
    try:
        return read_key_file(folder / table["keys"])
    except KeyFileError as error:
        raise OperatorConfigError(f"{where}: keys: {error}") from None


def _check_key_file_name(where: str, table: Any) -> None:
    if not isinstance(table.get("keys"), str):
        raise OperatorConfigError(f"{where}: keys: must be a file name")


def _read_listeners(
    where: str, entries: Any, allowed: frozenset[str]
) -> tuple[AdditionalListener, ...]:
    if not isinstance(entries, list) or len(entries) > MAX_LISTENERS:
        raise OperatorConfigError(
            f"{where}: not a list of at most {MAX_LISTENERS} tables; use [[listener]]"
        )
    listeners: list[AdditionalListener] = []
    for number, entry in enumerate(entries, 1):
        listener = _read_listener(f"{where} {number}", entry, allowed)
        taken = (other.address for other in listeners if other.address[1])
        if listener.address in taken:
            raise OperatorConfigError(
                f"{where} {number}: address: {entry['address']!r} is a duplicate"
            )
        listeners.append(listener)
    return tuple(listeners)


def _read_listener(where: str, entry: Any, allowed: frozenset[str]) -> AdditionalListener:
    _check_keys(where, entry, ("address", "dialect"))
    version = entry.get("dialect")
    if not isinstance(version, str) or version not in allowed:
        raise OperatorConfigError(
            f"{where}: dialect: {version!r} is not a protocol version of clients; "
            f"allowed are {', '.join(sorted(allowed))}"
        )
    return AdditionalListener(_read_address(f"{where}: address", entry.get("address", "")), version)


def _read_membership(where: str, table: Any, folder: Path) -> Membership:
    _check_keys(where, table, ("address", "advertise", "seeds", "keys", "period_s"))
    address = _read_reachable_address(where, table, "address")
    entries = table.get("seeds")
    if not isinstance(entries, list) or not 1 <= len(entries) <= MAX_SEEDS:
        raise OperatorConfigError(f"{where}: seeds: not a list of 1 to {MAX_SEEDS} addresses")
    seeds = tuple(
        _read_reachable_address(f"{where}: seeds {number}", {"address": entry}, "address")
        for number, entry in enumerate(entries, 1)
    )
    limits = NumberRange(DEFAULT_PROTOCOL_PERIOD_S, MIN_PROTOCOL_PERIOD_S, MAX_PROTOCOL_PERIOD_S)
    period = _read_number(where, table, "period_s", limits)
    _check_key_file_name(where, table)
    keys = _read_key_file(where, table, folder)
    advertise = address
    if "advertise" in table:
        advertise = _read_reachable_address(where, table, "advertise")
    return Membership(address, advertise, seeds, keys, next(iter(keys)), float(period))


def _read_handover(path: Path, table: Any) -> Handover:
    where = f"{path}: handover"
    _check_keys(where, table, ("address", "peers", "keys", "store", "repeats", *HANDOVER_NUMBERS))
    numbers = _read_handover_numbers(where, table)
    peers = _check_peers(where, table.get("peers"), numbers["copies"])
    _check_handover_values(where, table, numbers)
    keys = _read_key_file(where, table, path.parent)
    return Handover(
        file=path,
        address=_read_reachable_address(where, table, "address"),
        peers={name: _read_reachable_address(f"{where}: peers", peers, name) for name in peers},
        keys=keys,
        active_key_id=next(iter(keys)),
        copies=int(numbers["copies"]),
        deduplication_window=numbers["window_s"],
        max_delay=numbers["bound_ms"] / 1000,
        recovery_time=numbers["forget_s"],
        takeover_timeout=numbers["patience_s"],
        resend=table.get("repeats", True),
        takeover_rate=numbers["take_per_s"],
        max_bytes=int(numbers["most_mb"]) << 20,
        storage_dir=path.parent / table["store"] if "store" in table else None,
    )


def _read_handover_numbers(where: str, table: Any) -> dict[str, float]:
    numbers = {
        key: _read_number(where, table, key, limits) for key, limits in HANDOVER_NUMBERS.items()
    }
    for key in HANDOVER_INTEGERS:
        if numbers[key] != int(numbers[key]):
            raise OperatorConfigError(f"{where}: {key}: {numbers[key]!r} is not a whole number")
    return numbers


def _check_peers(where: str, peers: Any, copies: float) -> dict[str, Any]:
    """Checks that there are enough peers for a majority to hold each record."""
    if not isinstance(peers, dict) or not 1 <= len(peers) <= MAX_PEERS:
        raise OperatorConfigError(
            f"{where}: peers: not a table of 1 to {MAX_PEERS} names with addresses"
        )
    needed = 2 * copies - 1
    if len(peers) < needed:
        raise OperatorConfigError(
            f"{where}: peers: {len(peers)} given, but copies = {copies:g} needs at least {needed:g}"
        )
    return peers


def _check_handover_values(where: str, table: Any, numbers: Mapping[str, float]) -> None:
    window = numbers["window_s"]
    if numbers["forget_s"] < 2 * window:
        raise OperatorConfigError(
            f"{where}: forget_s: {numbers['forget_s']:g} is less than twice window_s ({window:g} s)"
        )
    if not isinstance(table.get("repeats", True), bool):
        raise OperatorConfigError(
            f"{where}: repeats: {table['repeats']!r} is neither true nor false"
        )
    _check_key_file_name(where, table)
    if not isinstance(table.get("store", ""), str):
        raise OperatorConfigError(f"{where}: store: must be a directory name")


def _read_protocol_versions(where: str, table: Any, allowed: frozenset[str]) -> ProtocolVersions:
    _check_keys(where, table, ("default", "kinds", "cells"))
    by_cell = _read_version_table(where, table, "cells", allowed)
    for cell in by_cell:
        if not cell.isascii() or not cell.isdecimal() or len(cell) > MAX_CELL_DIGITS:
            raise OperatorConfigError(f"{where}: cells.{cell}: {cell!r} is not a cell number")
    default = table.get("default", DEFAULT_PROTOCOL_VERSION)
    return ProtocolVersions(
        _check_version(f"{where}: default", default, allowed),
        _read_version_table(where, table, "kinds", allowed),
        {int(cell): version for cell, version in by_cell.items()},
    )


def _read_version_table(
    where: str, table: Any, key: str, allowed: frozenset[str]
) -> dict[str, str]:
    entries = table.get(key, {})
    if not isinstance(entries, dict) or len(entries) > MAX_TABLE_ENTRIES:
        raise OperatorConfigError(
            f"{where}: {key}: not a table of at most {MAX_TABLE_ENTRIES} entries"
        )
    return {
        name: _check_version(f"{where}: {key}.{name}", version, allowed)
        for name, version in entries.items()
    }


def _check_version(where: str, version: Any, allowed: frozenset[str]) -> str:
    if not isinstance(version, str) or version not in allowed:
        raise OperatorConfigError(
            f"{where}: {version!r} is not a protocol version of backends; "
            f"allowed are {', '.join(sorted(allowed))}"
        )
    return version
