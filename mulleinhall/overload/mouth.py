"""What joins membership, the book and the policy: reports go out with every message, a view comes in.

No I/O, no clock: whoever drives it, the ingress or the model in virtual time, brings messages and the time.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import Final

import mulleinhall.interface as api
from mulleinhall.members.machine import Address, Members, Out
from mulleinhall.members.messages import MOST_REPORTS, Message
from mulleinhall.overload.agreed import AGE, View, agree
from mulleinhall.overload.reports import Book
from mulleinhall.overload.window import Window

HOLDS: Final = 1.0  # s for which a view holds: a process that stood still does not go by an old one
OVER: Final = 2.0  # s over which tries are counted


@dataclass(slots=True)
class Said:
    """What the views of one ingress came to."""

    views: int = 0
    alone: int = 0  # times that too little was heard, and it went by its own
    cuts: int = 0  # views that shed
    asleep: int = 0  # times that it had just woken, and believed nothing
    last: View | None = None


class Mouth:
    """`window` is the policy's: it is read, and nothing of it is changed."""

    def __init__(self, members: Members, window: Window, now: float) -> None:
        self.members, self.window = members, window
        self.book = Book(members.name, members.incarnation)
        self.said = Said()
        self.at, self.counted, self.rates = now, (0, 0), (0.0, 0.0)

    def tick(self, now: float, tries: int, sent: int) -> tuple[list[Out], api.FleetView | None]:
        """To be called several times a second, with the tries that came and the attempts that went since the
        start: what to send, and what to tell the policy."""
        gap = now - self.at
        if gap > 0:
            new, keep = (tries, sent), exp(-gap / OVER)
            self.rates = tuple(  # type: ignore[assignment]
                rate * keep + (after - before) / gap * (1.0 - keep)
                for rate, after, before in zip(self.rates, new, self.counted, strict=True))
            self.at, self.counted = now, new
        self.book.say(now, *self.rates, self.window.full(now))
        self.members.reports = self.book.rows(now, MOST_REPORTS)
        out = self.members.tick(now)
        return out, self._view(now)

    def _view(self, now: float) -> api.FleetView | None:
        if not self.members.awake(now):
            self.said.asleep += 1
            return None  # what is held is from before this process stood still
        alive = 1 + len(self.members.alive())
        self.said.last = view = agree(self.book.fresh(now, AGE), alive)
        if view is None:
            self.said.alone += alive > 1
            return None
        self.said.views += 1
        self.said.cuts += view.cut > 0.0
        return api.FleetView(view.cut, now + HOLDS)

    def receive(self, now: float, source: Address, message: Message) -> list[Out]:
        out = self.members.receive(now, source, message)
        heard, self.members.heard = self.members.heard, []
        self.book.take(now, heard)
        return out
