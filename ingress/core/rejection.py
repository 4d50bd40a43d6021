"""Reasons for which the exchange rejects a request before the policy decides on it."""

from __future__ import annotations

from enum import Enum


class RejectionReason(Enum):
    """Why a request was rejected without a decision; the values are reported in the counts."""

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
