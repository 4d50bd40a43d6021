"""The part of a call that its replicas store, so that another instance can send it."""

from __future__ import annotations

import msgspec

from ingress.core.calls import Call


class ReplicatedCall(msgspec.Struct, array_like=True, frozen=True):
    """The form of a call for replicas and the store: a MessagePack array in this order."""

    customer: str
    request_class: str
    plan: str
    units: float
    gateway_count: int
    first_gateway: int
    idempotency_key: str
    body: bytes | None


_decoder: msgspec.msgpack.Decoder[ReplicatedCall] = msgspec.msgpack.Decoder(ReplicatedCall)


def encode_call(call: Call) -> bytes:
    """Returns a call encoded for its replicas."""
    return msgspec.msgpack.encode(
        ReplicatedCall(
            call.customer,
            call.request_class,
            call.plan,
            call.units,
            call.gateway_count,
            call.first_gateway,
            call.idempotency_key,
            call.body,
        )
    )


def decode_call(data: bytes, client_request_id: bytes, timeout: float) -> Call | None:
    """Returns the call to send on behalf of a lost instance, or None if `data` is invalid.

    `timeout`: seconds. The call has 0 units, because the lost instance has counted its units.
    """
    try:
        replicated = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return Call(
        client_request_id,
        replicated.customer,
        replicated.request_class,
        replicated.plan,
        timeout,
        units=0.0,
        gateway_count=replicated.gateway_count,
        first_gateway=replicated.first_gateway,
        is_retry=True,
        is_write=True,
        idempotency_key=replicated.idempotency_key,
        body=replicated.body,
    )
