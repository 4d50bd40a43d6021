"""RESP2 backend codec: the encoding of requests and the outcome of each response."""

from __future__ import annotations

from collections.abc import Mapping

import hiredis
import pytest

from ingress.core.calls import Call
from ingress.policy.events import Outcome
from ingress.resp.backend_protocol import RespBackendProtocol, decode_load_report, find_reply_end
from ingress.resp.command_encoder import encode_command
from tests.peers import backend, run, until, value
from tests.support.pools import READ_COMMAND, PoolHarness

BINARY = bytes(range(256)) * 256


@pytest.mark.parametrize(
    ("response", "outcome", "expected_value"),
    [
        (value(b"hello"), Outcome.OK, b"hello"),
        (value(b""), Outcome.OK, b""),
        (value(BINARY), Outcome.OK, BINARY),
        # Six times 64 KiB: backends send such values, although requests are limited to less.
        (value(BINARY * 6), Outcome.OK, BINARY * 6),
        (b"*3\r\n$2\r\nok\r\n$1\r\n4\r\n$10\r\ninflight=7\r\n", Outcome.OK, b"ok"),
        (b"-ERR failed\r\n", Outcome.ERROR, None),
        (b"-ERR failed inflight=7,queue=2\r\n", Outcome.ERROR, None),
        (b"-SYNTAX\r\n", Outcome.ERROR, None),
        (b"-BUSY\r\n", Outcome.OVERLOADED, None),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome.ERROR, None),
        (b"*-1\r\n", Outcome.ERROR, None),
        (b"*0\r\n", Outcome.ERROR, None),
        (b"$5\r\nhello\r\n", Outcome.ERROR, None),
        (b"hello\r\n", Outcome.ERROR, None),
    ],
)
def test_maps_a_response_to_an_outcome_and_a_value(
    response: bytes, outcome: Outcome, expected_value: bytes | None
) -> None:
    async def body() -> None:
        async with backend(response) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            assert await pool.outcome() == (outcome, expected_value)

    run(body())


@pytest.mark.parametrize(
    ("call", "words"),
    [
        (
            Call(b"r9", "00000000000000c7", "read", "basic", 2.0, 1.0, 2, 1, False, False),
            [
                b"API.READ",
                b"00000000000000c7",
                b"r9",
                b"c=read,t=basic,d=700,units=1,spread=2,first=1",
            ],
        ),
        (
            Call(
                b"r9",
                "00000000000000c7",
                "order",
                "basic",
                2.0,
                0.5,
                1,
                0,
                False,
                True,
                "0123456789abcdef",
                b"x",
            ),
            [
                b"API.WRITE",
                b"00000000000000c7",
                b"r9",
                b"c=order,t=basic,d=700,k=0123456789abcdef,units=0.5,spread=1,first=0",
                b"x",
            ],
        ),
    ],
)
def test_encodes_a_call_received_over_another_protocol(call: Call, words: list[bytes]) -> None:
    reader = hiredis.Reader()
    reader.feed(encode_command(call, 0.7))
    assert reader.gets() == words


def test_forwards_a_request_unchanged_except_for_its_timeout() -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address)
            pool.start(wait=1.0, words=(*READ_COMMAND, BINARY))
            assert await pool.outcome() == (Outcome.OK, b"r1")
            [words] = peer.commands
            fields = words[3].split(b",")
            assert words[:3] == [b"API.READ", b"c7", b"r1"]
            assert words[4] == BINARY
            assert fields[0] == b"c=read"
            assert fields[2:] == [b"t=basic", b"x=9"]
            assert fields[1].startswith(b"d=")
            assert 1 <= int(fields[1][2:]) <= 1000

    run(body())


@pytest.mark.parametrize(
    "malformed",
    [
        b"*1000000000\r\n",
        b"*3\r\n$3000000000\r\nxx",
        b"*3\r\n$1048577\r\n",
        b"x" * 100,
        b"*2\r\n$1\r\nx\r\n$-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$2\r\nvalue\r\n",
        b"-SYNTAX\r\n",
        b"-ERR what\r\n",
        b"-" + b"x" * 2000,
        b"*3\r\n*3\r\n",
        b"+OK\r\n",
        b"$5\r\nhello\r\n",
        b"-\xff\xfe\r\n",
        b"*3\r\n$1\r\nx\r\n$-2\r\n",
        b"*x\r\n",
    ],
)
def test_a_malformed_response_is_an_error_and_closes_the_connection(malformed: bytes) -> None:
    async def body() -> None:
        async with backend(malformed) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            assert await pool.outcome() == (Outcome.ERROR, None)
            assert pool.pool.connection_count == 0
            assert pool.pool.buffered_bytes == 0
            await until(lambda: peer.ended)

    run(body())


def test_finds_the_end_of_a_response_that_arrives_byte_by_byte() -> None:
    response = b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n"
    assert [find_reply_end(response[:size], []) for size in range(len(response))] == [-1] * len(
        response
    )
    elements: list[bytes | None] = []
    assert find_reply_end(response + b"*", elements) == len(response)
    assert elements == [b"hello", None, None]
    line = b"-ERR failed\r\n"
    assert [find_reply_end(line[:size], []) for size in range(len(line))] == [-1] * len(line)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"inflight=7,queue=2", {"inflight": 7.0, "queue": 2.0}),
        (b"inflight=x,queue=2", {"queue": 2.0}),
        (b"inflight=nan,util=inf,queue=-1,qps=3", {"qps": 3.0}),
        (b"what=1,__class__=2", {}),
        (b"\xff\xfe", {}),
        (b"", {}),
        (None, {}),
        (b"cpu=0.5", {"util": 0.5}),
    ],
)
def test_load_report_omits_invalid_numbers(text: bytes | None, load: Mapping[str, float]) -> None:
    assert decode_load_report(text) == load


def test_an_incomplete_reply_is_not_scanned_again_before_it_may_be_complete() -> None:
    """Guards against a scan of the whole reply for each byte of a backend that writes slowly."""
    reply = value(b"x" * 1000)
    protocol = RespBackendProtocol()
    assert protocol.receive_data(reply[:20]) is None
    assert protocol.buffer.min_size > 1000
    result = protocol.receive_data(reply[20:])
    assert result is not None
    assert result.value == b"x" * 1000
    assert not protocol.buffer.size
