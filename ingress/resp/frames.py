"""Finds the end of a RESP2 array in received bytes, before the array is decoded.

Counts and lengths are checked as soon as their header is complete, and no memory is allocated for
items that a peer has announced but not sent.

Source: RESP protocol specification, sections "Bulk strings" and "Arrays".
"""

from __future__ import annotations

from typing import Final

from ingress.transport.client_protocol import MalformedFrameError

MAX_HEADER_BYTES: Final = 16
"""A line with a count or a length, including its CRLF."""
ARRAY_MARK: Final = ord("*")
BULK_STRING_MARK: Final = ord("$")
CRLF: Final = b"\r\n"
NULL_BULK_STRING: Final = b"$-1\r\n"


class ArrayLimits:
    """Limits of an array of bulk strings.

    Attributes:
        max_items: Maximum number of bulk strings.
        max_item_bytes: Maximum length of a bulk string.
        max_array_bytes: Maximum length of the whole array without its last CRLF.
        allow_null: Whether an item may be the null bulk string.
    """

    __slots__ = ("allow_null", "max_array_bytes", "max_item_bytes", "max_items")

    def __init__(
        self, max_items: int, max_item_bytes: int, max_array_bytes: int, allow_null: bool
    ) -> None:
        self.max_items = max_items
        self.max_item_bytes = max_item_bytes
        self.max_array_bytes = max_array_bytes
        self.allow_null = allow_null


def find_array_end(data: bytes, start: int, limits: ArrayLimits, items: list[bytes | None]) -> int:
    """Returns the end offset of the array of bulk strings at `start`.

    Appends the items to `items`, with None for a null; `items` is valid only if the end is found.
    If the array is incomplete, returns minus the number of bytes without which it can't be
    complete, at least 1.

    Raises:
        MalformedFrameError: The bytes at `start` are not an array of bulk strings, or exceed a
            limit.
    """
    header_end = data.find(CRLF, start, start + MAX_HEADER_BYTES)
    # Compiled code raises an error for a slice that ends before it starts.
    digits = data[start + 1 : header_end] if header_end > start else b""
    if header_end < 0 or data[start] != ARRAY_MARK or not digits.isdigit():
        _check_partial_header(data, start, ARRAY_MARK)
        return -1
    count = int(digits)
    if count > limits.max_items:
        raise MalformedFrameError("too many words")
    at = header_end + 2
    for _ in range(count):
        header_end = data.find(CRLF, at, at + MAX_HEADER_BYTES)
        digits = data[at + 1 : header_end] if header_end > at else b""
        if header_end < 0 or data[at] != BULK_STRING_MARK or not digits.isdigit():
            if limits.allow_null and NULL_BULK_STRING.startswith(data[at : at + 5]):
                if header_end < 0:
                    return -1
                at = header_end + 2
                items.append(None)
                continue
            _check_partial_header(data, at, BULK_STRING_MARK)
            return -1
        size = int(digits)
        at = header_end + 2 + size
        if size > limits.max_item_bytes or at - start > limits.max_array_bytes:
            raise MalformedFrameError("value too large")
        if data[at : at + 2] != CRLF:
            _check_partial_terminator(data, at)
            return min(-1, len(data) - at - 2)
        items.append(data[header_end + 2 : at])
        at += 2
    return at


def _check_partial_header(data: bytes, at: int, mark: int) -> None:
    """Checks that the bytes at `at` are a prefix of a header with the type byte `mark`.

    Raises:
        MalformedFrameError: No further bytes can complete such a header.
    """
    line, _, rest = data[at : at + MAX_HEADER_BYTES].partition(b"\r")
    if line and line[0] != mark:
        raise MalformedFrameError("not an array of bulk strings")
    digits = line[1:]
    if digits[:1] == b"-":
        raise MalformedFrameError("broken frame: a length below nothing")
    if (digits and not digits.isdigit()) or rest not in (b"", b"\n"):
        raise MalformedFrameError("broken frame: a length that is no number")
    if len(data) - at >= MAX_HEADER_BYTES or rest:
        raise MalformedFrameError("broken frame: a length too large or none")


def _check_partial_terminator(data: bytes, at: int) -> None:
    """Checks that the bytes at `at` are a prefix of the CRLF that ends a bulk string.

    Raises:
        MalformedFrameError: The string's length does not match the received bytes.
    """
    if not CRLF.startswith(data[at : at + 2]):
        raise MalformedFrameError("broken frame: a length that does not fit")
