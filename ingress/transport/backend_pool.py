"""A pool of connections to backends, the attempts made on them, and how each attempt ended."""

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
from ingress.transport.sampled_log import SampledLog

log = logging.getLogger(__name__)

# Of a drain's grace, from when the change was read, less the time for which the process may be held
# up: the rest is for the agent, which may have had it earlier.
DRAIN_GRACE_FRACTION: Final = 0.5
# From a response until its connection is used again: a duplicate of the response may come late.
SETTLE_TIME_S: Final = 0.02
TIMER_TOLERANCE_S: Final = 0.001  # by which a timer may fire early
LOG_SAMPLING_INTERVAL: Final = 100  # of repeated events, one in this many is logged
LOCAL_RESOURCE_ERRORS: Final = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
)
SWEEP_INTERVAL_S: Final = 1.0  # between checks for connections that were idle for too long


class BackendPool:
    """The connections to all backends of one protocol; it is made in a running event loop.

    It is an `Upstream`: each attempt that is started ends exactly once, with a call of `ended`.

    Args:
        make_protocol: Makes the codec of one connection.
        max_connections: Of all backends together.
        max_buffered_bytes: Of incomplete responses on all connections together.
        connect_timeout: Seconds for a connection to come up.
        idle_time: Seconds after which a backend closes an idle connection.
        grace: Seconds for which a draining backend still takes requests.
        clock: The time in seconds.
        ended: Called with the outcome of each attempt.
        timers: For deadlines and short waits; the event loop's own by default.

    Attributes:
        endpoints: The backends by id.
        connection_count: Connections that are open or being opened.
        idle_limit: How long a connection may be idle.
        buffered_bytes: What was received on all connections of incomplete responses.
        failures: Counts failed attempts that are logged.
        codec_faults: Counts exceptions that no codec may raise.
    """

    def __init__(
        self,
        make_protocol: BackendProtocolFactory,
        max_connections: int,
        max_buffered_bytes: int,
        connect_timeout: float,
        idle_time: float,
        grace: float,
        clock: Clock,
        ended: AttemptEndHandler,
        timers: Timers | None = None,
    ) -> None:
        self.make_protocol = make_protocol
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.drain_grace = max(0.0, grace * DRAIN_GRACE_FRACTION - MAX_PROCESS_PAUSE_S)
        self.idle_limit = IdleLimit(idle_time)
        self.clock = clock
        self.report_outcome = ended
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

    def change(
        self, full: bool, backends: tuple[Backend, ...], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Takes changed backends with their addresses by id, or the full list."""
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
        """Returns whether nothing new may be written to the backend."""
        return endpoint.drain_deadline is not None and self.clock() >= endpoint.drain_deadline

    # Attempts

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt on an idle connection, or a new one."""
        endpoint = self.endpoints.get(attempt.backend)
        time_left = attempt.deadline - attempt.sent_at
        if endpoint is None or time_left <= 0 or self._is_drained(endpoint):
            self.finish(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.timer = self.timers.call_later(time_left, self._time_out, attempt)
        self._assign(endpoint, attempt, True)

    def _assign(self, endpoint: Endpoint, attempt: Attempt, may_wait: bool) -> None:
        """Writes the attempt on an idle connection, or opens one.

        With `may_wait` it first waits for a connection that was released a moment ago.
        """
        if attempt.ended:
            return
        if self._is_drained(endpoint):
            self.finish(attempt, Outcome.CONNECT_FAILED)
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
            # The limit is ours: the backend must not count as failed.
            self.log_failure(attempt.backend, "the limit of connections is reached")
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
            # The process stalled and the timer is not served yet, or the connection came up late:
            # a write could do harm now.
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
        """Fails a call that the protocol can't express: no other backend of it could take it."""
        if not isinstance(error, ValueError) or isinstance(error, UnicodeError):
            self.log_codec_fault(error)
        self.log_failure(attempt.backend, f"request not encoded: {error}")
        self.release(connection)
        attempt.final_response = FAILED_RESPONSE
        self.finish(attempt, Outcome.SUPERSEDED)

    def cancel(self, attempt: Attempt) -> None:
        """Abandons the attempt: when this returns, nothing more of it can be sent."""
        self._abandon(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the attempt if it is not written yet; otherwise it runs on."""
        if attempt.connection is None:
            self.finish(attempt, Outcome.SUPERSEDED)

    def _time_out(self, attempt: Attempt) -> None:
        # What was never written never ran: the connection did not come up in time.
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
        """Reports the outcome of an attempt, unless it has ended already."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.report_outcome(attempt, outcome, value, load_report)

    # Connections

    async def _connect(self, endpoint: Endpoint, attempt: Attempt) -> None:
        """Opens a connection for an attempt, whose caller has counted it."""
        address = endpoint.address
        incarnation = endpoint.incarnation
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout(self.connect_timeout):
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
        elif self._is_drained(connection.endpoint) or not connection.is_current():
            # The grace ran out, or the backend was replaced, while the connection came up.
            connection.close()
            self.finish(attempt, Outcome.CONNECT_FAILED)
        else:
            self._write(connection, attempt)

    def _take_idle(self, endpoint: Endpoint) -> BackendConnection | None:
        """Removes and returns the idle connection that was used last.

        One that was released less than `SETTLE_TIME_S` ago stays: a duplicate of its response that
        comes in a later read would pass for the next response.
        """
        idle = endpoint.idle
        if not idle:
            return None
        now = self.clock()
        index = len(idle)
        while index > 0:
            index -= 1
            connection = idle[index]  # to close it removes it; those before keep their index
            if connection.idle_since > now - SETTLE_TIME_S:
                continue
            in_time = connection.idle_since >= now - self.idle_limit.seconds
            if in_time and not connection.has_unread_input():
                del idle[index]
                return connection
            connection.close()
        return None

    def release(self, connection: BackendConnection) -> None:
        """Takes back a connection whose request has ended."""
        if not connection.is_current():
            connection.close()
        elif connection.is_open:
            connection.idle_since = self.clock()
            connection.endpoint.idle.append(connection)

    def forget(self, connection: BackendConnection) -> None:
        """Forgets a connection that was closed."""
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
        """Closes the connection that has been idle longest; returns whether there was one."""
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
        """Closes connections that their backends are about to close."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.idle_limit.recover(SWEEP_INTERVAL_S)
        expired_before = self.clock() - self.idle_limit.seconds
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since < expired_before:
                endpoint.idle[0].close()

    def close(self) -> None:
        """Closes the idle connections; the others run on."""
        self.sweep_timer.cancel()
        for endpoint in self.endpoints.values():
            self._close_idle(endpoint)

    # Logs

    def log_failure(self, backend: str, reason: str) -> None:
        """Counts a failed attempt whose cause an operator should know."""
        if self.failures.record():
            log.warning("failed attempt %d, backend %s: %s", self.failures.count, backend, reason)

    def log_codec_fault(self, error: Exception) -> None:
        """Counts an exception that no codec may raise."""
        if self.codec_faults.record():
            log.error("codec fault %d", self.codec_faults.count, exc_info=error)
