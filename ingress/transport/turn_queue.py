"""Shares the event loop between connections that have more input than one turn handles."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection

MAX_TURNS_PER_ITERATION: Final = 16  # of the event loop, so that other connections are served


class TurnQueue:
    """The connections that wait for another turn, served round-robin.

    Attributes:
        waiting: The connections in the order of their turns.
        scheduled: Whether the event loop will call `_serve` in its next iteration.
    """

    __slots__ = ("loop", "scheduled", "waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: dict[ClientConnection, None] = {}
        self.scheduled = False

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection, whose turn comes in the next iteration of the event loop or later."""
        self.waiting[connection] = None
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._serve)

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that is closed."""
        self.waiting.pop(connection, None)

    def _serve(self) -> None:
        self.scheduled = False
        for _ in range(min(MAX_TURNS_PER_ITERATION, len(self.waiting))):
            connection = next(iter(self.waiting), None)
            if connection is None:
                return  # the other connections were closed during these turns
            del self.waiting[connection]
            connection.take_turn()
        if self.waiting and not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._serve)
