"""The codec interface of a client connection: decodes requests and encodes responses.

An implementation does no I/O and reads no clock.  Each connection has its own instance.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ingress.core.calls import Call, Response


class MalformedFrameError(Exception):
    """The received bytes are not a valid frame, or they exceed a limit.

    No later bytes on the connection can be decoded.
    """


class ClientProtocol(Protocol):
    """The codec of one client connection.

    Attributes:
        close_requested: Whether the client asked to close the connection after the most recently
            decoded request.
        missing_bytes: After `find_frame_end` returned -1, the number of bytes without which the
            request can't be complete; at least 1.
    """

    close_requested: bool
    missing_bytes: int

    def find_frame_end(self, data: bytes, at: int) -> int:
        """Returns the end of the request that starts at `at`, or -1 if more bytes are needed.

        Raises:
            MalformedFrameError: The bytes at `at` are not a valid request, or they exceed a limit.
        """

    def interim_response(self) -> bytes:
        """Returns any bytes that the client awaits before it sends the rest of a request."""

    def decode_request(self, frame: bytes) -> Call | bytes:
        """Decodes the complete request whose end `find_frame_end` returned last.

        Returns:
            A call, or the encoded response if the codec answers the request itself.

        Raises:
            InvalidCallError: The request is invalid; the next one can still be decoded.
            MalformedFrameError: No later bytes on the connection can be decoded.
        """

    def encode_response(self, call: Call | None, response: Response) -> bytes:
        """Returns the final response to a call that this codec decoded."""

    def encode_error(self, reason: str, fatal: bool = False) -> bytes:
        """Returns an encoded error response.

        Args:
            reason: The error in the request, for the client's log.
            fatal: Whether the connection is closed after this response.
        """


ClientProtocolFactory = Callable[[], ClientProtocol]
"""Creates the codec of a new connection."""
