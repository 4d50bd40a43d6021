"""Reasons for which the listener closes a client connection, for the counts that operators read."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client connection ended; the values are reported in the counts."""

    CLIENT = "client"
    """The client closed or reset it, or ended its sending."""
    IDLE = "idle"
    """No request was open for too long."""
    EVICTED = "evicted"
    """Another client needed its place."""
    NOT_READING = "not-reading"
    """The client did not read its responses in time."""
    LINGER = "linger"
    """The client of a closing connection had time to read its last response."""
    MALFORMED = "malformed"
    """The input can't be decoded, or too many malformed requests came in a row."""
    INCOMPLETE = "incomplete"
    """The rest of a request did not arrive in time."""
    INPUT_LIMIT = "input-limit"
    """The unparsed input of all connections exceeded its limit."""
    RESPONSE_LIMIT = "response-limit"
    """The unsent responses of all connections exceeded their limit."""
