"""Reasons for which the exchange ends a request without a decision of the policy."""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request was not forwarded; the values are reported in the counts."""

    SHUTDOWN = "shutdown"
    """The process ends before the request can be forwarded."""
    OPEN_REQUESTS = "open-requests"
    """Too many requests are open."""
    MEMORY = "memory"
    """The open requests use all memory that they may use."""
    EXPIRED = "expired"
    """Too little of the client's timeout is left."""
    KEY_IN_DOUBT = "key-in-doubt"
    """An earlier attempt with the same idempotency key may still run elsewhere."""
    DUPLICATE_ID = "duplicate-id"
    """The client's request id belongs to another request."""
    CLIENT_GONE = "client-gone"
    """The client closed its connection before an attempt started."""
    CLIENT_UNKNOWN = "client-unknown"
    """The client may have closed its connection behind input that is not read yet."""
