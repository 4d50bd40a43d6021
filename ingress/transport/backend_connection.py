"""A connection to a backend; it carries one request at a time and reports the outcome."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from typing import TYPE_CHECKING, cast

from ingress.core.ports import Attempt
from ingress.policy.events import Outcome
from ingress.transport.backend_protocol import AttemptResult, MalformedResponseError

if TYPE_CHECKING:
    from ingress.transport.backend_pool import BackendPool


class Endpoint:
    """The address of one backend and the idle connections to it.

    Attributes:
        address: Host and port.
        started_at: Start time of the backend's process according to the endpoint list.
        incarnation: Number of the process behind the backend's name; it grows when the address
            or the start time changes, or when a removed backend returns.
        idle: The idle connections; the most recently used one is last.
        drain_deadline: Time from which no new request is written to the backend; None if the
            backend is not draining.
        removed: Whether the backend has been removed from the endpoint list.
    """

    __slots__ = ("address", "drain_deadline", "idle", "incarnation", "removed", "started_at")

    def __init__(self, address: tuple[str, int], started_at: float = 0.0) -> None:
        self.address = address
        self.started_at = started_at
        self.incarnation = 0
        self.idle: list[BackendConnection] = []
        self.drain_deadline: float | None = None
        self.removed = False


class BackendConnection:
    """One connection to a backend.

    The class has the methods of `asyncio.Protocol` but does not inherit from it, because a compiled
    class can't inherit from an interpreted one.  One request is in flight at a time.  Closing the
    connection is the only way to abandon it.

    Attributes:
        incarnation: The endpoint's incarnation when the connection was opened.
        attempt: The attempt in flight, or None.
        buffered_bytes: Number of bytes received of an incomplete response.
        idle_since: Time of the last release, in seconds of the pool's clock; 0.0 before the first.
        idle_duration: Seconds for which the connection was idle before the request in flight was
            written.
    """

    __slots__ = (
        "attempt",
        "buffered_bytes",
        "endpoint",
        "idle_duration",
        "idle_since",
        "incarnation",
        "is_open",
        "poll",
        "pool",
        "protocol",
        "sock",
        "transport",
    )

    def __init__(
        self, pool: BackendPool, endpoint: Endpoint, incarnation: int, sock: socket.socket
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.sock = sock
        self.protocol = pool.make_protocol()
        self.poll = select.poll()
        self.poll.register(sock, select.POLLIN)
        self.buffered_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.idle_duration = 0.0
        self.is_open = True

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has its own transport class

    def data_received(self, data: bytes) -> None:
        """Decodes received bytes; a complete response ends the attempt in flight."""
        attempt = self.attempt
        if attempt is None:
            # No request is in flight: the bytes could be mistaken for the next request's response.
            self.close()
            return
        self.buffered_bytes += len(data)
        self.pool.buffered_bytes += len(data)
        try:
            result = self.protocol.receive_data(data)
        except Exception as error:
            if not isinstance(error, MalformedResponseError):
                self.pool.log_codec_fault(error)
            self._fail(attempt, str(error))
            return
        if result is not None:
            self._complete(attempt, result)
        elif self.pool.buffered_bytes > self.pool.max_buffered_bytes:
            # Large values received on many connections at once could exhaust the memory.
            self._fail(attempt, "too many bytes of incomplete responses")

    def pause_writing(self) -> None:
        """Does nothing: one request in flight at a time bounds the write buffer."""

    def resume_writing(self) -> None:
        """Does nothing; see `pause_writing`."""

    def eof_received(self) -> None:
        """Treats the end of the backend's sending as the end of the connection."""
        self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the attempt in flight, if any, because the connection is closed."""
        attempt = self.attempt
        if attempt is not None and exc is None:
            result = self._result_at_eof()
            if result is not None:
                result.reusable = False
                self._complete(attempt, result)
                return
        self.attempt = None
        if attempt is not None and not self.buffered_bytes:
            self.pool.idle_limit.lower_after_reset(self.idle_duration)
        self.close()
        if attempt is not None:
            # Once any byte was written, the backend may have received the whole request and run it.
            self.pool.finish(attempt, Outcome.RESET)

    # The attempt in flight

    def _complete(self, attempt: Attempt, result: AttemptResult) -> None:
        self.attempt = None
        self._drop_buffered()
        if result.reusable:
            self.pool.release(self)
        else:
            self.close()
        attempt.final_response = result.final_response
        self.pool.finish(attempt, result.outcome, result.value, result.load_report)

    def _fail(self, attempt: Attempt, reason: str) -> None:
        """Ends an attempt that may have run; later bytes on this connection can't be trusted."""
        self.pool.log_failure(attempt.backend, f"malformed response: {reason}")
        self.close()
        self.pool.finish(attempt, Outcome.ERROR)

    def _drop_buffered(self) -> None:
        self.pool.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0

    def _result_at_eof(self) -> AttemptResult | None:
        """Returns the result if the end of the connection completes the response, else None."""
        try:
            return self.protocol.receive_eof()
        except Exception as error:
            if not isinstance(error, MalformedResponseError):
                self.pool.log_codec_fault(error)
            return AttemptResult(Outcome.ERROR)

    # The state of the connection

    def is_current(self) -> bool:
        """Returns whether the peer is the process that the endpoint list names.

        The peer at a former address is another backend, and a connection to a process that no
        longer exists may stay open and silent.
        """
        return not self.endpoint.removed and self.incarnation == self.endpoint.incarnation

    def has_unread_input(self) -> bool:
        """Returns whether the socket has unread bytes or an unread end of the connection."""
        return bool(self.poll.poll(0))

    def close(self) -> None:
        """Closes the connection immediately.

        The event loop closes the socket only in its next iteration, by which time the next attempt
        may have been written.  The socket is shut down here, so that a request never has two
        attempts in flight.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.attempt = None
        self._drop_buffered()
        with contextlib.suppress(OSError):  # the backend has closed the connection already
            self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()
        self.pool.remove(self)
