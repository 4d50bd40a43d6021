"""A pool of connections to backends; it carries attempts and reports their outcomes."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Mapping
from typing import Final, cast

from ingress.core.calls import FAILED_RESPONSE
from ingress.core.clock import Clock
from ingress.core.ports import Attempt, AttemptEndHandler, Timers
from ingress.policy.events import NO_LOAD_REPORT, Backend, Outcome, Readiness
from ingress.policy.settings import MAX_PROCESS_PAUSE_S
from ingress.transport.backend_connection import BackendConnection, Endpoint
from ingress.transport.backend_protocol import BackendProtocolFactory
from ingress.transport.idle_limit import IdleLimit
from ingress.transport.peer_timeout import PeerTimeout
from ingress.transport.sampled_log import SampledLog

log = logging.getLogger(__name__)

# Share of a drain's grace period that is used, from when this process reads the change; the time
# for which the process may be suspended is subtracted.  The rest of the period is a margin for the
# agent, which may have received the change earlier.
DRAIN_GRACE_FRACTION: Final = 0.5
# Wait between a response and the next use of its connection: a duplicate response may arrive late.
SETTLE_TIME_S: Final = 0.02
TIMER_TOLERANCE_S: Final = 0.001  # a timer may fire this much early
LOG_SAMPLING_INTERVAL: Final = 100  # one in this many repeated events is logged
LOCAL_RESOURCE_ERRORS: Final = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
)
READ_DELAY_S: Final = 0.002  # for the event loop to read a response that has arrived
SWEEP_INTERVAL_S: Final = 1.0  # between checks for connections that have been idle too long


class BackendPool:
    """The connections to all backends of one protocol.

    The pool must be created in a running event loop.  It implements `Upstream`: each started
    attempt ends exactly once, with a call of `on_attempt_end`.

    Args:
        make_protocol: Creates the codec of a new connection.
        max_connections: Maximum number of connections to all backends together.
        max_buffered_bytes: Maximum size of the incomplete responses on all connections together.
        connect_timeout: Seconds in which a connection must be established.
        backend_idle_timeout: Seconds after which a backend closes an idle connection.
        grace_period: Seconds for which a draining backend still accepts requests.
        clock: Returns the time in seconds.
        on_attempt_end: Called with the outcome of each attempt.
        timers: Timers for deadlines and short waits; the event loop by default.

    Attributes:
        endpoints: The backends by id.
        connection_count: Number of connections that are open or being opened.
        idle_limit: Limit on how long a connection may be idle before it is used again.
        buffered_bytes: Number of bytes received of incomplete responses, on all connections.
        failures: Counts the failed attempts that are logged.
        codec_faults: Counts the unexpected exceptions raised by codecs.
    """

    def __init__(
        self,
        make_protocol: BackendProtocolFactory,
        max_connections: int,
        max_buffered_bytes: int,
        connect_timeout: float,
        backend_idle_timeout: float,
        grace_period: float,
        clock: Clock,
        on_attempt_end: AttemptEndHandler,
        timers: Timers | None = None,
    ) -> None:
        self.make_protocol = make_protocol
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.drain_grace = max(0.0, grace_period * DRAIN_GRACE_FRACTION - MAX_PROCESS_PAUSE_S)
        self.idle_limit = IdleLimit(backend_idle_timeout)
        self.clock = clock
        self.report_outcome = on_attempt_end
        self.loop = asyncio.get_running_loop()
        self.timers: Timers = timers or self.loop
        self.endpoints: dict[str, Endpoint] = {}
        self.connection_count = 0
        self.failures = SampledLog(LOG_SAMPLING_INTERVAL)
        self.codec_faults = SampledLog(LOG_SAMPLING_INTERVAL)
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # The endpoint list

    def update_endpoints(
        self, full: bool, backends: tuple[Backend, ...], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Applies changed backends with their addresses by id, or the full list."""
        now = self.clock()
        if full:
            for name in self.endpoints.keys() - addresses.keys():
                self._begin_drain(self.endpoints[name], now, removed=True)
        for backend in backends:
            self._update_endpoint(backend, addresses[backend.id], now)
        for name, endpoint in list(self.endpoints.items()):
            deadline = endpoint.drain_deadline
            if endpoint.removed and deadline is not None and now > deadline:
                del self.endpoints[name]

    def _update_endpoint(self, backend: Backend, address: tuple[str, int], now: float) -> None:
        endpoint = self.endpoints.get(backend.id)
        if endpoint is None:
            endpoint = Endpoint(address, backend.started_at)
            self.endpoints[backend.id] = endpoint
        elif (
            endpoint.address != address
            or endpoint.started_at != backend.started_at
            or endpoint.removed
        ):
            endpoint.address = address
            endpoint.started_at = backend.started_at
            endpoint.incarnation += 1
            self._close_idle(endpoint)
        endpoint.removed = backend.readiness is Readiness.REMOVED
        if backend.readiness is Readiness.READY:
            endpoint.drain_deadline = None
        else:
            self._begin_drain(endpoint, now, removed=endpoint.removed)

    def _begin_drain(self, endpoint: Endpoint, now: float, removed: bool) -> None:
        if endpoint.drain_deadline is None:
            endpoint.drain_deadline = now + self.drain_grace
        if removed:
            endpoint.removed = True
            self._close_idle(endpoint)

    def _is_drained(self, endpoint: Endpoint) -> bool:
        """Returns whether the drain deadline has passed, so that no request may be written."""
        return endpoint.drain_deadline is not None and self.clock() >= endpoint.drain_deadline

    # Attempts

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt on an idle connection or on a new one."""
        endpoint = self.endpoints.get(attempt.backend)
        time_left = attempt.deadline - attempt.sent_at
        if endpoint is None or time_left <= 0 or self._is_drained(endpoint):
            self.finish(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.incarnation = endpoint.incarnation
        attempt.timer = self.timers.call_later(time_left, self._time_out, attempt)
        self._assign(endpoint, attempt, True)

    def _assign(self, endpoint: Endpoint, attempt: Attempt, may_wait: bool) -> None:
        """Writes the attempt on an idle connection, or opens a connection for it.

        With `may_wait`, the attempt first waits for a connection that was released less than
        `SETTLE_TIME_S` ago, if there is one.
        """
        if attempt.ended:
            return
        if self._is_drained(endpoint) or attempt.incarnation != endpoint.incarnation:
            self.finish(attempt, Outcome.CONNECT_FAILED)
            return
        if not may_wait and not _is_awaited(attempt):
            self.finish(attempt, Outcome.SUPERSEDED)
            return
        connection = self._take_idle(endpoint)
        if connection is not None:
            self._write(connection, attempt)
            return
        if may_wait and endpoint.idle:
            settled_at = endpoint.idle[0].idle_since + SETTLE_TIME_S
            delay = settled_at + TIMER_TOLERANCE_S - self.clock()
            self.timers.call_later(delay, self._assign, endpoint, attempt, False)
            return
        if self.connection_count >= self.max_connections and not self._close_oldest_idle():
            # The limit is local: the attempt must not count as a failure of the backend.
            self.log_failure(attempt.backend, "connection limit reached")
            self.finish(attempt, Outcome.SUPERSEDED)
            return
        self.connection_count += 1
        task = self.loop.create_task(self._connect(endpoint, attempt))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def _write(self, connection: BackendConnection, attempt: Attempt) -> None:
        assert connection.transport is not None
        now = self.clock()
        time_left = attempt.deadline - now
        if time_left <= 0 or now >= attempt.write_by:
            # The process stalled and the timer has not run yet, or the connection was established
            # late.  A request written now could run after its deadline or deduplication window.
            self.release(connection)
            self.finish(attempt, Outcome.CONNECT_FAILED)
            return
        try:
            data = connection.protocol.encode_request(attempt.call, time_left)
        except Exception as error:
            self._reject_unencodable(connection, attempt, error)
            return
        attempt.connection = connection
        connection.attempt = attempt
        idle_since = connection.idle_since
        connection.idle_duration = self.clock() - idle_since if idle_since else 0.0
        connection.transport.write(data)
        if attempt.on_written is not None:
            attempt.on_written(attempt)

    def _reject_unencodable(
        self, connection: BackendConnection, attempt: Attempt, error: Exception
    ) -> None:
        """Fails a call that the protocol can't express; none of its backends could serve it."""
        if not isinstance(error, ValueError) or isinstance(error, UnicodeError):
            self.log_codec_fault(error)
        self.log_failure(attempt.backend, f"request could not be encoded: {error}")
        self.release(connection)
        attempt.final_response = FAILED_RESPONSE
        self.finish(attempt, Outcome.SUPERSEDED)

    def cancel(self, attempt: Attempt) -> None:
        """Abandons the attempt; once this returns, no more bytes of it can be sent."""
        self._abandon(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the attempt if it has not been written yet; otherwise it continues."""
        if attempt.connection is None:
            self.finish(attempt, Outcome.SUPERSEDED)

    def _time_out(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is not None and not attempt.overdue and connection.has_unread_input():
            # The process was held up. The response may have arrived in time: timers fire before the
            # event loop reads.
            attempt.overdue = True
            attempt.timer = self.timers.call_later(READ_DELAY_S, self._time_out, attempt)
            return
        # An attempt without a connection was not written, so it did not run.
        self._abandon(attempt, Outcome.TIMEOUT if attempt.connection else Outcome.CONNECT_FAILED)

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            attempt.connection.close()
        self.finish(attempt, outcome)

    def finish(
        self,
        attempt: Attempt,
        outcome: Outcome,
        value: bytes | None = None,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
    ) -> None:
        """Reports the outcome of an attempt unless the attempt has ended already."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.report_outcome(attempt, outcome, value, load_report)

    # Connections

    async def _connect(self, endpoint: Endpoint, attempt: Attempt) -> None:
        """Opens a connection for an attempt; the caller has added it to `connection_count`."""
        address = endpoint.address
        incarnation = endpoint.incarnation
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with PeerTimeout(self.connect_timeout):
                await self.loop.sock_connect(sock, address)
            connection = BackendConnection(self, endpoint, incarnation, sock)
            await self.loop.create_connection(lambda: cast(asyncio.Protocol, connection), sock=sock)
        except BaseException as error:
            self.connection_count -= 1
            if sock is not None:
                sock.close()
            if not isinstance(error, OSError | TimeoutError):
                raise
            self._fail_connect(attempt, error)
            return
        self._use_new(connection, attempt)

    def _fail_connect(self, attempt: Attempt, error: Exception) -> None:
        if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
            self.log_failure(attempt.backend, f"connect: {error}")
            self.finish(attempt, Outcome.SUPERSEDED)
        else:
            self.finish(attempt, Outcome.CONNECT_FAILED)

    def _use_new(self, connection: BackendConnection, attempt: Attempt) -> None:
        if not connection.is_open:
            self.finish(attempt, Outcome.CONNECT_FAILED)
        elif attempt.ended:
            self.release(connection)
        elif (
            self._is_drained(connection.endpoint)
            or not connection.is_current()
            or attempt.incarnation != connection.incarnation
        ):
            # While the connection was being opened, the grace period ended or the backend was
            # replaced.
            connection.close()
            self.finish(attempt, Outcome.CONNECT_FAILED)
        elif not _is_awaited(attempt):
            self.release(connection)
            self.finish(attempt, Outcome.SUPERSEDED)
        else:
            self._write(connection, attempt)

    def _take_idle(self, endpoint: Endpoint) -> BackendConnection | None:
        """Removes and returns the most recently used idle connection, or returns None.

        A connection released less than `SETTLE_TIME_S` ago is passed over: a duplicate of its
        response that arrives in a later read would be mistaken for the next response.
        """
        idle = endpoint.idle
        if not idle:
            return None
        now = self.clock()
        index = len(idle)
        while index > 0:
            index -= 1
            connection = idle[index]  # closing it removes it; earlier ones keep their index
            if connection.idle_since > now - SETTLE_TIME_S:
                continue
            within_limit = connection.idle_since >= now - self.idle_limit.seconds
            if within_limit and not connection.has_unread_input():
                del idle[index]
                return connection
            connection.close()
        return None

    def release(self, connection: BackendConnection) -> None:
        """Returns a connection to the pool after its request has ended."""
        if not connection.is_current():
            connection.close()
        elif connection.is_open:
            connection.idle_since = self.clock()
            connection.endpoint.idle.append(connection)

    def remove(self, connection: BackendConnection) -> None:
        """Removes a closed connection from the pool."""
        self.connection_count -= 1
        idle = connection.endpoint.idle
        if connection in idle:
            idle.remove(connection)

    def close_idle(self, backend: str) -> None:
        """Closes the idle connections to a backend."""
        if backend in self.endpoints:
            self._close_idle(self.endpoints[backend])

    def _close_idle(self, endpoint: Endpoint) -> None:
        for connection in list(endpoint.idle):
            connection.close()

    def _close_oldest_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether one was closed."""
        oldest: BackendConnection | None = None
        for endpoint in self.endpoints.values():
            if not endpoint.idle:
                continue
            connection = endpoint.idle[0]
            if oldest is None or connection.idle_since < oldest.idle_since:
                oldest = connection
        if oldest is None:
            return False
        oldest.close()
        return True

    def _sweep(self) -> None:
        """Closes the connections that the backends are about to close."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.idle_limit.recover(SWEEP_INTERVAL_S)
        expired_before = self.clock() - self.idle_limit.seconds
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < expired_before:
                endpoint.idle[0].close()

    def close(self) -> None:
        """Closes the idle connections; attempts in flight continue."""
        self.sweep_timer.cancel()
        for endpoint in self.endpoints.values():
            self._close_idle(endpoint)

    # Logs

    def log_failure(self, backend: str, reason: str) -> None:
        """Counts a failed attempt and logs a sample, since its cause concerns an operator."""
        if self.failures.record():
            log.warning("failed attempt %d, backend %s: %s", self.failures.count, backend, reason)

    def log_codec_fault(self, error: Exception) -> None:
        """Counts an unexpected exception raised by a codec, and logs a sample."""
        if self.codec_faults.record():
            log.error("codec fault %d", self.codec_faults.count, exc_info=error)


def _is_awaited(attempt: Attempt) -> bool:
    """Returns whether a client still waits for an attempt, which had to wait for a connection."""
    return attempt.is_awaited is None or attempt.is_awaited()
