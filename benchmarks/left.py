"""Counts requests that are forwarded more than 0.1 s after their client has left.

    python -m benchmarks.left --rounds 3 --load 4
    python -m benchmarks.left --root ../before --json

Starts the program of `--root` as a process, with simulated peers that delay each request until its client has
left.  A request waits for a connection that is established late, for the counter's reply, for a response
before which the program reads no more commands from the connection, or for the outcome of an earlier attempt.
Clients leave by a reset, a half-close or a close.  A request that was answered or forwarded before its client
left does not count.  Exit status 1: a request was forwarded; 2: a kind of wait did not occur.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
DEPARTURES = ("reset", "half", "full")
MAX_DELAY_S = 0.1  # longest permitted time from the client's departure to forwarding
RELEASE_DELAY_S = 0.11  # from the departure of the last client until the peers respond
OBSERVATION_S = 4.0  # time for late forwarding; covers connection retries after 1 s and 3 s
READ_AHEAD = 64  # commands that the program reads from a connection before it pauses reading
LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER of zero: closing resets the connection


class Bench:
    """The simulated peers of one run, the arrival times at backends and the departures of clients."""

    def __init__(self, wait: str) -> None:
        self.wait, self.release = wait, asyncio.Event()
        self.arrivals: dict[str, list[float]] = {}
        self.left_at: dict[str, float] = {}
        self.servers: list[asyncio.Server] = []

    async def serve(self, script: Callable[[Reader, Writer], Awaitable[None]]) -> int:
        async def guarded(reader: Reader, writer: Writer) -> None:
            with suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await script(reader, writer)
            writer.close()

        server = await asyncio.start_server(guarded, "127.0.0.1", 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def backend(self, reader: Reader, writer: Writer) -> None:
        while True:
            words = [await reader.readuntil(b"\r\n")]
            for _ in range(int(words[0][1:])):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            name = words[3].decode()
            self.arrivals.setdefault(name, []).append(time.monotonic())
            if self.wait == "unread" or (self.wait == "attempt" and len(self.arrivals[name]) == 1):
                await self.release.wait()
            if self.wait == "attempt" and len(self.arrivals[name]) == 1:
                writer.write(b"-BUSY\r\n")
            else:
                writer.write(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")

    async def counter(self, reader: Reader, writer: Writer) -> None:
        while line := await reader.readline():
            if self.wait == "counter" and b" 0 " not in line:
                await self.release.wait()
            writer.write(b"ok 1\r\n")


def settings(counter: bool) -> dict[str, Any]:
    return {
        "balancers": 2,
        "self-index": 0,
        "zone": "a",
        "tick-s": 0.002,
        "membership-mode": "pushed",
        "categories": [
            {
                "name": "look",
                "aim-s": 10.0,
                "give-up-s": 20.0,
                "importance": 1.0,
                "semantics": "safe",
            }
        ],
        "contracts": [
            {"name": "plain", "refill": 0.5 if counter else 0.0, "burst": 1.0 if counter else 0.0}
        ],
        "limits": {"max-attempts": 4, "connect-timeout-s": 15.0, "keepalive-s": 15.0},
        "rules": {"drain-grace-s": 1.0},
        "family-info": {"counter": counter, "count-wait-s": 4.0},
    }


def command(name: str, customer: int) -> bytes:
    words = (
        b"API.READ",
        b"%016x" % customer,
        name.encode(),
        b"c=look,t=plain,d=19000,units=1,spread=2,first=0",
    )
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def leave(writer: Writer, how: str) -> None:
    if how == "half":
        writer.write_eof()
        return
    if how == "reset":
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


async def play(wait: str, how: str, clients: int, root: Path, folder: Path) -> tuple[int, int]:
    """Returns the number of requests that waited and the number of those forwarded too late."""
    bench = Bench(wait)
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    queued = socket.create_connection(listener.getsockname())
    ports = (
        [listener.getsockname()[1]]
        if wait == "connection"
        else [await bench.serve(bench.backend) for _ in range(3)]
    )
    counter, listen_port, path = (
        await bench.serve(bench.counter),
        free_port(),
        folder / "config.json",
    )
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{listen_port}",
                "discovery": f"127.0.0.1:{free_port()}",
                "seed": "5",
                "counter": f"127.0.0.1:{counter}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": settings(wait == "counter"),
                "known": {
                    "version": 1,
                    "full": True,
                    "servers": [
                        {
                            "id": f"s{n}",
                            "addr": f"127.0.0.1:{port}",
                            "zone": "a",
                            "kind": "m",
                            "cell": 1,
                            "state": "ready",
                            "weight": 1.0,
                            "started_ms": 0,
                        }
                        for n, port in enumerate(ports)
                    ],
                },
            }
        ),
        encoding="utf-8",
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ingress",
        cwd=root,
        env=os.environ | {"EDGE_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    while b"serves on" not in (line := await process.stderr.readline()):
        if not line:
            raise RuntimeError("the program did not start")
    drain = asyncio.create_task(process.stderr.read())
    readers: set[asyncio.Task[None]] = set()
    try:
        await send_and_leave(bench, wait, how, clients, listen_port)
        await asyncio.sleep(RELEASE_DELAY_S)
        bench.release.set()
        if wait == "connection":
            listener.setblocking(False)
            loop, end = asyncio.get_running_loop(), time.monotonic() + OBSERVATION_S
            while time.monotonic() < end:
                with suppress(TimeoutError):
                    sock, _ = await asyncio.wait_for(
                        loop.sock_accept(listener), end - time.monotonic()
                    )
                    reader, writer = await asyncio.open_connection(sock=sock)
                    task = asyncio.create_task(ignore_disconnect(bench.backend(reader, writer)))
                    readers.add(task)
        else:
            await asyncio.sleep(OBSERVATION_S - 2.0)
    finally:
        process.kill()
        await process.wait()
        await drain
        for task in readers:
            task.cancel()
        for server in bench.servers:
            server.close()
        listener.close()
        queued.close()
    counted_attempt = 2 if wait == "attempt" else 1  # its arrival counts as forwarding
    cases = [(at, bench.arrivals.get(name, [])) for name, at in bench.left_at.items()]
    cases = [
        (at, arrivals)
        for at, arrivals in cases
        if len([t for t in arrivals if t <= at]) < counted_attempt
    ]
    late = [
        1
        for at, arrivals in cases
        if len(arrivals) >= counted_attempt and arrivals[counted_attempt - 1] > at + MAX_DELAY_S
    ]
    return len(cases), len(late)


async def ignore_disconnect(script: Awaitable[None]) -> None:
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        await script


async def send_and_leave(bench: Bench, wait: str, how: str, clients: int, listen_port: int) -> None:
    """Sends the clients' requests, waits 0.3 s, and makes the clients leave."""
    if wait == "counter":  # the first request of each client uses up its customer's quota slice
        for n in range(clients):
            reader, writer = await asyncio.open_connection("127.0.0.1", listen_port)
            bench.wait = ""
            writer.write(command(f"first{n}", n))
            await reader.readline()
            writer.close()
        bench.wait = wait
    writers = []
    for n in range(clients):
        reader, writer = await asyncio.open_connection("127.0.0.1", listen_port)
        names = [f"{n}-{k}" for k in range(READ_AHEAD + 20 if wait == "unread" else 1)]
        writer.write(b"".join(command(name, n) for name in names))
        writers.append((reader, writer, names[READ_AHEAD:] if wait == "unread" else names))
    await asyncio.sleep(0.3)
    for reader, writer, names in writers:
        answered = False
        with suppress(TimeoutError):
            answered = bool(await asyncio.wait_for(reader.read(1), 0.001))
        leave(writer, how)
        now = time.monotonic()
        bench.left_at.update((name, now) for name in names if not answered)


async def measure(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    waits = {
        "connection": args.clients,
        "counter": args.clients,
        "unread": 3,
        "attempt": args.clients,
    }
    for wait, clients in waits.items():
        for how in DEPARTURES:
            cases = late = 0
            for number in range(args.rounds):
                with tempfile.TemporaryDirectory() as folder:
                    counts = await play(wait, how, clients, args.root, Path(folder))
                cases, late = cases + counts[0], late + counts[1]
                print(
                    f"\r{wait} {how} {number + 1} of {args.rounds}    ",
                    end="",
                    file=sys.stderr,
                    flush=True,
                )
            rows.append({"waits_for": wait, "leaves": how, "cases": cases, "sent_on": late})
    print(file=sys.stderr)
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--clients", type=int, default=20)
    parser.add_argument(
        "--load", type=int, default=0, help="number of busy loops that run next to the program"
    )
    parser.add_argument(
        "--root", type=Path, default=Path(), help="checkout of the measured program"
    )
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    loops = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(args.load)]
    try:
        rows = asyncio.run(measure(args))
    except KeyboardInterrupt:
        return 130
    finally:
        for loop in loops:
            loop.kill()
    if args.json:
        print(json.dumps(rows, indent=1))
    else:
        for row in rows:
            print(
                f"{row['waits_for']:>11} {row['leaves']:>6} {row['cases']:6} cases, "
                f"{row['sent_on']:6} forwarded"
            )
    if any(row["cases"] == 0 for row in rows):
        return 2
    return int(any(row["sent_on"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
