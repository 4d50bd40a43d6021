"""The codec of a client connection that can switch from RESP2 to RESP3.

Source: RESP3 specification, section "The HELLO command and connection handshake".
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from ingress.core.calls import Call, InvalidCallError, Response, ResponseKind
from ingress.policy.settings import Settings
from ingress.resp.client_protocol import RespClientProtocol
from ingress.resp.command_decoder import CommandDecoder
from ingress.resp.command_encoder import encode_bulk_string

HELLO_HEADER_BYTES: Final = 15
"""A command's bytes through the word HELLO: `*N`, `$5` and the word, each with CRLF."""


class Resp3ClientProtocol(RespClientProtocol):
    """One client connection that speaks RESP2 until the client sends HELLO 3.

    Attributes:
        speaks_resp3: Whether the client switched to RESP3.
    """

    __slots__ = ("speaks_resp3",)

    def __init__(self, commands: CommandDecoder) -> None:
        super().__init__(commands)
        self.speaks_resp3 = False

    def decode_request(self, frame: bytes) -> Call | bytes:
        """Decodes the command whose end `find_frame_end` returned last.

        Returns:
            A call, or the encoded reply to a command that needs no backend.

        Raises:
            InvalidCallError: The command is unknown or invalid.
        """
        if frame[:HELLO_HEADER_BYTES].upper().endswith(b"HELLO\r\n"):
            words = self.words
            self.words = []
            return self._hello(words)
        return super().decode_request(frame)

    def _hello(self, words: list[bytes]) -> bytes:
        """Switches to the version that HELLO requests; returns the reply in that version.

        Raises:
            InvalidCallError: The version is unknown, or the command has more arguments.
        """
        if len(words) == 1:
            version = 3 if self.speaks_resp3 else 2
        elif len(words) == 2 and words[1] in (b"2", b"3"):
            version = int(words[1])
        else:
            raise InvalidCallError(
                "NOPROTO: only HELLO 2 and HELLO 3 are spoken here, and nobody logs in"
            )
        self.speaks_resp3 = version == 3
        server = encode_bulk_string(b"server") + encode_bulk_string(b"grid")
        proto = encode_bulk_string(b"proto") + b":%d\r\n" % version
        return (b"%2\r\n" if self.speaks_resp3 else b"*4\r\n") + server + proto

    def encode_response(self, call: Call | None, response: Response) -> bytes:
        """Returns the encoded reply to a call; a RESP3 value is in a map with the request id."""
        if self.speaks_resp3 and response.kind is ResponseKind.SERVED and call is not None:
            return (
                b"%2\r\n"
                + encode_bulk_string(b"id")
                + encode_bulk_string(call.client_request_id)
                + encode_bulk_string(b"value")
                + encode_bulk_string(response.value)
            )
        # Errors are simple errors: most clients use hiredis, which can't parse blob errors.
        return super().encode_response(call, response)


def make_client_protocol(settings: Settings) -> Callable[[], Resp3ClientProtocol]:
    """Returns a factory that creates the codec of a new connection."""
    return partial(Resp3ClientProtocol, CommandDecoder(settings))
