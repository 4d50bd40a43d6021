"""Requests whose clients left while they waited: how many were sent on 0.1 s later after all.

    python -m benchmarks.left --rounds 3 --load 4
    python -m benchmarks.left --root ../before --json

Starts the program of `--root` as a process, with stand-ins that hold what a request waits for until its
client has left: a connection that comes up late, the counter's answer, an answer before which a connection is
not read on, the outcome of an earlier attempt.  Clients leave by a reset, by ending their sending, and by
closing.  A request that was answered or sent on before its client left is no case.  Status 1: a request was
sent on; 2: a wait did not come about.
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
WAYS = ("reset", "half", "full")
LATE = 0.1  # s after which nothing may be sent on any more
HOLD = 0.11  # s from when the last client has left until the stand-ins let go
AFTER = 4.0  # s in which what would be sent on comes: connections try again after 1 s and 3 s
AHEAD = 64  # commands of a connection that are taken before it is not read on
RESET = struct.pack("ii", 1, 0)


class Bench:
    """One play: the stand-ins, what reached a backend and when, and when each client left."""

    def __init__(self, wait: str) -> None:
        self.wait, self.release = wait, asyncio.Event()
        self.came: dict[str, list[float]] = {}
        self.left: dict[str, float] = {}
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
            self.came.setdefault(name, []).append(time.monotonic())
            if self.wait == "unread" or (self.wait == "attempt" and len(self.came[name]) == 1):
                await self.release.wait()
            if self.wait == "attempt" and len(self.came[name]) == 1:
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
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


async def play(wait: str, how: str, clients: int, root: Path, folder: Path) -> tuple[int, int]:
    """The cases brought about, and those sent on after all."""
    bench = Bench(wait)
    gate = socket.create_server(("127.0.0.1", 0), backlog=0)
    fill = socket.create_connection(gate.getsockname())
    ports = (
        [gate.getsockname()[1]]
        if wait == "connection"
        else [await bench.serve(bench.backend) for _ in range(3)]
    )
    counter, here, path = await bench.serve(bench.counter), free_port(), folder / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{here}",
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
        await asks(bench, wait, how, clients, here)
        await asyncio.sleep(HOLD)
        bench.release.set()
        if wait == "connection":
            gate.setblocking(False)
            loop, end = asyncio.get_running_loop(), time.monotonic() + AFTER
            while time.monotonic() < end:
                with suppress(TimeoutError):
                    sock, _ = await asyncio.wait_for(loop.sock_accept(gate), end - time.monotonic())
                    reader, writer = await asyncio.open_connection(sock=sock)
                    task = asyncio.create_task(swallow(bench.backend(reader, writer)))
                    readers.add(task)
        else:
            await asyncio.sleep(AFTER - 2.0)
    finally:
        process.kill()
        await process.wait()
        await drain
        for task in readers:
            task.cancel()
        for server in bench.servers:
            server.close()
        gate.close()
        fill.close()
    least = 2 if wait == "attempt" else 1  # the attempt with which it counts as sent on
    cases = [(at, bench.came.get(name, [])) for name, at in bench.left.items()]
    cases = [(at, came) for at, came in cases if len([t for t in came if t <= at]) < least]
    late = [1 for at, came in cases if len(came) >= least and came[least - 1] > at + LATE]
    return len(cases), len(late)


async def swallow(script: Awaitable[None]) -> None:
    with suppress(ConnectionError, asyncio.IncompleteReadError):
        await script


async def asks(bench: Bench, wait: str, how: str, clients: int, here: int) -> None:
    """Clients ask, wait a little, and leave."""
    if wait == "counter":  # the first try of each takes what its customer's slice holds
        for n in range(clients):
            reader, writer = await asyncio.open_connection("127.0.0.1", here)
            bench.wait = ""
            writer.write(command(f"first{n}", n))
            await reader.readline()
            writer.close()
        bench.wait = wait
    writers = []
    for n in range(clients):
        reader, writer = await asyncio.open_connection("127.0.0.1", here)
        names = [f"{n}-{k}" for k in range(AHEAD + 20 if wait == "unread" else 1)]
        writer.write(b"".join(command(name, n) for name in names))
        writers.append((reader, writer, names[AHEAD:] if wait == "unread" else names))
    await asyncio.sleep(0.3)
    for reader, writer, names in writers:
        answered = False
        with suppress(TimeoutError):
            answered = bool(await asyncio.wait_for(reader.read(1), 0.001))
        leave(writer, how)
        now = time.monotonic()
        bench.left.update((name, now) for name in names if not answered)


async def measure(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    waits = {
        "connection": args.clients,
        "counter": args.clients,
        "unread": 3,
        "attempt": args.clients,
    }
    for wait, clients in waits.items():
        for how in WAYS:
            cases = late = 0
            for number in range(args.rounds):
                with tempfile.TemporaryDirectory() as folder:
                    found = await play(wait, how, clients, args.root, Path(folder))
                cases, late = cases + found[0], late + found[1]
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
    parser.add_argument("--load", type=int, default=0, help="busy loops beside the program")
    parser.add_argument(
        "--root", type=Path, default=Path(), help="a checkout whose program is measured"
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
                f"{row['sent_on']:6} sent on"
            )
    if any(row["cases"] == 0 for row in rows):
        return 2
    return int(any(row["sent_on"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
