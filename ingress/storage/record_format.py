"""The binary format of a store's files: framed records with a position and a checksum.

A record is a header and a body. The header holds a magic number, the length of the body, the
record's position, and a CRC-32 of position, length and body, which detects a torn, misdirected or
stale block. Integers are little-endian. The first record of each file is its `FileHeader`, at
position 0.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Final, NamedTuple
from zlib import crc32

import msgspec

from ingress.storage.errors import DamagedRecordError

FORMAT_VERSION: Final = 1
MAGIC: Final = b"\xc0\x70lg"
RECORD_HEADER: Final = Struct("<4sIQI")  # magic, body length, position, checksum
MAX_BODY_BYTES: Final = 1 << 20


class FileHeader(msgspec.Struct, array_like=True, frozen=True):
    """The first record of each file. `entries`: number of entries that follow, in a snapshot."""

    version: int
    owner: str
    store_id: bytes
    snapshot: bool
    entries: int = 0


class LogRecord(NamedTuple):
    """One record of a file. `position`: number of the store's changes up to and including it."""

    position: int
    body: bytes


def _checksum(position: int, body: bytes) -> int:
    header = position.to_bytes(8, "little") + len(body).to_bytes(4, "little")
    return crc32(body, crc32(header))


def encode_record(position: int, body: bytes) -> bytes:
    """Returns the encoded record."""
    return RECORD_HEADER.pack(MAGIC, len(body), position, _checksum(position, body)) + body


def decode_records(data: bytes) -> Iterator[LogRecord]:
    """Yields the records of a file in order.

    Raises:
        DamagedRecordError: at the first record that is incomplete or does not match its checksum.
    """
    offset = 0
    while offset < len(data):
        if len(data) - offset < RECORD_HEADER.size:
            raise DamagedRecordError(f"torn at byte {offset}")
        magic, length, position, checksum = RECORD_HEADER.unpack_from(data, offset)
        start = offset + RECORD_HEADER.size
        body = data[start : start + length]
        if (
            magic != MAGIC
            or length > MAX_BODY_BYTES
            or len(body) < length
            or _checksum(position, body) != checksum
        ):
            # A later record distinguishes corruption in the middle from an end torn by a crash.
            record_follows = data.find(MAGIC, offset + 1) >= 0
            raise DamagedRecordError(f"{'broken' if record_follows else 'torn'} at byte {offset}")
        yield LogRecord(position, body)
        offset = start + length
