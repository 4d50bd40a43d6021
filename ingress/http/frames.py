"""Finds the end of an HTTP/1.1 request in received bytes, before the request is decoded.

Requests with an ambiguous length are rejected: a peer that derives another length would parse a
part of the request as a separate request (request smuggling, RFC 9112, section 11.2).

Source: RFC 9112 (HTTP/1.1), sections 2.2, 5, 6 and 7.1.
"""

from __future__ import annotations

import re
from typing import Final

from ingress.transport.client_protocol import MalformedFrameError

MAX_HEAD_BYTES: Final = 16 * 1024
"""The request line and the fields."""
MAX_FIELDS: Final = 64
MAX_BODY_BYTES: Final = 256 * 1024
"""Includes the chunk heads of a chunked body."""
MAX_CHUNKS: Final = 4096
MAX_CHUNK_HEAD_BYTES: Final = 64
"""A chunk's size and extensions."""
MAX_TRAILER_BYTES: Final = 4 * 1024
MAX_EMPTY_LINES: Final = 2
"""Before the request line."""
CRLF: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"
CONTENT_LENGTH: Final = re.compile(rb"[0-9]{1,9}")
CHUNK_HEAD: Final = re.compile(rb"([0-9a-fA-F]{1,6})(?:;[^\r\n]*)?")
FIELD_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A token (RFC 9110, section 5.6.2)."""
SINGLE_FIELDS: Final = frozenset(
    (
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"x-request-id",
        b"idempotency-key",
        b"content-type",
    )
)
"""Fields that may occur only once because they determine framing or meaning.

The same holds for all fields that begin with `SINGLE_FIELD_PREFIX`.
"""
SINGLE_FIELD_PREFIX: Final = b"grid-"


def parse_fields(head: bytes) -> dict[bytes, bytes]:
    """Returns the fields of a head by lower-case name; skips the first line.

    Raises:
        MalformedFrameError: There are too many fields, a field is malformed, or a field of
            `SINGLE_FIELDS` or with `SINGLE_FIELD_PREFIX` is repeated.
    """
    fields: dict[bytes, bytes] = {}
    lines = head.split(CRLF)[1:]
    if len(lines) > MAX_FIELDS:
        raise MalformedFrameError("too many fields")
    for line in lines:
        name, colon, value = line.partition(b":")
        if (
            not colon
            or not FIELD_NAME.fullmatch(name)
            or b"\n" in line
            or b"\r" in line
            or b"\0" in line
        ):
            raise MalformedFrameError("a field that is none")
        name = name.lower()
        if name in fields and (name.startswith(SINGLE_FIELD_PREFIX) or name in SINGLE_FIELDS):
            raise MalformedFrameError(f"{name.decode()} stands twice")
        fields[name] = value.strip(b" \t")
    return fields


def find_head_end(data: bytes, start: int) -> int:
    """Returns the end offset of the head, before its empty line, or -1 if it is incomplete.

    Raises:
        MalformedFrameError: The head exceeds the limit.
    """
    end = data.find(HEAD_END, start, start + MAX_HEAD_BYTES)
    if end < 0 and len(data) - start >= MAX_HEAD_BYTES:
        raise MalformedFrameError("a head too large")
    return end


def skip_empty_lines(data: bytes, start: int) -> int:
    """Returns the offset of the request line, after optional empty lines (RFC 9112, section 2.2).

    Raises:
        MalformedFrameError: There are more than `MAX_EMPTY_LINES`; otherwise a peer could send
            empty lines forever.
    """
    at = start
    for _ in range(MAX_EMPTY_LINES):
        if not data.startswith(CRLF, at):
            return at
        at += len(CRLF)
    if data.startswith(CRLF, at):
        raise MalformedFrameError("empty lines in place of a request")
    return at


def find_request_end(data: bytes, start: int) -> int:
    """Returns the end offset of the request at `start`, or -1 if it is incomplete.

    Raises:
        MalformedFrameError: The bytes at `start` are not a valid request, exceed a limit, or have
            an ambiguous length (RFC 9112, section 6.3).
    """
    head_start = skip_empty_lines(data, start)
    head_end = find_head_end(data, head_start)
    if head_end < 0:
        _check_line_ends(data[head_start : head_start + MAX_HEAD_BYTES])
        return -1
    fields = parse_fields(data[head_start:head_end])
    body_start = head_end + len(HEAD_END)
    if b"transfer-encoding" in fields:
        if b"content-length" in fields or fields[b"transfer-encoding"].lower() != b"chunked":
            raise MalformedFrameError("two lengths, or a transfer coding other than chunked")
        return _find_chunked_body_end(data, body_start)
    content_length = fields.get(b"content-length", b"0")
    if not CONTENT_LENGTH.fullmatch(content_length):
        raise MalformedFrameError("a length that is no number")
    body_bytes = int(content_length)
    if body_bytes > MAX_BODY_BYTES:
        raise MalformedFrameError("a body too large")
    end = body_start + body_bytes
    return end if len(data) >= end else -1


def awaits_continue(data: bytes, start: int) -> bool:
    """Returns whether the head is complete and requests 100 (Continue) before the body.

    Raises:
        MalformedFrameError: The head is malformed.
    """
    head_start = skip_empty_lines(data, start)
    head_end = data.find(HEAD_END, head_start, head_start + MAX_HEAD_BYTES)
    if head_end < 0:
        return False
    fields = parse_fields(data[head_start:head_end])
    return fields.get(b"expect", b"").lower() == b"100-continue"


def _check_line_ends(data: bytes) -> None:
    """Checks that each line of an incomplete head or incomplete trailers ends in CRLF.

    Raises:
        MalformedFrameError: A line ends in a bare line feed, so the end would never be found.
    """
    if b"\n" in data.replace(CRLF, b""):
        raise MalformedFrameError("a line that ends in a bare line feed")


def _find_chunked_body_end(data: bytes, body_start: int) -> int:
    """Returns the end offset of a chunked body and its trailers, or -1 if it is incomplete.

    Source: RFC 9112, section 7.1.

    Raises:
        MalformedFrameError: A chunk or a trailer is malformed, or the body exceeds a limit.
    """
    at = body_start
    for _ in range(MAX_CHUNKS):
        head_end = data.find(CRLF, at, at + MAX_CHUNK_HEAD_BYTES)
        if head_end < 0:
            if len(data) - at >= MAX_CHUNK_HEAD_BYTES:
                raise MalformedFrameError("a chunk without a size")
            return -1
        chunk_head = CHUNK_HEAD.fullmatch(data[at:head_end])
        if chunk_head is None:
            raise MalformedFrameError("a chunk without a size")
        chunk_bytes = int(chunk_head[1], 16)
        chunk_start = head_end + len(CRLF)
        if chunk_bytes == 0:
            return _find_trailers_end(data, chunk_start)
        at = chunk_start + chunk_bytes + len(CRLF)
        if at - body_start > MAX_BODY_BYTES:
            raise MalformedFrameError("a body too large")
        if len(data) < at:
            return -1
        if data[at - len(CRLF) : at] != CRLF:
            raise MalformedFrameError("a chunk whose size does not fit")
    raise MalformedFrameError("chunks without end")


def _find_trailers_end(data: bytes, start: int) -> int:
    """Returns the end offset of the trailers at `start`, or -1 if they are incomplete.

    Trailers are validated and ignored (RFC 9110, section 6.5.1).

    Raises:
        MalformedFrameError: A trailer is malformed, or the trailers exceed the limit.
    """
    if data.startswith(CRLF, start):
        return start + len(CRLF)
    end = data.find(HEAD_END, start, start + MAX_TRAILER_BYTES)
    if end < 0:
        if len(data) - start >= MAX_TRAILER_BYTES:
            raise MalformedFrameError("trailers too large")
        _check_line_ends(data[start:])
        return -1
    # Rejects malformed trailers; the parsed fields are discarded.
    parse_fields(CRLF + data[start:end])
    return end + len(HEAD_END)
