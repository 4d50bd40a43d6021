"""Accepts client connections, limits their number and closes them in a graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from typing import Any, Final, cast

from ingress.core.clock import Clock
from ingress.transport.active_clock import ActiveClock
from ingress.transport.client_connection import FIRST_REQUEST_GRACE_S, ClientConnection
from ingress.transport.client_protocol import ClientProtocolFactory
from ingress.transport.close_reason import CloseReason
from ingress.transport.hangup_watcher import HangupWatcher
from ingress.transport.idle_connections import IdleConnections
from ingress.transport.listening_socket import bind_listening_socket
from ingress.transport.pending_response import RequestHandler
from ingress.transport.sampled_log import SampledLog
from ingress.transport.stall_detector import StallDetector
from ingress.transport.turn_queue import TurnQueue
from ingress.transport.unsent_responses import UnsentResponses

log = logging.getLogger(__name__)

BACKLOG: Final = 512  # connections that the system queues until they are accepted
ACCEPT_BATCH: Final = 16  # connections accepted per loop iteration; as many places are kept free
SWEEP_INTERVAL_S: Final = 0.25  # between timeout checks of all connections
STALL_THRESHOLD_S: Final = 2 * SWEEP_INTERVAL_S  # without a sweep or any read
ITERATIONS_TO_FIRST_READ: Final = 3  # of the event loop after a connection is attached, at most
# Input of one connection above which reading pauses while its parsing has to wait.
MAX_READ_AHEAD_BYTES: Final = 256 * 1024
READ_AHEAD_DIVISOR: Final = 16  # of the limit on the input of all connections
LOG_SAMPLING_INTERVAL: Final = 1000  # one in this many repeated events is logged


class ClientListener:
    """The listening socket and the connections accepted on it, at most `max_connections`.

    Attributes:
        connections: All connections, including those that are being attached or closed.
        evicted: Connections closed in favour of new ones whose descriptors are not free yet.
        idle_connections: Connections without an open request, in eviction order.
        turns: The connections that have more input than one turn handles.
        active_clock: The time in which the event loop could serve the connections, for timeouts.
        unsent_responses: The memory of responses that clients have not taken.
        buffered_bytes: Number of bytes received of incomplete requests, on all connections.
        read_ahead_bytes: Input of one connection above which reading pauses while parsing waits.
        accepting_paused: Whether new connections wait until another one is closed.
        malformed_requests: Counts malformed requests.
        accept_failures: Counts failed `accept` calls.
        codec_faults: Counts the unexpected exceptions raised by codecs.
        closures: The number of connections closed, by reason.
    """

    def __init__(
        self,
        make_protocol: ClientProtocolFactory,
        address: tuple[str, int],
        max_connections: int,
        max_buffered_bytes: int,
        handler: RequestHandler,
        clock: Clock,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = clock
        self.max_connections = max_connections
        self.handler = handler
        self.make_protocol = make_protocol
        self.connections: set[ClientConnection] = set()
        self.evicted: set[ClientConnection] = set()
        self.idle_connections = IdleConnections()
        self.turns = TurnQueue(self.loop)
        self.hangup_watcher = HangupWatcher(self.loop)
        self.stall_detector = StallDetector(self.loop, clock, STALL_THRESHOLD_S)
        self.active_clock = ActiveClock(clock, STALL_THRESHOLD_S)
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes
        self.read_ahead_bytes = min(MAX_READ_AHEAD_BYTES, max_buffered_bytes // READ_AHEAD_DIVISOR)
        self.unsent_responses = UnsentResponses(max_buffered_bytes // 2)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_again)
        self.attach_tasks: set[asyncio.Task[Any]] = set()
        self.draining = False
        self.accepting_paused = False
        self.malformed_requests = SampledLog(LOG_SAMPLING_INTERVAL)
        self.accept_failures = SampledLog(LOG_SAMPLING_INTERVAL)
        self.codec_faults = SampledLog(LOG_SAMPLING_INTERVAL)
        self.closures: Counter[CloseReason] = Counter()
        self.listening_socket = bind_listening_socket(address)

    def open(self) -> None:
        """Starts to accept connections."""
        self.stall_detector.reset()  # nothing can have arrived during a slow start
        self.listening_socket.listen(BACKLOG)
        self.loop.add_reader(self.listening_socket, self._accept)

    # Accepting

    def _accept(self) -> bool:
        """Accepts a batch of connections; returns whether more may be waiting."""
        self.stall_detector.arrival_time()
        more_may_wait = self._accept_batch()
        self.stall_detector.batch_accepted(more_may_wait)
        return more_may_wait

    def _accept_batch(self) -> bool:
        for _ in range(ACCEPT_BATCH):
            if len(self.connections) >= self.max_connections:
                # File descriptors would run out: new connections wait until another one is closed.
                if not self.evicted:
                    self._evict_one()
                self._pause_accepting()
                return False
            try:
                sock = self._accept_socket()
            except ConnectionAbortedError:
                continue  # its client has left; other connections may wait behind it
            if sock is None:
                return False
            self._add_connection(sock)
            remaining = len(self.connections) - len(self.evicted)
            reserve = max(1, min(ACCEPT_BATCH, self.max_connections // 8))
            if remaining > self.max_connections - reserve:
                self._evict_one()
        return True

    def _accept_socket(self) -> socket.socket | None:
        """Returns the socket of the next waiting connection, or None if none can be accepted.

        Raises:
            ConnectionAbortedError: The connection ended while it waited.
        """
        try:
            sock, _ = self.listening_socket.accept()
        except BlockingIOError:
            return None
        except ConnectionAbortedError:
            raise
        except OSError as error:
            if self.accept_failures.record():
                log.warning("accept failed: %s", error)
            self._pause_accepting()
            return None
        return sock

    def _add_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, sock)
        self.connections.add(connection)
        opened_in_stall = self.stall_detector.connection_accepted()
        task = self.loop.create_task(self._attach(connection, sock, opened_in_stall))
        self.attach_tasks.add(task)
        task.add_done_callback(self.attach_tasks.discard)

    async def _attach(
        self, connection: ClientConnection, sock: socket.socket, opened_in_stall: bool
    ) -> None:
        try:
            await self.loop.connect_accepted_socket(
                lambda: cast(asyncio.Protocol, connection), sock
            )
            if opened_in_stall:
                await self._run_iterations(ITERATIONS_TO_FIRST_READ)
        except Exception as error:  # any failure must give the connection's place back
            log.warning(
                "failed to attach an accepted connection: %s: %s", type(error).__name__, error
            )
            sock.close()
            self.remove(connection)
        finally:
            if opened_in_stall:
                self.stall_detector.connection_read()

    async def _run_iterations(self, count: int) -> None:
        """Waits for `count` iterations of the event loop, which reads from sockets in each."""
        for _ in range(count):
            await asyncio.sleep(0)

    def _pause_accepting(self) -> None:
        """Leaves new connections in the backlog until one is closed or until the next sweep."""
        if not self.accepting_paused:
            self.accepting_paused = True
            self.loop.remove_reader(self.listening_socket)

    def _resume_accepting(self) -> None:
        if self.accepting_paused and self.listening_socket.fileno() >= 0:
            self.accepting_paused = False
            if self.draining:
                self._accept_last()
            else:
                self.loop.add_reader(self.listening_socket, self._accept)

    def _evict_one(self) -> None:
        """Closes the connection that is first in eviction order, if any may be evicted."""
        connection = self.idle_connections.pop_for_eviction(self.active_clock.now())
        if connection is not None and connection.transport is not None:
            self.evicted.add(connection)
            connection.abort(CloseReason.EVICTED)

    # Called by the connections

    def remove(self, connection: ClientConnection) -> None:
        """Removes a closed connection."""
        if connection in self.connections:
            self.closures[connection.close_reason] += 1
            connection.responses.released()
        self.connections.discard(connection)
        self.evicted.discard(connection)
        self._resume_accepting()

    def reduce_input(self) -> None:
        """Releases the largest unparsed inputs until the limit is kept."""
        while self.buffered_bytes > self.max_buffered_bytes:
            largest = max(self.connections, key=_input_bytes, default=None)
            if largest is None or not largest.release_input():
                return

    def close_largest_responses(self) -> None:
        """Closes the connections with the most unsent responses until the limit is kept."""
        for connection in self.connections:
            if connection.responses.buffered_bytes:
                connection.measure_unsent()
        while self.unsent_responses.exceeds_limit():
            largest = max(self.connections, key=_unsent_bytes, default=None)
            if largest is None or not _unsent_bytes(largest):
                return
            largest.abort(CloseReason.RESPONSE_LIMIT)

    def log_malformed(self, reason: str) -> None:
        """Counts a malformed request and logs a sample."""
        if self.malformed_requests.record():
            log.warning("malformed request %d: %s", self.malformed_requests.count, reason)

    def log_codec_fault(self, subject: str) -> None:
        """Counts the exception being handled, which a codec must not raise, and logs a sample.

        Args:
            subject: The kind of data that the codec was processing.
        """
        if self.codec_faults.record():
            log.exception("codec fault %d while handling %s", self.codec_faults.count, subject)

    # Timeouts and shutdown

    def _sweep_again(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep_again)
        self.sweep()

    def sweep(self) -> None:
        """Closes the connections whose clients make no progress, or that are idle, for too long."""
        self.stall_detector.arrival_time()
        self.active_clock.tick()
        now = self.active_clock.now()
        for connection in list(self.connections):
            connection.enforce_timeouts(now)
        self._resume_accepting()

    def empty(self) -> bool:
        """Returns whether all connections are closed."""
        return not self.connections

    def drain(self) -> None:
        """Accepts the waiting connections, then closes the listening socket.

        Each connection is closed once it is idle.  A new connection gets `FIRST_REQUEST_GRACE_S`
        first, since its first request may be in transit.
        """
        self.draining = True
        now = self.active_clock.now()
        new = self.idle_connections.awaiting_first_request
        for connection in list(self.connections):
            if connection in new and now - connection.last_used_at < FIRST_REQUEST_GRACE_S:
                self.loop.call_later(FIRST_REQUEST_GRACE_S, connection.close_if_idle)
            else:
                connection.close_if_idle()
        if not self.accepting_paused:
            self._accept_last()

    def _accept_last(self) -> None:
        """Accepts the waiting connections; beyond the limit, each once another one is closed."""
        while self._accept():
            pass
        if not self.accepting_paused:
            self._close_listening_socket()

    def _close_listening_socket(self) -> None:
        if self.listening_socket.fileno() >= 0:
            self.loop.remove_reader(self.listening_socket)
            self.listening_socket.close()

    def close(self) -> None:
        """Stops listening, closes idle connections and ends the sending side of all others."""
        self.sweep_timer.cancel()
        self.hangup_watcher.close()
        self._close_listening_socket()
        connections = list(self.connections)
        for connection in connections:
            connection.close_if_idle()
        busy = sum(connection.is_open() for connection in connections)
        if busy:
            log.warning("ended the sending side of %d client connections that were not idle", busy)
        for connection in connections:
            connection.half_close()


def _unsent_bytes(connection: ClientConnection) -> int:
    return connection.responses.unsent_bytes()


def _input_bytes(connection: ClientConnection) -> tuple[int, float]:
    """Returns the size of a connection's input, then the time at which it last grew."""
    return connection.input.size, connection.received_at
