"""The codec of a RESP2 client connection: decodes commands to calls, encodes replies."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from math import ceil
from typing import Final, cast

from ingress.core.calls import Call, InvalidCallError, Response, ResponseKind
from ingress.policy.settings import Settings
from ingress.resp.command_decoder import MAX_BODY_BYTES, READ_VERB, WRITE_VERB, CommandDecoder
from ingress.resp.command_encoder import encode_bulk_string
from ingress.resp.frames import ArrayLimits, find_array_end

MAX_COMMAND_BYTES: Final = 256 * 1024
MAX_COMMAND_WORDS: Final = 8
"""The longest known command has 5."""
COMMAND_LIMITS: Final = ArrayLimits(
    max_items=MAX_COMMAND_WORDS,
    max_item_bytes=MAX_BODY_BYTES,
    max_array_bytes=MAX_COMMAND_BYTES,
    allow_null=False,
)
MS_PER_S: Final = 1000
OK: Final = b"+OK\r\n"
PONG: Final = b"+PONG\r\n"
BUSY: Final = b"-BUSY\r\n"
FAILED: Final = b"-ERR failed\r\n"


class RespClientProtocol:
    """One RESP2 client connection; implements `transport.client_protocol`.

    Attributes:
        close_requested: Always False; no command closes the connection.
        missing_bytes: After an incomplete command, the number of bytes that it needs at least.
        commands: Decodes API.READ and API.WRITE.
        words: The words of the command that `find_frame_end` found last; empty if incomplete.
    """

    __slots__ = ("close_requested", "commands", "missing_bytes", "words")

    def __init__(self, commands: CommandDecoder) -> None:
        self.commands = commands
        self.close_requested = False
        self.missing_bytes = 1
        self.words: list[bytes] = []

    def find_frame_end(self, data: bytes, at: int) -> int:
        """Returns the end offset of the command that starts at `at`, or -1 if it is incomplete.

        Raises:
            MalformedFrameError: The bytes at `at` are not a valid command, or exceed a limit.
        """
        words: list[bytes | None] = []
        end = find_array_end(data, at, COMMAND_LIMITS, words)
        if end < 0:
            # The words of an incomplete command would occupy its size a second time.
            self.words = []
            self.missing_bytes = -end
            return -1
        self.words = cast("list[bytes]", words)  # COMMAND_LIMITS rejects nulls
        return end

    def interim_response(self) -> bytes:
        """Returns b"": RESP has no interim responses."""
        return b""

    def decode_request(self, frame: bytes) -> Call | bytes:
        """Decodes the command whose end `find_frame_end` returned last.

        Returns:
            A call, or the encoded reply to a command that needs no backend.

        Raises:
            InvalidCallError: The command is unknown or invalid.
        """
        words = self.words
        self.words = []
        if not words:
            raise InvalidCallError("a command is an array of bulk strings")
        verb = words[0].upper()
        if verb in (READ_VERB, WRITE_VERB):
            return self.commands.decode(verb, words)
        if verb == b"PING" and len(words) <= 2:
            return encode_bulk_string(words[1]) if len(words) == 2 else PONG
        if verb in (b"CLIENT", b"SELECT"):
            return OK
        raise InvalidCallError("unknown command")

    def encode_response(self, call: Call | None, response: Response) -> bytes:
        """Returns the encoded reply to a call; a rejection states Retry-After in milliseconds."""
        if response.kind is ResponseKind.SERVED:
            return encode_bulk_string(response.value)
        if response.kind is ResponseKind.FAILED:
            return FAILED
        retry_after = response.retry_after
        return b"-BUSY %d\r\n" % ceil(retry_after * MS_PER_S) if retry_after > 0 else BUSY

    def encode_error(self, reason: str, fatal: bool = False) -> bytes:
        """Returns an error reply with the reason as its text."""
        text = reason.encode("ascii", "replace")
        # A line break would end the reply early; the rest would be taken for the next reply.
        return b"-ERR %b\r\n" % text.replace(b"\r", b" ").replace(b"\n", b" ")


def make_client_protocol(settings: Settings) -> Callable[[], RespClientProtocol]:
    """Returns a factory that creates the codec of a new connection."""
    return partial(RespClientProtocol, CommandDecoder(settings))
