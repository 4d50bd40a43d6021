"""Base of the reports that instances merge; they may arrive repeatedly, late and in any order.

A report carries its age instead of a timestamp: each instance that forwards it adds the time for
which it held the report, so that clocks of two machines are never compared.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Generic, TypeVar

import msgspec

from ingress.membership.messages import MAX_NAME_LENGTH

_encoder = msgspec.msgpack.Encoder()


class Report(msgspec.Struct, array_like=True, frozen=True):
    """The leading fields of every kind of report.

    The order and the types of the fields are the wire format. The incarnation and the sequence
    number order the reports of one origin.
    """

    origin: str
    incarnation: int
    sequence_number: int

    def is_newer_than(self, other: Report) -> bool:
        """Returns whether this report replaces another one of the same origin."""
        version = (self.incarnation, self.sequence_number)
        return version > (other.incarnation, other.sequence_number)

    def has_valid_origin(self) -> bool:
        """Returns whether the fields common to all reports are in range."""
        return (
            is_name(self.origin) and 0 <= self.incarnation < 1 << 62 and self.sequence_number >= 0
        )


ReportT = TypeVar("ReportT", bound=Report)


@dataclass(slots=True)
class Received(Generic[ReportT]):
    """A report, and the time at which it was made by the clock of this instance."""

    report: ReportT
    made_at: float

    def encode(self, now: float) -> bytes:
        """Returns the report with its current age, encoded as a membership payload."""
        age_s = round(max(0.0, now - self.made_at), 3)
        return _encoder.encode(msgspec.structs.replace(self.report, age_s=age_s))


def decode(decoder: msgspec.msgpack.Decoder[ReportT], payload: bytes) -> ReportT | None:
    """Returns the report in a payload, or None if the payload is not of that kind."""
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def is_name(text: str) -> bool:
    """Returns whether a text is a valid name of an instance or a backend."""
    return 0 < len(text) <= MAX_NAME_LENGTH


def is_amount(value: float, maximum: float) -> bool:
    """Returns whether a value is a finite number from 0 to `maximum`."""
    return isfinite(value) and 0.0 <= value <= maximum
