"""Shares the event loop between connections that have more input than one turn handles."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection

MAX_TURNS_PER_ITERATION: Final = 16  # of the event loop, so that other connections are served


class TurnQueue:
    """The connections that wait for another turn, served round-robin.

    Attributes:
        waiting: The connections in the order of their turns.
    """

    __slots__ = ("loop", "scheduled", "waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[ClientConnection] = deque()
        self.scheduled = False

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection, whose turn comes in the next iteration of the event loop or later."""
        self.waiting.append(connection)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._serve)

    def _serve(self) -> None:
        self.scheduled = False
        turns = min(MAX_TURNS_PER_ITERATION, len(self.waiting))
        for _ in range(turns):
            self.waiting.popleft().take_turn()
        if self.waiting and not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self._serve)
