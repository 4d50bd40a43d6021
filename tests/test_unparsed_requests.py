"""Requests that were received but not parsed yet when their connection ends."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from ingress.application import Application
from ingress.core.exchange import Exchange
from ingress.platform import graceful_shutdown
from ingress.policy.actions import Action
from ingress.policy.events import Event, RequestReceived
from ingress.policy.settings import MAX_PROCESS_PAUSE_S, RequestClass
from ingress.transport import client_connection, client_listener
from tests.peers import Caller, command, resp, run, until
from tests.support.open_front_ends import (
    FRONT_ENDS,
    FrontEnd,
    ingress_with_all_front_ends,
    resp_outcome,
    the_connection,
)
from tests.support.races import (
    connected_caller,
    ingress_with_open_requests,
    is_closed,
    send_now,
)

READ_BEHIND_THE_LIMIT = 6  # requests that are read together with those up to the limit
MORE_THAN_ALL_RESPONSES = 64 << 20  # bytes
MORE_THAN_A_LARGE_READ = 1200  # requests
UNREAD = 30  # requests that stay in the socket buffer
# Makes the shutdown fail the open requests 0.55 s after its start.
SHORT_CLASS = RequestClass("read", latency_objective=0.1, deadline=0.1)


class FinalStep:
    """The exchange as a shutdown uses it, with a callback before it fails the open requests."""

    def __init__(self, exchange: Exchange, callback: Callable[[], None]) -> None:
        self.exchange = exchange
        self.callback = callback

    def reject_new_requests(self) -> None:
        self.exchange.reject_new_requests()

    def fail_open_requests(self) -> None:
        self.callback()
        self.exchange.fail_open_requests()


async def shut_down(
    ingress: Application, before_failing: Callable[[], None] = lambda: None
) -> None:
    """Runs the shutdown of an ingress as the program does."""
    exchange = FinalStep(ingress.exchange, before_failing)
    await graceful_shutdown.drain(exchange, ingress.listeners, [SHORT_CLASS], ingress.loop.time)


@pytest.mark.parametrize("front_end", FRONT_ENDS.values(), ids=FRONT_ENDS)
def test_a_shutdown_answers_the_requests_beyond_the_pipeline_limit(front_end: FrontEnd) -> None:
    """Guards against dropping them when the open requests are failed; backends hang till then."""
    limit = client_connection.MAX_PIPELINED_REQUESTS

    async def body() -> None:
        async with ingress_with_all_front_ends() as (ingress, addresses, stub):
            ingress.listeners[front_end.listener].read_ahead_bytes = 1
            writer, read = await front_end.connect(addresses[front_end.listener])
            requests = [
                front_end.request(str(n)) for n in range(limit + READ_BEHIND_THE_LIMIT + UNREAD)
            ]
            writer.write(b"".join(requests[:-UNREAD]))
            await until(lambda: len(stub.events_of(RequestReceived)) == limit)
            connection = the_connection(ingress, front_end.listener)
            assert connection.reading_paused
            assert connection.unparsed == b"".join(requests[limit:-UNREAD])
            writer.write(b"".join(requests[-UNREAD:]))
            await until(connection.has_unread_input)
            await shut_down(ingress)
            outcomes = [await read() for _ in requests]
            assert outcomes == ["failed"] * limit + ["rejected"] * (len(requests) - limit)
            assert await read() is None
            assert len(stub.events_of(RequestReceived)) == limit

    run(body())


def test_a_shutdown_answers_a_request_that_arrives_as_it_fails_the_open_ones() -> None:
    """Guards against reading a request, and closing its connection without an answer."""

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, _):
            caller = await Caller.connect(address)
            caller.writer.write(command("one"))
            await until(lambda: stub.events_of(RequestReceived))
            await shut_down(ingress, lambda: send_now(caller.writer, command("two")))
            assert str(await caller.read_response()) == "ERR failed"
            assert str(await caller.read_response()) == "BUSY"
            assert await is_closed(caller)
            assert len(stub.events_of(RequestReceived)) == 1

    run(body())


def test_a_shutdown_reads_what_arrives_while_the_process_is_held_up_at_its_end() -> None:
    """Guards against closing connections with unread requests since the time to read is over."""
    held_up_s = 0.0

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, _):
            caller = await Caller.connect(address)
            caller.writer.write(command("one"))
            await until(lambda: stub.events_of(RequestReceived))

            async def sleep(seconds: float) -> None:
                nonlocal held_up_s
                if ingress.exchange.rejecting_all and not held_up_s:
                    held_up_s = MAX_PROCESS_PAUSE_S
                else:
                    await asyncio.sleep(seconds)

            await graceful_shutdown.drain(
                FinalStep(ingress.exchange, lambda: send_now(caller.writer, command("two"))),
                ingress.listeners,
                [SHORT_CLASS],
                lambda: ingress.loop.time() + held_up_s,
                sleep,
            )
            assert held_up_s
            assert str(await caller.read_response()) == "ERR failed"
            assert str(await caller.read_response()) == "BUSY"
            assert await is_closed(caller)

    run(body())


def test_a_shutdown_answers_connections_that_waited_for_a_place() -> None:
    """Guards against closing the listening socket while accepted clients wait in its backlog."""

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, _):
            ingress.clients.max_connections = 1
            first = await Caller.connect(address)
            first.writer.write(command("first"))
            await until(lambda: stub.events_of(RequestReceived))
            second = await Caller.connect(address)
            second.writer.write(command("second"))
            await until(lambda: ingress.clients.accepting_paused)
            await shut_down(ingress)
            assert str(await first.read_response()) == "ERR failed"
            assert str(await second.read_response()) == "BUSY"
            assert await is_closed(second)

    run(body())


def test_rejects_pipelined_requests_that_exceed_the_memory_for_unparsed_bytes() -> None:
    """Guards against dropping complete requests as if they were the start of one too large."""
    limit = client_connection.MAX_PIPELINED_REQUESTS

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            ingress.clients.max_buffered_bytes = 1000
            ingress.clients.read_ahead_bytes = 0
            caller = await Caller.connect(address)
            for n in range(limit):
                caller.writer.write(command(str(n)))
                await until(lambda: len(stub.events_of(RequestReceived)) == n + 1)  # noqa: B023
            caller.writer.write(b"".join(command(str(limit + n)) for n in range(UNREAD)))
            connection = the_connection(ingress)
            await until(lambda: len(connection.pending) == limit + UNREAD)
            assert len(stub.events_of(RequestReceived)) == limit
            assert the_connection(ingress).reading_paused
            assert ingress.clients.buffered_bytes <= 1000
            fail_all()
            outcomes = [resp_outcome(await caller.read_response()) for _ in range(limit + UNREAD)]
            assert outcomes == ["failed"] * limit + ["rejected"] * UNREAD
            assert await caller.request(resp(b"PING")) == b"PONG"

    run(body())


def test_the_end_of_a_listener_answers_the_requests_of_a_client_that_does_not_read(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against dropping requests that wait until the client reads its responses."""
    limit = client_connection.MAX_PIPELINED_REQUESTS
    size = 500_000  # of a response; all together exceed the buffers of both sockets

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, _):
            ingress.clients.unsent_responses.max_bytes = MORE_THAN_ALL_RESPONSES
            caller = await Caller.connect(address)
            requests = [command(str(n)) for n in range(limit + READ_BEHIND_THE_LIMIT)]
            caller.writer.write(b"".join(requests))
            await until(lambda: len(stub.events_of(RequestReceived)) == limit)
            connection = the_connection(ingress)
            for pending in list(connection.pending):
                pending.complete(b"$%d\r\n%b\r\n" % (size, bytes(size)))
            await until(lambda: connection.write_blocked_at is not None)
            assert connection.unparsed == b"".join(requests[limit:])
            ingress.clients.close()
            assert "1 client connections that were not idle" in caplog.text
            assert [len(await caller.read_response()) for _ in range(limit)] == [size] * limit
            for _ in range(READ_BEHIND_THE_LIMIT):
                assert str(await caller.read_response()) == "BUSY"
            assert await is_closed(caller)
            assert len(stub.events_of(RequestReceived)) == limit

    run(body())


def test_does_not_evict_a_connection_whose_pipelined_requests_are_about_to_be_parsed() -> None:
    """Guards against counting it as idle when the responses to the earlier requests are written."""
    limit = client_connection.MAX_PIPELINED_REQUESTS

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            ingress.clients.max_connections = 2  # one place is kept free
            caller = await Caller.connect(address)
            count = limit + READ_BEHIND_THE_LIMIT
            caller.writer.write(b"".join(command(str(n)) for n in range(count)))
            await until(lambda: len(stub.events_of(RequestReceived)) == limit)
            # The event loop accepts a new connection before it parses the remaining requests.
            waiting = socket.create_connection(address)
            fail_all()
            connections_at_parsing: list[int] = []

            def record_connections(_: Event) -> list[Action]:
                connections_at_parsing.append(len(ingress.clients.connections))
                return []

            stub.plan = record_connections
            await until(lambda: len(stub.events_of(RequestReceived)) == count)
            assert connections_at_parsing[0] == 2
            fail_all()
            assert [str(await caller.read_response()) for _ in range(count)] == [
                "ERR failed"
            ] * count
            waiting.close()

    run(body())


def test_does_not_evict_a_connection_whose_incomplete_request_was_completed() -> None:
    """Guards against dropping the requests of a large read, which waits for the next turn."""

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, _, fail_all):
            ingress.clients.max_connections = 2  # one place is kept free
            caller = await connected_caller(address)
            data = b"".join(command(f"{n:04}") for n in range(MORE_THAN_A_LARGE_READ))
            caller.writer.write(data[:20])
            connection = the_connection(ingress)
            await until(lambda: connection.unparsed)
            # The event loop reads the rest, and accepts a new connection before the next turn.
            send_now(caller.writer, data[20:])
            waiting = socket.create_connection(address)
            await until(lambda: ingress.clients.connections != {connection})
            reading = asyncio.create_task(read_responses(caller, MORE_THAN_A_LARGE_READ))
            while not reading.done():
                fail_all()
                await asyncio.wait({reading}, timeout=0.002)
            assert reading.result() == ["ERR failed"] * MORE_THAN_A_LARGE_READ
            waiting.close()

    run(body())


async def read_responses(caller: Caller, count: int) -> list[str]:
    return [str(await caller.read_response()) for _ in range(count)]


def test_does_not_evict_a_connection_whose_responses_are_not_written_yet() -> None:
    """Guards against cutting a response, and against dropping the requests behind it."""
    limit = client_connection.MAX_PIPELINED_REQUESTS
    size = 500_000  # of a response; all together exceed the buffers of both sockets

    async def body() -> None:
        async with ingress_with_open_requests() as (ingress, address, stub, fail_all):
            ingress.clients.unsent_responses.max_bytes = MORE_THAN_ALL_RESPONSES
            ingress.clients.max_connections = 2  # one place is kept free
            caller = await Caller.connect(address)
            count = limit + READ_BEHIND_THE_LIMIT
            caller.writer.write(b"".join(command(str(n)) for n in range(count)))
            await until(lambda: len(stub.events_of(RequestReceived)) == limit)
            connection = the_connection(ingress)
            for pending in list(connection.pending):
                pending.complete(b"$%d\r\n%b\r\n" % (size, bytes(size)))
            await until(lambda: connection.write_blocked_at is not None)
            waiting = socket.create_connection(address)
            await until(lambda: ingress.clients.connections != {connection})
            assert [len(await caller.read_response()) for _ in range(limit)] == [size] * limit
            await until(lambda: len(stub.events_of(RequestReceived)) == count)
            fail_all()
            for _ in range(READ_BEHIND_THE_LIMIT):
                assert str(await caller.read_response()) == "ERR failed"
            waiting.close()

    run(body())


@pytest.mark.interpreted
def test_a_closing_connection_gives_its_client_as_long_to_read_as_any_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cutting the last response: the connection lingered for less time than that."""
    monkeypatch.setattr(client_connection, "LINGER_TIME_S", 0.1)
    monkeypatch.setattr(client_connection, "PROGRESS_TIMEOUT_S", 10.0)
    monkeypatch.setattr(client_listener, "SWEEP_INTERVAL_S", 0.02)
    response = bytes(32_000_000)  # exceeds the buffers of both sockets

    async def body() -> None:
        async with ingress_with_all_front_ends() as (ingress, addresses, stub):
            http = FRONT_ENDS["http-v2"]
            listener = ingress.listeners[http.listener]
            listener.unsent_responses.max_bytes = MORE_THAN_ALL_RESPONSES
            reader, writer = await asyncio.open_connection(*addresses[http.listener])
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            request = http.request("r1").replace(b"Host: x", b"Host: x\r\nConnection: close")
            writer.write(request)
            await until(lambda: stub.events_of(RequestReceived))
            connection = the_connection(ingress, http.listener)
            connection.pending[0].complete(response)
            blocked_at = ingress.clock()
            await until(lambda: ingress.clock() > blocked_at + 3 * client_connection.LINGER_TIME_S)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert len(await reader.read()) == len(response)
            await until(ingress.listeners[http.listener].empty)

    run(body())
