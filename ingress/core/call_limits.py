"""Validation of calls against the settings, shared by all client protocols."""

from __future__ import annotations

import re
from collections.abc import Mapping
from math import ceil
from types import MappingProxyType
from typing import Final

from ingress.core.calls import InvalidCallError
from ingress.policy.settings import RequestClass, RetrySemantics, Settings

# Names of a call's fields in the first version of the protocol.
CLASS_FIELD: Final = "c"
PLAN_FIELD: Final = "t"
TIMEOUT_FIELD: Final = "d"
IDEMPOTENCY_KEY_FIELD: Final = "k"
UNITS_FIELD: Final = "units"
GATEWAY_COUNT_FIELD: Final = "spread"
FIRST_GATEWAY_FIELD: Final = "first"
RETRY_FIELD: Final = "r"

DECIMAL: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_KEY_LENGTH: Final = 256
"""Characters of an idempotency key, which is remembered longer than its request."""
MAX_DIGITS: Final = 9
MAX_TIMEOUT_DEADLINES: Final = 2
"""Longest accepted timeout, in deadlines of the request's class.

A client that sends late counts its timeout from the time at which it should have sent.
"""
MS_PER_S: Final = 1000

NO_FIELD_NAMES: Final[Mapping[str, str]] = MappingProxyType({})


class CallLimits:
    """Validates the fields of calls against the settings.

    A call with a value that a backend would reject, or that no customer can have, never becomes a
    request: it would distort the token buckets.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {cls.name: cls for cls in settings.classes}
        self.plans = {plan.name for plan in settings.plans}
        self.gateway_count = settings.gateway_count
        self.max_units = settings.max_units

    def read(
        self,
        fields: Mapping[str, str],
        is_write: bool,
        field_names: Mapping[str, str] = NO_FIELD_NAMES,
    ) -> tuple[float, float, int, int]:
        """Returns a call's timeout in seconds, its units, its gateway count and its first gateway.

        Args:
            fields: The call's fields, by the names above.
            is_write: Whether the call was sent as a write.
            field_names: The names of fields in the call's protocol version, where they differ.

        Raises:
            InvalidCallError: A field is missing or has a value that is not allowed; the text names
                the field as the call's protocol version does.
        """
        for key in (CLASS_FIELD, PLAN_FIELD, TIMEOUT_FIELD):
            if key not in fields:
                raise InvalidCallError(f"{field_names.get(key, key)} is missing")
        request_class = self._check_class(fields, is_write, field_names)
        units = self._read_units(fields, field_names)
        if fields.get(RETRY_FIELD, "0") not in ("0", "1"):
            raise _bad_number(RETRY_FIELD, field_names)
        max_timeout_ms = ceil(MAX_TIMEOUT_DEADLINES * request_class.deadline * MS_PER_S)
        timeout_ms = _read_integer(fields, TIMEOUT_FIELD, 1, max_timeout_ms, field_names)
        return (
            timeout_ms / MS_PER_S,
            units,
            _read_integer(fields, GATEWAY_COUNT_FIELD, 1, self.gateway_count, field_names),
            _read_integer(fields, FIRST_GATEWAY_FIELD, 0, self.gateway_count - 1, field_names),
        )

    def _check_class(
        self, fields: Mapping[str, str], is_write: bool, field_names: Mapping[str, str]
    ) -> RequestClass:
        """Returns the call's class, after checking its plan, its verb and its key against it."""
        request_class = self.classes.get(fields[CLASS_FIELD])
        if request_class is None:
            raise InvalidCallError("unknown class")
        if fields[PLAN_FIELD] not in self.plans:
            raise InvalidCallError("unknown plan")
        semantics = request_class.semantics
        if is_write is (semantics is RetrySemantics.IDEMPOTENT):
            raise InvalidCallError("the class belongs to the other command")
        if semantics is RetrySemantics.IDEMPOTENCY_KEY and not fields.get(IDEMPOTENCY_KEY_FIELD):
            name = field_names.get(IDEMPOTENCY_KEY_FIELD, IDEMPOTENCY_KEY_FIELD)
            raise InvalidCallError(f"{name} is missing")
        if len(fields.get(IDEMPOTENCY_KEY_FIELD, "")) > MAX_KEY_LENGTH:
            name = field_names.get(IDEMPOTENCY_KEY_FIELD, IDEMPOTENCY_KEY_FIELD)
            raise InvalidCallError(f"{name} is longer than {MAX_KEY_LENGTH} characters")
        return request_class

    def _read_units(self, fields: Mapping[str, str], field_names: Mapping[str, str]) -> float:
        text = fields.get(UNITS_FIELD, "1")
        # Nearly all values are whole numbers, for which this check is faster than the pattern.
        if not (_is_integer(text) or DECIMAL.fullmatch(text)):
            raise _bad_number(UNITS_FIELD, field_names)
        units = float(text)
        if not 0 < units <= self.max_units:
            raise _bad_number(UNITS_FIELD, field_names)
        return units


def _bad_number(key: str, field_names: Mapping[str, str]) -> InvalidCallError:
    return InvalidCallError(f"bad number: {field_names.get(key, key)}")


def _is_integer(text: str) -> bool:
    """Returns whether a text is one to nine ASCII digits; `isdigit` accepts other scripts too."""
    return 0 < len(text) <= MAX_DIGITS and text.isascii() and text.isdigit()


def _read_integer(
    fields: Mapping[str, str],
    key: str,
    minimum: int,
    maximum: int,
    field_names: Mapping[str, str],
) -> int:
    """Returns the integer value of a field, or the minimum if the field is missing."""
    text = fields.get(key, str(minimum))
    if not _is_integer(text) or not minimum <= int(text) <= maximum:
        raise _bad_number(key, field_names)
    return int(text)
