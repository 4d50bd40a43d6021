"""API.READ and API.WRITE: words become calls, and calls become words."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import ceil

from mulleinhall.core.calls import Call
from mulleinhall.interface import RequestClass, Semantics, Settings

LARGEST = 64 * 1024  # bytes of a value
CUSTOMER = re.compile(rb"0{7}[01][0-9a-fA-F]{8}")  # 16 hex digits, a number below 2^33
WORD = re.compile(rb"[!-~]{1,128}")
WHOLE = re.compile(r"[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class BadCommand(Exception):
    """A command that can't be understood; the text says why."""


@dataclass(slots=True)
class Command(Call):
    """A well-formed request of a client, with its words as they came."""

    words: tuple[bytes, ...] = ()

    def size(self) -> int:
        return sum(map(len, self.words))


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode(call: Call, left: float) -> bytes:
    """The call as a command for a backend, told to wait `left` seconds.  What came as a command goes on as
    it came, but for the time; any other call is put into words from its fields."""
    wait = b"d=%d" % max(1, int(left * 1000))
    if isinstance(call, Command):
        verb, customer, request, names, *body = call.words
        text = b",".join([wait if part.startswith(b"d=") else part for part in names.split(b",")])
    else:
        verb, customer, request = b"API.WRITE" if call.write else b"API.READ", call.customer.encode(), call.id
        body = [] if call.body is None else [call.body]
        text = b"c=%b,t=%b,%b" % (call.request_class.encode(), call.plan.encode(), wait)
        if call.key:
            text += b",k=" + call.key.encode()
        text += b",units=%b,spread=%d,first=%d" % (f"{call.units:g}".encode(), call.spread, call.first)
    words = (verb, customer, request, text, *body)
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


class CommandReader:
    """Reads API.READ and API.WRITE as the settings name classes and plans.

    Guards the buckets against figures that no customer has: what a backend would turn away, or is out of
    the range that the settings give, never becomes a request.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes: dict[str, RequestClass] = {c.name: c for c in settings.classes}
        self.plans = {p.name for p in settings.plans}
        self.gateways, self.most_units = settings.gateways, settings.most_units

    def read(self, verb: bytes, words: list[bytes]) -> Command:
        write = verb == b"API.WRITE"
        if not (len(words) == 4 or (write and len(words) == 5)):
            raise BadCommand("wrong number of arguments")
        if not CUSTOMER.fullmatch(words[1]):
            raise BadCommand("the customer is not a number of 16 hex digits")
        if not WORD.fullmatch(words[2]):
            raise BadCommand("no id")
        try:
            pairs = [pair.split("=", 1) for pair in words[3].decode("ascii").split(",")]
            names = dict(pairs)
        except ValueError:
            raise BadCommand("no list of names and values") from None
        if len(names) < len(pairs):
            raise BadCommand("a name stands twice")
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
        units = names.get("units", "1")
        if not DECIMAL.fullmatch(units) or not 0 < float(units) <= self.most_units:
            raise BadCommand("bad number: units")
        if names.get("r", "0") not in ("0", "1"):
            raise BadCommand("bad number: r")
        return Command(words[2], words[1].decode().lower(), names["c"], names["t"],
                       # A client that is late itself counts its wait from when it should have sent.
                       _whole(names, "d", 1, ceil(2 * cls.deadline * 1000)) / 1000, float(units),
                       _whole(names, "spread", 1, self.gateways),
                       _whole(names, "first", 0, self.gateways - 1), names.get("r") == "1", write,
                       names.get("k", ""), words[4] if len(words) == 5 else None, tuple(words))


def _whole(names: dict[str, str], key: str, least: int, most: int) -> int:
    text = names.get(key, str(least))
    if not WHOLE.fullmatch(text) or not least <= int(text) <= most:
        raise BadCommand(f"bad number: {key}")
    return int(text)
