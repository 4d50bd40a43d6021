"""Authenticated frames for one direction of a connection between two instances.

A frame consists of a header, a body and a seal. The header is the length of body and seal (4 bytes,
little-endian) and a key id (1 byte). The seal is the keyed BLAKE2b hash (RFC 7693) of the nonces of
acceptor and dialer, the frame's number and the body, so that no frame is accepted twice, on another
connection or from another instance. The body is a MessagePack array of messages.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from hmac import compare_digest
from typing import Final

import msgspec

from ingress.handover.messages import (
    MAX_FRAME_MESSAGES,
    MalformedMessageError,
    Message,
    validate,
)

SEAL_BYTES: Final = 16
LENGTH_BYTES: Final = 4
HEADER_BYTES: Final = LENGTH_BYTES + 1
MAX_FRAME_BODY_BYTES: Final = 2 << 20

_frame: msgspec.msgpack.Decoder[list[msgspec.Raw]] = msgspec.msgpack.Decoder(list[msgspec.Raw])
_message: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class FrameSealer:
    """Seals or opens the frames of one direction, and counts them.

    `keys`: by key id; `sealing_key_id`: id of the key that seals frames.
    """

    def __init__(
        self,
        keys: Mapping[int, bytes],
        sealing_key_id: int,
        acceptor_nonce: bytes,
        dialer_nonce: bytes,
    ) -> None:
        self.keys = keys
        self.sealing_key_id = sealing_key_id
        self.nonces = acceptor_nonce + dialer_nonce
        self.frame_number = 0

    def _compute_seal(self, key: bytes, body: bytes) -> bytes:
        number = self.frame_number.to_bytes(8, "little")
        return blake2b(self.nonces + number + body, digest_size=SEAL_BYTES, key=key).digest()

    def seal(self, body: bytes) -> bytes:
        """Returns the next frame, with `body` sealed in it."""
        sealed = body + self._compute_seal(self.keys[self.sealing_key_id], body)
        self.frame_number += 1
        length = len(sealed).to_bytes(LENGTH_BYTES, "little")
        return length + bytes((self.sealing_key_id,)) + sealed

    def open(self, key_id: int, sealed: bytes) -> list[Message]:
        """Verifies the seal of the next frame, then decodes its body and returns the messages.

        Skips messages of a type that this version does not know.

        Raises:
            MalformedMessageError: the key is unknown, the seal does not match, or the body is
                invalid.
        """
        body = sealed[:-SEAL_BYTES]
        key = self.keys.get(key_id)
        if key is None:
            raise MalformedMessageError(f"key {key_id} is unknown")
        if not compare_digest(sealed[-SEAL_BYTES:], self._compute_seal(key, body)):
            raise MalformedMessageError("the seal does not match")
        self.frame_number += 1
        return _decode_body(body)


def _decode_body(body: bytes) -> list[Message]:
    try:
        encoded_messages = _frame.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"invalid frame body: {type(error).__name__}") from None
    if len(encoded_messages) > MAX_FRAME_MESSAGES:
        raise MalformedMessageError(
            f"{len(encoded_messages)} messages in a frame: at most {MAX_FRAME_MESSAGES} are allowed"
        )
    messages: list[Message] = []
    for encoded in encoded_messages:
        message = _decode_message(encoded)
        if message is not None:
            validate(message)
            messages.append(message)
    return messages


def _decode_message(encoded: msgspec.Raw) -> Message | None:
    """Returns a message, or None for a message type or field type of a later version."""
    try:
        return _message.decode(encoded)
    except msgspec.ValidationError:
        return None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(f"invalid message: {type(error).__name__}") from None
