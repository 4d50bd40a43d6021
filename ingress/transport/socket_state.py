"""What a socket holds at this moment: unread input, and room for output."""

from __future__ import annotations

import select
import socket


def has_unread_input(sock: socket.socket) -> bool:
    """Returns whether the socket has unread bytes or an unread end of the connection."""
    return _is_ready(sock, select.POLLIN)


def accepts_output(sock: socket.socket) -> bool:
    """Returns whether the socket has room for more output, or has failed."""
    return _is_ready(sock, select.POLLOUT)


def _is_ready(sock: socket.socket, event: int) -> bool:
    poll = select.poll()
    poll.register(sock, event)
    return bool(poll.poll(0))
