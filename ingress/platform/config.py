"""Reads EDGE_CONFIG into typed values.

Only this module and `ingress.wire_settings` translate the keys of the platform's file into the
terms of this code. Any fault of the file is reported by one error, a single line that names the
key.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ingress.platform.endpoint_discovery import (
    EndpointList,
    MalformedListError,
    read_endpoint_list,
)
from ingress.policy.settings import Settings
from ingress.wire_settings import read_settings

ValueT = TypeVar("ValueT")
Address = tuple[str, int]

MAX_PORT = 65535
RESERVED_DESCRIPTORS = 48  # standard streams, event loop, counter and discovery
MIN_SOCKETS = 64
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 1024
PROGRAM_MB = 26  # used before the first request, and by the policy's state of customers
# Half of the memory beyond the program's goes to buffers: a third each to requests, unread input
# and unread responses.
BUFFER_MEMORY_DIVISOR = 6
MIN_BUFFER_MB = 1.0
DEFAULT_CONNECT_TIMEOUT_S = 0.25
DEFAULT_KEEPALIVE_S = 15.0
DEFAULT_MAX_OPEN_REQUESTS = 20_000
NO_ENDPOINTS: Mapping[str, Any] = {"version": 0, "full": True, "servers": []}


class ConfigurationError(Exception):
    """Invalid configuration; the message names the key, the value and the allowed values."""


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one instance.

    Attributes:
        name: Name of the instance.
        listen: Address where clients connect.
        discovery: Address of the discovery agent.
        counter: Address of the shared counter; None without a counter.
        seed: Seed of all random draws.
        max_client_connections: Limit over all listeners.
        max_backend_connections: Limit over all backends.
        initial_endpoints: Endpoint list that came with the configuration.
        settings: Settings of the policy.
        connect_timeout: Seconds to establish a connection to a backend.
        keepalive_timeout: Seconds after which a backend closes an idle connection.
        max_open_requests: Number of open requests above which further ones are rejected.
        max_buffered_bytes: Limit for each of requests, unread input and unread responses.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    max_client_connections: int
    max_backend_connections: int
    initial_endpoints: EndpointList
    settings: Settings
    connect_timeout: float
    keepalive_timeout: float
    max_open_requests: int
    max_buffered_bytes: int


def read_address(text: str, key: str) -> Address:
    """Splits an address into host and port; port 0 is allowed.

    Args:
        text: An address such as `127.0.0.1:6379`.
        key: The key that an error names.

    Raises:
        ConfigurationError: `text` is not an address and port.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigurationError(f"{key}: {text!r} is not an address and port")
    return host, int(port)


def read_config(text: str) -> Config:
    """Reads the content of EDGE_CONFIG.

    Raises:
        ConfigurationError: The content is invalid.
    """
    source = _parse(text)
    seed = _read_seed(source)
    settings_source = _get(source, "settings", dict)
    settings = _read_settings(settings_source)
    initial_endpoints = _read_initial_endpoints(source)
    platform_limits = _get(source, "limits", dict)
    max_backend_connections = _max_backend_connections(platform_limits)
    max_buffered_bytes = _max_buffered_bytes(platform_limits)
    counter = _get(source, "counter", str) if settings.counter_available else None
    limits = settings_source["limits"]
    return Config(
        name=_get(source, "name", str),
        listen=read_address(_get(source, "listen", str), "listen"),
        discovery=read_address(_get(source, "discovery", str), "discovery"),
        counter=None if counter is None else read_address(counter, "counter"),
        seed=seed,
        # Clients get two thirds: with many clients each request arrives on its own connection,
        # while few attempts are in flight at once.
        max_client_connections=2 * max_backend_connections,
        max_backend_connections=max_backend_connections,
        initial_endpoints=initial_endpoints,
        settings=settings,
        connect_timeout=_positive(
            limits, "settings.limits", "connect-timeout-s", DEFAULT_CONNECT_TIMEOUT_S
        ),
        keepalive_timeout=_positive(limits, "settings.limits", "keepalive-s", DEFAULT_KEEPALIVE_S),
        max_open_requests=int(
            _positive(limits, "settings.limits", "max-open", DEFAULT_MAX_OPEN_REQUESTS)
        ),
        max_buffered_bytes=max_buffered_bytes,
    )


def _parse(text: str) -> dict[str, Any]:
    try:
        source = json.loads(text)
    except ValueError as error:
        raise ConfigurationError(f"EDGE_CONFIG: not JSON: {error}") from None
    if not isinstance(source, dict):
        raise ConfigurationError("EDGE_CONFIG: not an object")
    return source


def _read_seed(source: Mapping[str, Any]) -> int:
    seed = _get(source, "seed", str)
    try:
        return int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed: {seed!r} is not a hexadecimal number") from None


def _read_settings(source: Mapping[str, Any]) -> Settings:
    try:
        return read_settings(source)
    except KeyError as error:
        raise ConfigurationError(f"settings: {error} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigurationError(f"settings: {error}") from None


def _read_initial_endpoints(source: Mapping[str, Any]) -> EndpointList:
    try:
        return read_endpoint_list(source.get("known") or NO_ENDPOINTS)
    except MalformedListError as error:
        raise ConfigurationError(f"known: {error}") from None


def _max_backend_connections(limits: Mapping[str, Any]) -> int:
    """Returns a third of the descriptors, so that the process stays under their limit."""
    sockets = int(_positive(limits, "limits", "sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise ConfigurationError(
            f"limits.sockets: {sockets} is too few; at least {MIN_SOCKETS} are needed"
        )
    return (sockets - min(RESERVED_DESCRIPTORS, sockets // 2)) // 3


def _max_buffered_bytes(limits: Mapping[str, Any]) -> int:
    """Returns the limit of each buffer, so that the process stays under its memory limit."""
    available_mb = _positive(limits, "limits", "memory_mb", DEFAULT_MEMORY_MB) - PROGRAM_MB
    return int(max(MIN_BUFFER_MB, available_mb / BUFFER_MEMORY_DIVISOR) * 1024 * 1024)


def _get(source: Mapping[str, Any], key: str, kind: type[ValueT]) -> ValueT:
    if key not in source:
        raise ConfigurationError(f"{key}: missing")
    value = source[key]
    if not isinstance(value, kind):
        raise ConfigurationError(f"{key}: {value!r} is not of type {kind.__name__}")
    return value


def _positive(source: Mapping[str, Any], table: str, key: str, default: float) -> float:
    """Returns the positive number at `key`, or `default`; errors name `table` and `key`."""
    value = source.get(key, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 < value < float("inf")
    ):
        raise ConfigurationError(f"{table}.{key}: {value!r} is not a number above 0")
    return float(value)
