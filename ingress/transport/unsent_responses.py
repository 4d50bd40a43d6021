"""The memory that responses to slow clients take, over all connections of one listener."""

from __future__ import annotations


class UnsentResponses:
    """The total of the completed responses that clients have not taken.

    Attributes:
        max_bytes: The limit on the responses of all open connections.
        open_bytes: Bytes of completed responses that are not written, or that the operating system
            has not accepted, on open connections.
        closing_bytes: The same on connections that are being closed: the event loop releases their
            memory only at the end of its iteration.
    """

    __slots__ = ("closing_bytes", "max_bytes", "open_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.open_bytes = 0
        self.closing_bytes = 0

    def exceeds_limit(self) -> bool:
        """Returns whether the connection with the most unsent bytes has to be closed."""
        return self.open_bytes > self.max_bytes

    def is_full(self) -> bool:
        """Returns whether no more requests may be answered in this iteration of the event loop."""
        return self.open_bytes + self.closing_bytes > self.max_bytes
