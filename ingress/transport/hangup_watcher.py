"""Notices that clients have disconnected while nothing is read from them."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection

POLL_INTERVAL_S: Final = 0.04  # an attempt may begin 0.1 s after its client has gone, at most


class HangupWatcher:
    """Polls the connections whose reading is paused for the end of the client's sending.

    The event loop reports an end only after all bytes before it were read; until then requests of
    a client that has gone would be forwarded.

    Attributes:
        connections: The watched connections by file descriptor.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: dict[int, ClientConnection] = {}
        self.poll = select.poll()
        self.timer: asyncio.TimerHandle | None = None

    def watch(self, connection: ClientConnection) -> None:
        """Watches a connection whose reading was paused."""
        descriptor = connection.sock.fileno()
        self.connections[descriptor] = connection
        self.poll.register(descriptor, select.POLLRDHUP)
        if self.timer is None:
            self.timer = self.loop.call_later(POLL_INTERVAL_S, self._poll_hangups)

    def unwatch(self, connection: ClientConnection) -> None:
        """Forgets a connection that is read again, or is gone."""
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
                continue  # the end of another connection had this one read again
            transport = connection.transport
            connection.handle_disconnect()
            if transport is not None:
                transport.abort()

    def close(self) -> None:
        """Stops polling."""
        if self.timer is not None:
            self.timer.cancel()
