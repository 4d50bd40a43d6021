"""The little of RESP2 that the stand-ins need."""

from __future__ import annotations

import asyncio


def encode_command(*words: str) -> bytes:
    """Returns a command as an array of bulk strings."""
    data = [word.encode() for word in words]
    return b"*%d\r\n" % len(data) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in data)


async def read_bulk(reader: asyncio.StreamReader, header: bytes) -> bytes:
    """Returns the bulk string that a header announces."""
    size = int(header[1:])
    return (await reader.readexactly(size + 2))[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads an array of bulk strings."""
    header = await reader.readuntil(b"\r\n")
    if header[:1] != b"*":
        raise ValueError(f"no array: {header!r}")
    return [
        await read_bulk(reader, await reader.readuntil(b"\r\n")) for _ in range(int(header[1:]))
    ]


async def read_reply(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Reads an ingress's answer; returns its kind (served, refused, failed) and its text."""
    header = await reader.readuntil(b"\r\n")
    if header[:1] == b"$" and header[1:3] != b"-1":
        return "served", await read_bulk(reader, header)
    kind = "refused" if header.startswith(b"-BUSY") else "failed"
    return kind, header.strip()
