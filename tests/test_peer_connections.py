"""Connections between instances: forged, repeated and malformed frames are rejected."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.components import peer_connections
from ingress.components.frame_sealer import FrameSealer
from ingress.components.peer_connections import MAGIC, PeerConnections
from ingress.handover.messages import (
    Heartbeat,
    MalformedMessageError,
    Message,
    ReplicaReply,
    ReplicaRequest,
    SyncRecord,
    validate,
)
from ingress.handover.transition_table import RequestKind

KEYS = {1: b"k" * 32}
OTHER_KEYS = {1: b"x" * 32}
HEARTBEAT = Heartbeat(1, 5)
NAME = b"n" * 16
NONCE = b"n" * 16


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address: tuple[str, int] = server.getsockname()
        return address


class ConnectedPair:
    """Two connected instances, their received messages and their connection changes."""

    def __init__(self, keys: dict[int, bytes]) -> None:
        self.received: dict[str, list[tuple[str, Message]]] = {"a": [], "b": []}
        self.changes: list[tuple[str, str, bool]] = []
        self.addresses = {"a": free_address(), "b": free_address()}
        self.connections = {
            name: PeerConnections(
                name,
                self.addresses[name],
                self.addresses,
                keys if name == "b" else KEYS,
                1,
                lambda sender, message, owner=name: self.received[owner].append((sender, message)),  # type: ignore[misc]
                lambda peer, up, owner=name: self.changes.append((owner, peer, up)),  # type: ignore[misc]
            )
            for name in "ab"
        }

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(1000):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the condition did not hold within 10 s")

    async def open(self) -> None:
        for connections in self.connections.values():
            await connections.open()
        await self.wait_until(lambda: len(self.changes) >= 2)

    def close(self) -> None:
        for connections in self.connections.values():
            connections.close()


def run_case(
    case: Callable[[ConnectedPair], Awaitable[None]], keys: dict[int, bytes] | None = None
) -> ConnectedPair:
    async def run() -> ConnectedPair:
        pair = ConnectedPair(keys or KEYS)
        await pair.open()
        try:
            await case(pair)
        finally:
            pair.close()
        return pair

    return uvloop.run(run())


def test_delivers_messages_in_order_over_several_frames() -> None:
    async def case(pair: ConnectedPair) -> None:
        for number in range(1, 2001):
            pair.connections["a"].send(
                "b", ReplicaRequest(RequestKind.OPEN, NAME, 1, number, b"", b"c" * 700)
            )
        await pair.wait_until(lambda: len(pair.received["b"]) == 2000)
        operations = [
            message.operation
            for _, message in pair.received["b"]
            if isinstance(message, ReplicaRequest)
        ]
        assert operations == list(range(1, 2001))
        assert {sender for sender, _ in pair.received["b"]} == {"a"}

    run_case(case)


def test_rejects_a_frame_sealed_with_another_key() -> None:
    async def case(pair: ConnectedPair) -> None:
        pair.connections["b"].send("a", HEARTBEAT)
        await pair.wait_until(lambda: pair.connections["a"].rejected > 0)
        assert not pair.received["a"]

    run_case(case, OTHER_KEYS)


def test_rejects_a_repeated_frame_and_a_frame_of_another_connection() -> None:
    async def case(pair: ConnectedPair) -> None:
        async def send_frames(count: int, acceptor_nonce: bytes) -> None:
            reader, writer = await asyncio.open_connection(*pair.addresses["a"])
            greeting = await reader.readexactly(len(MAGIC) + 16)
            writer.write(MAGIC + NONCE + b"\x01b")
            sealer = FrameSealer(KEYS, 1, acceptor_nonce or greeting[len(MAGIC) :], NONCE)
            frame = sealer.seal(b"\x91" + msgspec.msgpack.encode(HEARTBEAT))
            writer.write(frame * count)
            assert await reader.read() == b""  # the connection was closed
            writer.close()

        before = pair.connections["a"].rejected
        await send_frames(2, b"")
        assert pair.received["a"].count(("b", HEARTBEAT)) == 1
        assert pair.connections["a"].rejected == before + 1
        await send_frames(1, b"o" * 16)  # sealed for another connection
        assert pair.received["a"].count(("b", HEARTBEAT)) == 1
        assert pair.connections["a"].rejected == before + 2

    run_case(case)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        MAGIC + NONCE + b"\x00",
        MAGIC + NONCE + b"\x01b" + b"\xff\xff\xff\xff\x01",
        MAGIC + NONCE + b"\x01b" + b"\x05\x00\x00\x00\x01abcde",
    ],
)
def test_closes_a_connection_of_another_protocol(data: bytes) -> None:
    async def case(pair: ConnectedPair) -> None:
        reader, writer = await asyncio.open_connection(*pair.addresses["a"])
        writer.write(data)
        async with asyncio.timeout(5):
            await reader.read()
        writer.close()
        assert pair.connections["a"].rejected == 1
        assert not pair.received["a"]

    run_case(case)


def test_ignores_messages_and_fields_of_a_later_version() -> None:
    with_extra_field = msgspec.msgpack.encode(
        [*msgspec.msgpack.decode(msgspec.msgpack.encode(HEARTBEAT)), "new"]
    )
    unknown_type = msgspec.msgpack.encode([99, b"a later message"])
    body = b"\x93" + unknown_type + with_extra_field + msgspec.msgpack.encode(HEARTBEAT)
    frame = FrameSealer(KEYS, 1, b"a" * 16, b"b" * 16).seal(body)
    assert FrameSealer(KEYS, 1, b"a" * 16, b"b" * 16).open(frame[4], frame[5:]) == [
        HEARTBEAT,
        HEARTBEAT,
    ]


def test_aborts_the_connection_if_the_peer_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_connections, "MAX_UNSENT_BYTES", 1 << 20)

    async def case(pair: ConnectedPair) -> None:
        for connection in pair.connections["b"].inbound:
            assert connection.transport is not None
            connection.transport.pause_reading()
        for _ in range(400):
            pair.connections["a"].send(
                "b", ReplicaRequest(RequestKind.OPEN, NAME, 1, 1, b"", b"c" * 60_000)
            )
            await asyncio.sleep(0)
        await pair.wait_until(lambda: ("a", "b", False) in pair.changes)

    run_case(case)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_sealed_body_decodes_to_valid_messages_or_is_rejected(body: bytes) -> None:
    frame = FrameSealer(KEYS, 1, b"a" * 16, b"b" * 16).seal(body)
    try:
        messages = FrameSealer(KEYS, 1, b"a" * 16, b"b" * 16).open(frame[4], frame[5:])
    except MalformedMessageError:
        return
    for message in messages:
        validate(message)


@pytest.mark.parametrize(
    "message",
    [
        ReplicaRequest(9, NAME, 1, 1),
        ReplicaRequest(RequestKind.OPEN, b"n", 1, 1),
        ReplicaRequest(RequestKind.OPEN, NAME, 0, 1),
        ReplicaRequest(RequestKind.DONE, NAME, 1, 1, response=b"v" * 65_537),
        ReplicaReply(9, NAME, 1, 1),
        ReplicaReply(1, NAME, 1, 1, age=float("nan")),
        ReplicaReply(1, NAME, 1, 1, previous_phase=5),
        Heartbeat(1, 0),
        Heartbeat(1, 1, store_id=b"d" * 17),
        SyncRecord(1, False, b"n" * 15),
        SyncRecord(1, False, NAME, 7),
    ],
)
def test_rejects_fields_out_of_range(message: Message) -> None:
    with pytest.raises(MalformedMessageError):
        validate(message)
