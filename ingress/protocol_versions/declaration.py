"""The declaration of a protocol version, and the registry of all versions."""

from __future__ import annotations

import importlib
import pkgutil
from dataclasses import dataclass
from enum import Enum
from typing import Final

PACKAGE: Final = "ingress.protocol_versions"


class KeyForm(Enum):
    """The format of an idempotency key; `explain` prints the values."""

    HEX16 = "16 hex digits"
    UUID = "a UUID"


class ResponseMeaning(Enum):
    """The meaning of a response; each version declares the meanings that it can express.

    `explain` prints the values; the names are counted as reasons.
    """

    SERVED = "served, with a value"
    REFUSED = "refused: nothing ran"
    REFUSED_UNTIL = "refused, and when to come back"
    FAILED = "failed: it may have run"
    MAY_HAVE_RUN = "turned away without saying whether it ran"
    ACCEPTED = "accepted, the result comes later"
    ELSEWHERE = "ask at another address"
    KEY_CONFLICT = "the key was used with another body"
    IN_PROGRESS = "the key's first request is still running"
    MALFORMED = "not understood, nothing ran"
    UNASKED = "news that nobody asked for"


@dataclass(frozen=True, slots=True)
class ProtocolVersion:
    """The capabilities of one protocol version.

    Attributes:
        name: The version's name in settings.
        protocol: The underlying protocol.
        key_form: The format of idempotency keys.
        key_memory_name: The name of the deduplication memory of the version's backends; backends
            with the same memory name recognize each other's repeated requests.
        timeout_unit_s: The resolution of a request's timeout in seconds; 0 if a request can't
            state one.
        retry_after_unit_s: The resolution of a rejection's retry delay in seconds; 0 if a rejection
            can't state one.
        max_value_bytes: The longest value of a response.
        max_body_bytes: The longest body of a request.
        carries_bytes: Whether bytes are sent unencoded rather than as text.
        is_chunked: Whether a body may be sent without a length.
        client_meanings: The responses that can be sent to a client of this version.
        backend_meanings: The responses that a backend of this version can send.
    """

    name: str
    protocol: str
    key_form: KeyForm
    key_memory_name: str
    timeout_unit_s: float
    retry_after_unit_s: float
    max_value_bytes: int
    max_body_bytes: int
    carries_bytes: bool
    is_chunked: bool
    client_meanings: frozenset[ResponseMeaning]
    backend_meanings: frozenset[ResponseMeaning]


_registry: dict[str, ProtocolVersion] = {}


class UnknownProtocolVersionError(Exception):
    """No protocol version has this name; the text lists the known names."""


def register(version: ProtocolVersion) -> ProtocolVersion:
    """Adds a protocol version to the registry and returns it; each version's file calls it once.

    Raises:
        ValueError: Another version is registered under this name.
    """
    if version.name in _registry and _registry[version.name] != version:
        raise ValueError(f"dialect already registered: {version.name}")
    _registry[version.name] = version
    return version


def protocol_versions() -> dict[str, ProtocolVersion]:
    """Returns all protocol versions by name, sorted by name."""
    package = importlib.import_module(PACKAGE)
    for module in pkgutil.iter_modules(package.__path__):
        if not module.name.startswith("_"):
            importlib.import_module(f"{PACKAGE}.{module.name}")
    return dict(sorted(_registry.items()))


def protocol_version(name: str) -> ProtocolVersion:
    """Returns the protocol version with this name.

    Raises:
        UnknownProtocolVersionError: No version has this name.
    """
    versions = protocol_versions()
    if name not in versions:
        raise UnknownProtocolVersionError(
            f"{name!r} is not a known dialect; known dialects: {', '.join(versions)}"
        )
    return versions[name]
