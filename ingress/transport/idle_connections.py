"""The clients' connections without an open request, in the order of eviction."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection

MAX_CANDIDATES: Final = 16  # connections of one queue that are considered for eviction
# The first request of a connection that was just accepted may be on its way.
MIN_SILENCE_BEFORE_EVICTION_S: Final = 0.1


class IdleConnections:
    """Three queues of connections, in the order of eviction; each begins with the longest waiting.

    A connection with an open request is in none of them.

    Attributes:
        closing: Those that get no further response, and end when the client has read the last.
        awaiting_first_request: Those that have not sent a request yet.
        idle: Those whose requests all have their responses.
    """

    def __init__(self) -> None:
        self.closing: dict[ClientConnection, None] = {}
        self.awaiting_first_request: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}

    def add_new(self, connection: ClientConnection) -> None:
        """Adds a connection that was just accepted."""
        self.awaiting_first_request[connection] = None

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection that has no open request any more."""
        if connection.closing:
            self.closing[connection] = None
        else:
            self.idle[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that has an open request, or is gone."""
        self.closing.pop(connection, None)
        self.awaiting_first_request.pop(connection, None)
        self.idle.pop(connection, None)

    def pop_for_eviction(self, now: float) -> ClientConnection | None:
        """Removes and returns the connection to close for a new one, or None if none may go."""
        connection = _choose(self.closing, now, 0.0)
        if connection is None:
            connection = _choose(self.awaiting_first_request, now, MIN_SILENCE_BEFORE_EVICTION_S)
        if connection is None:
            connection = _choose(self.idle, now, 0.0)
        if connection is not None:
            self.remove(connection)
        return connection


def _choose(
    queue: dict[ClientConnection, None], now: float, min_idle_time_s: float
) -> ClientConnection | None:
    """Returns the first connection without input among those idle for long enough.

    One whose next request has arrived, in part or unread, is returned only if all have one.
    """
    first: ClientConnection | None = None
    for connection in islice(queue, MAX_CANDIDATES):
        if now - connection.last_used_at < min_idle_time_s:
            continue
        has_input = connection.unparsed or connection.has_unread_input()
        if connection.transport is None or not has_input:
            return connection
        if first is None:
            first = connection
    return first
