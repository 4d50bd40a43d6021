"""Protocol-independent requests and responses."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


@dataclass(init=False, slots=True)
class Call:
    """One request, decoded by a client protocol.

    A client protocol may keep the received bytes in a subclass; a backend protocol of the same kind
    forwards them unchanged. All other backend protocols use the fields below.

    Attributes:
        client_request_id: The client's id for the request, unique among the open requests.
        customer: The name of the customer.
        request_class: The name of the request's class.
        plan: The name of the customer's plan.
        timeout: Seconds for which the client waits, from the arrival of the last byte.
        units: Units that the request takes from the quota.
        gateway_count: The number of gateways that the customer may use.
        first_gateway: The number of the first of those gateways; the others follow it, wrapping
            around at the last gateway.
        is_retry: Whether the client has sent the same request before.
        is_write: Whether the request changes data.
        idempotency_key: The key by which backends recognise repeated requests; "" if the class has
            no keys.
        body: The data to write, if the protocol carries it separately from the fields.
    """

    client_request_id: bytes
    customer: str
    request_class: str
    plan: str
    timeout: float
    units: float
    gateway_count: int
    first_gateway: int
    is_retry: bool
    is_write: bool
    idempotency_key: str
    body: bytes | None

    def __init__(
        self,
        client_request_id: bytes,
        customer: str,
        request_class: str,
        plan: str,
        timeout: float,
        units: float,
        gateway_count: int,
        first_gateway: int,
        is_retry: bool,
        is_write: bool,
        idempotency_key: str = "",
        body: bytes | None = None,
    ) -> None:
        self.client_request_id = client_request_id
        self.customer = customer
        self.request_class = request_class
        self.plan = plan
        self.timeout = timeout
        self.units = units
        self.gateway_count = gateway_count
        self.first_gateway = first_gateway
        self.is_retry = is_retry
        self.is_write = is_write
        self.idempotency_key = idempotency_key
        self.body = body

    def size(self) -> int:
        """Returns the size of the call in bytes, without a fixed overhead per call."""
        return (
            len(self.client_request_id)
            + len(self.customer)
            + len(self.idempotency_key)
            + len(self.body or b"")
        )


class ResponseKind(Enum):
    """The three kinds of final response."""

    SERVED = auto()
    """A backend's value."""
    REJECTED = auto()
    """The request did not run: a retry is safe."""
    FAILED = auto()
    """The request may or may not have taken effect."""


@dataclass(init=False, slots=True)
class Response:
    """The one final response to a request.

    Attributes:
        kind: The kind of response.
        value: With `SERVED`, the backend's value.
        retry_after: With `REJECTED`, the seconds after which the client may retry; 0 for none.
    """

    kind: ResponseKind
    value: bytes
    retry_after: float

    def __init__(self, kind: ResponseKind, value: bytes = b"", retry_after: float = 0.0) -> None:
        self.kind = kind
        self.value = value
        self.retry_after = retry_after


REJECTED_RESPONSE = Response(ResponseKind.REJECTED)
FAILED_RESPONSE = Response(ResponseKind.FAILED)


class InvalidCallError(Exception):
    """A complete request is invalid; the requests after it on the connection may be valid.

    The text is sent to the client.
    """


class DuplicateRequestError(Exception):
    """A call has the same client request id as a request that is still open."""
