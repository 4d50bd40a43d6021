"""Encodes calls as API.READ and API.WRITE commands for RESP2 and RESP3 backends."""

from __future__ import annotations

import re
from typing import Final

from ingress.core.calls import Call
from ingress.resp.command_decoder import COMMAND_WORDS, READ_VERB, WRITE_VERB, Command

IDEMPOTENCY_KEY: Final = re.compile(r"[0-9a-fA-F]{16}")
MS_PER_S: Final = 1000


def encode_bulk_string(value: bytes) -> bytes:
    """Returns a value as a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(call: Call, time_left: float) -> bytes:
    """Returns a call as a command for a backend.

    A call received as a command is forwarded unchanged except for its timeout; any other call is
    encoded from its fields.

    Args:
        call: The call.
        time_left: The timeout that the command states, in seconds.

    Raises:
        ValueError: The idempotency key is not 16 hexadecimal digits.
    """
    timeout_field = b"d=%d" % max(1, int(time_left * MS_PER_S))
    if isinstance(call, Command):
        return _replace_timeout(call.words, timeout_field)
    verb = WRITE_VERB if call.is_write else READ_VERB
    fields = b"c=%b,t=%b,%b" % (call.request_class.encode(), call.plan.encode(), timeout_field)
    if call.idempotency_key:
        # Any other key could contain a comma and so inject fields.
        if not IDEMPOTENCY_KEY.fullmatch(call.idempotency_key):
            raise ValueError("idempotency key is not 16 hex digits")
        fields += b",k=" + call.idempotency_key.encode()
    fields += b",units=%b,spread=%d,first=%d" % (
        f"{call.units:g}".encode(),
        call.gateway_count,
        call.first_gateway,
    )
    body = [] if call.body is None else [call.body]
    words = (verb, call.customer.encode(), call.client_request_id, fields, *body)
    return b"*%d\r\n%b" % (len(words), b"".join(map(encode_bulk_string, words)))


def _replace_timeout(words: list[bytes], timeout_field: bytes) -> bytes:
    """Returns a client's command with its timeout replaced; a valid command has exactly one."""
    fields = words[3]
    start = 0 if fields.startswith(b"d=") else fields.find(b",d=") + 1
    end = fields.find(b",", start)
    new_fields = fields[:start] + timeout_field + (fields[end:] if end >= 0 else b"")
    verb = words[0]
    customer = words[1]
    request_id = words[2]
    # Hot path, run for each attempt: one format operation instead of one call per word.
    head = b"*%d\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        len(words),
        len(verb),
        verb,
        len(customer),
        customer,
        len(request_id),
        request_id,
        len(new_fields),
        new_fields,
    )
    return head if len(words) == COMMAND_WORDS else head + encode_bulk_string(words[4])
