"""Endpoint discovery: complete lists, changes, restarted versions, and a failing agent."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import struct
import time
from random import Random
from typing import Any

import pytest

from ingress.platform import endpoint_discovery as module
from ingress.platform import watch_backoff
from ingress.platform.endpoint_discovery import EndpointDiscovery, EndpointList, read_endpoint_list
from ingress.platform.watch_backoff import WatchBackoff
from ingress.policy.events import EndpointListKind, Readiness
from tests.peers import Peer, Reader, Writer, entry, run, until
from tests.support.hold_ups import hold_up_between_reads

ADDRESS = ("127.0.0.1", 6379)
OVERLOADED = b"503"  # represents an answer that rejects the call


def listing(version: int, full: bool, *rows: dict[str, Any]) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": rows}).encode()


class Agent:
    """An agent that gives scripted answers in turn, then stays silent.

    None represents no answer, b"" closes the connection.
    """

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.paths: list[str] = []
        self.times: list[float] = []
        self.peer = Peer(self.script)

    async def script(self, _: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.paths.append(head.split(b" ")[1].decode())
            self.times.append(time.monotonic())
            answer = self.answers.pop(0) if self.answers else None
            if answer == b"":
                return
            if answer == OVERLOADED:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            elif answer is not None:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer)
                )


async def watch(
    agent: Agent, calls: int, version: int | None = None
) -> list[tuple[EndpointListKind, EndpointList]]:
    """Returns the lists reported until the agent has received so many calls."""
    lists: list[tuple[EndpointListKind, EndpointList]] = []
    async with agent.peer:
        discovery = EndpointDiscovery(
            agent.peer.address,
            lambda kind, endpoints: lists.append((kind, endpoints)),
            WatchBackoff(Random(1)),
            version,
        )
        task = asyncio.create_task(discovery.run())
        await until(lambda: len(agent.paths) >= calls)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return lists


WATCH = "/api/targets?after=%d&wait_ms=" + str(module.LONG_POLL_MS)


def test_reports_a_complete_list_and_then_changes() -> None:
    async def body() -> None:
        agent = Agent(
            listing(
                41, True, entry(ADDRESS, started=0), entry(ADDRESS, "s2", started=1_700_000_000_500)
            ),
            listing(43, False, entry(ADDRESS, "s2", "draining")),
            listing(44, False),
            listing(50, True, entry(ADDRESS)),
        )
        lists = await watch(agent, 5)
        assert agent.paths == ["/api/targets", WATCH % 41, WATCH % 43, WATCH % 44, WATCH % 50]
        assert [kind for kind, _ in lists] == [
            EndpointListKind.COMPLETE,
            EndpointListKind.UPDATE,
            EndpointListKind.COMPLETE,
        ]
        assert [b.started_at for b in lists[0][1].backends] == [0.0, 1_700_000_000.5]
        assert lists[1][1].backends[0].readiness is Readiness.DRAINING
        assert lists[0][1].addresses["s2"] == ADDRESS

    run(body())


def test_a_watch_continues_from_the_configured_list_with_one_call() -> None:
    async def body() -> None:
        agent = Agent(listing(9, False, entry(ADDRESS, "s2")))
        lists = await watch(agent, 2, version=7)
        assert agent.paths == [WATCH % 7, WATCH % 9]
        assert [kind for kind, _ in lists] == [EndpointListKind.UPDATE]

    run(body())


def test_the_pause_between_polls_for_changes_grows_while_the_agent_is_overloaded() -> None:
    async def body() -> None:
        agent = Agent(
            listing(41, True, entry(ADDRESS)),
            OVERLOADED,
            OVERLOADED,
            OVERLOADED,
            listing(42, False),
        )
        lists = await watch(agent, 6)
        assert agent.paths[1:] == [WATCH % 41] * 4 + [WATCH % 42]  # never the complete list again
        assert [endpoints.version for _, endpoints in lists] == [41]
        min_pauses = [watch_backoff.FIRST_OVERLOAD_PAUSE_S / 2 * 2**n for n in range(3)]
        assert all(
            b - a >= wait
            for a, b, wait in zip(agent.times[1:], agent.times[2:], min_pauses, strict=False)
        )

    run(body())


def test_restarted_versions_trigger_a_poll_of_the_complete_list() -> None:
    async def body() -> None:
        agent = Agent(
            listing(41, True, entry(ADDRESS)),
            listing(3, False, entry(ADDRESS, "s9")),
            listing(3, True, entry(ADDRESS, "s9")),
        )
        lists = await watch(agent, 4)
        assert agent.paths == ["/api/targets", WATCH % 41, "/api/targets", WATCH % 3]
        assert [[b.id for b in endpoints.backends] for _, endpoints in lists] == [["s1"], ["s9"]]

    run(body())


@pytest.mark.parametrize(
    "broken", [b"", b"{", b"[]", b'{"version":1}', b'{"version":"x","servers":[]}']
)
def test_after_a_failed_call_the_list_is_kept_and_the_agent_is_polled_again(broken: bytes) -> None:
    async def body() -> None:
        agent = Agent(
            listing(41, True, entry(ADDRESS)), broken, broken, listing(42, True, entry(ADDRESS))
        )
        lists = await watch(agent, 5)
        assert agent.paths[:2] == ["/api/targets", WATCH % 41]
        assert agent.paths[-1] == WATCH % 42
        # A malformed list casts doubt on the current one; a call without an answer does not.
        assert ("/api/targets" in agent.paths[2:]) is (broken != b"")
        assert [endpoints.version for _, endpoints in lists] == [41, 42]
        assert (
            agent.times[-1] - agent.times[0] >= watch_backoff.FAILURE_PAUSES_S[0] / 2
        )  # after a pause

    run(body())


def test_a_call_to_a_silent_agent_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_backoff, "FIRST_CALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(watch_backoff, "MAX_CALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(module, "LONG_POLL_MS", 10)
    monkeypatch.setattr(module, "POLL_ANSWER_GRACE_S", 0.05)

    async def body() -> None:
        agent = Agent(
            None, listing(1, True, entry(ADDRESS)), None, listing(2, True, entry(ADDRESS))
        )
        lists = await watch(agent, 5)
        assert [endpoints.version for _, endpoints in lists] == [1, 2]

    run(body())


def test_a_silent_watch_is_replaced_within_two_seconds() -> None:
    """A new call receives the change; it must not wait for the end of a long silent watch."""

    async def body() -> None:
        agent = Agent(
            listing(1, True, entry(ADDRESS)), None, listing(2, True, entry(ADDRESS, "s2"))
        )
        lists = await watch(agent, 4)
        assert [endpoints.version for _, endpoints in lists] == [1, 2]
        assert agent.paths[2] == WATCH % 1
        assert agent.peer.connections == 2
        assert module.LONG_POLL_MS / 1000 + module.POLL_ANSWER_GRACE_S < 2.0

    run(body())


def test_the_watch_continues_after_an_error_in_its_callback() -> None:
    async def body() -> None:
        agent = Agent(listing(1, True, entry(ADDRESS)), listing(2, True, entry(ADDRESS)))

        def on_list(kind: EndpointListKind, endpoints: EndpointList) -> None:
            raise RuntimeError("a fault")

        async with agent.peer:
            task = asyncio.create_task(
                EndpointDiscovery(agent.peer.address, on_list, WatchBackoff(Random(1))).run()
            )
            await until(lambda: len(agent.paths) >= 3)
            assert not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(body())


@pytest.mark.parametrize(
    "change",
    [
        {"addr": "nowhere"},
        {"addr": "127.0.0.1:99999"},
        {"addr": 7},
        {"id": None},
        {"id": ""},
        {"state": "odd"},
        {"started_ms": "x"},
        {"started_ms": -1},
        {"weight": "x"},
        {"weight": -1},
    ],
)
def test_a_malformed_entry_is_skipped_and_logged(
    change: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    rows = [entry(ADDRESS) | change, entry(ADDRESS, "s2"), 5]
    with caplog.at_level(logging.WARNING):
        endpoints = read_endpoint_list({"version": 1, "full": True, "servers": rows})
    assert [b.id for b in endpoints.backends] == ["s2"]
    assert len(caplog.records) == 2


TRUNCATED_CALL = 2  # number of the call that the agent of the next test truncates, counted from 1


def truncating_agent(part: float, length: bool, end: str) -> tuple[Peer, list[str]]:
    """Returns an agent that truncates its second answer, and the paths of the calls to it."""
    complete = listing(3, True, entry(ADDRESS, "s1"))
    changes = listing(4, False, entry(ADDRESS, "s2"))
    paths: list[str] = []

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            paths.append(head.split(b" ")[1].decode())
            if len(paths) > TRUNCATED_CALL + 1:
                continue  # there are no newer changes
            answer = complete if len(paths) == 1 else changes
            truncated = len(paths) == TRUNCATED_CALL
            size = b"Content-Length: %d\r\n" % len(answer) if length or not truncated else b""
            written = answer[: int(len(answer) * part)] if truncated else answer
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (size, written))
            if truncated:
                await writer.drain()
                if end == "reset":
                    reset(writer)
                return

    return Peer(script), paths


def reset(writer: Writer) -> None:
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


@pytest.mark.parametrize("part", [0.0, 0.5, 0.95])
@pytest.mark.parametrize("length", [True, False])
@pytest.mark.parametrize("end", ["reset", "closed"])
def test_a_truncated_answer_changes_nothing(part: float, length: bool, end: str) -> None:
    """Without a length, closing the connection completes an answer; a reset does not."""

    async def body() -> None:
        lists: list[tuple[EndpointListKind, EndpointList]] = []
        agent, paths = truncating_agent(part, length, end)
        async with agent as peer:
            discovery = EndpointDiscovery(
                peer.address,
                lambda kind, endpoints: lists.append((kind, endpoints)),
                WatchBackoff(Random(1)),
            )
            task = asyncio.create_task(discovery.run())
            await until(lambda: len(lists) == 2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert [endpoints.version for _, endpoints in lists] == [3, 4]
        assert [call.partition("&")[0] for call in paths[1:3]] == ["/api/targets?after=3"] * 2

    run(body())


DRAIN_GRACE_S = 1.0
CALL_TIMEOUT_S = watch_backoff.LOCAL_TIMEOUT_FRACTION * DRAIN_GRACE_S


@pytest.mark.parametrize("answered", [True, False])
def test_an_answer_that_arrives_during_a_hold_up_is_read_before_its_call_times_out(
    answered: bool,
) -> None:
    """Guards against missing changes for as long as the process is held up again and again."""
    body_bytes = listing(41, True, entry(ADDRESS))
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body_bytes)
    ended: list[bool] = []

    async def body() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            discovery = EndpointDiscovery(
                server.getsockname(),
                lambda *_: None,
                WatchBackoff(Random(1), DRAIN_GRACE_S),
                on_call_ended=ended.append,
            )
            task = asyncio.create_task(discovery.run())
            connection, _ = await loop.sock_accept(server)
            with connection:
                connection.setblocking(False)
                await loop.sock_recv(connection, 1 << 16)
                answer = head + body_bytes if answered else head
                await hold_up_between_reads(CALL_TIMEOUT_S, lambda: connection.send(answer))
                await until(lambda: ended)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert ended[0] is answered

    run(body())
