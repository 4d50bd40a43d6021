"""Finds out from the socket of a client whether the client still waits for its responses."""

from __future__ import annotations

import select
import socket
from typing import Final

from ingress.core.ports import ClientPresence

# For which a client counts as connected after all its input was read.  No attempt may start more
# than 0.1 s after a client has closed.
PRESENCE_TIMEOUT_S: Final = 0.05
PRESENCE_EVENTS: Final = select.POLLIN | select.POLLRDHUP
HANGUP_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class PresenceProbe:
    """Polls one client's socket for unread input and for the end of the client's sending.

    Attributes:
        drained_at: When all input that had arrived was read; in seconds of the clock.
    """

    __slots__ = ("drained_at", "poll")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.drained_at = now
        self.poll = select.poll()
        self.poll.register(sock, PRESENCE_EVENTS)

    def has_unread_input(self) -> bool:
        """Returns whether the socket has unread bytes or an unread end of the connection."""
        return bool(self.poll.poll(0))

    def presence(self, now: float) -> ClientPresence:
        """Returns whether the client still waits, as far as the socket shows.

        The end of the client's sending is behind its unread input, part of which may still be in
        the client's own buffer. So the client is known to wait only if all input was read recently.
        """
        events = 0
        for _, events in self.poll.poll(0):
            if events & HANGUP_EVENTS:
                return ClientPresence.GONE
        if not events:
            self.drained_at = now
        elif now - self.drained_at > PRESENCE_TIMEOUT_S:
            return ClientPresence.UNKNOWN
        return ClientPresence.CONNECTED
