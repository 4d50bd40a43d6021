"""resp3-v2: API.READ and API.WRITE over RESP3, after HELLO 3.

Its backends share a deduplication memory with resp2-v1 backends.

Source: RESP3 specification, section "RESP3 types" (map, double, null, blob error, push).
"""

from __future__ import annotations

from typing import Final

from ingress.protocol_versions.declaration import (
    KeyForm,
    ProtocolVersion,
    ResponseMeaning,
    register,
)

RESP3_V2: Final = register(
    ProtocolVersion(
        name="resp3-v2",
        protocol="RESP3",
        key_form=KeyForm.HEX16,
        key_memory_name="v1",
        timeout_unit_s=0.001,
        retry_after_unit_s=0.001,
        max_value_bytes=256 * 1024,
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
                ResponseMeaning.MAY_HAVE_RUN,
            }
        ),
        backend_meanings=frozenset(
            {
                ResponseMeaning.SERVED,
                ResponseMeaning.REFUSED,
                ResponseMeaning.FAILED,
                ResponseMeaning.MALFORMED,
                ResponseMeaning.MAY_HAVE_RUN,
                ResponseMeaning.UNASKED,
            }
        ),
    )
)

ERRORS: Final[dict[bytes, ResponseMeaning]] = {
    b"BUSY": ResponseMeaning.REFUSED,
    b"ERR": ResponseMeaning.FAILED,
    b"UNCLEAR": ResponseMeaning.MAY_HAVE_RUN,
    b"SYNTAX": ResponseMeaning.MALFORMED,
}
"""The meaning of an error by its first word."""
