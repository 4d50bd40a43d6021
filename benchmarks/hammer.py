"""Peer processes of `benchmarks.cost`: servers that answer at once and clients that never pause.

`python -m benchmarks.hammer serve COUNT` prints the addresses that it serves.  `python -m benchmarks.hammer
ask ADDRESS CONNECTIONS PIPELINED CUSTOMERS` prints a line when it starts to send requests, then one line of
JSON for each line that it reads: the requests served and refused since the previous one, the connections
lost, the share refused of the first 60 responses, and latencies in seconds.
"""

from __future__ import annotations

import asyncio
import json
import sys
import threading
import time
from collections import deque
from itertools import count
from typing import cast

import hiredis
import uvloop

from benchmarks.relay import address

VALUE = b"*3\r\n$64\r\n" + b"v" * 64 + b"\r\n$-1\r\n$-1\r\n"
MAX_LATENCIES = 200_000  # later latencies are not stored
FIRST_RESPONSES = 60  # responses after the start that are counted separately
RETRY_DELAY_S = 0.002  # before a refused client sends the next request


class ServerConnection(asyncio.Protocol):
    """A connection of a server, which answers each complete command without interpreting it."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        commands = 0
        while self.reader.gets() is not False:
            commands += 1
        self.transport.write(VALUE * commands)


class ClientConnection(asyncio.Protocol):
    """A connection of a client with `depth` commands in flight at any time."""

    ids = count(1)

    def __init__(self, tally: Tally, depth: int, customers: int) -> None:
        self.tally, self.depth, self.customers = tally, depth, customers
        self.reader, self.sent_at = hiredis.Reader(), deque[float]()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask(self.depth)

    def ask(self, number: int) -> None:
        if self.transport.is_closing():
            return
        now, commands = time.perf_counter(), []
        for _ in range(number):
            request = next(self.ids)
            commands.append(
                b"*4\r\n$8\r\nAPI.READ\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n"
                b"$46\r\nc=read,t=basic,d=2000,units=1,spread=1,first=0\r\n"
                % (request * 7919 % self.customers, request)
            )
            self.sent_at.append(now)
        self.transport.write(b"".join(commands))

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        served = refused = 0
        while (answer := self.reader.gets()) is not False:
            self.tally.record(
                time.perf_counter() - self.sent_at.popleft(), isinstance(answer, bytes)
            )
            served, refused = (
                (served + 1, refused) if isinstance(answer, bytes) else (served, refused + 1)
            )
        if served:
            self.ask(served)
        if refused:
            asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.ask, refused)

    def connection_lost(self, exc: Exception | None) -> None:
        self.tally.lost += 1


class Tally:
    """Counts of responses since the last report."""

    def __init__(self) -> None:
        self.reset()
        self.lost = self.answers = self.first_refused = 0

    def reset(self) -> None:
        self.served = self.refused = 0
        self.latencies: list[float] = []

    def record(self, seconds: float, served: bool) -> None:
        self.answers += 1
        self.first_refused += not served and self.answers <= FIRST_RESPONSES
        if served:
            self.served += 1
            if len(self.latencies) < MAX_LATENCIES:
                self.latencies.append(seconds)
        else:
            self.refused += 1


async def serve(number: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(ServerConnection, "127.0.0.1", 0) for _ in range(number)]
    print(
        " ".join(f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers),
        flush=True,
    )
    await asyncio.Event().wait()


async def ask(where: str, connections: int, depth: int, customers: int) -> None:
    loop, tally, host = asyncio.get_running_loop(), Tally(), address(where)
    for _ in range(connections):
        await loop.create_connection(lambda: ClientConnection(tally, depth, customers), *host)
    print("asking", flush=True)
    lines: asyncio.Queue[str] = asyncio.Queue()

    def read() -> None:
        for line in sys.stdin:
            loop.call_soon_threadsafe(lines.put_nowait, line)

    threading.Thread(target=read, daemon=True).start()
    while True:
        await lines.get()
        print(
            json.dumps(
                {
                    "served": tally.served,
                    "refused": tally.refused,
                    "lost": tally.lost,
                    "first_refused": tally.first_refused / FIRST_RESPONSES,
                    "latencies": sorted(tally.latencies)[:: max(1, len(tally.latencies) // 1000)],
                }
            ),
            flush=True,
        )
        tally.reset()


if __name__ == "__main__":
    uvloop.run(
        serve(int(sys.argv[2]))
        if sys.argv[1] == "serve"
        else ask(sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), int(sys.argv[5]))
    )
