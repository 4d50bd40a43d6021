"""Clients that write slowly, stop in the middle of a request, do not read, or flood a connection.

Run as a process of its own, so that its load does not delay the client whose responses are judged:

    python -m tests.support.hostile_clients BEHAVIOUR FRONT_END PORT SECONDS
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count
from typing import cast

import uvloop

from tests.peers import command, resp
from tests.support.front_ends import http_read

CONNECTIONS = 600  # below the 650 that an instance with 1024 descriptors accepts
CONNECT_TIMEOUT_S = 3.0
LARGE_REQUEST_BYTES = 230_000
PIECE_BYTES = 8_000  # of a large request that is written slowly
PIECE_INTERVAL_S = 0.05
REQUESTS_PER_WRITE = 100
MAX_CUSTOMER = 1 << 33
RESP_WORD_BYTES = 60_000
MAX_HEAD_BYTES = 16_000
MAX_UNSENT_BYTES = 1 << 20

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
Behaviour = Callable[[Reader, Writer, float], Awaitable[None]]


class HostileClients:
    """The requests of one kind of front end, and the ways in which clients misuse them.

    Args:
        is_http: Whether the front end speaks HTTP, not RESP.
        port: The front end's port on the loopback interface.
        seconds: How long the clients keep going.
    """

    def __init__(self, is_http: bool, port: int, seconds: float) -> None:
        self.is_http = is_http
        self.port = port
        self.end = time.monotonic() + seconds
        self.numbers = count()

    # Requests

    def large(self) -> bytes:
        """Returns a large request without its end."""
        if self.is_http:
            head = "POST /v2/solutions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            return (head % LARGE_REQUEST_BYTES).encode() + b"x" * (LARGE_REQUEST_BYTES - 1)
        words = [b"x" * RESP_WORD_BYTES] * 4
        return resp(b"API.WRITE", *words)[:LARGE_REQUEST_BYTES]

    def short_fields(self) -> bytes:
        """Returns a request with very many short fields."""
        if self.is_http:
            fields = b"".join(b"a%d:b\r\n" % number for number in range(MAX_HEAD_BYTES))
            return b"GET /v2/grids/read HTTP/1.1\r\nHost: x\r\n" + fields[:MAX_HEAD_BYTES]
        fields = b",".join(b"a%d=" % number for number in range(RESP_WORD_BYTES))
        return resp(b"API.READ", b"%016x" % 7, b"id", fields[:RESP_WORD_BYTES])

    def small(self, number: int) -> bytes:
        """Returns the smallest request that the front end answers itself."""
        return b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" if self.is_http else resp(b"PING")

    def unsound(self, number: int) -> bytes:
        """Returns an invalid request, or a valid one often enough to keep the connection."""
        if number % 7 == 0:
            return self.with_new_customer(number)
        return self.with_new_customer(number).replace(b"%016x" % number, b"x" * 16)

    def with_new_customer(self, number: int) -> bytes:
        """Returns a valid request of a customer that sent none before."""
        customer = number % MAX_CUSTOMER
        if self.is_http:
            return http_read(f"q{number}", customer)
        return command(f"q{number}", customer=customer)

    def large_response(self) -> bytes:
        """Returns a request whose response is large, if the front end has one."""
        if self.is_http:
            return self.small(0) * REQUESTS_PER_WRITE
        return resp(b"PING", b"x" * RESP_WORD_BYTES)

    # Behaviours

    async def _many(self, behaviour: Behaviour) -> None:
        """Runs a behaviour on many connections; opens another one for each that ends."""

        async def repeat() -> None:
            while time.monotonic() < self.end:
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    with suppress(OSError, TimeoutError):
                        async with asyncio.timeout_at(self._loop_time_of_end()):
                            await behaviour(reader, writer, self.end)
                    writer.transport.abort()
                await asyncio.sleep(0.01)

        await asyncio.gather(*(repeat() for _ in range(CONNECTIONS)))

    def _loop_time_of_end(self) -> float:
        return asyncio.get_running_loop().time() + max(0.0, self.end - time.monotonic())

    async def write_slowly(self) -> None:
        """Many clients send a large request in small pieces."""

        async def behaviour(reader: Reader, writer: Writer, end: float) -> None:
            data = self.large()
            for start in range(0, len(data), PIECE_BYTES):
                if writer.transport.is_closing():
                    return
                writer.write(data[start : start + PIECE_BYTES])
                await asyncio.sleep(PIECE_INTERVAL_S)

        await self._many(behaviour)

    async def stop_half_way(self) -> None:
        """Many clients send most of a large request and nothing more."""

        async def behaviour(reader: Reader, writer: Writer, end: float) -> None:
            writer.write(self.large())
            await reader.read(-1)

        await self._many(behaviour)

    async def send_short_fields(self, at_full_speed: bool) -> None:
        """Many clients send requests with very many short fields.

        At full speed, these are built once; building them for each write takes most of the time.
        """
        data = self.short_fields()

        async def behaviour(reader: Reader, writer: Writer, end: float) -> None:
            while not writer.transport.is_closing() and time.monotonic() < end:
                writer.write(data if at_full_speed else self.short_fields())
                await writer.drain()
                await asyncio.sleep(PIECE_INTERVAL_S)

        await self._many(behaviour)

    async def read_nothing(self) -> None:
        """Many clients send requests with large responses, and read none of them."""

        async def behaviour(reader: Reader, writer: Writer, end: float) -> None:
            cast("asyncio.Transport", writer.transport).pause_reading()
            while not writer.transport.is_closing():
                if writer.transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                    writer.write(self.large_response())
                    await asyncio.sleep(0)
                else:
                    await asyncio.sleep(PIECE_INTERVAL_S)

        await self._many(behaviour)

    async def flood(self, request: Callable[[int], bytes]) -> None:
        """One client sends requests at full speed on one connection, and reads the responses."""
        while time.monotonic() < self.end:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                reading = asyncio.create_task(_discard(reader))
                while time.monotonic() < self.end and not writer.transport.is_closing():
                    numbers = (next(self.numbers) for _ in range(REQUESTS_PER_WRITE))
                    writer.write(b"".join(map(request, numbers)))
                    await writer.drain()
                    await asyncio.sleep(0)
                reading.cancel()
                writer.transport.abort()

    async def run(self, name: str) -> None:
        """Runs the behaviour with a name of `BEHAVIOURS`."""
        match name:
            case "write_slowly":
                await self.write_slowly()
            case "stop_half_way":
                await self.stop_half_way()
            case "short_fields":
                await self.send_short_fields(at_full_speed=False)
            case "short_fields_at_full_speed":
                await self.send_short_fields(at_full_speed=True)
            case "read_nothing":
                await self.read_nothing()
            case "small":
                await self.flood(self.small)
            case "unsound":
                await self.flood(self.unsound)
            case "new_customers":
                await self.flood(self.with_new_customer)
            case _:
                raise ValueError(f"unknown behaviour: {name!r}")


async def _discard(reader: Reader) -> None:
    with suppress(OSError):
        while await reader.read(1 << 16):
            pass


if __name__ == "__main__":
    behaviour_name, front_end, port_text, seconds_text = sys.argv[1:]
    clients = HostileClients(front_end == "http-v2", int(port_text), float(seconds_text))
    uvloop.run(clients.run(behaviour_name))
