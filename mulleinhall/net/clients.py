"""Clients: a RESP2 server.  Commands become requests; answers go back in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol, cast

import hiredis

from mulleinhall.interface import RequestClass, Semantics, Settings
from mulleinhall.net.clock import Clock

log = logging.getLogger(__name__)

MOST_PIPELINED = 64  # commands of a connection that wait for an answer; more are not read
LARGEST = 64 * 1024  # bytes of a value
LONGEST_COMMAND = 256 * 1024  # bytes that come without making a whole command
MOST_WORDS = 64  # of a command
MOST_CUSTOMERS = 2 ** 33
LONGEST_WAIT = 3600_000  # ms; a `d` above is a mistake
BACKLOG = 512
LAST_CHANCE = 0.2  # s for the first request on a connection that comes up while the listener closes
LOGGED = 50  # malformed commands that are logged one by one; of later ones, every thousandth
NOTHING = object()  # the reader has no whole command yet
OK, PONG = b"+OK\r\n", b"+PONG\r\n"


class BadCommand(Exception):
    """A command that can't be understood; the text says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """A well-formed request of a client."""

    words: list[bytes]
    customer: str
    request_class: str
    plan: str
    wait: float  # s
    units: float
    spread: int
    first: int
    repeat: bool
    write: bool

    def parts(self) -> tuple[bytes, bytes, bytes]:
        """The command as RESP in three pieces; the middle one is the bare list of names and values."""
        verb, customer, request, names, *body = self.words
        before = b"*%d\r\n%b%b%b" % (len(self.words), bulk(verb), bulk(customer), bulk(request))
        return before, names, b"\r\n" + b"".join(map(bulk, body))


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


class CommandReader:
    """Reads API.READ and API.WRITE as the settings name classes and plans."""

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}

    def read(self, verb: bytes, words: list[bytes]) -> Command:
        write = verb == b"API.WRITE"
        if not (len(words) == 4 or (write and len(words) == 5)):
            raise BadCommand("wrong number of arguments")
        if any(len(word) > LARGEST for word in words):
            raise BadCommand("value too large")
        customer = words[1]
        try:
            known = len(customer) == 16 and int(customer, 16) < MOST_CUSTOMERS and customer.isalnum()
        except ValueError:
            known = False
        if not known:
            raise BadCommand("the customer is not a number of 16 hex digits")
        if not words[2]:
            raise BadCommand("no id")
        try:
            text = words[3].decode("ascii")
            names = dict(pair.split("=", 1) for pair in text.split(","))
        except ValueError:
            raise BadCommand("no list of names and values") from None
        for key in ("c", "t", "d"):
            if key not in names:
                raise BadCommand(f"{key} is missing")
        cls = self.classes.get(names["c"])
        if cls is None:
            raise BadCommand("unknown class")
        if names["t"] not in self.plans:
            raise BadCommand("unknown plan")
        if write is (cls.semantics is Semantics.SAFE):
            raise BadCommand("the class belongs to the other command")
        if cls.semantics is Semantics.KEYED and not names.get("k"):
            raise BadCommand("k is missing")
        try:
            units = float(names.get("units", "1"))
        except ValueError:
            units = -1.0
        if not 0 < units < 1e9:
            raise BadCommand("bad number: units")
        return Command(words, customer.decode(), names["c"], names["t"],
                       _whole(names, "d", LONGEST_WAIT) / 1000, units,
                       max(1, _whole(names, "spread", 1 << 20, 1)), _whole(names, "first", 1 << 20, 0),
                       names.get("r") == "1", write)


def _whole(names: dict[str, str], key: str, most: int, default: int = 0) -> int:
    text = names.get(key, str(default))
    if not (text.isascii() and text.isdecimal() and len(text) < 12 and int(text) <= most):
        raise BadCommand(f"bad number: {key}")
    return int(text)


class Handler(Protocol):
    """Who takes the requests."""

    def request(self, slot: Slot, command: Command, arrived: float) -> None: ...

    def hung_up(self, slot: Slot) -> None: ...


class Slot:
    """The place of one answer in the order of its connection."""

    __slots__ = ("client", "data", "key")

    def __init__(self, client: Client) -> None:
        self.client, self.key = client, ""
        self.data: bytes | None = None

    def answer(self, data: bytes) -> None:
        """The one final answer; a second is dropped."""
        if self.data is None:
            self.data = data
            self.client.flush()


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: Clients) -> None:
        self.server = server
        self.reader = hiredis.Reader(notEnoughData=NOTHING)
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.unread, self.arrived, self.used = 0, 0.0, server.clock()
        self.full, self.choked, self.ending = False, False, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop has a class of its own
        if self.server.draining:
            # Guards against a connection accepted last that would stay: its request may be on the way.
            self.server.loop.call_later(LAST_CHANCE, self._end_if_idle)

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        self.arrived = self.used = self.server.clock()
        self.unread += len(data)
        if data[:1] == b"*" and not self.reader.has_data():
            # Guards the loop against a frame that claims a billion words: the parser makes room for them all.
            count = data[1:16].partition(b"\r")[0]
            if count.isdigit() and int(count) > MOST_WORDS:
                self._broken("too many words")
                return
        try:
            self.reader.feed(data)
        except (hiredis.HiredisError, MemoryError) as error:
            self._broken(str(error))
            return
        self._parse()

    def _parse(self) -> None:
        while self.transport is not None and not self.ending and not self.choked:
            if len(self.slots) >= MOST_PIPELINED:
                self.full = True
                break
            try:
                words = self.reader.gets()
            except (hiredis.HiredisError, MemoryError) as error:
                self._broken(f"broken frame: {error}")
                return
            if words is NOTHING:
                if self.unread > LONGEST_COMMAND:
                    self._broken("value too large")
                break
            self.unread = 0
            if not isinstance(words, list):
                self._broken("a command is an array of bulk strings")
                return
            self._command(words)
        self._pace()

    def _command(self, words: list[Any]) -> None:
        slot = Slot(self)
        self.slots.append(slot)
        try:
            if not words or not all(isinstance(w, bytes) for w in words):
                raise BadCommand("a command is an array of bulk strings")
            verb = words[0].upper()
            if verb in (b"API.READ", b"API.WRITE"):
                self.server.handler.request(slot, self.server.commands.read(verb, words), self.arrived)
            elif verb == b"PING" and len(words) <= 2:
                slot.answer(bulk(words[1]) if len(words) == 2 else PONG)
            elif verb in (b"CLIENT", b"SELECT"):
                slot.answer(OK)
            else:
                raise BadCommand("unknown command")
        except BadCommand as error:
            self.server.note(str(error))
            slot.answer(b"-ERR %b\r\n" % str(error).encode())
        except Exception:
            # Guards the process, and the others on this connection, against a fault in one request.
            log.exception("a request failed")
            slot.answer(b"-ERR internal error\r\n")

    def _broken(self, why: str) -> None:
        """Nothing that follows can be understood: the connection ends after the answers that are owed."""
        self.server.note(why)
        self.ending = True
        slot = Slot(self)
        self.slots.append(slot)
        slot.answer(b"-ERR %b\r\n" % why.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" "))

    def flush(self) -> None:
        ready = []
        while self.slots and self.slots[0].data is not None:
            ready.append(self.slots.popleft().data or b"")
        if self.transport is None or not ready:
            return
        self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        self.used = self.server.clock()
        if not self.slots and (self.ending or self.server.draining):
            self.end()
        elif self.full and len(self.slots) <= MOST_PIPELINED // 2:
            self.full = False
            self.server.loop.call_soon(self._parse)

    def _end_if_idle(self) -> None:
        if not self.slots:
            self.end()

    def end(self) -> None:
        """Closes once what was written has gone out."""
        if self.transport is not None:
            self.transport.close()

    def _pace(self) -> None:
        """Back-pressure: a client that does not read its answers, or sends far ahead, is not read."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.full or self.choked:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.choked = True
        self._pace()

    def resume_writing(self) -> None:
        self.choked = False
        self.server.loop.call_soon(self._parse)

    def eof_received(self) -> None:
        self.gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone()
        self.server.left(self)

    def gone(self) -> None:
        """The client went away: nobody waits for what is open."""
        self.transport, slots, self.slots = None, self.slots, deque()
        for slot in slots:
            if slot.data is None:
                slot.data = b""
                self.server.handler.hung_up(slot)


class Clients:
    """The listener and all connections of clients, no more than `most`."""

    def __init__(self, address: tuple[str, int], most: int, settings: Settings, handler: Handler,
                 clock: Clock) -> None:
        self.loop, self.clock, self.most, self.handler = asyncio.get_running_loop(), clock, most, handler
        self.commands = CommandReader(settings)
        self.connections: set[Client] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.draining, self.waiting, self.bad = False, False, 0
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setblocking(False)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)

    def open(self) -> None:
        self.listener.listen(BACKLOG)
        self.loop.add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("accept: %s", error)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(self)
            self.connections.add(client)
            task = self.loop.create_task(self._attach(client, sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            if len(self.connections) >= self.most and not self._spare():
                # Guards against running out of descriptors: new ones wait until one leaves.
                self.loop.remove_reader(self.listener)
                self.waiting = True
                return

    async def _attach(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.warning("accepted connection: %s", error)
            sock.close()
            self.left(client)

    def _spare(self) -> bool:
        """Makes room by closing the connection that has been idle longest."""
        idle = [c for c in self.connections if not c.slots and c.transport and not c.transport.is_closing()]
        oldest = min(idle, key=lambda c: c.used, default=None)
        if oldest is not None:
            oldest.end()
        return oldest is not None

    def _close_listener(self) -> None:
        if self.listener.fileno() >= 0:
            self.loop.remove_reader(self.listener)
            self.listener.close()

    def left(self, client: Client) -> None:
        self.connections.discard(client)
        if self.waiting and not self.draining:
            self.waiting = False
            self.loop.add_reader(self.listener, self._accept)

    def note(self, why: str) -> None:
        self.bad += 1
        if self.bad <= LOGGED or self.bad % 1000 == 0:
            log.warning("malformed command %d: %s", self.bad, why)

    def drain(self) -> None:
        """Accepts what has come, closes the listener, and each connection as it falls idle."""
        if not self.waiting:
            self._accept()
        self.draining = True
        self._close_listener()
        for client in list(self.connections):
            if not client.slots:
                client.end()

    def close(self) -> None:
        self._close_listener()
        for client in list(self.connections):
            client.end()
