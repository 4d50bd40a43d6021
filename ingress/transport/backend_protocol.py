"""The codec interface of a backend connection: encodes calls and decodes results.

An implementation does no I/O and reads no clock.  Each connection has its own instance.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ingress.core.calls import Call, Response
from ingress.policy.events import NO_LOAD_REPORT, Outcome


class MalformedResponseError(Exception):
    """The received bytes are not a valid response, or they exceed a limit.

    No later bytes on the connection can be decoded.
    """


@dataclass(init=False, slots=True)
class AttemptResult:
    """The result of an attempt, decoded from a complete response.

    Attributes:
        outcome: The outcome of the attempt according to the response.
        value: The value, if the backend served the request.
        load_report: The load values that the backend reported, by name.
        reusable: Whether the connection may carry another request.
        final_response: The client's response regardless of further attempts, where the client's
            protocol can't express the backend's response; None if the policy decides.
    """

    outcome: Outcome
    value: bytes | None
    load_report: Mapping[str, float]
    reusable: bool
    final_response: Response | None

    def __init__(
        self,
        outcome: Outcome,
        value: bytes | None = None,
        load_report: Mapping[str, float] = NO_LOAD_REPORT,
        reusable: bool = True,
        final_response: Response | None = None,
    ) -> None:
        self.outcome = outcome
        self.value = value
        self.load_report = load_report
        self.reusable = reusable
        self.final_response = final_response


class BackendProtocol(Protocol):
    """The codec of one connection to a backend; one request is in flight at a time."""

    def encode_request(self, call: Call, time_left: float) -> bytes:
        """Returns the encoded call; it asks the backend to finish within `time_left` seconds.

        Raises:
            ValueError: The protocol can't express the call.
        """

    def receive_data(self, data: bytes) -> AttemptResult | None:
        """Decodes received bytes; returns the result once the response is complete, else None.

        Raises:
            MalformedResponseError: The received bytes are not a valid response.
        """

    def receive_eof(self) -> AttemptResult | None:
        """Returns the result if the end of the connection completes the response, else None."""


BackendProtocolFactory = Callable[[], BackendProtocol]
"""Creates the codec of a new connection."""
