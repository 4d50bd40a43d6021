"""The received bytes of one connection that are not parsed yet."""

from __future__ import annotations

from typing import Final

MAX_PIECES: Final = 32  # of received bytes before they are joined: each takes memory of its own


class InputBuffer:
    """Received bytes in order, joined only when they are parsed.

    Attributes:
        size: The number of bytes.
        min_size: The number of bytes below which they can't hold a complete message.
    """

    __slots__ = ("min_size", "pieces", "size")

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.size = 0
        self.min_size = 1

    def append(self, data: bytes) -> None:
        """Adds received bytes."""
        self.pieces.append(data)
        self.size += len(data)
        if len(self.pieces) > MAX_PIECES:
            self.pieces = [b"".join(self.pieces)]

    def may_be_complete(self) -> bool:
        """Returns whether the bytes can hold a complete message, so that parsing may succeed."""
        return self.size >= self.min_size

    def joined(self) -> bytes:
        """Returns all bytes."""
        if len(self.pieces) > 1:
            self.pieces = [b"".join(self.pieces)]
        return self.pieces[0] if self.pieces else b""

    def replace(self, data: bytes, min_size: int) -> None:
        """Replaces all bytes.

        Args:
            data: The bytes that remain.
            min_size: The number of bytes below which they can't hold a complete message.
        """
        self.pieces = [data] if data else []
        self.size = len(data)
        self.min_size = min_size
