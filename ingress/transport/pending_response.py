"""The pending responses of a client's connection, and the interface of the request handler."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ingress.core.calls import FAILED_RESPONSE, Call, Response
from ingress.core.ports import ClientPresence

if TYPE_CHECKING:
    from ingress.transport.client_connection import ClientConnection


class RequestHandler(Protocol):
    """Handles the requests of all connections."""

    def request(self, downstream: PendingResponse, call: Call, arrived: float) -> None:
        """Handles a call whose bytes arrived at time `arrived`, in seconds of the clock.

        Raises:
            DuplicateRequestError: Another open request has the same id.
        """

    def client_disconnected(self, downstream: PendingResponse) -> None:
        """Handles the disconnection of the client that was waiting for this response."""


class PendingResponse:
    """One response in the connection's order, pending until its bytes are set.

    Attributes:
        connection: The connection on which the response is written.
        call: The call that the response belongs to, once the call has been decoded.
        data: The encoded response, or None while it is pending.
        request_key: The handler's key for the open request.
    """

    __slots__ = ("call", "connection", "data", "request_key")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.request_key = ""
        self.call: Call | None = None
        self.data: bytes | None = None

    def respond(self, response: Response) -> None:
        """Encodes and completes the response; a second final response is dropped."""
        protocol = self.connection.protocol
        try:
            data = protocol.encode_response(self.call, response)
        except Exception:
            # The client receives a response even if its codec fails to encode this one.
            self.connection.listener.log_codec_fault("a response")
            data = protocol.encode_response(self.call, FAILED_RESPONSE)
        self.complete(data)

    def presence(self) -> ClientPresence:
        """Returns whether the client still waits for this response."""
        return self.connection.presence()

    def complete(self, data: bytes) -> None:
        """Sets the bytes of the response unless they are set, and writes completed responses."""
        if self.data is None:
            self.data = data
            self.connection.response_completed(data)
