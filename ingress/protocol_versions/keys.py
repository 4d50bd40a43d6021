"""Converts idempotency keys between 16 hexadecimal digits and UUIDs, without a lookup table.

A key of 16 digits becomes a UUIDv8 (RFC 9562, section 5.8). Its 122 free bits are, from the top: a
0, the 64 bits of the key, the 33 bits of the customer and a 24-bit tag of the class. The mapping is
one to one for any set of classes with distinct tags (`check_classes`), so two submissions never
share a key, and a submission has the same key at every instance and after each restart. Any other
key becomes a 1 and 121 bits of a SHA-256 of key, customer and class: two of n such keys collide
with a probability below n * n / 2**122 (10**9 keys: 2e-19).

The reverse conversion is exact for UUIDs created here. Any other UUID has 128 bits, whereas 16
digits have 64: it becomes 64 bits of a SHA-256. Two of n keys remembered at one time collide with a
probability below n * n / 2**65 (10**5 submissions within a window: 3e-10).
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable
from typing import Final
from uuid import UUID
from zlib import crc32

KEY: Final = re.compile(r"[0-9a-f]{16}")
"""Lower case only: to a resp2-v1 backend, keys that differ in case are different keys."""
CUSTOMER: Final = re.compile(r"0{7}[01][0-9a-f]{8}")
TAG_MASK: Final = 0xFFFFFF
HASHED_FLAG: Final = 1 << 121
"""The highest free bit; set if the other free bits are a hash."""
UUID_VERSION: Final = 8
UUID_VARIANT: Final = 0b10


def _tag(request_class: str) -> int:
    """Returns the 24-bit tag of a class."""
    return crc32(request_class.encode()) & TAG_MASK


def check_classes(names: Iterable[str]) -> None:
    """Checks that no two classes share a tag; otherwise their submissions could share a key.

    Raises:
        ValueError: Two classes share a tag; the text names them.
    """
    class_by_tag: dict[int, str] = {}
    for name in names:
        other = class_by_tag.setdefault(_tag(name), name)
        if other != name:
            raise ValueError(
                f"classes {other} and {name} have the same idempotency key tag; rename one"
            )


def _digest(*words: str) -> int:
    """Returns a hash of length-prefixed words, so that no two lists hash the same bytes."""
    data = b"".join(b"%d:%b" % (len(word), word) for word in (text.encode() for text in words))
    return int.from_bytes(hashlib.sha256(data).digest(), "big")


def _uuid(free_bits: int) -> UUID:
    """Returns a UUIDv8 with 122 free bits: 48, then 12 after the version, 62 after the variant."""
    high = free_bits >> 74
    middle = free_bits >> 62 & 0xFFF
    low = free_bits & (1 << 62) - 1
    return UUID(int=high << 80 | UUID_VERSION << 76 | middle << 64 | UUID_VARIANT << 62 | low)


def _free_bits(uuid: UUID) -> int | None:
    """Returns the 122 free bits of a UUIDv8, or None for any other UUID."""
    number = uuid.int
    if number >> 76 & 0xF != UUID_VERSION or number >> 62 & 0b11 != UUID_VARIANT:
        return None
    return (number >> 80) << 74 | (number >> 64 & 0xFFF) << 62 | number & (1 << 62) - 1


def uuid_of(key: str, customer: str, request_class: str) -> UUID:
    """Returns the UUID for a key, a customer and a class."""
    if KEY.fullmatch(key) and CUSTOMER.fullmatch(customer):
        return _uuid(int(key, 16) << 57 | int(customer, 16) << 24 | _tag(request_class))
    return _uuid(HASHED_FLAG | _digest(key, customer, request_class) & HASHED_FLAG - 1)


def key_of(uuid: UUID, customer: str, request_class: str) -> str:
    """Returns the key of 16 hexadecimal digits for a UUID, a customer and a class."""
    free_bits = _free_bits(uuid)
    if (
        free_bits is not None
        and not free_bits & HASHED_FLAG
        and CUSTOMER.fullmatch(customer)
        and (free_bits & (1 << 57) - 1 == int(customer, 16) << 24 | _tag(request_class))
    ):
        return f"{free_bits >> 57:016x}"
    return f"{_digest(str(uuid), customer, request_class) >> 192:016x}"
