"""Connections between instances: each writes to those it dials, and reads from those it accepts.

The acceptor first sends a magic string and a random nonce; the dialer sends a magic string, a nonce
and its name. Then only the dialer sends sealed frames, which `frame_sealer` documents.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Mapping
from typing import Final, cast

import msgspec

from ingress.components.frame_sealer import (
    HEADER_BYTES,
    LENGTH_BYTES,
    MAX_FRAME_BODY_BYTES,
    SEAL_BYTES,
    FrameSealer,
)
from ingress.handover.messages import (
    MAX_FRAME_MESSAGES,
    MAX_INSTANCE_NAME_LENGTH,
    MalformedMessageError,
    Message,
)
from ingress.transport.peer_timeout import PeerTimeout

log = logging.getLogger(__name__)

MAGIC: Final = b"cbhand01"
NONCE_BYTES: Final = 16
GREETING_BYTES: Final = len(MAGIC) + NONCE_BYTES
FRAME_TARGET_BYTES: Final = 1 << 18  # of messages, after which the next frame starts
MAX_UNSENT_BYTES: Final = 8 << 20  # buffered for a peer; beyond, its connection is aborted
REDIAL_DELAY_S: Final = 0.2
DIAL_TIMEOUT_S: Final = 1.0
MAX_INBOUND: Final = 256
MAX_LOGGED_REJECTIONS: Final = 20  # each; beyond, only every LOG_INTERVAL-th is logged
LOG_INTERVAL: Final = 1000
ARRAY_16: Final = b"\xdc"  # MessagePack: an array whose length follows in 2 bytes

_encoder = msgspec.msgpack.Encoder()
OnMessage = Callable[[str, Message], None]


class InboundConnection(asyncio.Protocol):
    """A read-only connection that another instance dialed."""

    def __init__(self, connections: PeerConnections) -> None:
        self.connections = connections
        self.buffer = b""
        self.name = ""
        self.nonce = os.urandom(NONCE_BYTES)
        self.sealer: FrameSealer | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the greeting, or aborts the connection if there are too many."""
        self.transport = cast("asyncio.Transport", transport)
        if len(self.connections.inbound) >= MAX_INBOUND:
            self.transport.abort()
            return
        self.connections.inbound.add(self)
        self.transport.write(MAGIC + self.nonce)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the set of inbound connections."""
        self.connections.inbound.discard(self)

    def data_received(self, data: bytes) -> None:
        """Passes on the messages of all complete frames; aborts on a malformed one."""
        self.buffer += data
        try:
            while self._read_next():
                pass
        except MalformedMessageError as error:
            self.connections.reject(self.name or "unknown", error)
            if self.transport is not None:
                self.transport.abort()

    def _read_next(self) -> bool:
        """Reads the greeting or one frame; returns False if it is incomplete."""
        if self.sealer is None:
            return self._read_greeting()
        return self._read_frame(self.sealer)

    def _read_greeting(self) -> bool:
        """Reads the dialer's greeting; returns False if it is incomplete."""
        buffer = self.buffer
        if len(buffer) <= GREETING_BYTES:
            if not MAGIC.startswith(buffer[: len(MAGIC)]):
                raise MalformedMessageError("greeting of another protocol")
            return False
        name_length = buffer[GREETING_BYTES]
        if not buffer.startswith(MAGIC) or not 0 < name_length <= MAX_INSTANCE_NAME_LENGTH:
            raise MalformedMessageError("greeting of another protocol")
        name_start = GREETING_BYTES + 1
        name_end = name_start + name_length
        if len(buffer) < name_end:
            return False
        self.name = buffer[name_start:name_end].decode("utf-8", "replace")
        dialer_nonce = buffer[len(MAGIC) : GREETING_BYTES]
        self.sealer = self.connections.sealer(self.nonce, dialer_nonce)
        self.buffer = buffer[name_end:]
        return True

    def _read_frame(self, sealer: FrameSealer) -> bool:
        """Reads one frame; returns False if it is incomplete."""
        buffer = self.buffer
        if len(buffer) < HEADER_BYTES:
            return False
        length = int.from_bytes(buffer[:LENGTH_BYTES], "little")
        if not SEAL_BYTES < length <= MAX_FRAME_BODY_BYTES + SEAL_BYTES:
            raise MalformedMessageError(f"frame length {length} is out of range")
        frame_end = HEADER_BYTES + length
        if len(buffer) < frame_end:
            return False
        messages = sealer.open(buffer[LENGTH_BYTES], buffer[HEADER_BYTES:frame_end])
        self.buffer = buffer[frame_end:]
        for message in messages:
            self.connections.on_message(self.name, message)
        return True


class OutboundConnection(asyncio.Protocol):
    """A write-only connection to another instance, dialed again after each loss."""

    def __init__(self, connections: PeerConnections, name: str, address: tuple[str, int]) -> None:
        self.connections = connections
        self.name = name
        self.address = address
        self.nonce = b""
        self.buffer = b""
        self.sealer: FrameSealer | None = None
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []  # encoded messages

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the greeting."""
        self.transport = cast("asyncio.Transport", transport)
        self.nonce = os.urandom(NONCE_BYTES)
        self.buffer = b""
        self.sealer = None
        name = self.connections.name.encode()
        self.transport.write(MAGIC + self.nonce + bytes((len(name),)) + name)

    def data_received(self, data: bytes) -> None:
        """Reads the acceptor's greeting; aborts on any other data."""
        if self.sealer is not None:
            self.abort()
            return
        self.buffer += data
        if len(self.buffer) < GREETING_BYTES:
            return
        if len(self.buffer) > GREETING_BYTES or not self.buffer.startswith(MAGIC):
            self.abort()
            return
        self.sealer = self.connections.sealer(self.buffer[len(MAGIC) :], self.nonce)
        self.connections.on_connection_change(self.name, True)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops unsent messages, and dials again after a delay."""
        was_connected = self.sealer is not None
        self.transport = None
        self.sealer = None
        self.unsent.clear()
        if was_connected:
            self.connections.on_connection_change(self.name, False)
        if not self.connections.closed:
            self.connections.loop.call_later(REDIAL_DELAY_S, self.connections.dial, self)

    def abort(self) -> None:
        """Closes the connection without sending buffered data."""
        if self.transport is not None:
            self.transport.abort()

    def send(self, message: Message) -> None:
        """Queues a message for the next event loop iteration; drops it while disconnected."""
        if self.sealer is None or self.transport is None:
            return
        if not self.unsent:
            self.connections.loop.call_soon(self.flush)
        self.unsent.append(_encoder.encode(message))

    def flush(self) -> None:
        """Writes all unsent messages, or aborts the connection if the peer does not read."""
        if self.sealer is None or self.transport is None or not self.unsent:
            return
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return
        frame: list[bytes] = []
        size = 0
        for message in self.unsent:
            full = size + len(message) > FRAME_TARGET_BYTES or len(frame) >= MAX_FRAME_MESSAGES
            if frame and full:
                self._write(frame)
                frame = []
                size = 0
            frame.append(message)
            size += len(message)
        self._write(frame)
        self.unsent.clear()

    def _write(self, messages: list[bytes]) -> None:
        assert self.transport is not None
        assert self.sealer is not None
        array_header = ARRAY_16 + len(messages).to_bytes(2, "big")
        self.transport.write(self.sealer.seal(array_header + b"".join(messages)))


class PeerConnections:
    """All connections of one instance.

    `on_message` receives each message with its sender's name. `on_connection_change` receives the
    name of an instance, and whether the connection to it was established or lost.
    """

    def __init__(
        self,
        name: str,
        bind: tuple[str, int],
        peers: Mapping[str, tuple[str, int]],
        keys: Mapping[int, bytes],
        sealing_key_id: int,
        on_message: OnMessage,
        on_connection_change: Callable[[str, bool], None],
    ) -> None:
        self.name = name
        self.bind = bind
        self.keys = keys
        self.sealing_key_id = sealing_key_id
        self.on_message = on_message
        self.on_connection_change = on_connection_change
        self.loop = asyncio.get_running_loop()
        self.outbound = {
            peer: OutboundConnection(self, peer, address)
            for peer, address in peers.items()
            if peer != name
        }
        self.inbound: set[InboundConnection] = set()
        self.server: asyncio.Server | None = None
        self.dialing: set[asyncio.Task[None]] = set()
        self.closed = False
        self.rejected = 0

    def sealer(self, acceptor_nonce: bytes, dialer_nonce: bytes) -> FrameSealer:
        """Returns the frame sealer for a new connection."""
        return FrameSealer(self.keys, self.sealing_key_id, acceptor_nonce, dialer_nonce)

    async def open(self) -> None:
        """Starts to listen and to dial all other instances.

        Raises:
            OSError: the address can't be bound.
        """
        self.server = await self.loop.create_server(lambda: InboundConnection(self), *self.bind)
        for connection in self.outbound.values():
            self.dial(connection)

    def dial(self, connection: OutboundConnection) -> None:
        """Dials in a separate task; dials again after a failure."""
        task = self.loop.create_task(self._dial(connection))
        self.dialing.add(task)
        task.add_done_callback(self.dialing.discard)

    async def _dial(self, connection: OutboundConnection) -> None:
        try:
            async with PeerTimeout(DIAL_TIMEOUT_S):
                await self.loop.create_connection(lambda: connection, *connection.address)
        except (OSError, TimeoutError):
            if not self.closed:
                self.loop.call_later(REDIAL_DELAY_S, self.dial, connection)

    def send(self, receiver: str, message: Message) -> None:
        """Sends a message to another instance; drops it if there is no connection."""
        if connection := self.outbound.get(receiver):
            connection.send(message)

    def reject(self, sender: str, error: MalformedMessageError) -> None:
        """Counts and logs a connection that is closed because of malformed data."""
        self.rejected += 1
        if self.rejected <= MAX_LOGGED_REJECTIONS or self.rejected % LOG_INTERVAL == 0:
            name = sender[:MAX_INSTANCE_NAME_LENGTH]
            log.warning("handover: connection from %s rejected: %s", name, error)

    def close(self) -> None:
        """Sends unsent messages and closes all connections."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for outbound in self.outbound.values():
            outbound.flush()
            if outbound.transport is not None:
                outbound.transport.close()
        for inbound in list(self.inbound):
            if inbound.transport is not None:
                inbound.transport.abort()
        for task in self.dialing:
            task.cancel()
