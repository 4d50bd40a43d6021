"""Detects that clients disconnect while reading from their connections is paused."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection

# No attempt may start more than 0.1 s after its client disconnected.
POLL_INTERVAL_S: Final = 0.04


class HangupWatcher:
    """Polls connections whose reading is paused for the end of the client's sending.

    The event loop reports the end of a connection only after all bytes before it were read.  Until
    then, requests of a disconnected client would be forwarded.

    Attributes:
        connections: The watched connections by file descriptor.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: dict[int, ClientConnection] = {}
        self.poll = select.poll()
        self.timer: asyncio.TimerHandle | None = None

    def watch(self, connection: ClientConnection) -> None:
        """Starts to watch a connection whose reading has been paused."""
        descriptor = connection.sock.fileno()
        self.connections[descriptor] = connection
        self.poll.register(descriptor, select.POLLRDHUP)
        if self.timer is None:
            self.timer = self.loop.call_later(POLL_INTERVAL_S, self._poll_hangups)

    def unwatch(self, connection: ClientConnection) -> None:
        """Stops watching a connection whose reading has resumed or that is closed."""
        descriptor = connection.sock.fileno()
        if self.connections.get(descriptor) is connection:
            del self.connections[descriptor]
            self.poll.unregister(descriptor)

    def _poll_hangups(self) -> None:
        self.timer = (
            self.loop.call_later(POLL_INTERVAL_S, self._poll_hangups) if self.connections else None
        )
        for descriptor, _ in self.poll.poll(0):
            connection = self.connections.get(descriptor)
            if connection is None:
                continue  # handling an earlier hangup resumed reading on this connection
            transport = connection.transport
            connection.handle_disconnect()
            if transport is not None:
                transport.abort()

    def close(self) -> None:
        """Stops polling."""
        if self.timer is not None:
            self.timer.cancel()
