"""Messages of the membership protocol, in bounded, versioned and authenticated datagrams.

A datagram consists of one byte for the format, one byte for the key id, a MessagePack body, and 16
bytes of keyed BLAKE2b (RFC 7693) over all preceding bytes. Replayed datagrams are harmless: a reply
carries the sequence number of its request, and updates are ordered by their incarnation alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import Final

import msgspec

from ingress.membership.member_state import MemberState

FORMAT_VERSION: Final = 1
MAX_DATAGRAM_BYTES: Final = 1200  # avoids fragmentation on any path
HEADER_BYTES: Final = 2
MAC_BYTES: Final = 16
MAX_UPDATES: Final = 24  # per message
MAX_PAYLOADS: Final = 24  # per message
MAX_PAYLOAD_BYTES: Final = 512
MAX_NAME_LENGTH: Final = 64  # characters
MIN_KEY_BYTES: Final = 16
MAX_KEY_BYTES: Final = 64


class MessageKind(IntEnum):
    """Kind of a message; the values are sent on the wire.

    PING_REQ requests a ping on behalf of the sender; the reply is a NACK if no ack arrives in time.
    PULL_STATE requests the full state of a member, which it returns in PUSH_STATE messages.
    """

    PING = 1
    PING_REQ = 2
    ACK = 3
    NACK = 4
    PULL_STATE = 5
    PUSH_STATE = 6
    LEAVE = 7


class MalformedMessageError(Exception):
    """An invalid datagram. The text gives the reason and contains no secret."""


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one incarnation of a member.

    The order and the types of the fields are the wire format. `max_format` is the newest datagram
    format that the member understands. `suspected_by` is the name of the member whose own probes
    of it failed.
    """

    name: str
    host: str
    port: int
    state: int
    incarnation: int
    max_format: int = FORMAT_VERSION
    suspected_by: str = ""


class Message(msgspec.Struct, array_like=True):
    """One message. The order and the types of the fields are the wire format.

    `sequence_number` matches a reply to its request, `target` is the name of the member that a
    PING_REQ asks to ping, and `payloads` are application data that this package does not interpret.
    """

    kind: int
    sender: str
    sequence_number: int
    target: str = ""
    updates: list[MemberUpdate] = msgspec.field(default_factory=list)
    payloads: list[bytes] = msgspec.field(default_factory=list)


class Codec:
    """Encodes, decodes and authenticates datagrams.

    Accepts datagrams authenticated with any of the keys, so that keys can be rotated one member at
    a time.

    Args:
        keys: The keys by id, from 0 to 255.
        active_key_id: The id of the key to encode with.

    Raises:
        ValueError: The id or the length of a key is out of range, or the active key is missing.
    """

    def __init__(self, keys: Mapping[int, bytes], active_key_id: int) -> None:
        if active_key_id not in keys:
            raise ValueError(f"key {active_key_id}: active key is missing")
        for key_id, key in keys.items():
            if not 0 <= key_id <= 255:
                raise ValueError(f"key {key_id}: id must be from 0 to 255")
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(
                    f"key {key_id}: {len(key)} bytes, must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
                )
        self.keys = dict(keys)
        self.active_key_id = active_key_id
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """Returns the datagram of a message.

        If the message does not fit, removes payloads and then updates from it, the last ones first.

        Raises:
            ValueError: The message is too long even without payloads and updates.
        """
        while True:
            data = bytes((FORMAT_VERSION, self.active_key_id)) + self._encoder.encode(message)
            if len(data) + MAC_BYTES <= MAX_DATAGRAM_BYTES:
                return data + _mac(data, self.keys[self.active_key_id])
            if message.payloads:
                message.payloads.pop()
            elif message.updates:
                message.updates.pop()
            else:
                raise ValueError("message without updates is too long for a datagram")

    def decode(self, data: bytes) -> Message:
        """Returns the message of a datagram; authenticates the datagram before parsing its body.

        Raises:
            MalformedMessageError: The datagram is not authentic, or its content is invalid.
        """
        if not HEADER_BYTES + MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise MalformedMessageError(f"datagram length out of range: {len(data)} bytes")
        if data[0] != FORMAT_VERSION:
            raise MalformedMessageError(f"format {data[0]} is unknown")
        key = self.keys.get(data[1])
        if key is None:
            raise MalformedMessageError(f"key {data[1]} is unknown")
        signed = data[:-MAC_BYTES]
        mac = data[-MAC_BYTES:]
        if not compare_digest(mac, _mac(signed, key)):
            raise MalformedMessageError("invalid authentication code")
        try:
            message = self._decoder.decode(signed[HEADER_BYTES:])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedMessageError(f"invalid message body: {type(error).__name__}") from None
        validate(message)
        return message


def _mac(data: bytes, key: bytes) -> bytes:
    return blake2b(data, digest_size=MAC_BYTES, key=key).digest()


def validate(message: Message) -> None:
    """Checks the values of a message, since a faulty member that has the key may send any value.

    Raises:
        MalformedMessageError: A value is out of range.
    """
    if not MessageKind.PING <= message.kind <= MessageKind.LEAVE:
        raise MalformedMessageError(f"message kind {message.kind} is unknown")
    if not 0 <= message.sequence_number < 1 << 63:
        raise MalformedMessageError("sequence number out of range")
    if not _is_name(message.sender) or len(message.target) > MAX_NAME_LENGTH:
        raise MalformedMessageError("length of sender or target name out of range")
    if len(message.updates) > MAX_UPDATES:
        raise MalformedMessageError(f"more than {MAX_UPDATES} updates")
    if len(message.payloads) > MAX_PAYLOADS:
        raise MalformedMessageError(f"more than {MAX_PAYLOADS} payloads")
    if not all(map(_is_valid_update, message.updates)):
        raise MalformedMessageError("value in an update out of range")
    if any(len(payload) > MAX_PAYLOAD_BYTES for payload in message.payloads):
        raise MalformedMessageError(f"payload longer than {MAX_PAYLOAD_BYTES} bytes")


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH


def _is_valid_update(update: MemberUpdate) -> bool:
    return (
        _is_name(update.name)
        and _is_name(update.host)
        and 0 < update.port < 1 << 16
        and MemberState.ALIVE <= update.state <= MemberState.LEFT
        and 0 <= update.incarnation < 1 << 62
        and 0 <= update.max_format < 256
        and len(update.suspected_by) <= MAX_NAME_LENGTH
    )
