"""Client connections on sockets: limits, timeouts and back-pressure."""

from __future__ import annotations

import asyncio
import socket

import hiredis
import pytest

from ingress.policy.actions import Action, RejectRequest
from ingress.policy.events import (
    Event,
)
from ingress.transport import client_connection, client_listener, idle_connections
from tests.peers import (
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config,
    entry,
    read_command,
    resp,
    run,
    until,
    value,
)
from tests.support.applications import ScriptedPolicy, serving, start_attempt


@pytest.mark.interpreted
def test_stops_reading_at_the_maximum_number_of_pipelined_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "MAX_PIPELINED_REQUESTS", 4)
    max_open = 0

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):

            def plan(event: Event) -> list[Action]:
                nonlocal max_open
                max_open = max(max_open, len(ingress.exchange.open_requests))
                return start_attempt(event)

            ingress.exchange.policy = ScriptedPolicy(plan)
            caller = await Caller.connect(address)
            caller.writer.write(b"".join(command(str(n)) for n in range(50)))
            assert [await caller.read_response() for _ in range(50)] == [
                b"%d" % n for n in range(50)
            ]

    run(body())
    assert max_open == 4


def test_evicts_an_idle_connection_at_the_connection_limit() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.clients.max_connections = 3  # one place is kept free
            callers = [await Caller.connect(address) for _ in range(2)]
            for caller in callers:
                assert await caller.request(resp(b"PING")) == b"PONG"
            third = await Caller.connect(address)
            assert await third.request(resp(b"PING")) == b"PONG"
            with pytest.raises(EOFError):
                await callers[0].read_response()
            assert await callers[1].request(resp(b"PING")) == b"PONG"

    run(body())


@pytest.mark.interpreted
@pytest.mark.parametrize("sent", [b"", b"*", b"*4\r\n$8\r\nAPI.R", b"*1\r\n$4\r\nPIN"])
def test_closes_a_connection_without_a_complete_first_request(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_connection, "PROGRESS_TIMEOUT_S", 0.2)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            caller = await Caller.connect(address)
            caller.writer.write(sent)
            received = await caller.reader.read()  # to the end of the connection
            assert received.startswith(b"-ERR ") is bool(sent)
            caller.writer.close()
            await until(lambda: not ingress.clients.connections)
            assert not ingress.clients.buffered_bytes

    run(body())


@pytest.mark.interpreted
def test_single_bytes_do_not_extend_the_timeout_of_a_partial_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout of a partial request runs from its first byte, not from its latest."""
    monkeypatch.setattr(client_connection, "PROGRESS_TIMEOUT_S", 0.3)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (_, address):
            caller = await Caller.connect(address)
            received = asyncio.create_task(caller.reader.read())
            for byte in command(request="1" * 100):
                if received.done():
                    break
                caller.writer.write(bytes([byte]))
                await asyncio.wait({received}, timeout=0.05)
            assert (await received).startswith(b"-ERR ")

    run(body())


@pytest.mark.interpreted
def test_closes_an_idle_connection_but_not_one_with_an_open_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_connection, "PROGRESS_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_connection, "IDLE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.05)

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        words = await read_command(reader)
        await until(lambda: idle_closed)
        writer.write(value(words[2]))
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, serving(config(entry(peer.address))) as (_, address):
            idle = await Caller.connect(address)
            busy = await Caller.connect(address)
            busy.writer.write(command("busy"))
            assert await idle.request(resp(b"PING")) == b"PONG"
            with pytest.raises((EOFError, ConnectionError)):
                await idle.read_response()
            idle_closed.append(True)
            assert await busy.read_response() == b"busy"

    idle_closed: list[bool] = []
    run(body())


@pytest.mark.interpreted
def test_closes_a_connection_whose_client_does_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "PROGRESS_TIMEOUT_S", 0.1)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            sock = socket.create_connection(address)
            sock.setblocking(False)
            await until(lambda: ingress.clients.connections)
            loop = asyncio.get_running_loop()
            text = resp(b"PING", b"x" * 60_000)

            async def send() -> None:
                while True:
                    await loop.sock_sendall(sock, text)

            with pytest.raises(ConnectionError):
                await send()
            sock.close()
            await until(lambda: not ingress.clients.connections)

    run(body())


def test_does_not_evict_a_newly_accepted_connection() -> None:
    """Many clients connect at once; those beyond the limit wait in the backlog, none is closed."""

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.clients.max_connections = 10
            ingress.exchange.policy = ScriptedPolicy(lambda e: [RejectRequest(e.request_id)])
            callers = [await Caller.connect(address) for _ in range(60)]
            for n, caller in enumerate(callers):
                caller.writer.write(command(str(n)))
            for caller in callers:
                assert str(await caller.read_response()) == "BUSY"
                caller.writer.close()

    run(body())


@pytest.mark.interpreted
def test_evicts_silent_connections_before_used_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of hundreds of connections the silent ones are closed, and those with requests stay open."""
    monkeypatch.setattr(idle_connections, "MIN_SILENCE_BEFORE_EVICTION_S", 0.0)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.clients.max_connections = 40
            usual = await Caller.connect(address)
            assert await usual.request(resp(b"PING")) == b"PONG"
            silent = [await Caller.connect(address) for _ in range(200)]
            late = await Caller.connect(address)
            for _ in range(3):
                assert await late.request(resp(b"PING")) == b"PONG"
                assert await usual.request(resp(b"PING")) == b"PONG"
            assert len(ingress.clients.connections) <= 40
            for caller in silent:
                caller.writer.close()

    run(body())


@pytest.mark.interpreted
def test_evicts_silent_connections_before_one_with_a_partial_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against evicting a slow client with a partial request in favour of silent ones."""
    monkeypatch.setattr(idle_connections, "MIN_SILENCE_BEFORE_EVICTION_S", 0.0)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.clients.max_connections = 40
            slow = await Caller.connect(address)
            ping = resp(b"PING")
            slow.writer.write(ping[:-3])
            await until(lambda: any(c.unparsed for c in ingress.clients.connections))
            silent = [await Caller.connect(address) for _ in range(200)]
            slow.writer.write(ping[-3:])
            assert await slow.read_response() == b"PONG"
            for caller in silent:
                caller.writer.close()

    run(body())


def test_closes_after_consecutive_malformed_requests() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            caller = await Caller.connect(address)
            caller.writer.write(resp(b"NO") * 300)
            for _ in range(client_connection.MAX_CONSECUTIVE_MALFORMED_REQUESTS):
                assert isinstance(await caller.read_response(), hiredis.ReplyError)
            with pytest.raises((EOFError, ConnectionError)):
                await caller.read_response()
            assert (
                ingress.clients.malformed_requests.count
                == client_connection.MAX_CONSECUTIVE_MALFORMED_REQUESTS
            )

    run(body())


@pytest.mark.interpreted
def test_delivers_the_last_error_while_the_client_keeps_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """60 MB follow a rejected length; little of them is read, and the client reads the error."""
    monkeypatch.setattr(client_connection, "LINGER_TIME_S", 0.2)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            caller = await Caller.connect(address)
            caller.writer.write(b"*5\r\n$60000000\r\n")
            assert "too large" in str(await caller.read_response())
            client = next(iter(ingress.clients.connections))
            caller.writer.write(bytes(60_000_000))
            await until(lambda: not ingress.clients.connections)
            assert client.discarded_bytes < 2 * client_connection.MAX_DISCARDED_BYTES
            caller.writer.transport.abort()

    run(body())


def test_limits_partial_requests_over_all_connections() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.clients.max_buffered_bytes = 100_000
            part = b"*5\r\n$9\r\nAPI.WRITE\r\n$60000\r\n" + b"x" * 50_000
            callers = [await Caller.connect(address) for _ in range(2)]
            callers[0].writer.write(part)
            await until(lambda: ingress.clients.buffered_bytes >= 50_000)
            callers[1].writer.write(part)
            assert "on the way" in str(await callers[1].read_response())
            assert ingress.clients.buffered_bytes <= 100_000

    run(body())


def test_serves_a_connection_that_is_accepted_while_the_listener_closes() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            idle = socket.create_connection(address)
            busy = socket.create_connection(address)
            busy.sendall(resp(b"PING"))
            ingress.clients.drain()  # before the event loop has accepted either of them
            loop = asyncio.get_running_loop()
            for sock in (idle, busy):
                sock.setblocking(False)
            assert await loop.sock_recv(busy, 100) == b"+PONG\r\n"
            for sock in (idle, busy):
                assert await loop.sock_recv(sock, 100) == b""
                sock.close()
            await until(lambda: not ingress.clients.connections)

    run(body())
