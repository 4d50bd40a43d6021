"""The codec of a RESP3 backend connection: encodes calls as commands, decodes replies.

Source: RESP3 specification, sections "The HELLO command and connection handshake" and "Push type".
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any, Final

import hiredis

from ingress.core.calls import FAILED_RESPONSE, Call
from ingress.policy.events import Outcome
from ingress.protocol_versions.declaration import ResponseMeaning
from ingress.protocol_versions.resp3_v2 import ERRORS
from ingress.resp.backend_protocol import LOAD_REPORT_FIELDS, MAX_REPLY_BYTES, MAX_VALUE_BYTES
from ingress.resp.command_encoder import encode_command
from ingress.resp.resp3_frames import (
    BLOB_ERROR_MARK,
    PUSH_MARK,
    SIMPLE_ERROR_MARK,
    find_frame_end,
    scan_frame,
)
from ingress.transport.backend_protocol import AttemptResult, MalformedResponseError
from ingress.transport.client_protocol import MalformedFrameError
from ingress.transport.input_buffer import InputBuffer
from ingress.wire_settings import LOAD_FIELDS

MAX_PUSH_FRAMES: Final = 64
"""Maximum between two replies."""
HELLO: Final = b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n"


class Resp3BackendProtocol:
    """One RESP3 backend connection; implements `transport.backend_protocol`.

    Attributes:
        max_value_bytes: The longest value that the clients' protocol versions can express.
        reasons: Number of replies without a usable value, by reason, and of push frames.
        reader: Decodes complete frames.
        received: Received bytes that are not decoded yet.
        buffer: The same while they are decoded, without the frames that are done.
        hello_sent: Whether HELLO 3 was sent on this connection.
        hello_pending: Whether the reply to HELLO 3 is outstanding.
        push_count: Number of push frames since the last command was sent.
    """

    def __init__(self, max_value_bytes: int, reasons: Counter[str]) -> None:
        self.max_value_bytes = max_value_bytes
        self.reasons = reasons
        self.reader = hiredis.Reader()
        self.received = InputBuffer()
        self.buffer = b""
        self.hello_sent = False
        self.hello_pending = False
        self.push_count = 0

    def encode_request(self, call: Call, time_left: float) -> bytes:
        """Returns the call as a command, preceded by HELLO 3 on a new connection.

        The command's timeout is `time_left` seconds.

        Raises:
            ValueError: This protocol can't express the call.
        """
        command = encode_command(call, time_left)
        self.push_count = 0
        if self.hello_sent:
            return command
        self.hello_sent = True
        self.hello_pending = True
        return HELLO + command

    def receive_data(self, data: bytes) -> AttemptResult | None:
        """Processes received bytes; returns the result once the reply is complete.

        Raises:
            MalformedResponseError: The bytes are not a valid reply, or exceed a limit.
        """
        self.received.append(data)
        if not self.received.may_be_complete():
            return None
        self.buffer = self.received.joined()
        result: AttemptResult | None = None
        try:
            while result is None:
                end = scan_frame(self.buffer, 0, MAX_VALUE_BYTES, MAX_REPLY_BYTES)
                if end < 0:
                    self.received.replace(self.buffer, len(self.buffer) - end)
                    self.buffer = b""
                    return None
                frame = self.buffer[:end]
                self.buffer = self.buffer[end:]
                if frame[0] == PUSH_MARK:
                    self._count_push()
                elif self.hello_pending:
                    self._check_hello(frame)
                elif frame[0] in (SIMPLE_ERROR_MARK, BLOB_ERROR_MARK):
                    result = self._decode_error(frame)
                else:
                    result = self._decode_value(frame)
        except (MalformedFrameError, hiredis.HiredisError) as error:
            raise MalformedResponseError(str(error)) from None
        self._drop_push_frames()
        # Any other bytes would be taken for the next reply.
        result.reusable = not self.buffer
        self.buffer = b""
        self.received.replace(b"", 1)
        return result

    def _drop_push_frames(self) -> None:
        """Drops push frames after a reply, up to the limit between two replies."""
        while self.buffer[:1] == b">" and self.push_count < MAX_PUSH_FRAMES:
            end = self._find_push_end()
            if end < 0:
                return
            self._count_push()
            self.buffer = self.buffer[end:]

    def receive_eof(self) -> AttemptResult | None:
        """Returns None: no reply is completed by the end of the connection."""
        return None

    def _find_push_end(self) -> int:
        """Returns the end offset of the buffer's first push frame, or -1 if it has none."""
        try:
            return find_frame_end(self.buffer, 0, MAX_VALUE_BYTES, MAX_REPLY_BYTES)
        except MalformedFrameError:
            return -1

    def _count_push(self) -> None:
        """Counts an ignored push frame.

        Raises:
            MalformedFrameError: There are more than `MAX_PUSH_FRAMES`; otherwise a backend could
                send push frames forever and never reply.
        """
        self.reasons["pushed"] += 1
        self.push_count += 1
        if self.push_count > MAX_PUSH_FRAMES:
            raise MalformedFrameError("too many push frames without a reply")

    def _parse(self, frame: bytes) -> Any:
        """Returns the value of a complete frame."""
        self.reader.feed(frame)
        return self.reader.gets()

    def _check_hello(self, frame: bytes) -> None:
        """Checks the reply to HELLO 3.

        Raises:
            MalformedFrameError: The backend did not switch to RESP3.
        """
        reply = self._parse(frame)
        if not isinstance(reply, dict) or reply.get(b"proto") != 3:
            raise MalformedFrameError("backend did not switch to RESP3 after HELLO 3")
        self.hello_pending = False

    def _decode_value(self, frame: bytes) -> AttemptResult:
        """Returns the result of a complete reply other than an error.

        Raises:
            MalformedFrameError: The reply is not a map with a value.
        """
        reply = self._parse(frame)
        if not isinstance(reply, dict) or not isinstance(reply.get(b"value"), bytes):
            raise MalformedFrameError("reply is not a map with a value")
        value = reply[b"value"]
        if len(value) > self.max_value_bytes:
            self.reasons["too-large"] += 1
            return AttemptResult(Outcome.ERROR, final_response=FAILED_RESPONSE)
        return AttemptResult(Outcome.OK, value, _decode_load_report(reply.get(b"load")))

    def _decode_error(self, frame: bytes) -> AttemptResult:
        """Returns the result of a simple error or a blob error.

        Raises:
            MalformedFrameError: The error code is unknown.
        """
        # hiredis can't parse blob errors, so the text is extracted from the frame here.
        is_simple = frame[0] == SIMPLE_ERROR_MARK
        text = frame[1:-2] if is_simple else frame[frame.index(b"\n") + 1 : -2]
        meaning = ERRORS.get(text.partition(b" ")[0])
        if meaning is ResponseMeaning.REFUSED:
            return AttemptResult(Outcome.OVERLOADED)
        if meaning is None:
            raise MalformedFrameError(f"unknown error code: {text[:80]!r}")
        self.reasons[meaning.name.lower().replace("_", "-")] += 1
        final_response = FAILED_RESPONSE if meaning is ResponseMeaning.MALFORMED else None
        return AttemptResult(Outcome.ERROR, final_response=final_response)


def _decode_load_report(report: Any) -> dict[str, float]:
    """Returns a backend's load report by field, without unknown fields and invalid numbers."""
    load: dict[str, float] = {}
    if not isinstance(report, dict):
        return load
    for key, figure in report.items():
        reported_name = key.decode("ascii", "replace") if isinstance(key, bytes) else ""
        name = LOAD_FIELDS.get(reported_name, reported_name)
        if name in LOAD_REPORT_FIELDS and isinstance(figure, int | float) and 0 <= figure < inf:
            load[name] = float(figure)
    return load


def make_backend_protocol(
    max_value_bytes: int, reasons: Counter[str]
) -> Callable[[], Resp3BackendProtocol]:
    """Returns a factory that creates the codec of a new connection."""
    return partial(Resp3BackendProtocol, max_value_bytes, reasons)
