"""Finds the end of a RESP3 frame in received bytes, before the frame is decoded.

Counts and lengths are checked as soon as their header is complete, and no memory is allocated for
data that a peer has announced but not sent.

Source: RESP3 specification, section "RESP3 types". Attributes are not supported.
"""

from __future__ import annotations

import re
from typing import Final

from ingress.resp.frames import CRLF
from ingress.transport.client_protocol import MalformedFrameError

MAX_LINE_BYTES: Final = 1024
"""A frame of a single line."""
MAX_NESTED_FRAMES: Final = 128
"""Frames within one frame, at any depth; the outer frame counts too."""
NUMBER: Final = re.compile(rb"[0-9]{1,9}")

LINE_MARKS: Final = b"+-:_,#("
"""Simple string, simple error, number, null, double, boolean, big number."""
BLOB_MARKS: Final = b"$!="
"""Blob string, blob error, verbatim string."""
LIST_MARKS: Final = b"*~>"
"""Array, set, push."""
BLOB_STRING_MARK: Final = ord("$")
BLOB_ERROR_MARK: Final = ord("!")
SIMPLE_ERROR_MARK: Final = ord("-")
MAP_MARK: Final = ord("%")
PUSH_MARK: Final = ord(">")


def find_frame_end(data: bytes, start: int, max_blob_bytes: int, max_frame_bytes: int) -> int:
    """Returns the end offset of the frame at `start`, or -1 if it is incomplete.

    Raises:
        MalformedFrameError: The bytes at `start` are not a valid frame, or exceed a limit.
    """
    return max(-1, scan_frame(data, start, max_blob_bytes, max_frame_bytes))


def scan_frame(data: bytes, start: int, max_blob_bytes: int, max_frame_bytes: int) -> int:
    """Returns the end offset of the frame at `start`.

    If the frame is incomplete, returns minus the number of bytes without which it can't be
    complete, at least 1.

    Raises:
        MalformedFrameError: The bytes at `start` are not a valid frame, or exceed a limit.
    """
    missing = 1
    frames = 0
    at = start
    while missing:
        header_end = data.find(CRLF, at, at + MAX_LINE_BYTES)
        if header_end < 0:
            _check_partial_line(data, at)
            return -1
        mark = data[at]
        # Compiled code raises an error for a slice that ends before it starts.
        text = data[at + 1 : header_end] if header_end > at else b""
        missing -= 1
        frames += 1
        at = header_end + 2
        if mark not in LINE_MARKS:
            if not NUMBER.fullmatch(text):
                _check_null(mark, text)
                continue
            number = int(text)
            if mark in BLOB_MARKS:
                if number > max_blob_bytes:
                    raise MalformedFrameError("value too large")
                at += number + 2
                if len(data) >= at and data[at - 2 : at] != CRLF:
                    raise MalformedFrameError("a length that does not fit")
            elif mark in LIST_MARKS or mark == MAP_MARK:
                missing += number * (2 if mark == MAP_MARK else 1)
            else:
                raise MalformedFrameError("no frame of RESP3")
        if frames + missing > MAX_NESTED_FRAMES or at - start > max_frame_bytes:
            raise MalformedFrameError("a frame too large")
    return at if at <= len(data) else len(data) - at


def _check_partial_line(data: bytes, at: int) -> None:
    """Checks that the unterminated line at `at` is within the limit.

    Raises:
        MalformedFrameError: The line exceeds the limit.
    """
    if len(data) - at >= MAX_LINE_BYTES:
        raise MalformedFrameError("an endless line")


def _check_null(mark: int, text: bytes) -> None:
    """Checks that a header without a valid number is RESP2's null bulk string.

    Raises:
        MalformedFrameError: The header is invalid; the text gives the reason.
    """
    if mark in BLOB_MARKS:
        if text != b"-1" or mark != BLOB_STRING_MARK:
            raise MalformedFrameError("a length that is no number")
    elif mark in LIST_MARKS or mark == MAP_MARK:
        raise MalformedFrameError("a count that is no number")
    else:
        raise MalformedFrameError("no frame of RESP3")
