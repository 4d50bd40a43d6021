"""Opens a listening socket, although the system may lack resources for a moment."""

from __future__ import annotations

import errno
import logging
import socket
import time
from typing import Final

log = logging.getLogger(__name__)

TRANSIENT_ERRORS: Final = (errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE, errno.EINTR)
RETRY_INTERVAL_S: Final = 0.05
RETRY_TIME_S: Final = 3.0  # of the 6 s in which a restarted instance has to be ready
SOCKET_BUFFER_BYTES: Final = 128 * 1024  # of the system, for each direction of a connection


def bind_listening_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a non-blocking socket that is bound to the address and does not listen yet.

    Blocks while the system lacks resources, for at most `RETRY_TIME_S`.

    Raises:
        OSError: The address can't be bound, or the system has lacked resources for too long.
    """
    give_up_at = time.monotonic() + RETRY_TIME_S
    failures = 0
    while True:
        try:
            return _bind(address)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= give_up_at:
                raise
            if not failures:
                log.warning("listening socket not opened yet: %s", error)
            failures += 1
            time.sleep(RETRY_INTERVAL_S)


def _bind(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit these sizes; by default the system buffers megabytes for each.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
