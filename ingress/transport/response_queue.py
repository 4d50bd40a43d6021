"""The responses of one client connection that are not sent yet, in the order of their requests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from ingress.transport.pending_response import PendingResponse

if TYPE_CHECKING:
    from ingress.transport.unsent_responses import UnsentResponses

RESPONSE_OVERHEAD_BYTES: Final = 128  # memory that a queued response takes besides its bytes


class ResponseQueue:
    """The pending responses, and the memory of those that are completed but not sent.

    Attributes:
        pending: All responses that are not written yet, in order.
        completed_bytes: The memory of the completed responses in `pending`.
        buffered_bytes: The bytes written since the operating system has last accepted all of them.
        closing_bytes: The same, once the connection is being closed.
    """

    __slots__ = ("buffered_bytes", "closing_bytes", "completed_bytes", "pending", "unsent")

    def __init__(self, unsent: UnsentResponses) -> None:
        self.unsent = unsent
        self.pending: deque[PendingResponse] = deque()
        self.completed_bytes = 0
        self.buffered_bytes = 0
        self.closing_bytes = 0

    def unsent_bytes(self) -> int:
        """Returns the bytes that count against the limit over all connections."""
        return self.completed_bytes + self.buffered_bytes

    def completed(self, data: bytes) -> None:
        """Counts a response whose bytes were set."""
        size = len(data) + RESPONSE_OVERHEAD_BYTES
        self.completed_bytes += size
        self.unsent.open_bytes += size

    def written(self, data: bytes) -> None:
        """Counts bytes that were written; they stay in memory as a whole until all are sent."""
        self.buffered_bytes += len(data)
        self.unsent.open_bytes += len(data)

    def all_sent(self) -> None:
        """Records that the operating system has accepted all bytes that were written."""
        self.unsent.open_bytes -= self.buffered_bytes
        self.buffered_bytes = 0

    def take_ready(self) -> bytes:
        """Removes the completed responses that precede the first pending one; returns them."""
        ready: list[bytes] = []
        while self.pending and self.pending[0].data is not None:
            ready.append(self.pending.popleft().data or b"")
        if not ready:
            return b""
        data = ready[0] if len(ready) == 1 else b"".join(ready)
        size = len(data) + RESPONSE_OVERHEAD_BYTES * len(ready)
        self.completed_bytes -= size
        self.unsent.open_bytes -= size
        return data

    def clear(self) -> list[PendingResponse]:
        """Removes all responses of a closing connection; returns those that are not completed.

        The bytes that were written stay in memory until `released` is called.
        """
        abandoned = [pending for pending in self.pending if pending.data is None]
        self.pending = deque()
        self.unsent.open_bytes -= self.unsent_bytes()
        self.completed_bytes = 0
        self.closing_bytes += self.buffered_bytes
        self.unsent.closing_bytes += self.buffered_bytes
        self.buffered_bytes = 0
        return abandoned

    def released(self) -> None:
        """Records that the event loop has released the bytes of the closed connection."""
        self.unsent.closing_bytes -= self.closing_bytes
        self.closing_bytes = 0
