"""Requests that wait during a graceful shutdown or a stall of the process."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any

import pytest

from ingress.application import Application
from ingress.policy.events import (
    RequestReceived,
)
from ingress.transport import client_connection, client_listener, stall_detector
from tests.peers import (
    Caller,
    command,
    config,
    entry,
    resp,
    run,
    until,
)
from tests.support.applications import ScriptedPolicy, running, serving, start_attempt
from tests.support.races import (
    LONG_TIMEOUT_S,
    MAX_MACHINE_DELAY_S,
    SLOW_CONNECT,
    StallingClock,
    connected_caller,
    full_backlog_backend,
    ingress_with_open_requests,
    is_closed,
    received_bytes,
    send_now,
)


def test_answers_a_request_that_was_partial_when_the_drain_began() -> None:
    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            caller = await Caller.connect(address)
            assert await caller.request(resp(b"PING")) == b"PONG"
            data = command("late")
            caller.writer.write(data[:20])
            [client] = ingress.clients.connections
            await until(lambda: client.unparsed)
            ingress.clients.drain()
            caller.writer.write(data[20:])
            await until(lambda: stub.events_of(RequestReceived))
            fail_all()
            assert str(await caller.read_response()) == "ERR failed"
            assert await is_closed(caller)

    run(body())


@pytest.mark.interpreted
def test_answers_requests_read_beyond_the_pipeline_limit_in_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The pipelined requests are all answered at once, and the other ones are read after them."""
    monkeypatch.setattr(client_connection, "MAX_PIPELINED_REQUESTS", 4)

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            caller = await Caller.connect(address)
            caller.writer.write(b"".join(command(str(n)) for n in range(10)))
            await until(lambda: len(stub.events_of(RequestReceived)) == 4)
            ingress.clients.drain()
            for count in (4, 8, 10):
                await until(lambda count=count: len(stub.events_of(RequestReceived)) == count)  # type: ignore[misc]
                fail_all()
            assert [str(await caller.read_response()) for _ in range(10)] == ["ERR failed"] * 10
            assert await is_closed(caller)

    run(body())


def test_answers_a_request_that_arrived_before_its_connection_is_closed() -> None:
    """It is in the socket buffer while the drain or the response to the previous one is handled."""

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            idle = await Caller.connect(address)
            busy = await Caller.connect(address)
            for caller in (idle, busy):
                assert await caller.request(resp(b"PING")) == b"PONG"
            busy.writer.write(command("one"))
            await until(lambda: stub.events_of(RequestReceived))
            for caller, name in ((idle, "two"), (busy, "three")):
                send_now(caller.writer, command(name))
            ingress.clients.drain()
            fail_all()
            await until(lambda: len(stub.events_of(RequestReceived)) == 3)
            fail_all()
            assert [str(await busy.read_response()) for _ in range(2)] == ["ERR failed"] * 2
            assert str(await idle.read_response()) == "ERR failed"
            assert await is_closed(idle)
            assert await is_closed(busy)

    run(body())


def test_answers_the_first_request_on_a_connection_accepted_before_the_drain() -> None:
    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            caller = await Caller.connect(address)
            await until(lambda: ingress.clients.idle_connections.awaiting_first_request)
            ingress.clients.drain()
            caller.writer.write(command("first"))
            await until(lambda: stub.events_of(RequestReceived))
            fail_all()
            assert str(await caller.read_response()) == "ERR failed"
            assert await is_closed(caller)

    run(body())


def test_accepts_connections_waiting_in_the_backlog_when_the_drain_begins() -> None:
    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            ingress.clients.max_connections = 1
            first = await Caller.connect(address)
            first.writer.write(command("first"))
            await until(lambda: stub.events_of(RequestReceived))
            second = await Caller.connect(address)
            second.writer.write(command("second"))
            await until(lambda: ingress.clients.accepting_paused)
            ingress.clients.drain()
            fail_all()
            assert str(await first.read_response()) == "ERR failed"
            assert await is_closed(first)
            await until(lambda: len(stub.events_of(RequestReceived)) == 2)
            fail_all()
            assert str(await second.read_response()) == "ERR failed"
            assert await is_closed(second)
            with pytest.raises(ConnectionError):
                await Caller.connect(address)

    run(body())


class AbortedFirst(socket.socket):
    """A listening socket whose first waiting connection has been aborted by its client."""

    aborted = False

    def accept(self) -> tuple[socket.socket, Any]:
        if not self.aborted:
            self.aborted = True
            raise ConnectionAbortedError(errno.ECONNABORTED, os.strerror(errno.ECONNABORTED))
        return super().accept()


def test_accepts_the_connections_that_wait_behind_an_aborted_one_when_the_drain_begins() -> None:
    """Guards against closing the listening socket over clients that have sent a request."""

    async def body() -> None:
        ingress = Application(config())
        sock = AbortedFirst(fileno=ingress.clients.listening_socket.detach())
        sock.setblocking(False)
        ingress.clients.listening_socket = sock
        async with running(ingress) as [address]:
            waiting = socket.create_connection(address)
            waiting.sendall(resp(b"PING"))
            ingress.clients.drain()  # before the event loop has accepted the connection
            assert sock.aborted
            loop = asyncio.get_running_loop()
            waiting.setblocking(False)
            assert await loop.sock_recv(waiting, 100) == b"+PONG\r\n"
            waiting.close()

    run(body())


def test_delivers_last_responses_to_a_client_that_keeps_sending() -> None:
    """Closing a socket with unread input would reset the connection and lose the responses."""

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, _):
            caller = await Caller.connect(address)
            caller.writer.write(command("one"))
            await until(lambda: stub.events_of(RequestReceived))
            send_now(caller.writer, command("two"))  # not read yet when the listener closes
            ingress.exchange.fail_open_requests()
            ingress.clients.close()
            assert str(await caller.read_response()) == "ERR failed"
            assert not await caller.reader.read()  # end of stream, not a reset
            caller.writer.close()
            await until(lambda: ingress.clients.empty())

    run(body())


def test_does_not_forward_a_request_that_failed_while_its_connection_was_opened() -> None:
    async def body() -> None:
        with full_backlog_backend() as slow:
            async with serving(config(entry(slow.address), settings=SLOW_CONNECT)) as (
                ingress,
                address,
            ):
                stub = ScriptedPolicy(start_attempt)
                ingress.exchange.policy = stub
                caller = await Caller.connect(address)
                caller.writer.write(command("one"))
                await until(lambda: ingress.backends.connection_count == 1)  # type: ignore[attr-defined]
                ingress.exchange.fail_open_requests()
                assert str(await caller.read_response()) == "ERR failed"
                caller.writer.write(command("two", d=int(1000 * LONG_TIMEOUT_S)))
                await until(lambda: len(stub.events_of(RequestReceived)) == 2)
                data = await received_bytes(ingress, await slow.accept(2))
                assert b"two" in data
                assert b"one" not in data

    run(body())


def test_a_stall_counts_against_the_timeout_of_waiting_requests() -> None:
    """Covers an open connection, and more new ones than one loop iteration accepts."""

    async def body() -> None:
        clock = StallingClock()
        async with serving(config(), clock) as (ingress, address):
            stub = ScriptedPolicy(None)
            ingress.exchange.policy = stub
            caller = await connected_caller(address)
            send_now(caller.writer, command("old"))
            new = [
                socket.create_connection(address) for _ in range(3 * client_listener.ACCEPT_BATCH)
            ]
            for number, sock in enumerate(new):
                sock.sendall(command(f"new-{number}"))
            clock.stalled_for += 1.2
            await until(lambda: len(stub.events_of(RequestReceived)) == 1 + len(new))
            margin = 0.02
            for event in stub.events_of(RequestReceived):  # each has a timeout of 2 s
                assert (
                    0.8 - client_listener.SWEEP_INTERVAL_S - 2 * margin - MAX_MACHINE_DELAY_S
                    < event.time_left
                    <= 0.8 - margin
                )
            await until(lambda: ingress.clients.stall_detector.stalled_since is None)
            caller.writer.write(command("after"))
            await until(lambda: len(stub.events_of(RequestReceived)) == 2 + len(new))
            assert stub.events_of(RequestReceived)[-1].time_left == 2.0 - margin
            for sock in new:
                sock.close()

    run(body())


@pytest.mark.interpreted
def test_a_stall_lasts_until_the_connections_accepted_after_it_are_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that count as just sent because their connection is read late."""
    monkeypatch.setattr(stall_detector, "CATCH_UP_TIME_S", 0.0)
    test_a_stall_counts_against_the_timeout_of_waiting_requests()


class LoopFailingToAttach:
    """The event loop, except that attaching accepted connections fails."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.failures = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def connect_accepted_socket(self, factory: Any, sock: socket.socket) -> None:
        self.failures += 1
        raise RuntimeError("not attached")


@pytest.mark.interpreted
def test_a_stall_ends_even_if_accepted_connections_can_not_be_attached() -> None:
    """Guards against a failure after which all requests permanently count as delayed."""

    async def body() -> None:
        clock = StallingClock()
        async with serving(config(), clock) as (ingress, address):
            caller = await connected_caller(address)
            loop = ingress.clients.loop
            failing = LoopFailingToAttach(loop)
            ingress.clients.loop = failing  # type: ignore[assignment]
            waiting = [
                socket.create_connection(address) for _ in range(2 * client_listener.ACCEPT_BATCH)
            ]
            clock.stalled_for += 1.2
            await until(lambda: ingress.clients.stall_detector.stalled_since is not None)
            await until(lambda: failing.failures == len(waiting))
            ingress.clients.loop = loop
            async with asyncio.timeout(2):
                await until(lambda: ingress.clients.stall_detector.stalled_since is None)
            assert len(ingress.clients.connections) == 1  # the failed connections are removed
            assert await caller.request(resp(b"PING")) == b"PONG"
            for sock in waiting:
                sock.close()

    run(body())


def test_rejects_a_request_that_expired_in_a_stall_without_consulting_the_policy() -> None:
    async def body() -> None:
        clock = StallingClock()
        async with serving(config(), clock) as (ingress, address):
            stub = ScriptedPolicy(None)
            ingress.exchange.policy = stub
            caller = await connected_caller(address)
            send_now(caller.writer, command("old", d=1000) + command("longer", d=2000))
            clock.stalled_for += 1.2
            assert str(await caller.read_response()).startswith("BUSY")
            await until(lambda: stub.events_of(RequestReceived))
            assert len(stub.events_of(RequestReceived)) == 1
            assert not ingress.exchange.client_request_ids - {b"longer"}

    run(body())


def test_a_slow_start_does_not_count_against_the_first_requests() -> None:
    """No request can have arrived before the listener opens."""

    async def body() -> None:
        clock = StallingClock()
        ingress = Application(config(), clock)
        clock.stalled_for += 1.2
        stub = ScriptedPolicy(None)
        ingress.exchange.policy = stub
        ingress.clients.open()
        caller = await Caller.connect(ingress.clients.listening_socket.getsockname())
        caller.writer.write(command("first"))
        await until(lambda: stub.events_of(RequestReceived))
        assert stub.events_of(RequestReceived)[0].time_left == 2.0 - 0.02
        ingress.clients.close()
        ingress.backends.close()

    run(body())
