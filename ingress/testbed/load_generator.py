"""Clients in separate processes on the testbed's clock, so that the ingress is the bottleneck."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import os
import signal
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from multiprocessing.connection import Connection
from typing import Any

from ingress.testbed.clients import Customers, IngressRoute
from ingress.testbed.deployment import Deployment
from ingress.testbed.record import Record

MAX_RATE_PER_PROCESS = 500.0  # first attempts per second that one client process generates at most
MAX_PROCESSES = 8  # client processes
ROUTE_UPDATE_INTERVAL_S = 0.1  # s between checks for route changes to send to the client processes
LAG_PROBE_INTERVAL_S = 0.05  # s between samples of a process's scheduling delay
Address = tuple[str, int]


@dataclass(slots=True)
class ProcessRecord:
    """The record of one client process."""

    record: Record = field(default_factory=Record)
    asked: list[tuple[float, str, str, str, float]] = field(default_factory=list)
    not_taken: int = 0
    peak_connections: int = 0
    behind: float = 0.0


def process_count(rate: float) -> int:
    """Returns the number of client processes for a rate."""
    return min(MAX_PROCESSES, max(1, -(-int(rate) // int(MAX_RATE_PER_PROCESS))))


def receive_messages(
    connection: Connection, loop: asyncio.AbstractEventLoop, on_message: Callable[[Any], None]
) -> None:
    """Calls `on_message` in the loop with each received message, and with None at the end.

    A daemon thread reads, since messages may be large; it ends with the connection and keeps no
    process alive.
    """

    def read() -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed after the run
            try:
                while True:
                    loop.call_soon_threadsafe(on_message, connection.recv())
            except (EOFError, OSError):
                loop.call_soon_threadsafe(on_message, None)

    threading.Thread(target=read, daemon=True).start()


class ClientProcesses:
    """Replaces `Customers`: the same interface and results, from several processes."""

    def __init__(
        self,
        count: int,
        deployment: Deployment,
        record: Record,
        clock: Callable[[], float],
        zero: float,
        seed: int,
        dialects: Mapping[str, float],
    ) -> None:
        self.loop, self.record, self.clock = asyncio.get_running_loop(), record, clock
        self.routes = [IngressRoute() for _ in range(deployment.ingresses)]
        self.asked: list[tuple[float, str, str, str, float]] = []
        self.not_taken, self.peak_connections, self.behind = 0, 0, 0.0
        self.progress = [(0, 0)] * count  # attempts and open requests last reported by each process
        self.parts: dict[int, ProcessRecord] = {}
        self.finished = asyncio.Event()
        context = multiprocessing.get_context("spawn")
        self.processes: list[tuple[Any, Connection]] = []
        share = replace(deployment, rate=deployment.rate / count)
        for n in range(count):
            ours, theirs = context.Pipe()
            process = context.Process(
                target=run_client_process,
                daemon=True,
                args=(theirs, share, zero, f"{seed} {n}", dict(dialects)),
            )
            process.start()
            theirs.close()
            self.processes.append((process, ours))
            receive_messages(ours, self.loop, partial(self._on_message, n))

    @property
    def tries(self) -> int:
        return sum(tries for tries, _ in self.progress)

    @property
    def open(self) -> int:
        return sum(count for _, count in self.progress)

    def _on_message(self, number: int, message: Any) -> None:
        """Handles a message of a process; None: the process has ended."""
        if message is None:
            if number not in self.parts:
                self.finished.set()  # it ended without sending its record
        elif isinstance(message, ProcessRecord):
            self.parts[number] = message
        else:
            self.progress[number] = message
        if len(self.parts) == len(self.processes):
            self.finished.set()

    def _broadcast(self, *message: Any) -> None:
        for _, connection in self.processes:
            with contextlib.suppress(OSError):
                connection.send(message)

    def surge(self, plan: str, factor: float) -> None:
        self._broadcast("surge", plan, factor)

    def shift(self, share: float) -> None:
        self._broadcast("shift", share)

    async def generate_load(self, seconds: float) -> None:
        """Sends first attempts for `seconds`; returns when every process has sent its record.

        Raises RuntimeError if a process ends without one.
        """
        self._broadcast("doors", [(route.addresses, route.until) for route in self.routes])
        self._broadcast("come", seconds)
        sent = [route.until for route in self.routes]
        while not self.finished.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.finished.wait(), ROUTE_UPDATE_INTERVAL_S)
            if sent != (sent := [route.until for route in self.routes]):
                self._broadcast("doors", [(route.addresses, route.until) for route in self.routes])
        if len(self.parts) < len(self.processes):
            raise RuntimeError("a client process ended unexpectedly")
        self._merge()

    def _merge(self) -> None:
        """Merges the records into one and renumbers the first attempts in order of time."""
        asked = sorted(
            (row, part, n)
            for part, collected in self.parts.items()
            for n, row in enumerate(collected.asked)
        )
        numbers = {(part, n): number for number, (_, part, n) in enumerate(asked)}
        self.asked = [row for row, _, _ in asked]
        for number, part in self.parts.items():
            for attempt in part.record.tries:
                attempt.ask = numbers[number, attempt.ask]
            self.record.tries += part.record.tries
            self.record.lags += part.record.lags
            self.not_taken += part.not_taken
            self.peak_connections += part.peak_connections
            self.behind = max(self.behind, part.behind)
        self.record.tries.sort(key=lambda attempt: attempt.sent)
        self.record.lags.sort()

    def close(self) -> None:
        for process, connection in self.processes:
            process.terminate()
            process.join(2.0)
            connection.close()


def run_client_process(
    connection: Connection,
    deployment: Deployment,
    zero: float,
    seed: str,
    dialects: dict[str, float],
) -> None:
    """Runs one client process until its connection ends."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the testbed ends it
    try:
        import uvloop

        uvloop.run(_run_client_process(connection, deployment, zero, seed, dialects))
    except (EOFError, OSError):
        pass  # the testbed has ended


async def _run_client_process(
    connection: Connection,
    deployment: Deployment,
    zero: float,
    seed: str,
    dialects: dict[str, float],
) -> None:
    part, loop = ProcessRecord(), asyncio.get_running_loop()
    customers = Customers(deployment, part.record, lambda: time.monotonic() - zero, seed, dialects)
    duration: asyncio.Future[float] = loop.create_future()

    def on_message(message: Any) -> None:
        match message:
            case "doors", rows:
                for route, (addresses, until) in zip(customers.routes, rows, strict=True):
                    route.addresses, route.until = addresses, until
            case "surge", plan, factor:
                customers.surge(plan, factor)
            case "shift", share:
                customers.shift(share)
            case "come", seconds:
                duration.set_result(seconds)
            case None:
                os._exit(1)  # the testbed has ended, so there is no process to report to

    async def report_progress() -> None:
        while True:
            at = loop.time() + LAG_PROBE_INTERVAL_S
            await asyncio.sleep(LAG_PROBE_INTERVAL_S)
            part.record.lags.append((customers.clock(), max(0.0, loop.time() - at)))
            connection.send((len(part.record.tries), customers.open))

    receive_messages(connection, loop, on_message)
    seconds = await duration
    report_task = loop.create_task(report_progress())
    await customers.generate_load(seconds)
    report_task.cancel()
    part.asked, part.not_taken = customers.asked, customers.not_taken
    part.peak_connections, part.behind = customers.peak_connections, customers.behind
    customers.close()
    connection.send(part)
