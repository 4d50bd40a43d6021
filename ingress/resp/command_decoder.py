"""Decodes API.READ and API.WRITE commands into calls."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from ingress.core.call_limits import (
    CLASS_FIELD,
    IDEMPOTENCY_KEY_FIELD,
    PLAN_FIELD,
    RETRY_FIELD,
    CallLimits,
)
from ingress.core.calls import Call, InvalidCallError
from ingress.policy.settings import Settings

READ_VERB: Final = b"API.READ"
WRITE_VERB: Final = b"API.WRITE"
COMMAND_WORDS: Final = 4
"""Verb, customer, request id and fields."""
COMMAND_WORDS_WITH_BODY: Final = 5
MAX_BODY_BYTES: Final = 64 * 1024
MAX_FIELDS: Final = 64
"""Names with values in one command; they take far more memory and time than their bytes."""
CUSTOMER: Final = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")
"""16 hexadecimal digits of a number below 2^33."""
REQUEST_ID: Final = re.compile(rb"[!-~]{1,128}")


@dataclass(init=False, slots=True)
class Command(Call):
    """A valid call and the words of its original command.

    Attributes:
        words: Verb, customer, request id, fields and, if present, the body.
    """

    words: list[bytes]

    def __init__(
        self,
        words: list[bytes],
        customer: str,
        request_class: str,
        plan: str,
        timeout: float,
        units: float,
        gateway_count: int,
        first_gateway: int,
        is_retry: bool,
        is_write: bool,
        idempotency_key: str,
    ) -> None:
        body = words[4] if len(words) == COMMAND_WORDS_WITH_BODY else None
        # Not super(): a dataclass with slots is created a second time, and the cell that super()
        # reads would refer to the first class.
        Call.__init__(
            self,
            words[2],
            customer,
            request_class,
            plan,
            timeout,
            units,
            gateway_count,
            first_gateway,
            is_retry,
            is_write,
            idempotency_key,
            body,
        )
        self.words = words

    def size(self) -> int:
        """Returns the call's variable size in bytes; its fixed overhead is not included."""
        return sum(map(len, self.words))


class CommandDecoder:
    """Decodes API.READ and API.WRITE and checks them against the settings."""

    def __init__(self, settings: Settings) -> None:
        self.limits = CallLimits(settings)

    def decode(self, verb: bytes, words: list[bytes]) -> Command:
        """Returns the call that a command encodes.

        Args:
            verb: The first word in upper case, `READ_VERB` or `WRITE_VERB`.
            words: All words as received.

        Raises:
            InvalidCallError: A word or a field is missing or not allowed.
        """
        is_write = verb == WRITE_VERB
        if not (
            len(words) == COMMAND_WORDS or (is_write and len(words) == COMMAND_WORDS_WITH_BODY)
        ):
            raise InvalidCallError("wrong number of arguments")
        if not CUSTOMER.fullmatch(words[1]):
            raise InvalidCallError("the customer is not a number of 16 hex digits")
        if not REQUEST_ID.fullmatch(words[2]):
            raise InvalidCallError("no id")
        if words[3].count(b",") >= MAX_FIELDS:
            raise InvalidCallError(f"more than {MAX_FIELDS} names with values")
        try:
            pairs = [pair.split("=", 1) for pair in words[3].decode("ascii").split(",")]
            fields = dict(pairs)
        except ValueError:
            raise InvalidCallError("no list of names and values") from None
        if len(fields) < len(pairs):
            raise InvalidCallError("a name stands twice")
        timeout, units, gateway_count, first_gateway = self.limits.read(fields, is_write)
        return Command(
            words,
            words[1].decode().lower(),
            fields[CLASS_FIELD],
            fields[PLAN_FIELD],
            timeout,
            units,
            gateway_count,
            first_gateway,
            fields.get(RETRY_FIELD) == "1",
            is_write,
            fields.get(IDEMPOTENCY_KEY_FIELD, ""),
        )
