"""Stub grid servers: cores, a queue, cold starts with overload, a memory of keys, drains and faults."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, cast

import hiredis

from ingress.testbed.deployment import Deployment
from ingress.testbed.loopback_addresses import STUBS, host
from ingress.testbed.record import Arrival, Record, Start

if TYPE_CHECKING:
    from ingress.testbed.links import Side

MAX_CONNECTIONS = 1000
IDLE_TIMEOUT_S = 15.0
MALFORMED_REPLY = b"*3\r\n$-1\r\n$-1\r\n$-1\r\n"


class KeyMemory:
    """The idempotency keys that a group of servers remembers.

    A repeat within its class's deduplication window has no effect.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.run_at: dict[str, float] = {}  # by key

    def record_run(self, key: str, now: float, window: float) -> bool:
        """Returns whether a run with the key takes effect, and remembers the key if so.

        Args:
            key: The idempotency key.
            now: The time in seconds.
            window: Seconds for which the class's keys are remembered.
        """
        if now < self.run_at.get(key, float("-inf")) + window:
            return False
        self.run_at[key] = now
        return True


class ServerConnection(asyncio.Protocol):
    """A connection from an ingress.  A request starts once its last byte is received."""

    def __init__(self, server: GridServer, ingress: int) -> None:
        self.server, self.ingress, self.reader = server, ingress, hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.command_began_at: float | None = None  # first byte of an incomplete command
        self.unanswered: deque[Arrival] = deque()  # in the order of the responses
        self.responses: dict[str, bytes] = {}  # not written yet, by request id
        self.link_side: Side | None = None
        self.last_used = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.last_used = self.server.clock()
        if len(self.server.connections) >= MAX_CONNECTIONS:
            self.transport.abort()
        self.server.connections.add(self)

    def record_receipt(self) -> float:
        """Returns the time of a receipt, and sets when the command that it belongs to began."""
        if self.link_side is None and self.transport is not None:
            self.link_side = self.server.pairs.get(self.transport.get_extra_info("peername")[1])
        now = self.server.clock()
        if self.command_began_at is None:
            # The ingress sent it before the link's delay.
            self.command_began_at = now - (
                self.link_side.link.delay
                if self.link_side and self.link_side.link.mode == "delay"
                else 0.0
            )
        return now

    def data_received(self, data: bytes) -> None:
        now = self.record_receipt()
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not False:
                self.last_used = now
                if not self.handle_greeting(words):
                    self.server.receive_command(
                        self,
                        words,
                        now if self.command_began_at is None else self.command_began_at,
                        now,
                    )
                self.command_began_at = now
        except hiredis.HiredisError:
            self.abort()
            return
        if not self.reader.has_data():
            self.command_began_at = None

    def handle_greeting(self, words: list[bytes]) -> bool:
        """Returns whether the command is the dialect's greeting, which it answers."""
        return False

    def send_value(self, arrival: Arrival, value: bytes) -> None:
        self.write(arrival, b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))

    def send_busy(self, arrival: Arrival) -> None:
        self.write(arrival, b"-BUSY\r\n")

    def send_malformed(self, arrival: Arrival) -> None:
        self.write(arrival, MALFORMED_REPLY)

    def send_unclear(self, arrival: Arrival) -> None:
        """Answers a request that ran with an error that does not say so."""
        self.write(arrival, b"-ERR failed\r\n")

    def send_accepted(self, arrival: Arrival) -> None:
        """Answers a request that ran with a promise of its result.

        A dialect without such a response sends its unclear error.
        """
        self.send_unclear(arrival)

    def write(self, arrival: Arrival, data: bytes) -> None:
        """Writes a response once all earlier commands have theirs."""
        self.responses[arrival.id] = data
        while (
            self.unanswered
            and (response := self.responses.pop(self.unanswered[0].id, None)) is not None
        ):
            done = self.unanswered.popleft()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.write(response)
                done.out_until = min(done.out_until, self.server.clock())

    def eof_received(self) -> None:
        self._end_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end_requests()
        self.server.connections.discard(self)

    def _end_requests(self) -> None:
        ended = self.server.clock()
        if self.link_side is not None:
            ended = min(
                ended, self.link_side.other.ended
            )  # when the ingress ended it, before the link's delay
        for arrival in self.unanswered:
            arrival.out_until = min(arrival.out_until, ended)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self._end_requests()
            self.transport.abort()


class GridServer:
    """One grid server.

    Attributes:
        fault: reset, silent, spoil, busy, unclear or later; empty for none.
        slower: The factor that divides the server's speed.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        speed: float,
        deployment: Deployment,
        keys: KeyMemory,
        record: Record,
        clock: Callable[[], float],
        pairs: dict[int, Side],
        seed: int,
    ) -> None:
        self.name, self.zone, self.cell, self.speed = name, zone, cell, speed
        self.deployment, self.keys, self.record, self.clock = deployment, keys, record, clock
        self.pairs, self.seed, self.loop = pairs, seed, asyncio.get_running_loop()
        self.make_connection: Callable[[GridServer, int], ServerConnection] = (
            ServerConnection  # creates a protocol for each connection
        )
        self.connections: set[ServerConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.running: dict[str, asyncio.TimerHandle] = {}  # by request id
        self.queue: deque[tuple[ServerConnection, Arrival]] = deque()
        self.busy, self.served_count, self.slower = 0, 0, 1.0
        self.start: Start | None = None  # of this process, if it started cold
        self.recent_work: deque[tuple[float, float]] = deque()  # time and work of each arrival
        self.fault, self.fell, self.closed, self.draining = "", False, False, False
        self.kind, self.dialect = "small-2c", "resp2-v1"  # the kind in endpoint lists
        self.idle_timer = self.loop.call_later(1.0, self._close_idle_connections)

    async def open(self, ingresses: int, ports: list[int] | None = None) -> list[tuple[str, int]]:
        """Listens on one port for each ingress, which identifies the sender.

        Args:
            ingresses: The number of ingresses.
            ports: The ports to listen on; by default the system chooses them.

        Returns:
            The addresses, in the order of the ingresses.
        """
        self.closed = self.draining = self.fell = False
        self.servers = [
            await self.loop.create_server(partial(self.make_connection, self, n), host(STUBS), port)
            for n, port in enumerate(ports or [0] * ingresses)
        ]
        return [server.sockets[0].getsockname() for server in self.servers]

    def begin_cold(self) -> None:
        d = self.deployment
        self.start = Start(self.name, self.clock(), d.cores * self.speed, d.cold_share, d.cold_time)
        self.record.starts.append(self.start)

    def end(self) -> None:
        """Ends the process: resets its connections, refuses new ones and loses its work."""
        self.closed = True
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()
        for handle in self.running.values():
            handle.cancel()
        self.running.clear()
        self.queue.clear()
        self.busy = 0

    def ports(self) -> list[int]:
        return [server.sockets[0].getsockname()[1] for server in self.servers]

    def stop_listening(self) -> None:
        for server in self.servers:
            server.close()
        self.servers = []

    def close(self) -> None:
        self.idle_timer.cancel()
        self.end()

    def capacity(self, at: float) -> float:
        """Returns the work per second that the server can do, which is less while it warms up."""
        full = self.deployment.cores * self.speed
        if self.start is None:
            return full
        warm = min(1.0, (at - self.start.at) / self.start.cold_time)
        return full * (self.start.cold_share + (1 - self.start.cold_share) * warm)

    def receive_command(
        self, connection: ServerConnection, words: list[bytes], first: float, now: float
    ) -> None:
        arrival = self._read(connection, words, first, now)
        if arrival is not None:
            self.arrived(connection, arrival)
        elif connection.transport is not None:
            connection.transport.write(b"-SYNTAX\r\n")

    def arrived(self, connection: ServerConnection, arrival: Arrival) -> None:
        """Handles a complete request of any protocol."""
        now = arrival.at
        arrival.dialect = self.dialect
        if self.fault == "reset":
            connection.abort()
        self.record.arrivals.append(arrival)
        if self.fault == "reset":
            arrival.out_until = now
            return
        connection.unanswered.append(arrival)
        self._check_cold_overload(arrival, now)
        if self.fell or self.fault == "silent":
            return
        if self.fault == "spoil":
            connection.send_malformed(arrival)
        elif self.fault == "busy" or self.draining or len(self.queue) >= self.deployment.queue:
            arrival.may_have_run = False
            connection.send_busy(arrival)
        elif self.busy < self.deployment.cores:
            self._begin(connection, arrival)
        else:
            self.queue.append((connection, arrival))

    def _read(
        self, connection: ServerConnection, words: list[bytes], first: float, now: float
    ) -> Arrival | None:
        try:
            verb, customer, name, text, *body = (word.decode("latin-1") for word in words)
            names = dict(pair.split("=", 1) for pair in text.split(","))
            cls = self.deployment.by_class[names["c"]]
            if verb != ("API.READ" if cls.semantics == "safe" else "API.WRITE") or len(body) > 1:
                return None
            self.deployment.by_plan[names["t"]]
            work = self.work(name)
            return Arrival(
                name,
                customer,
                names["t"],
                names["c"],
                names.get("k", ""),
                float(names["units"]),
                self.name,
                connection.ingress,
                first,
                now,
                work,
                memory=self.keys.name,
            )
        except (KeyError, ValueError, AttributeError, UnicodeDecodeError):
            return None

    def work(self, name: str) -> float:
        """Returns a request's work: exponential, with the tail cut off at five times the mean."""
        rng = random.Random(f"{self.seed} {name} {self.name}")
        return min(rng.expovariate(1.0), 5.0) * self.deployment.mean_work

    def _check_cold_overload(self, arrival: Arrival, now: float) -> None:
        """Makes a cold process that receives too much work fall over for good."""
        d = self.deployment
        if self.start is None or now > self.start.at + self.start.cold_time:
            return
        self.recent_work.append((now, arrival.work))
        while self.recent_work[0][0] < now - d.fall_time:
            self.recent_work.popleft()
        budget = d.fall_factor * self.capacity(now) * d.fall_time
        if sum(work for _, work in self.recent_work) > budget + 4.0 * d.mean_work:
            self.fell = True

    def _begin(self, connection: ServerConnection, arrival: Arrival) -> None:
        self.busy += 1
        now = self.clock()
        rate = self.capacity(now) / self.deployment.cores / self.slower
        cls = self.deployment.by_class[arrival.request_class]
        arrival.effect = cls.semantics != "safe" and (
            not arrival.key or self.keys.record_run(arrival.key, now, cls.window)
        )
        self.running[arrival.id] = self.loop.call_later(
            arrival.work / rate, self._done, connection, arrival
        )

    def _done(self, connection: ServerConnection, arrival: Arrival) -> None:
        self.running.pop(arrival.id, None)
        self.busy -= 1
        if not self.fell and self.fault != "silent":
            if self.fault in ("unclear", "later"):
                (connection.send_unclear if self.fault == "unclear" else connection.send_accepted)(
                    arrival
                )
                self._next()
                return
            self.served_count += 1
            value = b"%b of %b, answer %d" % (
                arrival.id.encode(),
                self.name.encode(),
                self.served_count,
            )
            arrival.value = value
            connection.send_value(arrival, value)
        self._next()

    def _next(self) -> None:
        while self.queue and self.busy < self.deployment.cores:
            connection, arrival = self.queue.popleft()
            if arrival.out_until < self.clock():
                arrival.may_have_run = False  # dropped without a run: the client no longer waits
                continue
            self._begin(connection, arrival)

    def _close_idle_connections(self) -> None:
        self.idle_timer = self.loop.call_later(1.0, self._close_idle_connections)
        now = self.clock()
        for connection in list(self.connections):
            if (
                not connection.unanswered
                and now - connection.last_used > IDLE_TIMEOUT_S
                and connection.transport is not None
            ):
                connection.transport.close()
