"""Timeouts of clients while the ingress itself pauses reading, queues input or is held up."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ingress.application import Application
from ingress.policy.actions import Action
from ingress.policy.events import Event, RequestReceived
from ingress.policy.settings import MAX_PROCESS_PAUSE_S
from ingress.transport import client_connection
from ingress.transport.client_connection import LARGE_READ_BYTES, PROGRESS_TIMEOUT_S
from ingress.transport.client_listener import SWEEP_INTERVAL_S
from ingress.transport.close_reason import CloseReason
from ingress.transport.socket_state import accepts_output
from tests.peers import SETTINGS, Caller, command, config, run, until
from tests.support.applications import ScriptedPolicy, serving
from tests.support.open_front_ends import (
    FRONT_ENDS,
    FrontEnd,
    ReadOutcome,
    ingress_with_all_front_ends,
    the_connection,
)
from tests.support.races import StallingClock, connected_caller, send_now
from tests.support.time_steps import pass_time

READ_BEHIND_THE_LIMIT = 6  # requests that are read together with those up to the limit
MORE_THAN_ALL_RESPONSES = 64 << 20  # bytes
LONG_WAIT_S = PROGRESS_TIMEOUT_S + 1.0
# A client that stops in the middle of a request is closed this long after its last byte at most.
MAX_TIME_TO_CLOSE_S = 3.0
PART_BYTES = 20  # of a request of which the rest comes later
UNREAD_REQUESTS = 1200  # more than one large read
RESPONSE_BYTES = 500_000  # a few of them exceed the buffers of both sockets
LONG_TIMEOUT_MS = 9000  # of a request that does not expire during a test
LONG_DEADLINES = SETTINGS | {
    "categories": [row | {"give-up-s": LONG_TIMEOUT_MS / 1000} for row in SETTINGS["categories"]]
}


async def outcomes(ingress: Application, read: ReadOutcome, count: int) -> list[str | None]:
    """Returns the outcomes of the next responses; fails the open requests until all have come."""

    async def read_all() -> list[str | None]:
        return [await read() for _ in range(count)]

    reading = asyncio.create_task(read_all())
    while not reading.done():
        ingress.exchange.fail_open_requests()
        await asyncio.wait({reading}, timeout=0.002)
    return reading.result()


@pytest.mark.parametrize("front_end", FRONT_ENDS.values(), ids=FRONT_ENDS)
def test_time_in_which_reading_was_paused_does_not_count_as_the_clients(
    front_end: FrontEnd,
) -> None:
    """Guards against dropping pipelined requests behind one that ends where reading was paused.

    Backends hang for longer than the timeout. Then parsing reaches the incomplete request, a large
    read brings its rest, and the timeouts are checked before the next turn of the connection.
    """
    limit = client_connection.MAX_PIPELINED_REQUESTS

    async def body() -> None:
        clock = StallingClock()
        async with ingress_with_all_front_ends(clock, LONG_DEADLINES) as (ingress, addresses, stub):
            listener = ingress.listeners[front_end.listener]
            listener.read_ahead_bytes = 1
            writer, read = await front_end.connect(addresses[front_end.listener])
            requests = [
                front_end.request(f"{number:04}", timeout_ms=LONG_TIMEOUT_MS)
                for number in range(limit + READ_BEHIND_THE_LIMIT + UNREAD_REQUESTS)
            ]
            whole = len(b"".join(requests[: limit + READ_BEHIND_THE_LIMIT]))
            data = b"".join(requests)
            writer.write(data[: whole + PART_BYTES])
            await until(lambda: len(stub.events_of(RequestReceived)) == limit)
            connection = the_connection(ingress, front_end.listener)
            assert connection.reading_paused
            assert connection.unparsed.endswith(data[whole : whole + PART_BYTES])
            send_now(writer, data[whole + PART_BYTES :])
            pass_time(clock, listener, LONG_WAIT_S)
            unparsed_sizes: list[int] = []

            def check_timeouts_before_the_next_turn(event: Event) -> list[Action]:
                count = len(stub.events_of(RequestReceived))
                if isinstance(event, RequestReceived) and count == limit + READ_BEHIND_THE_LIMIT:
                    ingress.loop.call_soon(check_timeouts)
                return []

            def check_timeouts() -> None:
                assert connection.turn_scheduled
                unparsed_sizes.append(len(connection.unparsed))
                listener.sweep()

            stub.plan = check_timeouts_before_the_next_turn
            assert await outcomes(ingress, read, len(requests)) == ["failed"] * len(requests)
            assert unparsed_sizes[0] > LARGE_READ_BYTES

    run(body())


@pytest.mark.parametrize("front_end", FRONT_ENDS.values(), ids=FRONT_ENDS)
@pytest.mark.parametrize("part_read_before", [True, False])
def test_a_stall_does_not_count_as_the_clients_time(
    front_end: FrontEnd, part_read_before: bool
) -> None:
    """Guards against dropping a request whose rest arrived while the process did not run."""

    async def body() -> None:
        clock = StallingClock()
        async with ingress_with_all_front_ends(clock, LONG_DEADLINES) as (ingress, addresses, _):
            listener = ingress.listeners[front_end.listener]
            writer, read = await front_end.connect(addresses[front_end.listener])
            data = front_end.request("1", timeout_ms=LONG_TIMEOUT_MS)
            connection = the_connection(ingress, front_end.listener)
            if part_read_before:
                writer.write(data[:PART_BYTES])
                await until(lambda: connection.unparsed)
                send_now(writer, data[PART_BYTES:])
            else:
                send_now(writer, data[:PART_BYTES])
            clock.stalled_for += LONG_WAIT_S
            if part_read_before:
                listener.sweep()  # before the event loop reads
            else:
                await until(lambda: connection.unparsed)
                listener.sweep()
                writer.write(data[PART_BYTES:])
            assert await outcomes(ingress, read, 1) == ["failed"]

    run(body())


def test_steady_small_pieces_behind_slow_reading_are_not_cut_off() -> None:
    """Guards against counting the time in which a client that starts to read late could not send.

    The part of a request is older than the timeout when its client reads again.
    """
    limit = client_connection.MAX_PIPELINED_REQUESTS

    async def body() -> None:
        clock = StallingClock()
        async with serving(config(), clock) as (ingress, address):
            stub = ScriptedPolicy(None)
            ingress.exchange.policy = stub
            ingress.clients.unsent_responses.max_bytes = MORE_THAN_ALL_RESPONSES
            caller = await Caller.connect(address)
            rest = command("last")
            requests = [command(str(n)) for n in range(limit - 1)]
            caller.writer.write(b"".join(requests) + rest[:PART_BYTES])
            await until(lambda: len(stub.events_of(RequestReceived)) == limit - 1)
            connection = the_connection(ingress)
            assert connection.unparsed == rest[:PART_BYTES]
            pass_time(clock, ingress.clients, PROGRESS_TIMEOUT_S - 0.4)
            for pending in list(connection.pending):
                pending.complete(b"$%d\r\n%b\r\n" % (RESPONSE_BYTES, bytes(RESPONSE_BYTES)))
            await until(lambda: connection.write_blocked_at is not None)
            pass_time(clock, ingress.clients, PROGRESS_TIMEOUT_S - 0.4)
            for _ in requests:
                assert len(await caller.read_response()) == RESPONSE_BYTES
            await until(lambda: connection.write_blocked_at is None)
            ingress.clients.sweep()
            caller.writer.write(rest[PART_BYTES:])
            await until(lambda: len(stub.events_of(RequestReceived)) == limit)
            ingress.exchange.fail_open_requests()
            assert str(await caller.read_response()) == "ERR failed"

    run(body())


@pytest.mark.parametrize("stall_s", [0.0, MAX_PROCESS_PAUSE_S])
@pytest.mark.parametrize("front_end", FRONT_ENDS.values(), ids=FRONT_ENDS)
def test_a_client_that_stops_in_the_middle_of_a_request_is_closed_in_time(
    front_end: FrontEnd, stall_s: float
) -> None:
    """Guards against a timeout that no longer ends; each check comes `stall_s` late."""

    async def body() -> None:
        clock = StallingClock()
        async with ingress_with_all_front_ends(clock) as (ingress, addresses, _):
            listener = ingress.listeners[front_end.listener]
            writer, _ = await front_end.connect(addresses[front_end.listener])
            connection = the_connection(ingress, front_end.listener)
            writer.write(front_end.request("1")[:PART_BYTES])
            await until(lambda: connection.unparsed)
            stopped_at = clock()
            while not connection.closing:
                clock.stalled_for += SWEEP_INTERVAL_S + stall_s
                listener.sweep()
                assert clock() - stopped_at < MAX_TIME_TO_CLOSE_S
            assert clock() - stopped_at > PROGRESS_TIMEOUT_S
            assert connection.close_reason is CloseReason.INCOMPLETE

    run(body())


def test_bytes_that_are_unread_at_each_check_do_not_extend_the_timeout() -> None:
    """Guards against a client that keeps its connection with single bytes sent at each check."""

    async def body() -> None:
        clock = StallingClock()
        async with serving(config(), clock) as (ingress, address):
            caller = await connected_caller(address)
            connection = the_connection(ingress)
            data = command("1" * 100)
            caller.writer.write(data[:1])
            await until(lambda: connection.unparsed)
            stopped_at = clock()
            sent = 1
            while not connection.closing:
                send_now(caller.writer, data[sent : sent + 1])
                sent += 1
                clock.stalled_for += SWEEP_INTERVAL_S
                ingress.clients.sweep()
                await until(lambda: connection.closing or len(connection.unparsed) == sent)  # noqa: B023
                assert clock() - stopped_at < MAX_TIME_TO_CLOSE_S
            assert connection.close_reason is CloseReason.INCOMPLETE

    run(body())


@asynccontextmanager
async def client_that_reads_nothing(
    clock: StallingClock,
) -> AsyncIterator[tuple[Application, Caller]]:
    """Yields an ingress and a client with more unread responses than both sockets buffer."""
    count = client_connection.MAX_PIPELINED_REQUESTS
    async with serving(config(), clock) as (ingress, address):
        stub = ScriptedPolicy(None)
        ingress.exchange.policy = stub
        ingress.clients.unsent_responses.max_bytes = MORE_THAN_ALL_RESPONSES
        caller = await Caller.connect(address)
        caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
        send_now(caller.writer, b"".join(command(str(n)) for n in range(count)))
        await until(lambda: len(stub.events_of(RequestReceived)) == count)
        connection = the_connection(ingress)
        for pending in list(connection.pending):
            pending.complete(b"$%d\r\n%b\r\n" % (RESPONSE_BYTES, bytes(RESPONSE_BYTES)))
        await until(lambda: connection.write_blocked_at is not None)
        yield ingress, caller


def test_a_client_that_reads_during_a_stall_is_not_closed() -> None:
    """Guards against dropping the responses that the process did not write while it was stalled."""

    async def body() -> None:
        clock = StallingClock()
        async with client_that_reads_nothing(clock) as (ingress, caller):
            connection = the_connection(ingress)
            pass_time(clock, ingress.clients, PROGRESS_TIMEOUT_S - SWEEP_INTERVAL_S)
            # The client reads all that the system holds for it, before the event loop runs again.
            sock = caller.writer.get_extra_info("socket")
            with socket.fromfd(sock.fileno(), socket.AF_INET, socket.SOCK_STREAM) as same:
                while not accepts_output(connection.sock):
                    caller.parser.feed(same.recv(1 << 20))
            clock.stalled_for += LONG_WAIT_S
            ingress.clients.sweep()
            pass_time(clock, ingress.clients, LONG_WAIT_S)
            caller.writer.transport.resume_reading()  # type: ignore[attr-defined]
            for _ in range(client_connection.MAX_PIPELINED_REQUESTS):
                assert len(await caller.read_response()) == RESPONSE_BYTES

    run(body())


def test_a_client_that_does_not_read_is_closed_in_time() -> None:
    """Guards against a timeout that no longer ends."""

    async def body() -> None:
        clock = StallingClock()
        async with client_that_reads_nothing(clock) as (ingress, caller):
            connection = the_connection(ingress)
            pass_time(clock, ingress.clients, LONG_WAIT_S)
            assert connection.close_reason is CloseReason.NOT_READING
            await until(ingress.clients.empty)
            caller.writer.transport.abort()

    run(body())
