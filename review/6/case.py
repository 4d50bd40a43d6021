"""Clients pipeline requests while backends hang; some are dropped with their connection."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from sites import PADANA, PADANA_ZONES  # noqa: E402
from stand_ins import (  # noqa: E402
    HOST,
    Arrival,
    Backend,
    CannotRunError,
    Fleet,
    Ingress,
    KeyMemory,
    Record,
    make_backends,
    run_case,
    trouble,
)

BACKENDS = 17  # the site: 11 to 17 on the busiest days
HUNG = 8  # the pages: a quarter to a half of the backends hang
WORK_S = 0.2  # the site: 120 to 220 ms in the mean
CLIENTS = 36  # of each ingress
REQUESTS = 100  # of a client, on one connection
BODY = "s" * 16_000  # the protocol: 64 KiB at most
TRIALS = 12  # each with new processes
LIMIT_S = 100.0
ZONES = [PADANA_ZONES[0], PADANA_ZONES[1], PADANA_ZONES[0]]
# "Their settings may give a class another effect than the site does": submissions are unsafe.
CLASSES = [PADANA["categories"][0], PADANA["categories"][1] | {"semantics": "unsafe"}]
SETTLE_S = 2.0
# Each ingress gets 0.4 of a core, as the site's `cpu_ms_per_s = 400`, enforced as a quota does.
RUN_S = 0.06
HELD_UP_S = 0.09  # the pages: up to 0.15 s
HEAD_START_S = 0.3
DEADLINE_MS = 4000


class Client:
    """A client that sends its requests at once, and counts those that are written in whole."""

    def __init__(self, record: Record, ingress: Ingress, first_number: int) -> None:
        self.record = record
        self.ingress = ingress
        self.first_number = first_number
        self.written = 0
        self.written_at = 0.0
        self.answers: list[str] = []
        self.ended_at = 0.0

    async def run(self) -> None:
        """Sends one request, then all others at once, and reads the answers."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, self.ingress.port))
        reading = asyncio.create_task(self._read(sock))
        sending = asyncio.create_task(self._send(sock))
        await reading
        sending.cancel()
        sock.close()

    async def _send(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for number in range(self.first_number, self.first_number + REQUESTS):
            words = [
                "API.WRITE",
                f"{0x1000 + number:016x}",
                f"{0xA000 + number:016x}",
                f"c=solution-submit,t=editorial,d={DEADLINE_MS},units=1,spread=3,first=0",
                BODY,
            ]
            parts = [word.encode() for word in words]
            data = b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
            await loop.sock_sendall(sock, b"*%d\r\n%b" % (len(parts), data))
            self.written += 1
            self.written_at = self.record.now()
            if self.written == 1:
                await asyncio.sleep(HEAD_START_S)

    async def _read(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        buffer = b""
        while len(self.answers) < REQUESTS:
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, 65536), 10.0)
            except (OSError, TimeoutError):
                data = b""
            if not data:
                break
            buffer = self._take_answers(buffer + data)
        self.ended_at = self.record.now()

    def _take_answers(self, buffer: bytes) -> bytes:
        """Takes the complete answers; returns the rest."""
        while (end := buffer.find(b"\r\n")) >= 0:
            line = buffer[:end].decode()
            end += 2
            if line.startswith("$"):
                end += int(line[1:]) + 2
                if len(buffer) < end:
                    break
                line = "a value"
            self.answers.append(line)
            buffer = buffer[end:]
        return buffer

    def lost(self) -> int:
        """Returns the number of requests that were written in whole and never answered."""
        return max(0, self.written - len(self.answers))

    def describe(self) -> str:
        """Returns what was sent and answered."""
        kinds = {kind: self.answers.count(kind) for kind in dict.fromkeys(self.answers)}
        return (
            f"{self.ingress.name}, {REQUESTS} requests from {self.first_number} on, on one "
            f"connection: {self.written} written by "
            f"{self.written_at:.3f}, {len(self.answers)} answered by {self.ended_at:.3f}: {kinds}"
        )


async def limit_cores(ingresses: list[Ingress]) -> None:
    """Stops and continues the processes, so that each runs for 0.4 of the time."""
    processes = [ingress.process for ingress in ingresses if ingress.process is not None]
    try:
        while True:
            await asyncio.sleep(RUN_S)
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HELD_UP_S)
            for process in processes:
                process.send_signal(signal.SIGCONT)
    finally:
        for process in processes:
            process.send_signal(signal.SIGCONT)


async def trial(record: Record, fleet: Fleet, number: int) -> list[Client]:
    """Plays the clients against new processes of all ingresses, while backends hang."""
    if number:
        for ingress in fleet.ingresses:
            ingress.send_signal(signal.SIGTERM)  # all requests of the trial before have ended
        await asyncio.sleep(1.0)
        for ingress in fleet.ingresses:
            ingress.start_again()
        for ingress in fleet.ingresses:
            await ingress.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    if trouble():
        record.add(f"{HUNG} of {BACKENDS} backends hang")
    for backend in fleet.backends[:HUNG]:
        backend.hangs = trouble()
    clients = [
        Client(record, ingress, ((number * 3 + place) * CLIENTS + client) * REQUESTS)
        for place, ingress in enumerate(fleet.ingresses)
        for client in range(CLIENTS)
    ]
    limiting = asyncio.create_task(limit_cores(fleet.ingresses))
    await asyncio.gather(*(client.run() for client in clients))
    limiting.cancel()
    await asyncio.gather(limiting, return_exceptions=True)
    for backend in fleet.backends:
        backend.hangs = False
    for client in clients:
        record.add(client.describe())
    return clients


async def case(record: Record, folder: Path, ingresses: list[Ingress]) -> list[str]:
    """Returns the connections that ended with requests unanswered, of the first trial with one."""
    arrivals: list[Arrival] = []
    memories = dict.fromkeys(PADANA_ZONES, KeyMemory(4.0))
    backends = make_backends(Backend, BACKENDS, PADANA_ZONES, memories, WORK_S, record, arrivals)
    fleet = Fleet(record, folder, PADANA | {"categories": CLASSES}, ZONES, backends)
    await fleet.open(ingresses)
    record.quiet = True
    for number in range(TRIALS):
        began = record.now()
        clients = await trial(record, fleet, number)
        if not any(client.answers for client in clients):
            raise CannotRunError("no request was answered")
        breaches = [
            f"{client.lost()} requests were written in whole and never answered: "
            f"{client.describe()}"
            for client in clients
            if client.lost()
        ]
        if breaches or record.now() + (record.now() - began) > LIMIT_S:
            return breaches
    return []


run_case(FOLDER, case)
