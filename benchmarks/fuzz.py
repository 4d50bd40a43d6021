"""Fuzzes each codec: it may raise only its own error and may hold only a bounded amount of memory.

Example: python -m benchmarks.fuzz --bytes 10000000 --seed 7

Mutates whole messages (changes, removes, repeats and inserts bytes), joins them, splits them into reads at
random positions and feeds them to the codec.  Needs requirements-lab.txt.  Exit status: 0; 1 if a codec
raised another error or held too much memory.  The message gives the seed and the input that reproduce it.
"""

from __future__ import annotations

import argparse
import base64
import contextlib
import json
import random
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from ingress.core.call_limits import CallLimits
from ingress.core.calls import Call, InvalidCallError
from ingress.http.backend_protocol import HttpBackendProtocol
from ingress.http.client_protocol import HttpClientProtocol
from ingress.policy.settings import Plan, RequestClass, RetrySemantics, Settings
from ingress.protocol_versions import http_v2
from ingress.resp.backend_protocol import RespBackendProtocol
from ingress.resp.client_protocol import RespClientProtocol
from ingress.resp.command_decoder import CommandDecoder
from ingress.resp.command_encoder import encode_bulk_string
from ingress.resp.resp3_backend_protocol import HELLO, Resp3BackendProtocol
from ingress.resp.resp3_client_protocol import Resp3ClientProtocol
from ingress.transport.backend_protocol import BackendProtocol, MalformedResponseError
from ingress.transport.client_protocol import ClientProtocol, MalformedFrameError

MAX_HELD_BYTES = 4 * 1024 * 1024  # bytes held by a codec; a few times its largest response
SETTINGS = Settings(
    classes=(
        RequestClass("read", 1.0, 4.0),
        RequestClass(
            "order", 1.0, 4.0, semantics=RetrySemantics.IDEMPOTENCY_KEY, deduplication_window=4.0
        ),
    ),
    plans=(Plan("basic", 1.0, 3.0),),
)
CALL = Call(
    b"r1", f"{7:016x}", "order", "basic", 2.0, 1.0, 1, 0, False, True, "0123456789abcdef", b"body"
)


def resp(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(map(encode_bulk_string, words))


READ = resp(b"API.READ", b"%016x" % 7, b"r1", b"c=read,t=basic,d=500,units=1,spread=1,first=0")
WRITE = resp(
    b"API.WRITE", b"%016x" % 7, b"r1", b"c=order,t=basic,d=500,k=0123456789abcdef", b"body"
)
FIELDS = (
    b"Host: x\r\nX-Request-Id: r1\r\nGrid-Customer: %016x\r\nGrid-Plan: basic\r\n"
    b"Grid-Deadline-Ms: 500\r\n" % 7
)
BODY = json.dumps({"class": "order", "solution": base64.b64encode(b"body").decode()}).encode()
KEYED = (
    b"POST /v2/solutions HTTP/1.1\r\n"
    + FIELDS
    + b'Idempotency-Key: "f81d4fae-7dec-11d0-a765-00a0c91e6bf6"\r\n'
)
ANSWER = json.dumps({"id": "r1", "value": base64.b64encode(b"value").decode()}).encode()
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
SEEDS: dict[str, list[bytes]] = {
    "resp2-front": [READ, WRITE, b"*1\r\n$4\r\nPING\r\n"],
    "resp3-front": [READ, WRITE, HELLO, resp(b"HELLO", b"2")],
    "http-front": [
        b"GET /v2/grids/read HTTP/1.1\r\n" + FIELDS + b"\r\n",
        KEYED + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY,
        KEYED
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\nX: y\r\n\r\n" % (len(BODY), BODY),
    ],
    "resp2-back": [
        b"*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\nqueue=0.5\r\n",
        b"-BUSY queue=1\r\n",
        b"-ERR failed\r\n",
    ],
    "resp3-back": [
        b"%2\r\n$5\r\nvalue\r\n$5\r\nhello\r\n$4\r\nload\r\n_\r\n",
        b">2\r\n$4\r\nnews\r\n:7\r\n",
        b"!10\r\nERR failed\r\n",
        b"-UNCLEAR x\r\n",
        b"%1\r\n$5\r\nproto\r\n:3\r\n",
    ],
    "http-back": [
        OK + b"Content-Length: %d\r\n\r\n" % len(ANSWER) + ANSWER,
        OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(ANSWER), ANSWER),
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
    ],
    "json": [
        BODY,
        ANSWER,
        b'{"type": "urn:grid:problem:not-started"}',
        b'{"class": "\\ud800", "solution": ""}',
    ],
}
MAKE: dict[str, Callable[[], Any]] = {
    "resp2-front": lambda: RespClientProtocol(CommandDecoder(SETTINGS)),
    "resp3-front": lambda: Resp3ClientProtocol(CommandDecoder(SETTINGS)),
    "http-front": lambda: HttpClientProtocol(CallLimits(SETTINGS)),
    "resp2-back": RespBackendProtocol,
    "resp3-back": lambda: Resp3BackendProtocol(65536, Counter()),
    "http-back": lambda: HttpBackendProtocol("x", 65536, Counter()),
    "json": lambda: None,
}


INSERTIONS = (b"\r\n", b"99999999", b"-1", b"\0", b"\xff\xfe", b"[" * 50, b'"\\ud800"')


def mutate(rng: random.Random, seeds: Sequence[bytes]) -> bytes:
    """Returns one to four whole messages, some of them mutated."""
    parts = []
    for _ in range(rng.randrange(1, 5)):
        data = bytearray(rng.choice(seeds))
        for _ in range(rng.randrange(0, 5)):
            at, kind = rng.randrange(len(data) + 1), rng.randrange(5)
            if kind == 0:
                data[at : at + 1] = rng.randbytes(rng.randrange(0, 3))
            elif kind == 1:
                del data[at : at + rng.randrange(1, 9)]
            elif kind == 2:
                data[at:at] = data[at : at + rng.randrange(1, 40)]
            elif kind == 3:
                data[at:at] = rng.choice(INSERTIONS)
            elif data:
                data[at % len(data)] ^= 1 << rng.randrange(8)
        parts.append(bytes(data))
    return b"".join(parts)


def feed_client_protocol(protocol: ClientProtocol, reads: Sequence[bytes]) -> None:
    """Feeds a client protocol as the listener does."""
    buffered = b""
    for data in reads:
        buffered += data
        at = 0
        while at < len(buffered) and (end := protocol.find_frame_end(buffered, at)) >= 0:
            try:
                protocol.decode_request(buffered[at:end])
            except InvalidCallError as error:
                protocol.encode_error(str(error))
            at = end
        buffered = buffered[at:]
        protocol.interim_response()


def feed_backend_protocol(protocol: BackendProtocol, reads: Sequence[bytes]) -> None:
    """Feeds a backend protocol as the pool does: a request, then reads until it is answered."""
    protocol.encode_request(CALL, 0.5)
    for data in reads:
        result = protocol.receive_data(data)
        if result is not None:
            if not result.reusable:
                return
            protocol.encode_request(CALL, 0.5)
    protocol.receive_eof()


def feed_json(reads: Sequence[bytes]) -> None:
    """Feeds the JSON layer alone, which the HTTP codecs call with whole bodies."""
    data = b"".join(reads)
    http_v2.problem_type(data)
    fields = {
        b"x-request-id": b"r1",
        b"grid-customer": b"%016x" % 7,
        b"grid-plan": b"basic",
        b"grid-deadline-ms": b"500",
        b"idempotency-key": b"f81d4fae-7dec-11d0-a765-00a0c91e6bf6",
    }
    with contextlib.suppress(ValueError):
        http_v2.value(data, b"r1")
    with contextlib.suppress(InvalidCallError):
        http_v2.decode_request(CallLimits(SETTINGS), b"POST", b"/v2/solutions", fields, data)


def fuzz(name: str, most: int, seed: int) -> tuple[int, int, int]:
    """Feeds at least `most` bytes to a codec.

    Returns:
        The number of inputs, the number that ended in the codec's own error, and the peak of held bytes.

    Raises:
        AssertionError: The codec raised another error or held too many bytes.
    """
    inputs = errors = fed = worst = 0
    tracemalloc.start()
    while fed < most:
        inputs += 1
        rng = random.Random(f"{seed} {name} {inputs}")
        data = mutate(rng, SEEDS[name])
        cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(0, 4)))
        reads = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if a < b]
        fed += len(data)
        codec = MAKE[name]()
        try:
            if name == "json":
                feed_json(reads)
            elif name.endswith("front"):
                feed_client_protocol(codec, reads)
            else:
                feed_backend_protocol(codec, reads)
        except (MalformedFrameError, MalformedResponseError):
            errors += 1
        except Exception as error:
            raise AssertionError(
                f"{name}, seed {seed}, input {inputs}: {type(error).__name__}: {error}: {data!r}"
            ) from error
        if inputs % 500 == 0:
            worst = max(worst, tracemalloc.get_traced_memory()[1])
            tracemalloc.reset_peak()
            if worst > MAX_HELD_BYTES:
                raise AssertionError(
                    f"{name}, seed {seed}, inputs up to {inputs}: {worst} bytes held"
                )
    worst = max(worst, tracemalloc.get_traced_memory()[1])
    tracemalloc.stop()
    return inputs, errors, worst


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").partition("\n\n")[0],
        epilog="Example: python -m benchmarks.fuzz --bytes 10000000 --seed 7",
    )
    parser.add_argument(
        "--bytes", type=int, default=10_000_000, help="bytes fed to each codec (10000000)"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--codec",
        choices=sorted(SEEDS),
        action="append",
        help="fuzz only this codec; may be repeated",
    )
    parser.add_argument("--json", action="store_true", help="print the table as JSON")
    options = parser.parse_args(arguments)
    rows: dict[str, dict[str, float]] = {}
    for name in options.codec or SEEDS:
        start = time.monotonic()
        try:
            inputs, errors, worst = fuzz(name, options.bytes, options.seed)
        except AssertionError as error:
            print(error, file=sys.stderr)
            return 1
        rows[name] = {
            "inputs": inputs,
            "own_errors": errors,
            "most_held_bytes": worst,
            "seconds": round(time.monotonic() - start, 1),
        }
        print(f"{name}: done in {rows[name]['seconds']} s", file=sys.stderr, flush=True)
    if options.json:
        print(json.dumps(rows, indent=1))
    else:
        print(f"{'codec':<14}{'inputs':>10}{'own errors':>12}{'most held, KB':>15}")
        for name, row in rows.items():
            print(
                f"{name:<14}{row['inputs']:>10}{row['own_errors']:>12}"
                f"{row['most_held_bytes'] / 1024:>15.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
