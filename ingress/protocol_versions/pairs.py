"""Derives the features that carry over from clients of one version to backends of another.

The input is the declaration of each version; the command `explain` prints the texts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from ingress.protocol_versions.declaration import KeyForm, ProtocolVersion, ResponseMeaning


class Fidelity(Enum):
    """How completely a feature is carried."""

    CARRIED = "carried"
    LOSSY = "lossy"
    IMPOSSIBLE = "impossible"


@dataclass(frozen=True, slots=True)
class FeatureRow:
    """One row of a pair's table.

    Attributes:
        feature: The name of the feature.
        client: The feature in the clients' version.
        server: The feature in the backends' version.
        fidelity: How completely the feature is carried.
        becomes: The result of the translation.
    """

    feature: str
    client: str
    server: str
    fidelity: Fidelity
    becomes: str


FALLBACKS: Final[dict[ResponseMeaning, tuple[ResponseMeaning, str]]] = {
    ResponseMeaning.REFUSED_UNTIL: (ResponseMeaning.REFUSED, "the retry delay is omitted"),
    ResponseMeaning.MAY_HAVE_RUN: (
        ResponseMeaning.FAILED,
        "a rejection would promise that nothing ran",
    ),
    ResponseMeaning.IN_PROGRESS: (ResponseMeaning.FAILED, "the key's first request may still run"),
    ResponseMeaning.ACCEPTED: (
        ResponseMeaning.FAILED,
        "there is no deferred response; counted as accepted-later",
    ),
    ResponseMeaning.ELSEWHERE: (
        ResponseMeaning.FAILED,
        "addresses come only from discovery; counted as redirect",
    ),
    ResponseMeaning.KEY_CONFLICT: (
        ResponseMeaning.FAILED,
        "a request with another body ran under the key; counted as key-conflict",
    ),
    ResponseMeaning.MALFORMED: (ResponseMeaning.FAILED, "counted as malformed"),
}
"""The meaning reported to clients whose version lacks one, and the reason that it is correct."""


def table(client: ProtocolVersion, server: ProtocolVersion) -> list[FeatureRow]:
    """Returns the table of a pair of versions: request features first, then responses."""
    return [
        _keys(client, server),
        _memory(client, server),
        _timeout(client, server),
        _size(
            "body",
            client.max_body_bytes,
            server.max_body_bytes,
            "the call fails without being sent",
        ),
        _size(
            "value",
            server.max_value_bytes,
            client.max_value_bytes,
            "the client gets a failure, counted as too-large",
            from_server=True,
        ),
        _bytes(client, server),
        *(
            _response(meaning, client, server)
            for meaning in ResponseMeaning
            if meaning in server.backend_meanings
        ),
    ]


def _keys(client: ProtocolVersion, server: ProtocolVersion) -> FeatureRow:
    if client.key_form is server.key_form:
        fidelity = Fidelity.CARRIED
        becomes = "the same key"
    elif server.key_form is KeyForm.UUID:
        fidelity = Fidelity.CARRIED
        becomes = "a UUIDv8 derived one to one from key, customer and class"
    else:
        fidelity = Fidelity.LOSSY
        becomes = "64 bits of a hash; two of 10**5 collide with probability 3e-10"
    return FeatureRow("key", client.key_form.value, server.key_form.value, fidelity, becomes)


def _memory(client: ProtocolVersion, server: ProtocolVersion) -> FeatureRow:
    same = client.key_memory_name == server.key_memory_name
    becomes = (
        "one group"
        if same
        else "separate groups: a request that may have run in one is not retried in the other"
    )
    return FeatureRow(
        "key memory",
        client.key_memory_name,
        server.key_memory_name,
        Fidelity.CARRIED if same else Fidelity.LOSSY,
        becomes,
    )


def _timeout(client: ProtocolVersion, server: ProtocolVersion) -> FeatureRow:
    if not server.timeout_unit_s:
        fidelity = Fidelity.IMPOSSIBLE
    elif server.timeout_unit_s > client.timeout_unit_s:
        fidelity = Fidelity.LOSSY
    else:
        fidelity = Fidelity.CARRIED
    return FeatureRow(
        "deadline",
        _unit(client.timeout_unit_s),
        _unit(server.timeout_unit_s),
        fidelity,
        "the remaining time, so that no clocks are compared"
        if server.timeout_unit_s
        else "not sent; the ingress ends the attempt itself",
    )


def _unit(seconds: float) -> str:
    return f"in steps of {seconds:g} s" if seconds else "not stated"


def _size(
    item: str, sender_bytes: int, receiver_bytes: int, becomes: str, from_server: bool = False
) -> FeatureRow:
    fits = sender_bytes <= receiver_bytes
    client_bytes = receiver_bytes if from_server else sender_bytes
    server_bytes = sender_bytes if from_server else receiver_bytes
    return FeatureRow(
        f"largest {item}",
        f"{client_bytes} bytes",
        f"{server_bytes} bytes",
        Fidelity.CARRIED if fits else Fidelity.IMPOSSIBLE,
        "unchanged" if fits else f"above {receiver_bytes} bytes {becomes}",
    )


def _bytes(client: ProtocolVersion, server: ProtocolVersion) -> FeatureRow:
    forms = {True: "unencoded", False: "base64 in JSON"}
    return FeatureRow(
        "bytes",
        forms[client.carries_bytes],
        forms[server.carries_bytes],
        Fidelity.CARRIED,
        "the same bytes",
    )


def _response(
    meaning: ResponseMeaning, client: ProtocolVersion, server: ProtocolVersion
) -> FeatureRow:
    if meaning in client.client_meanings:
        is_rounded = (
            meaning is ResponseMeaning.REFUSED_UNTIL
            and client.retry_after_unit_s > server.retry_after_unit_s
        )
        return FeatureRow(
            meaning.value,
            "said",
            "said",
            Fidelity.LOSSY if is_rounded else Fidelity.CARRIED,
            f"rounded up to {client.retry_after_unit_s:g} s" if is_rounded else "the same",
        )
    if meaning is ResponseMeaning.UNASKED:
        return FeatureRow(
            meaning.value,
            "not expressible",
            "said",
            Fidelity.LOSSY,
            "dropped between two replies; counted as pushed",
        )
    fallback, reason = FALLBACKS[meaning]
    fidelity = Fidelity.LOSSY if fallback is ResponseMeaning.REFUSED else Fidelity.IMPOSSIBLE
    return FeatureRow(
        meaning.value,
        "not expressible",
        "said",
        fidelity,
        f"reported as {fallback.name.lower()}: {reason}",
    )
