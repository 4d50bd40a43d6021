"""Races, each reproduced deterministically: peers delay, continue or disconnect at a set point."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from types import SimpleNamespace

import pytest

from ingress.policy.actions import Action, StartAttempt
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    ClientDisconnected,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
)
from ingress.transport import client_connection
from ingress.transport.backend_pool import SWEEP_INTERVAL_S
from ingress.transport.hangup_watcher import HangupWatcher
from ingress.transport.idle_limit import IDLE_LIMIT_DOUBLING_TIME_S, IDLE_LIMIT_FRACTION
from tests.peers import (
    SETTINGS,
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config,
    entry,
    read_command,
    run,
    until,
    value,
)
from tests.support.applications import ScriptedPolicy, serving, start_attempt
from tests.support.pools import PoolHarness
from tests.support.races import (
    LONG_TIMEOUT_S,
    SLOW_CONNECT,
    ManualTimers,
    disconnect,
    full_backlog_backend,
    received_bytes,
    unacknowledged_bytes,
)

DISCONNECT_LIMIT_S = 0.1  # after a client's disconnection no attempt of its requests may start


def test_unacknowledged_bytes_counts_bytes_that_the_peer_has_not_received() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as sock,
    ):
        assert unacknowledged_bytes(listener.getsockname()) == 0
        sock.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                sock.send(bytes(1 << 16))  # the peer never reads, so its receive buffer fills up
        assert unacknowledged_bytes(listener.getsockname()) > 0


@pytest.mark.parametrize("how", ["full", "half", "reset"])
def test_does_not_forward_a_request_whose_client_disconnects_while_a_connection_is_opened(
    how: str,
) -> None:
    async def body() -> None:
        with full_backlog_backend() as slow:
            async with serving(config(entry(slow.address), settings=SLOW_CONNECT)) as (
                ingress,
                address,
            ):
                stub = ScriptedPolicy(start_attempt)
                ingress.exchange.policy = stub
                leaving = await Caller.connect(address)
                staying = await Caller.connect(address)
                leaving.writer.write(command("left"))
                await until(lambda: ingress.backends.connection_count == 1)  # type: ignore[attr-defined]
                disconnect(leaving, how)
                await until(lambda: stub.events_of(ClientDisconnected))
                staying.writer.write(command("stays", d=int(1000 * LONG_TIMEOUT_S)))
                await until(lambda: len(stub.events_of(RequestReceived)) == 2)
                data = await received_bytes(ingress, await slow.accept(2))
                assert b"stays" in data
                assert b"left" not in data
                assert stub.events_of(AttemptEnded)[0].outcome is Outcome.SUPERSEDED

    run(body())


def test_does_not_forward_a_request_whose_client_disconnects_during_the_settle_time() -> None:
    """The attempt is withdrawn while it waits for the connection's settle time to end."""

    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            await until(lambda: pool.outcomes)
            withdrawn = pool.start(words=(b"API.READ", b"c7", b"left", b"c=read,d=2000,t=basic"))
            assert withdrawn.connection is None
            assert pool.pool.connection_count == 1
            pool.pool.withdraw(withdrawn)
            assert pool.outcomes[1][1] is Outcome.SUPERSEDED
            pool.start(words=(b"API.READ", b"c7", b"stays", b"c=read,d=2000,t=basic"))
            assert await pool.outcome(3) == (Outcome.OK, b"stays")
            assert [words[2] for words in peer.commands] == [
                b"r1",
                b"stays",
            ]
            assert peer.connections == 1

    run(body())


@pytest.mark.interpreted
def test_polls_for_hangups_twice_within_the_disconnect_limit() -> None:
    """Guards against a late poll that lets an attempt start after its client disconnected."""
    delays: list[float] = []
    loop = SimpleNamespace(call_later=lambda delay, _: delays.append(delay))
    watcher = HangupWatcher(loop)  # type: ignore[arg-type]
    with socket.socket() as sock:
        watcher.watch(SimpleNamespace(sock=sock))  # type: ignore[arg-type]
    assert len(delays) == 1
    assert 0.0 < 2 * delays[0] < DISCONNECT_LIMIT_S


@pytest.mark.interpreted
@pytest.mark.parametrize("how", ["full", "half", "reset"])
@pytest.mark.parametrize("why", ["full", "choked"])
def test_notices_a_disconnect_while_reading_is_paused(
    how: str, why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unread input exceeds the read limit, so the event loop never reports the disconnection."""
    monkeypatch.setattr(client_connection, "MAX_PIPELINED_REQUESTS", 4)
    monkeypatch.setattr(client_connection, "PROGRESS_TIMEOUT_S", 1e9)
    if why == "choked":
        monkeypatch.setattr(client_connection, "MAX_UNBLOCKED_BYTES", -1)

    async def body() -> None:
        async with serving(config()) as (ingress, address):
            stub = ScriptedPolicy(None)
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            caller.writer.write(command("first"))
            await until(lambda: stub.events_of(RequestReceived))
            [client] = ingress.clients.connections
            if why == "full":
                caller.writer.write(b"".join(command(f"{n:040}") for n in range(4000)))
            else:
                ingress.clients.read_ahead_bytes = 1
                client.pause_writing()  # as if the client did not read its responses
                caller.writer.write(command("second"))
            await until(lambda: client.reading_paused)
            disconnect(caller, how)
            await until(
                lambda: len(stub.events_of(ClientDisconnected))
                == len(stub.events_of(RequestReceived))
            )
            assert not ingress.exchange.open_requests or all(
                r.answered for r in ingress.exchange.open_requests.values()
            )
            await until(
                lambda: not ingress.clients.connections
                and not ingress.clients.hangup_watcher.connections
            )

    run(body())


def test_does_not_write_a_retry_after_the_deduplication_window() -> None:
    categories = [
        c | {"give-up-s": 30.0} | ({"dedup-window-s": 0.5} if c["name"] == "order" else {})
        for c in SETTINGS["categories"]
    ]
    settings = SLOW_CONNECT | {"categories": categories}

    def plan(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and not event.finished and event.attempt == 0:
            # Within the deduplication window at the time of the policy's decision.
            return [StartAttempt(event.request_id, "s2")]
        return start_attempt(event)

    async def body() -> None:
        async with backend(b"-ERR failed\r\n") as first:
            with full_backlog_backend() as slow:
                servers = (entry(first.address), entry(slow.address, "s2"))
                async with serving(config(*servers, settings=settings)) as (ingress, address):
                    stub = ScriptedPolicy(plan)
                    ingress.exchange.policy = stub
                    caller = await Caller.connect(address)
                    caller.writer.write(command("a", "order", d=30_000))
                    await until(lambda: stub.events_of(AttemptEnded))
                    window_end = ingress.exchange.clock() + 0.5
                    await until(lambda: ingress.exchange.clock() > window_end)
                    assert await received_bytes(ingress, await slow.accept(1)) == b""
                    assert stub.events_of(AttemptEnded)[1].outcome is Outcome.CONNECT_FAILED

    run(body())


def test_late_duplicate_of_a_response_is_discarded() -> None:
    """The duplicate arrives 10 ms after the response, while a request awaits the connection."""
    duplicate_due = asyncio.Event()

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        words = await read_command(reader)
        writer.write(value(words[2]))
        if number == 0:
            await duplicate_due.wait()
            writer.write(value(words[2]))
        await asyncio.Event().wait()

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolHarness(peer.address)
            timers = ManualTimers()
            pool.pool.timers = timers
            pool.start()
            assert await pool.outcome() == (Outcome.OK, b"r1")
            [endpoint] = pool.pool.endpoints.values()
            # 9 ms after the response.
            pool.clock_offset += endpoint.idle[0].idle_since + 0.009 - pool.pool.clock()
            pool.start(words=(b"API.READ", b"c7", b"two", b"c=read,d=2000,t=basic"))
            duplicate_due.set()
            # Until the duplicate has arrived.
            await until(lambda: pool.pool.connection_count == 0 or len(pool.outcomes) == 2)
            pool.clock_offset += 0.02
            for fire in timers.waiting:
                fire()
            assert await pool.outcome(2) == (Outcome.OK, b"two")

    run(body())


def test_does_not_use_an_idle_connection_to_an_earlier_incarnation() -> None:
    """A host that crashed and restarted leaves its old connections open and silent."""

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            peer.commands.append([b"%d" % number, *words])
            writer.write(value(words[2]))

    peer = Peer(script)

    async def body() -> None:
        async with peer, serving(config(entry(peer.address))) as (ingress, address):
            ingress.exchange.policy = ScriptedPolicy(start_attempt)
            caller = await Caller.connect(address)
            assert await caller.request(command("one")) == b"one"
            restarted = Backend("s1", "a", "m", 1, started_at=ingress.exchange.clock())
            ingress.exchange.backends_changed(
                EndpointListKind.UPDATE, (restarted,), {"s1": peer.address}, 2
            )
            assert await caller.request(command("two")) == b"two"
            assert [words[0] for words in peer.commands] == [b"0", b"1"]

    run(body())


def test_idle_limit_recovers_after_one_broken_connection() -> None:
    """A crash of a backend looks like a backend that drops idle connections early."""

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        if number == 0:
            writer.write(value(b"hello"))
            await read_command(reader)
            writer.transport.abort()  # during the request that follows an idle period

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolHarness(peer.address, idle_timeout=15.0)
            pool.start()
            await pool.outcome()
            pool.clock_offset = 2.0
            pool.start()
            assert (await pool.outcome(2))[0] is Outcome.RESET
            lowered = pool.pool.idle_limit.seconds
            assert 1.0 < lowered < 2.0
            for _ in range(int(2 * IDLE_LIMIT_DOUBLING_TIME_S / SWEEP_INTERVAL_S)):
                pool.pool.sweep_timer.cancel()
                pool.pool._sweep()
            assert 3.9 < pool.pool.idle_limit.seconds / lowered < 4.1
            for _ in range(int(4 * IDLE_LIMIT_DOUBLING_TIME_S / SWEEP_INTERVAL_S)):
                pool.pool.sweep_timer.cancel()
                pool.pool._sweep()
            assert pool.pool.idle_limit.seconds == 15.0 * IDLE_LIMIT_FRACTION
            assert pool.pool.idle_limit.max_seconds == 15.0 * IDLE_LIMIT_FRACTION

    run(body())
