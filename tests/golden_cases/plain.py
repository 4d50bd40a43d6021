"""Conversion of values to JSON without field names, and fixed inputs that several cases share."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import fields, is_dataclass
from enum import Enum
from hashlib import blake2b
from pathlib import Path
from random import Random
from typing import Any
from unittest.mock import patch
from uuid import UUID

import msgspec

from tests.golden_cases.names import SETTINGS_NAMES

KEYS = {1: b"an older key of the fleet", 7: bytes(range(32))}
KEY_USED = 7
CUSTOMERS = ("0000000000000001", "00000000b4d65521", "00000001ffffffff")
INSTANCES = ("edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6", "edge-7")
FOLDER = Path(__file__).parent.parent / "golden"


def plain(value: Any) -> Any:
    """Returns a value as JSON can store it: fields in order, without names; bytes as hex digits."""
    match value:
        case Enum():
            return SETTINGS_NAMES.get(value, plain(value.value))
        case bytes() | bytearray():
            return bytes(value).hex()
        case UUID():
            return str(value)
        case msgspec.Struct():
            return [plain(getattr(value, name)) for name in value.__struct_fields__]
        case Mapping():
            return {str(plain(key)): plain(item) for key, item in value.items()}
        case tuple() | list():
            return [plain(item) for item in value]
        case set() | frozenset():
            return sorted(plain(item) for item in value)
    if is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in fields(value)]
    return value


def shape(value: Any) -> Any:
    """Returns the keys and types of a report; for a list, those of its first item."""
    if isinstance(value, Mapping):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [shape(item) for item in value[:1]]
    return type(value).__name__


@contextmanager
def fixed_random_bytes() -> Iterator[None]:
    """Replaces os.urandom with a seeded generator, so that its output is reproducible."""
    with patch.object(os, "urandom", Random(3).randbytes):
        yield


class RecordingTransport:
    """Transport that stores the written data."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        """Appends the data."""
        self.data += data

    def get_write_buffer_size(self) -> int:
        """Returns 0, as if all data was sent."""
        return 0

    def abort(self) -> None:
        """Fails the test: the connection must not be aborted."""
        raise AssertionError("the connection was aborted")


def checksum(data: bytes) -> str:
    """Returns 128 bits of BLAKE2b as hex digits."""
    return blake2b(data, digest_size=16).hexdigest()


def plain_values(values: Mapping[str, Any]) -> dict[str, Any]:
    """Returns each case's value as JSON can store it."""
    return {name: plain(value) for name, value in values.items()}
