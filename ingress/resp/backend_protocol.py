"""The codec of a RESP2 backend connection: encodes calls as commands, decodes replies."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Final

from ingress.core.calls import Call
from ingress.policy.events import NO_LOAD_REPORT, Outcome
from ingress.resp.command_encoder import encode_command
from ingress.resp.frames import CRLF, ArrayLimits, find_array_end
from ingress.transport.backend_protocol import AttemptResult, MalformedResponseError
from ingress.transport.client_protocol import MalformedFrameError
from ingress.transport.input_buffer import InputBuffer
from ingress.wire_settings import LOAD_FIELDS

MAX_VALUE_BYTES: Final = 1024 * 1024
"""Some values are far longer than the longest body of a command."""
MAX_REPLY_BYTES: Final = MAX_VALUE_BYTES + 8 * 1024
"""A value, its figures and a load report."""
REPLY_ITEMS: Final = 3
REPLY_LIMITS: Final = ArrayLimits(
    max_items=REPLY_ITEMS,
    max_item_bytes=MAX_VALUE_BYTES,
    max_array_bytes=MAX_REPLY_BYTES,
    allow_null=True,
)
MAX_ERROR_LINE_BYTES: Final = 1024
LOAD_REPORT_FIELDS: Final = frozenset(LOAD_FIELDS.values())


class RespBackendProtocol:
    """One RESP2 backend connection; implements `transport.backend_protocol`.

    Attributes:
        buffer: Received bytes of an incomplete reply.
    """

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = InputBuffer()

    def encode_request(self, call: Call, time_left: float) -> bytes:
        """Returns the call as a command whose timeout is `time_left` seconds.

        Raises:
            ValueError: This protocol can't express the call.
        """
        self.buffer.replace(b"", 1)
        return encode_command(call, time_left)

    def receive_data(self, data: bytes) -> AttemptResult | None:
        """Processes received bytes; returns the result once the reply is complete.

        Raises:
            MalformedResponseError: The bytes are not a valid reply, or exceed a limit.
        """
        buffer = self.buffer
        buffer.append(data)
        if not buffer.may_be_complete():
            return None
        received = buffer.joined()
        try:
            items: list[bytes | None] = []
            end = _scan_reply(received, items)
            if end < 0:
                buffer.min_size = len(received) - end
                return None
            result = self._decode_reply(received[:end], items)
        except MalformedFrameError as error:
            raise MalformedResponseError(str(error)) from None
        # Bytes after the reply would be taken for the next reply.
        result.reusable = end == len(received)
        buffer.replace(b"", 1)
        return result

    def receive_eof(self) -> AttemptResult | None:
        """Returns None: no reply is completed by the end of the connection."""
        return None

    def _decode_reply(self, frame: bytes, items: list[bytes | None]) -> AttemptResult:
        """Returns the result of a complete reply: an array with its items, or an error line.

        Raises:
            MalformedFrameError: The reply is neither a value nor an error of this protocol.
        """
        if frame[:1] == b"*":
            if len(items) != REPLY_ITEMS or items[0] is None:
                raise MalformedFrameError("reply is not an array of value, figures and load report")
            return AttemptResult(Outcome.OK, items[0], decode_load_report(items[2]))
        code, _, text = frame[1:-2].partition(b" ")
        if code == b"BUSY":
            return AttemptResult(Outcome.OVERLOADED, None, decode_load_report(text))
        if code == b"ERR" and text.partition(b" ")[0] == b"failed":
            return AttemptResult(Outcome.ERROR, None, decode_load_report(text.rpartition(b" ")[2]))
        raise MalformedFrameError(f"{frame[:80]!r}")


def find_reply_end(data: bytes, items: list[bytes | None]) -> int:
    """Returns the end offset of a reply, or -1 if it is incomplete.

    A reply is an error line or an array of three items, which are appended to `items`.

    Raises:
        MalformedFrameError: The bytes are neither, or exceed a limit.
    """
    return max(-1, _scan_reply(data, items))


def _scan_reply(data: bytes, items: list[bytes | None]) -> int:
    """Returns the end offset of a reply, or minus the number of bytes that it needs at least."""
    if data[:1] != b"-":
        return find_array_end(data, 0, REPLY_LIMITS, items)
    end = data.find(CRLF, 0, MAX_ERROR_LINE_BYTES)
    if end < 0 and len(data) >= MAX_ERROR_LINE_BYTES:
        raise MalformedFrameError("an endless line")
    return end + 2 if end >= 0 else -1


def decode_load_report(text: bytes | None) -> Mapping[str, float]:
    """Returns a backend's load report by field, without unknown fields and invalid numbers."""
    if not text:
        return NO_LOAD_REPORT
    load: dict[str, float] = {}
    for part in text.decode("ascii", "replace").split(","):
        reported_name, _, figure = part.partition("=")
        name = LOAD_FIELDS.get(reported_name, reported_name)
        try:
            number = float(figure)
        except ValueError:
            continue
        if name in LOAD_REPORT_FIELDS and 0 <= number < inf:
            load[name] = number
    return load
