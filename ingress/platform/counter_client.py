"""Client of the shared counter; pipelines calls on a few connections, matches answers by order."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable
from typing import Final, cast

from ingress.core.clock import Clock
from ingress.policy.events import CounterReply, Outcome
from ingress.transport.peer_timeout import PeerTimeout
from ingress.transport.socket_state import has_unread_input

log = logging.getLogger(__name__)

DEFAULT_TIMEOUT_S: Final = 0.05  # of a call, if the settings give none
CONNECT_TIMEOUT_FACTOR: Final = 5  # connect timeout, in call timeouts
SILENCE_TIMEOUT_FACTOR: Final = 6  # replaces a silent connection after so many call timeouts
IDLE_TIMEOUT_S: Final = 8.0  # the counter closes a connection after about 10 s of idleness
MIN_IDLE_RECHECK_S: Final = 0.5
READ_DELAY_S: Final = 0.002  # for the event loop to read an answer that has arrived
MAX_LATE_ANSWER_AGE_S: Final = 2.0  # a later total mixes with additions by others since the call
MAX_CONNECTIONS: Final = 8  # of the 32 that the counter accepts from one instance
MAX_PENDING_CALLS: Final = 2000  # unanswered; further calls are rejected
MAX_LINE_BYTES: Final = 256  # of an answer
MIN_LIFETIME_MS: Final = 1
MAX_LIFETIME_MS: Final = 60_000
MAX_FAULTS_LOGGED: Final = 20  # each; later ones by the interval below
FAULT_LOG_INTERVAL: Final = 100  # one in so many later faults is logged
MAX_LOGGED_ANSWER_BYTES: Final = 40

TOTAL_ANSWER = re.compile(rb"ok (-?[0-9]{1,18}(?:\.[0-9]{1,18})?(?:[eE][-+]?[0-9]{1,2})?)")


class CounterCall:
    """One call, from the policy's `AddToCounter` to its `CounterReply`.

    Attributes:
        connection: The connection to which the call was written, or None.
        overdue: Whether the timeout has passed while answers were unread.
    """

    __slots__ = ("connection", "key", "line", "overdue", "reported", "started_at", "timer")

    def __init__(self, key: int, line: bytes, started_at: float) -> None:
        self.key = key
        self.line = line
        self.started_at = started_at
        self.reported = False
        self.overdue = False
        self.connection: CounterConnection | None = None
        self.timer: asyncio.TimerHandle | None = None


class CounterConnection(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, client: CounterClient) -> None:
        self.client = client
        self.transport: asyncio.Transport | None = None
        self.last_written_at = 0.0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.pending: deque[CounterCall] = deque()  # written and unanswered, in order
        self.partial_line = b""  # incomplete last line
        self.retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop has a class of its own

    def data_received(self, data: bytes) -> None:
        """Matches each line to the oldest pending call; closes the connection at a mismatch."""
        lines = (self.partial_line + data).split(b"\n")
        self.partial_line = lines.pop()
        for line in lines:
            if not self.pending:
                self.client.log_fault("answer without a pending call")
                self.drop()
                return
            if not self.client.handle_answer(self.pending.popleft(), line.strip()):
                self.drop()
                return
        if self.retired and not self.pending:
            self.drop()
        if len(self.partial_line) > MAX_LINE_BYTES:
            self.client.log_fault("answer line too long")
            self.drop()

    def eof_received(self) -> None:
        """Closes the connection."""
        self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the connection."""
        self.drop()

    def has_unread_input(self) -> bool:
        """Returns whether answers, or the end of the connection, have arrived and are not read."""
        if self.transport is None:
            return False
        return has_unread_input(self.transport.get_extra_info("socket"))

    def retire(self, timeout: float) -> None:
        """Closes the connection after its last answer, or after `timeout` seconds."""
        self.retired = True
        if self.pending:
            self.client.loop.call_later(timeout, self._end_retirement)
        else:
            self.drop()

    def _end_retirement(self) -> None:
        """Closes the connection once the answers that have arrived are read."""
        if self.has_unread_input():
            self.client.loop.call_later(READ_DELAY_S, self.drop)
        else:
            self.drop()

    def drop(self) -> None:
        """Closes the connection.  Its pending calls time out, as they may have been added."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.client.remove_connection(self)
        while self.pending:
            self.client.report(self.pending.popleft(), Outcome.TIMEOUT)


class CounterClient:
    """Client of the counter.

    Each call gets exactly one `CounterReply`, and a second one if its total arrives after the
    timeout.

    Args:
        address: Host and port of the counter.
        timeout: Seconds until a call times out; 0 selects `DEFAULT_TIMEOUT_S`.
        clock: Time in seconds, from which the latency of replies is computed.
        on_reply: Called with each reply, never before `call` returns.
    """

    def __init__(
        self,
        address: tuple[str, int],
        timeout: float,
        clock: Clock,
        on_reply: Callable[[CounterReply], None],
    ) -> None:
        self.address = address
        self.timeout = timeout or DEFAULT_TIMEOUT_S
        self.clock = clock
        self.on_reply = on_reply
        self.loop = asyncio.get_running_loop()
        self.connections: list[CounterConnection] = []
        self.faults = 0
        self.connecting: asyncio.Task[None] | None = None  # to the current address
        self.tasks: set[asyncio.Task[None]] = set()
        self.unsent: deque[CounterCall] = deque()  # waiting for the first connection

    def call(self, key: int, amount: float, lifetime: float) -> None:
        """Adds to a counter key and requests its total.

        Args:
            key: The counter key.
            amount: Units to add; 0 only requests the total, a negative number returns units.
            lifetime: Seconds for which the counter keeps the key.
        """
        lifetime_ms = min(max(MIN_LIFETIME_MS, round(lifetime * 1000)), MAX_LIFETIME_MS)
        line = b"add %d %s %d\r\n" % (key, _decimal(amount), lifetime_ms)
        call = CounterCall(key, line, self.clock())
        pending = len(self.unsent) + sum(len(other.pending) for other in self.connections)
        if pending >= MAX_PENDING_CALLS:
            self.loop.call_soon(self.report, call, Outcome.OVERLOADED)
            return
        call.timer = self.loop.call_later(self.timeout, self._time_out, call)
        self._drop_silent(call.started_at)
        connection = min(self.connections, key=lambda other: len(other.pending), default=None)
        # The counter is partitioned by key, and one partition may be slow: a call queued behind
        # another waits for that answer too, so one more connection is opened.
        if (
            (connection is None or connection.pending)
            and self.connecting is None
            and len(self.connections) < MAX_CONNECTIONS
        ):
            self._start_connecting()
        if connection is None:
            self.unsent.append(call)
        else:
            self._write(connection, call)

    def _drop_silent(self, now: float) -> None:
        """Closes open connections that are silent: all their calls would time out indefinitely."""
        oldest = now - SILENCE_TIMEOUT_FACTOR * self.timeout
        silent = [
            other
            for other in self.connections
            if other.pending
            and other.pending[0].started_at < oldest
            and not other.has_unread_input()
        ]
        for connection in silent:
            self.log_fault("silent connection replaced")
            connection.drop()

    def change_address(self, address: tuple[str, int]) -> None:
        """Sends further calls to `address`; the old one may still answer pending calls."""
        self.address = address
        former = self.connections
        self.connections = []
        self.connecting = None
        for connection in former:
            connection.retire(self.timeout)
        if self.unsent:
            self._start_connecting()

    def _start_connecting(self) -> None:
        task = self.loop.create_task(self._connect())
        self.connecting = task
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _write(self, connection: CounterConnection, call: CounterCall) -> None:
        assert connection.transport is not None
        connection.pending.append(call)
        call.connection = connection
        connection.transport.write(call.line)
        connection.last_written_at = call.started_at

    async def _connect(self) -> None:
        connection: CounterConnection | None = None
        try:
            async with PeerTimeout(CONNECT_TIMEOUT_FACTOR * self.timeout):
                _, connection = await self.loop.create_connection(
                    lambda: CounterConnection(self), *self.address
                )
        except (OSError, TimeoutError) as error:
            log.debug("counter connection failed: %s", error)
        if self.connecting is not asyncio.current_task():
            # The address changed while connecting: this connection leads to the old one.
            if connection is not None:
                connection.drop()
            return
        self.connecting = None
        unsent = self.unsent
        self.unsent = deque()
        if connection is not None and connection.transport is not None:
            self._start_using(connection, unsent)
        else:
            for call in unsent:
                self.report(call, Outcome.CONNECT_FAILED)

    def _start_using(self, connection: CounterConnection, unsent: deque[CounterCall]) -> None:
        self.connections.append(connection)
        connection.last_written_at = self.clock()
        connection.idle_timer = self.loop.call_later(IDLE_TIMEOUT_S, self._check_idle, connection)
        for call in unsent:
            if not call.reported:  # otherwise it timed out and was reported as not sent
                self._write(connection, call)

    def _check_idle(self, connection: CounterConnection) -> None:
        """Closes an idle connection before the counter does, which could lose a call in transit."""
        remaining = connection.last_written_at + IDLE_TIMEOUT_S - self.clock()
        if remaining <= 0 and not connection.pending:
            connection.drop()
        else:
            connection.idle_timer = self.loop.call_later(
                max(remaining, MIN_IDLE_RECHECK_S), self._check_idle, connection
            )

    def _time_out(self, call: CounterCall) -> None:
        """Reports a call that has timed out.

        The units of a call that was written may have been added, or may still be; the call keeps
        its place in the order of answers.
        """
        connection = call.connection
        if connection is not None and not call.overdue and connection.has_unread_input():
            # The process was held up. The answer may have arrived in time: timers fire before the
            # event loop reads.
            call.overdue = True
            call.timer = self.loop.call_later(READ_DELAY_S, self._time_out, call)
            return
        call.timer = None
        never_sent = any(other is call for other in self.unsent)
        self.report(call, Outcome.CONNECT_FAILED if never_sent else Outcome.TIMEOUT)

    def handle_answer(self, call: CounterCall, line: bytes) -> bool:
        """Reports the answer to a call; returns whether it is well-formed.

        A malformed answer may mean anything: the units count as added, and later answers on the
        connection are not trusted.
        """
        if match := TOTAL_ANSWER.fullmatch(line):
            total = float(match[1])
            if call.reported and self.clock() - call.started_at < MAX_LATE_ANSWER_AGE_S:
                # The answer is late, but its total is still that at the time of the call.
                self.on_reply(
                    CounterReply(call.key, Outcome.OK, total, self.clock() - call.started_at)
                )
            self.report(call, Outcome.OK, total)
        elif line == b"busy":
            self.report(call, Outcome.OVERLOADED)
        elif line == b"error":
            self.log_fault("call rejected: %r", call.line)
            self.report(call, Outcome.OVERLOADED)
        else:
            self.log_fault("malformed answer %r", line[:MAX_LOGGED_ANSWER_BYTES])
            self.report(call, Outcome.TIMEOUT)
            return False
        return True

    def log_fault(self, text: str, *values: object) -> None:
        """Logs a fault; only some of many, so that a repeated fault does not flood the log."""
        self.faults += 1
        if self.faults <= MAX_FAULTS_LOGGED or self.faults % FAULT_LOG_INTERVAL == 0:
            log.warning("counter fault %d: %s", self.faults, text % values)

    def report(self, call: CounterCall, outcome: Outcome, total: float = 0.0) -> None:
        """Reports the outcome of a call, unless one was reported already."""
        if call.reported:
            return
        call.reported = True
        if call.timer is not None:
            call.timer.cancel()
        self.on_reply(CounterReply(call.key, outcome, total, self.clock() - call.started_at))

    def remove_connection(self, connection: CounterConnection) -> None:
        """Stops using a connection."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close(self) -> None:
        """Closes all connections."""
        for connection in list(self.connections):
            connection.drop()


def _decimal(value: float) -> bytes:
    """Formats a plain decimal number, with no exponent and no more digits than needed."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return b"0" if text in ("", "-0") else text.encode()
