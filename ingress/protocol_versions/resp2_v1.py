"""resp2-v1: API.READ and API.WRITE over RESP2."""

from __future__ import annotations

from typing import Final

from ingress.protocol_versions.declaration import (
    KeyForm,
    ProtocolVersion,
    ResponseMeaning,
    register,
)

RESP2_V1: Final = register(
    ProtocolVersion(
        name="resp2-v1",
        protocol="RESP2",
        key_form=KeyForm.HEX16,
        key_memory_name="v1",
        timeout_unit_s=0.001,
        retry_after_unit_s=0.001,
        max_value_bytes=64 * 1024,
        max_body_bytes=64 * 1024,
        carries_bytes=True,
        is_chunked=False,
        client_meanings=frozenset(
            {
                ResponseMeaning.SERVED,
                ResponseMeaning.REFUSED,
                ResponseMeaning.REFUSED_UNTIL,
                ResponseMeaning.FAILED,
                ResponseMeaning.MALFORMED,
            }
        ),
        backend_meanings=frozenset(
            {
                ResponseMeaning.SERVED,
                ResponseMeaning.REFUSED,
                ResponseMeaning.FAILED,
                ResponseMeaning.MALFORMED,
            }
        ),
    )
)
