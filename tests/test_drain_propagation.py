"""A known drain persists when endpoint lists are late, repeated, outdated or missing."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.application import Application
from ingress.platform import drain_tracker, watch_backoff
from ingress.platform import endpoint_discovery as module
from ingress.platform.drain_tracker import DrainTracker
from ingress.platform.endpoint_discovery import EndpointDiscovery, EndpointList
from ingress.platform.watch_backoff import WatchBackoff
from ingress.policy.events import Backend, EndpointListKind, Outcome, Readiness
from ingress.transport.backend_pool import DRAIN_GRACE_FRACTION
from tests.peers import (
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config,
    entry,
    run,
    until,
    value,
)
from tests.support.applications import serving
from tests.support.pools import PoolHarness
from tests.test_endpoint_discovery import Agent, listing

ADDRESS = ("127.0.0.1", 6379)


def readiness_of(endpoints: EndpointList, name: str) -> Readiness:
    return next(b.readiness for b in endpoints.backends if b.id == name)


class SwitchedAgent:
    """An agent that is silent while `down`; calls made then are never answered, even later."""

    def __init__(self, down: bool) -> None:
        self.down = down
        self.call_log: list[tuple[float, str]] = []
        self.peer = Peer(self.script)
        self.answer: bytes = listing(1, True)

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            path = head.split(b" ")[1].decode()
            self.call_log.append((time.monotonic(), path))
            if self.down or path.endswith(f"wait_ms={module.LONG_POLL_MS}"):
                await asyncio.Event().wait()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.answer), self.answer)
            )


@given(grace=st.floats(0.0, 10.0), seed=st.integers(0, 1 << 30), outage=st.integers(1, 60))
@settings(max_examples=200, deadline=None)
def test_after_an_outage_of_the_agent_a_drain_is_read_within_half_its_grace(
    grace: float, seed: int, outage: int
) -> None:
    """A call made just before the agent returns is never answered; the next one is."""
    backoff = WatchBackoff(Random(seed), grace)
    for _ in range(outage):
        worst = backoff.call_timeout() + backoff.record_failure(False)
        assert worst <= max(grace, watch_backoff.MIN_DRAIN_GRACE_S) * (1 - DRAIN_GRACE_FRACTION)
        assert worst >= 0.2 * watch_backoff.LOCAL_TIMEOUT_FRACTION * max(
            grace, watch_backoff.MIN_DRAIN_GRACE_S
        )  # limits the rate of calls during an outage
    assert (
        WatchBackoff(Random(seed)).call_timeout() == watch_backoff.FIRST_CALL_TIMEOUT_S
    )  # a service shared by all instances is called less often


def test_a_drain_is_read_in_time_when_a_silent_agent_returns() -> None:
    async def body() -> None:
        agent = SwitchedAgent(down=True)
        received: list[tuple[float, EndpointList]] = []
        async with agent.peer:
            watch = EndpointDiscovery(
                agent.peer.address,
                lambda _, endpoints: received.append((time.monotonic(), endpoints)),
                WatchBackoff(Random(1), 1.0),
                40,
            )
            task = asyncio.create_task(watch.run())
            await until(lambda: len(agent.call_log) >= 4)  # no call waits for seconds
            agent.answer = listing(41, False, entry(ADDRESS, "s1", "draining"))
            agent.down = False
            returned_at = time.monotonic()
            await until(lambda: received)
            calls = [at for at, _ in agent.call_log if at >= returned_at]
            assert len(calls) <= 2  # the first answered call, and the continued watch
            assert readiness_of(received[0][1], "s1") is Readiness.DRAINING
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(body())


def test_requests_wait_for_the_first_answer_of_the_agent() -> None:
    """The initial endpoint list is outdated: the agent has already received the drain."""
    release = asyncio.Event()

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            await release.wait()
            data = listing(9, False, entry(ADDRESS, "s1", "draining"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))

    async def body() -> None:
        async with Peer(script) as agent, backend() as peer:
            application = Application(
                config(entry(peer.address), discovery="{}:{}".format(*agent.address))
            )
            stop = asyncio.Event()
            task = asyncio.create_task(application.run(stop))
            await until(lambda: agent.connections)
            with pytest.raises(ConnectionError):
                await Caller.connect(application.clients.listening_socket.getsockname())
            release.set()
            caller = await Caller.connect(await listening_address(application))
            assert "BUSY" in str(await caller.request(command("one")))
            assert not peer.commands
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            application.clients.close()

    run(body())


async def listening_address(application: Application) -> Any:
    await application.serving.wait()
    return application.clients.listening_socket.getsockname()


def test_a_silent_agent_does_not_prevent_a_new_process_from_serving() -> None:
    async def body() -> None:
        agent = SwitchedAgent(down=True)
        async with agent.peer, backend() as peer:
            text = "{}:{}".format(*agent.peer.address)
            async with serving(config(entry(peer.address), discovery=text)) as (_, address):
                caller = await Caller.connect(address)
                assert await caller.request(command("one")) == b"one"

    run(body())


def test_after_a_reload_the_previous_agent_is_watched_until_the_new_one_answers() -> None:
    """The previous agent reports a drain while the new one is silent, the new one another."""

    async def body() -> None:
        old = Agent(listing(40, True, entry(ADDRESS, "s1"), entry(ADDRESS, "s2")))
        new = SwitchedAgent(down=True)
        async with old.peer, new.peer:
            application = Application(config(discovery="{}:{}".format(*old.peer.address)))
            received: list[tuple[EndpointListKind, EndpointList]] = []
            application.discovery.on_list = lambda kind, listing: received.append((kind, listing))
            task = asyncio.create_task(application.run(asyncio.Event()))
            await until(lambda: len(old.paths) == 2)
            application.reload(config(discovery="{}:{}".format(*new.peer.address)))
            await until(lambda: new.call_log)
            old.answers.append(listing(41, False, entry(ADDRESS, "s1", "draining")))
            await until(
                lambda: old.peer.ended
            )  # its silent watch timed out, and the next call reports the drain
            await until(lambda: any(endpoints.version == 41 for _, endpoints in received))
            # The new agent is behind: it has not received that drain yet.
            new.answer = listing(39, True, entry(ADDRESS, "s1"), entry(ADDRESS, "s2", "draining"))
            new.down = False
            await until(lambda: received[-1][1].version == 39)
            assert (
                readiness_of(received[-1][1], "s1")
                is readiness_of(received[-1][1], "s2")
                is Readiness.DRAINING
            )
            await until(lambda: old.peer.ended == old.peer.connections)  # no longer watched
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            application.clients.close()

    run(body())


def test_an_older_list_does_not_end_a_drain_and_the_complete_list_is_polled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(drain_tracker, "MAX_NOTICE_AGE_S", 0.2)

    async def body() -> None:
        agent = Agent(
            listing(50, True, entry(ADDRESS, "s1", "draining")),
            listing(3, True, entry(ADDRESS, "s1")),
            None,
            *[listing(4, True, entry(ADDRESS, "s1"))] * 3,
        )
        received: list[EndpointList] = []
        async with agent.peer:
            watch = EndpointDiscovery(
                agent.peer.address,
                lambda _, endpoints: received.append(endpoints),
                WatchBackoff(Random(1), 1.0),
            )
            task = asyncio.create_task(watch.run())
            await until(lambda: len(received) >= 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert [readiness_of(endpoints, "s1") for endpoints in received[:2]] == [
            Readiness.DRAINING
        ] * 2
        assert readiness_of(received[-1], "s1") is Readiness.READY  # the agent did restart
        assert agent.paths.count("/api/targets") >= 2

    run(body())


STATES = st.sampled_from(list(Readiness))


ROWS = st.tuples(st.integers(1, 9), STATES, st.sampled_from((0.0, 5.0)), st.floats(0.0, 4.0))


@given(st.lists(ROWS, max_size=20))
def test_a_drain_ends_only_by_a_newer_list_a_new_process_or_its_age(
    rows: list[tuple[int, Readiness, float, float]],
) -> None:
    tracker = DrainTracker()
    now = 100.0
    last: tuple[float, int, float] | None = None  # start, version and time of the newest drain
    for version, readiness, started, delay in rows:
        now += delay
        [corrected] = tracker.apply(
            version, (Backend("s1", readiness=readiness, started_at=started),), now
        )
        if readiness is not Readiness.READY:
            assert corrected.readiness is readiness
            last = (
                started,
                max(
                    version,
                    last[1] if last and now < last[2] + drain_tracker.MAX_NOTICE_AGE_S else 0,
                ),
                now,
            )
        elif (
            last is not None
            and last[0] == started
            and version < last[1]
            and now < last[2] + drain_tracker.MAX_NOTICE_AGE_S
        ):
            assert corrected.readiness is Readiness.DRAINING
        else:
            assert corrected.readiness is Readiness.READY
            last = None
    assert len(tracker.notices) <= 1


def test_no_request_is_first_written_to_a_draining_backend_after_half_its_grace() -> None:
    """The other half covers the delay between the agent learning of it and this instance."""

    async def body() -> None:
        async with backend(value(b"hello")) as peer:
            pool = PoolHarness(peer.address)
            pool.update((Backend("s0", readiness=Readiness.DRAINING), peer.address), full=False)
            pool.clock_offset = 0.4  # of a grace of 1 s, with a margin for a slow machine
            pool.start()
            await pool.outcome()
            pool.clock_offset = 0.55
            pool.start()
            assert (await pool.outcome(2))[0] is Outcome.CONNECT_FAILED

    run(body())
