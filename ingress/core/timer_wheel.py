"""A timer wheel shared by all requests and attempts; one event loop timer for each costs far more.

Based on the hashed wheels of Varghese and Lauck (1987), with a heap of slots instead of a ring.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil
from typing import Any, Final

from ingress.core.ports import TimerHandle, Timers

log = logging.getLogger(__name__)

RESOLUTION_S: Final = 0.001
"""Timers are due at multiples of this."""
ROUNDING_TOLERANCE_S: Final = 1e-6
"""Seconds by which a timer may fire early, so that clock rounding causes no empty wake-up."""


class ScheduledTimer:
    """A timer, which stays in the slot of its due time until it fires or is cancelled."""

    __slots__ = ("args", "callback", "slot", "wheel")

    def __init__(
        self, wheel: TimerWheel, slot: int, callback: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        self.wheel = wheel
        self.slot = slot
        self.args = args
        self.callback: Callable[..., object] | None = callback

    def cancel(self) -> None:
        """Cancels the timer and drops its references to the callback and its arguments."""
        if self.callback is not None:
            self.callback = None
            self.args = ()
            self.wheel.remove(self)


class TimerWheel:
    """Timers that share one timer of the event loop, which is set for the earliest of them.

    Setting and cancelling a timer takes constant time, except for the first timer in a slot, which
    takes time logarithmic in the number of slots in use. A cancelled timer holds no references. A
    slot whose timers are all cancelled causes no wake-up, unless the loop's timer is set for it.

    Attributes:
        slots: The timers of each slot in the order in which they were set, by slot number.
        slot_heap: A heap of the numbers of all slots in use, and possibly of some emptied slots.
        loop_timer: The event loop's timer, if one is set.
        loop_timer_slot: The number of the slot for which `loop_timer` was set.
        firing: Whether timers are being fired.
    """

    def __init__(
        self, timers: Timers, clock: Callable[[], float], resolution: float = RESOLUTION_S
    ) -> None:
        self.timers = timers
        self.clock = clock
        self.resolution = resolution
        self.slots: dict[int, dict[ScheduledTimer, None]] = {}
        self.slot_heap: list[int] = []
        self.loop_timer: TimerHandle | None = None
        self.loop_timer_slot = 0
        self.firing = False

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> ScheduledTimer:
        """Calls `callback` with `args` after `delay` seconds, rounded up to the resolution."""
        number = ceil((self.clock() + max(0.0, delay)) / self.resolution)
        timer = ScheduledTimer(self, number, callback, args)
        slot = self.slots.get(number)
        if slot is None:
            slot = {}
            self.slots[number] = slot
            heappush(self.slot_heap, number)
            # While timers fire, earlier slots may still be on the heap. The loop's timer is then
            # set for the earliest slot when firing ends.
            if not self.firing and (self.loop_timer is None or number < self.loop_timer_slot):
                self._set_loop_timer(number)
        slot[timer] = None
        return timer

    def remove(self, timer: ScheduledTimer) -> None:
        """Removes a timer from its slot."""
        slot = self.slots.get(timer.slot)
        if slot is not None and timer in slot:
            del slot[timer]
            if not slot:
                del self.slots[timer.slot]

    def _set_loop_timer(self, number: int) -> None:
        if self.loop_timer is not None:
            self.loop_timer.cancel()
        self.loop_timer_slot = number
        delay = max(0.0, number * self.resolution - self.clock())
        self.loop_timer = self.timers.call_later(delay, self._fire)

    def _fire(self) -> None:
        self.loop_timer = None
        self.firing = True
        now = self.clock() + ROUNDING_TOLERANCE_S
        try:
            while self.slot_heap and self.slot_heap[0] * self.resolution <= now:
                slot = self.slots.pop(heappop(self.slot_heap), None)
                for timer in slot or ():
                    self._call(timer)
        finally:
            self.firing = False
            while self.slot_heap and self.slot_heap[0] not in self.slots:
                heappop(self.slot_heap)
            if self.slot_heap:
                self._set_loop_timer(self.slot_heap[0])

    def _call(self, timer: ScheduledTimer) -> None:
        callback = timer.callback
        args = timer.args
        if callback is None:
            return  # cancelled by an earlier callback of its slot
        timer.callback = None
        timer.args = ()
        try:
            callback(*args)
        except Exception:  # the other timers of the slot must still fire
            log.exception("timer callback failed")
