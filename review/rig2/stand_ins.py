"""Small stand-ins for a case of the review: platform, backends and clients, on loopback addresses.

Only the standard library is used. A case script runs one event loop with all stand-ins, starts the
ingresses as separate processes with the `run` command of the deploy file, and writes `record.txt`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# A loopback address of this run's own, so that runs beside each other don't share ports.
HOST = f"127.{64 + secrets.randbelow(64)}.{secrets.randbelow(256)}.{1 + secrets.randbelow(254)}"
RULE_BROKEN, RULE_HELD, COULD_NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case can't give a verdict."""


def trouble() -> bool:
    """Returns whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []
        self.quiet = False  # whether the backends record nothing, since there are too many requests

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self.start

    def add(self, text: str) -> None:
        """Adds a line with the time."""
        self.lines.append(f"{self.now():8.3f}  {text}")

    def write(self, folder: Path) -> None:
        """Writes all lines to `record.txt`."""
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def free_port() -> int:
    """Returns a free TCP port below those that the system gives to outgoing connections."""
    for _ in range(1000):
        port = 10_000 + secrets.randbelow(20_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise CannotRunError("no port is free")


# Backends


@dataclass
class KeyMemory:
    """The idempotency keys that a group of backends remembers."""

    window: float
    run_at: dict[str, float] = field(default_factory=dict)

    def first_run(self, key: str) -> bool:
        """Returns whether a run with this key takes effect, and remembers the key if so."""
        now = time.monotonic()
        if now < self.run_at.get(key, float("-inf")) + self.window:
            return False
        self.run_at[key] = now
        return True


@dataclass(eq=False)
class Arrival:
    """One request that came whole to a backend."""

    backend: str
    zone: str
    sender: str
    request_id: str
    key: str
    body: str
    fields: dict[str, str]
    began: float
    out_until: float = float("inf")
    effect: bool = False


class Backend:
    """A backend with one port for each ingress, so that it knows the sender.

    It runs each request for `work` seconds. Work that has begun goes on after the connection ended.
    `cut` names the senders that a partition separates from it: it then reads and sends nothing, and
    resets the connections that would have carried something when the partition ends.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        memory: KeyMemory,
        record: Record,
        arrivals: list[Arrival],
        work: Callable[[Arrival], float],
        kind: str = "small-2c",
    ) -> None:
        self.name, self.zone, self.cell, self.kind = name, zone, cell, kind
        self.memory, self.record, self.arrivals, self.work = memory, record, arrivals, work
        self.ports: dict[str, int] = {}
        self.servers: list[asyncio.Server] = []
        self.hangs = False  # takes requests and answers none
        self.cut: dict[str, asyncio.Event] = {}  # set when the partition has ended

    async def open(self, senders: list[str]) -> None:
        """Listens on one port for each sender."""
        for sender in senders:

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str = sender
            ) -> None:
                await self._serve(sender, reader, writer)

            server = await asyncio.start_server(serve, HOST, 0)
            self.servers.append(server)
            self.ports[sender] = server.sockets[0].getsockname()[1]

    def log(self, text: str) -> None:
        """Records what happens at this backend."""
        if not self.record.quiet:
            self.record.add(text)

    async def _while_cut(self, sender: str) -> None:
        ended = self.cut.get(sender)
        if ended is not None and not ended.is_set():
            await ended.wait()
            raise ConnectionResetError

    async def _serve(
        self, sender: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                arrival = await self.read_request(sender, reader)
                if arrival is None:
                    return
                await self._while_cut(sender)
                await self._handle(sender, arrival, reader, writer)
        except ConnectionResetError:
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(
        self,
        sender: str,
        arrival: Arrival,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.arrivals.append(arrival)
        if arrival.key:
            arrival.effect = self.memory.first_run(arrival.key)
        self.log(
            f"{self.name} ({self.zone}) begins {arrival.request_id} from {sender}: "
            f"key {arrival.key or '-'}, fields {arrival.fields}, "
            f"{'takes effect' if arrival.effect else 'no effect (a repeat or a read)'}"
        )
        work = asyncio.create_task(asyncio.sleep(math.inf if self.hangs else self.work(arrival)))
        # The requests of one connection come one at a time, so a read shows only its end.
        end = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
        if end.done():
            arrival.out_until = self.record.now()
            self.log(f"{self.name}: the connection of {arrival.request_id} ended")
            await work
            raise ConnectionResetError
        end.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await end
        await self._while_cut(sender)
        arrival.out_until = self.record.now()
        self.log(f"{self.name} answers {arrival.request_id}")
        writer.write(self.encode_answer(arrival))
        await writer.drain()

    async def read_request(self, sender: str, reader: asyncio.StreamReader) -> Arrival | None:
        """Returns the next request of a RESP2 connection, or None at its end."""
        words = await read_command(reader)
        if words is None:
            return None
        fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        body = words[4].decode() if len(words) > 4 else ""
        return Arrival(
            self.name,
            self.zone,
            sender,
            words[2].decode(),
            fields.get("k", ""),
            body,
            fields | {"customer": words[1].decode()},
            self.record.now(),
        )

    def encode_answer(self, arrival: Arrival) -> bytes:
        """Returns the encoded answer with the value made for a request."""
        value = f"value of {arrival.request_id}".encode()
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Returns the next RESP2 array of bulk strings, or None at the end of the connection."""
    header = await reader.readline()
    if not header.endswith(b"\r\n"):
        return None
    words = []
    for _ in range(int(header[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


# The platform


class Discovery:
    """The agent of one ingress: answers at once, or holds a watch until something is newer."""

    def __init__(self, ingress: str, backends: list[Backend]) -> None:
        self.ingress, self.backends, self.version = ingress, backends, 1
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    @property
    def address(self) -> str:
        """The address of the agent."""
        assert self.server is not None
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def listing(self) -> dict[str, Any]:
        """Returns the whole list."""
        servers = [
            {
                "id": backend.name,
                "addr": f"{HOST}:{backend.ports[self.ingress]}",
                "zone": backend.zone,
                "kind": backend.kind,
                "cell": backend.cell,
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for backend in self.backends
        ]
        return {"version": self.version, "full": True, "servers": servers}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ", 2)[1]
                _, _, query = target.partition("?")
                names = dict(pair.split("=") for pair in query.split("&") if pair)
                answer: dict[str, Any] = self.listing()
                if names.get("after") == str(self.version):
                    await asyncio.sleep(int(names.get("wait_ms", "0")) / 1000)
                    answer = {"version": self.version, "full": False, "servers": []}
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Counter:
    """The shared counter."""

    def __init__(self) -> None:
        self.totals: dict[str, tuple[float, float]] = {}
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    @property
    def address(self) -> str:
        """The address of the counter."""
        assert self.server is not None
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words == ["ping"]:
                    writer.write(b"pong\r\n")
                elif len(words) == 4 and words[0] == "add":
                    now = time.monotonic()
                    total, until = self.totals.get(words[1], (0.0, 0.0))
                    if until <= now:
                        total, until = 0.0, now + min(60.0, int(words[3]) / 1000)
                    total += float(words[2])
                    self.totals[words[1]] = total, until
                    writer.write(b"ok %.7g\r\n" % total)
                else:
                    writer.write(b"error\r\n")
        except OSError:
            pass
        finally:
            writer.close()


class Link:
    """A TCP proxy between two ingresses; while it is not connected, it reads and sends nothing."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.connected = asyncio.Event()
        self.connected.set()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    @property
    def address(self) -> str:
        """The address of the proxy."""
        assert self.server is not None
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._forward(reader, writer)
        finally:
            writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.connected.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.wait(
                {
                    asyncio.create_task(self._copy(reader, far_writer)),
                    asyncio.create_task(self._copy(far_reader, writer)),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            far_writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self.connected.wait()
                writer.write(data)
                await writer.drain()
            await self.connected.wait()
        except OSError:
            pass


# Ingresses


def run_command() -> str:
    """Returns the `run` command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Ingress:
    """One ingress process, which can be killed, ended and started again."""

    def __init__(self, name: str, folder: Path, record: Record, config: dict[str, Any]) -> None:
        self.name, self.folder, self.record, self.config = name, folder, record, config
        self.port = free_port()
        self.operator = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.log = (folder / f"{name}.log").open("wb")

    def start(self) -> None:
        """Starts the process with the `run` command, from the root."""
        listen = f"{HOST}:{self.port}"
        config = self.config | {
            "name": self.name,
            "listen": listen,
            "seed": secrets.token_hex(8),
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        command = run_command()
        if self.operator:
            operator_path = self.folder / f"{self.name}.toml"
            operator_path.write_text(self.operator, encoding="utf-8")
            command += f" --operator '{operator_path}'"
        environment = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": listen,
            "EDGE_DISCOVERY": str(config["discovery"]),
            "EDGE_CONFIG": str(path),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.add(f"{self.name} is started: {command.split(' --operator')[0]}")

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        """Waits until the ingress answers PING."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            answer = await reader.readline()
            writer.close()
            if answer == b"+PONG\r\n":
                return
        raise CannotRunError(f"{self.name} did not become ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def start_again(self) -> None:
        """Starts a process that was killed again, under its name and address."""
        assert self.process is not None
        self.process.wait()
        self.start()

    def end(self) -> None:
        """Kills the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.log.close()


# Clients


async def send_command(
    port: int, words: list[str], record: Record, who: str, patience: float
) -> str:
    """Sends a RESP2 command on a new connection; returns the answer, or "" if there was none.

    The client closes its connection once it has the answer, or after `patience` seconds.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    parts = [word.encode() for word in words]
    data = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)
    writer.write(data)
    record.add(f"client sends to {who}: {' '.join(words)}")
    answer = ""
    try:
        async with asyncio.timeout(patience):
            line = (await reader.readline()).decode().strip()
            if line.startswith("$") and line != "$-1":
                line = (await reader.readexactly(int(line[1:]) + 2))[:-2].decode()
            answer = line
            record.add(f"client gets for {words[2]}: {answer or 'the end of the connection'}")
    except TimeoutError:
        record.add(f"client closes the connection of {words[2]} without an answer")
    except (OSError, asyncio.IncompleteReadError):
        record.add(f"client sees the connection of {words[2]} break")
    writer.close()
    return answer


# Running a case


def handover_operator(
    names: list[str], addresses: dict[str, str], own: str, own_address: str, rows: str
) -> str:
    """Returns the [handover] section of one ingress; `own_address` is where it listens."""
    peers = ", ".join(
        f'"{name}" = "{own_address if name == own else addresses[name]}"' for name in names
    )
    return f'[handover]\naddress = "{own_address}"\npeers = {{ {peers} }}\nkeys = "keys"\n{rows}'


def write_keys(folder: Path) -> None:
    """Writes the key file that the handover sections name."""
    path = folder / "keys"
    path.touch(mode=0o600)
    path.write_text(f"1 {secrets.token_hex(32)}\n", encoding="ascii")


async def wait_for_arrivals(arrivals: list[Arrival], count: int) -> None:
    """Waits until so many requests have come to backends, and a little for the next messages.

    Raises:
        CannotRunError: Less than half of them came within 2 s.
    """
    for _ in range(200):
        if len(arrivals) >= count:
            break
        await asyncio.sleep(0.01)
    if len(arrivals) < count / 2:
        raise CannotRunError(f"only {len(arrivals)} of {count} requests reached a backend")
    await asyncio.sleep(0.05)


def submission(
    number: int, request_class: str, plan: str, deadline_ms: int, spread: int = 3
) -> list[str]:
    """Returns the words of a keyed API.WRITE; the numbers give different customers and keys."""
    fields = (
        f"c={request_class},t={plan},d={deadline_ms},k={0x5C0F0000 + number:016x}"
        f",units=1,spread={spread},first=0"
    )
    words = ["API.WRITE", f"{0x1000 + number:016x}", f"{0xA000 + number:016x}", fields]
    return [*words, f"solution {number}"]


async def end_tasks() -> None:
    """Ends what the stand-ins still do, so that the event loop closes with nothing open."""
    await asyncio.sleep(0.1)
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0.05)


def run_case(
    folder: Path, case: Callable[[Record, Path, list[Ingress]], Awaitable[list[str]]]
) -> None:
    """Runs a case, writes its record and exits with its status.

    The case returns one line for each breach of the rule.
    """
    record = Record()
    ingresses: list[Ingress] = []
    status = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:

            async def limited() -> list[str]:
                try:
                    async with asyncio.timeout(110):
                        return await case(record, Path(temporary), ingresses)
                finally:
                    for ingress in ingresses:
                        ingress.end()
                    await end_tasks()

            breaches = asyncio.run(limited())
            for breach in breaches:
                record.add(f"BROKEN: {breach}")
            status = RULE_BROKEN if breaches else RULE_HELD
        except (CannotRunError, OSError, TimeoutError) as error:
            record.add(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            for ingress in ingresses:
                ingress.end()
                text = (Path(temporary) / f"{ingress.name}.log").read_text(errors="replace")
                record.lines += [f"log of {ingress.name}: {line}" for line in text.splitlines()]
    record.add(f"exit status {status}, TROUBLE={'1' if trouble() else '0'}")
    record.write(folder)
    sys.stdout.write(record.lines[-1].strip() + "\n")
    sys.exit(status)


def make_backends(
    kind: type[Backend],
    count: int,
    zones: list[str],
    memories: dict[str, KeyMemory],
    work: float,
    record: Record,
    arrivals: list[Arrival],
) -> list[Backend]:
    """Returns the backends of a deployment, spread over the zones; one cell for each zone.

    `memories` gives the memory of keys of each zone. Each request is `work` seconds of work.
    """
    backends = []
    for number in range(count):
        place = number % len(zones)
        zone = zones[place]
        name = f"server-{number}"
        backends.append(
            kind(name, zone, 1 + place, memories[zone], record, arrivals, lambda arrival: work)
        )
    return backends


class Fleet:
    """The ingresses, their agents, the counter and the backends of a case.

    `zones` gives the zone of each ingress. With `handover_rows`, the ingresses get an operator's
    file with a [handover] section and these further rows.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        settings: dict[str, Any],
        zones: list[str],
        backends: list[Backend],
        handover_rows: str = "",
    ) -> None:
        self.record, self.folder, self.settings = record, folder, settings
        self.zones, self.backends = zones, backends
        self.handover_rows = handover_rows
        self.names = [f"edge-{number + 1}" for number in range(len(zones))]
        self.counter = Counter()
        self.links: dict[tuple[str, str], Link] = {}
        self.ingresses: list[Ingress] = []

    async def open(self, ingresses: list[Ingress]) -> None:
        """Starts everything, and waits until all ingresses serve and hold complete records.

        Each started ingress is added to `ingresses`, so that it is ended with the case.
        """
        write_keys(self.folder)
        await self.counter.open()
        for backend in self.backends:
            await backend.open(self.names)
        own = {name: f"{HOST}:{free_port()}" for name in self.names}
        for one in self.names:
            for other in self.names:
                if one != other:
                    host, _, port = own[other].rpartition(":")
                    self.links[one, other] = Link((host, int(port)))
                    await self.links[one, other].open()
        for number, name in enumerate(self.names):
            agent = Discovery(name, self.backends)
            await agent.open()
            config = {
                "discovery": agent.address,
                "counter": self.counter.address,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": agent.listing(),
                "settings": self.settings
                | {
                    "balancers": len(self.zones),
                    "self-index": number,
                    "zone": self.zones[number],
                },
            }
            ingress = Ingress(name, self.folder, self.record, config)
            peers = {
                other: self.links[name, other].address for other in self.names if other != name
            }
            if self.handover_rows:
                ingress.operator = handover_operator(
                    self.names, peers, name, own[name], self.handover_rows
                )
            ingress.start()
            ingresses.append(ingress)
            self.ingresses.append(ingress)
        for ingress in self.ingresses:
            await ingress.wait_until_ready()
        # The ingresses connect to each other and learn that no records are missing; the quotas of
        # the clients refill.
        await asyncio.sleep(4.0)
