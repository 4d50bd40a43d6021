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
    return RequestScanner().find_end(data, start)


class RequestScanner:
    """Finds the end of one request, whose bytes arrive in pieces.

    A scan continues where the previous one stopped: a client that sends a request byte by byte
    would otherwise cause a scan of the whole request for each byte.

    Attributes:
        missing_bytes: After an incomplete scan, the number of bytes without which the request can't
            be complete.
        awaits_continue: Whether the head is complete and requests 100 (Continue) before the body
            (RFC 9110, section 10.1.1).
        body_start: The offset of the body from the request's start; -1 until the head is complete.
        content_bytes: The length of a body that is not chunked.
        chunks: The scan of a chunked body; None for any other.
    """

    __slots__ = ("awaits_continue", "body_start", "chunks", "content_bytes", "missing_bytes")

    def __init__(self) -> None:
        self.missing_bytes = 1
        self.awaits_continue = False
        self.body_start = -1
        self.content_bytes = 0
        self.chunks: ChunkScanner | None = None

    def find_end(self, data: bytes, start: int) -> int:
        """Returns the end offset of the request at `start`, or -1 if it is incomplete.

        Raises:
            MalformedFrameError: The bytes are not a valid request, exceed a limit, or have an
                ambiguous length (RFC 9112, section 6.3).
        """
        self.missing_bytes = 1
        if self.body_start < 0 and not self._scan_head(data, start):
            return -1
        body_start = start + self.body_start
        if self.chunks is not None:
            end = self.chunks.find_end(data, body_start)
            self.missing_bytes = self.chunks.missing_bytes
            return end
        end = body_start + self.content_bytes
        self.missing_bytes = max(1, end - len(data))
        return end if len(data) >= end else -1

    def _scan_head(self, data: bytes, start: int) -> bool:
        """Reads the length of the body from the head; returns False if the head is incomplete."""
        head_start = skip_empty_lines(data, start)
        head_end = find_head_end(data, head_start)
        if head_end < 0:
            _check_line_ends(data[head_start : head_start + MAX_HEAD_BYTES])
            return False
        fields = parse_fields(data[head_start:head_end])
        if b"transfer-encoding" in fields:
            if b"content-length" in fields or fields[b"transfer-encoding"].lower() != b"chunked":
                raise MalformedFrameError("two lengths, or a transfer coding other than chunked")
            self.chunks = ChunkScanner()
        else:
            self.content_bytes = _read_content_length(fields.get(b"content-length", b"0"))
        self.body_start = head_end + len(HEAD_END) - start
        self.awaits_continue = fields.get(b"expect", b"").lower() == b"100-continue"
        return True


def _read_content_length(text: bytes) -> int:
    """Returns the length of a body.

    Raises:
        MalformedFrameError: The text is not a number, or exceeds the limit.
    """
    if not CONTENT_LENGTH.fullmatch(text):
        raise MalformedFrameError("a length that is no number")
    body_bytes = int(text)
    if body_bytes > MAX_BODY_BYTES:
        raise MalformedFrameError("a body too large")
    return body_bytes


def _check_line_ends(data: bytes) -> None:
    """Checks that each line of an incomplete head or incomplete trailers ends in CRLF.

    Raises:
        MalformedFrameError: A line ends in a bare line feed, so the end would never be found.
    """
    if b"\n" in data.replace(CRLF, b""):
        raise MalformedFrameError("a line that ends in a bare line feed")


class ChunkScanner:
    """Finds the end of one chunked body and its trailers, whose bytes arrive in pieces.

    Source: RFC 9112, section 7.1.

    Attributes:
        missing_bytes: After an incomplete scan, the number of bytes without which the body can't be
            complete.
        chunk_count: The number of chunks scanned.
        scanned: The offset of the next chunk from the body's start.
        trailers_start: The offset of the trailers from the body's start; -1 before the last chunk.
    """

    __slots__ = ("chunk_count", "missing_bytes", "scanned", "trailers_start")

    def __init__(self) -> None:
        self.missing_bytes = 1
        self.chunk_count = 0
        self.scanned = 0
        self.trailers_start = -1

    def find_end(self, data: bytes, body_start: int) -> int:
        """Returns the end offset of the body at `body_start`, or -1 if it is incomplete.

        Raises:
            MalformedFrameError: A chunk or a trailer is malformed, or the body exceeds a limit.
        """
        self.missing_bytes = 1
        while self.trailers_start < 0:
            if self.chunk_count >= MAX_CHUNKS:
                raise MalformedFrameError("chunks without end")
            if not self._scan_chunk(data, body_start):
                return -1
        return _find_trailers_end(data, body_start + self.trailers_start)

    def _scan_chunk(self, data: bytes, body_start: int) -> bool:
        """Scans the next chunk; returns False if it is incomplete."""
        at = body_start + self.scanned
        head_end = data.find(CRLF, at, at + MAX_CHUNK_HEAD_BYTES)
        if head_end < 0:
            if len(data) - at >= MAX_CHUNK_HEAD_BYTES:
                raise MalformedFrameError("a chunk without a size")
            return False
        chunk_head = CHUNK_HEAD.fullmatch(data[at:head_end])
        if chunk_head is None:
            raise MalformedFrameError("a chunk without a size")
        chunk_bytes = int(chunk_head[1], 16)
        chunk_start = head_end + len(CRLF)
        if chunk_bytes == 0:
            self.trailers_start = chunk_start - body_start
            return True
        end = chunk_start + chunk_bytes + len(CRLF)
        if end - body_start > MAX_BODY_BYTES:
            raise MalformedFrameError("a body too large")
        if len(data) < end:
            self.missing_bytes = end - len(data)
            return False
        if data[end - len(CRLF) : end] != CRLF:
            raise MalformedFrameError("a chunk whose size does not fit")
        self.scanned = end - body_start
        self.chunk_count += 1
        return True


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
