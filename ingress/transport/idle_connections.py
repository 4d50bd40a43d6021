"""Client connections without an open request, in eviction order."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection

MAX_CANDIDATES: Final = 16  # connections of one queue that are considered for eviction
# The first request on a newly accepted connection may still be in transit.
MIN_SILENCE_BEFORE_EVICTION_S: Final = 0.1


class IdleConnections:
    """Three queues of connections, in eviction order; each has the longest waiting one first.

    A connection with an open request is in none of the queues.

    Attributes:
        closing: Connections whose last response is written; they close once the client has read it.
        awaiting_first_request: Connections that have not sent a request yet.
        idle: Connections whose requests have all been answered.
    """

    def __init__(self) -> None:
        self.closing: dict[ClientConnection, None] = {}
        self.awaiting_first_request: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}

    def add_new(self, connection: ClientConnection) -> None:
        """Adds a newly accepted connection."""
        self.awaiting_first_request[connection] = None

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection that no longer has an open request."""
        if connection.closing:
            self.closing[connection] = None
        else:
            self.idle[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection that has an open request or is closed."""
        self.closing.pop(connection, None)
        self.awaiting_first_request.pop(connection, None)
        self.idle.pop(connection, None)

    def pop_for_eviction(self, now: float) -> ClientConnection | None:
        """Removes and returns the connection to evict, or returns None if none may be evicted."""
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
    """Returns the first connection without input that has been idle for `min_idle_time_s`.

    A connection that has received part of a request, or has unread input, is returned only if every
    candidate has.  One that owes a response is never returned.
    """
    first: ClientConnection | None = None
    for connection in islice(queue, MAX_CANDIDATES):
        if now - connection.last_used_at < min_idle_time_s or connection.owes_response():
            continue
        has_input = connection.input.size > 0 or connection.has_unread_input()
        if connection.transport is None or not has_input:
            return connection
        if first is None:
            first = connection
    return first
