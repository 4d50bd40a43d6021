"""Tests of the timer wheel against an event loop with sorted timers."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.core.timer_wheel import RESOLUTION_S, ScheduledTimer, TimerWheel


class Loop:
    """An event loop in virtual time, which advances only in `run_until`.

    It calls each timer `lateness` seconds after its due time.
    """

    def __init__(self, lateness: float = 0.0) -> None:
        self.now = 50.0
        self.lateness = lateness
        self.timer_count = 0
        self.wakeups = 0
        self.timers: list[tuple[float, int, list[Any]]] = []

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> LoopTimer:
        self.timer_count += 1
        call: list[Any] = [callback, args]
        heappush(self.timers, (self.now + delay + self.lateness, self.timer_count, call))
        return LoopTimer(call)

    def run_until(self, end: float) -> None:
        while self.timers and self.timers[0][0] <= end:
            due_at, _, call = heappop(self.timers)
            self.now = max(self.now, due_at)
            if call:
                self.wakeups += 1
                assert self.wakeups < 5000, "the wheel wakes up again and again at the same time"
                call[0](*call[1])
        self.now = end


class LoopTimer:
    def __init__(self, call: list[Any]) -> None:
        self.call = call

    def cancel(self) -> None:
        self.call.clear()


class Recorder:
    """Sets timers on a wheel and records when each is due and when it fires."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.wheel = TimerWheel(loop, lambda: loop.now)
        self.due_at: list[float] = []
        self.handles: list[ScheduledTimer] = []
        self.fired_at: dict[int, float] = {}
        self.cancelled: set[int] = set()

    def set(self, delay: float, next_delay: float | None = None) -> None:
        """Sets a timer; if `next_delay` is given, the timer sets another one when it fires."""
        number = len(self.handles)
        self.due_at.append(self.loop.now + delay)
        self.handles.append(self.wheel.call_later(delay, self._fire, number, next_delay))

    def _fire(self, number: int, next_delay: float | None) -> None:
        assert number not in self.fired_at
        assert number not in self.cancelled
        self.fired_at[number] = self.loop.now
        if next_delay is not None:
            self.set(next_delay)

    def cancel(self, number: int) -> None:
        self.handles[number].cancel()
        if number not in self.fired_at:
            self.cancelled.add(number)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("set"), st.floats(0.0, 0.05)),
            # The first timer sets the second, as an attempt's end sets the next attempt's timer.
            st.tuples(st.just("chain"), st.tuples(st.floats(0.0, 0.05), st.floats(0.0, 0.05))),
            st.tuples(st.just("cancel"), st.integers(0, 9)),
            st.tuples(st.just("wait"), st.floats(0.0, 0.03)),
        ),
        max_size=60,
    ),
    st.sampled_from([0.0, 0.004]),
)
def test_each_timer_fires_once_and_on_time(steps: list[tuple[str, Any]], lateness: float) -> None:
    loop = Loop(lateness)
    recorder = Recorder(loop)
    for kind, value in steps:
        match kind:
            case "set":
                recorder.set(value)
            case "chain":
                recorder.set(*value)
            case "cancel" if recorder.handles:
                recorder.cancel(value % len(recorder.handles))
            case _:
                loop.run_until(loop.now + float(value))
    loop.run_until(loop.now + 1.0)
    assert recorder.fired_at.keys() | recorder.cancelled == set(range(len(recorder.handles)))
    for number, fired_at in recorder.fired_at.items():
        due_at = recorder.due_at[number]
        assert due_at - 2e-6 <= fired_at <= due_at + 2 * RESOLUTION_S + 2 * lateness + 1e-6
    assert not recorder.wheel.slots
    assert not recorder.wheel.slot_heap


def test_cancelled_timers_hold_no_references_and_cause_no_wakeups() -> None:
    class Request:
        def finish(self) -> None: ...

    loop = Loop()
    wheel = TimerWheel(loop, lambda: loop.now)
    request = Request()
    request_ref = weakref.ref(request)
    handles = [wheel.call_later(4.0 + n / 1000, request.finish) for n in range(1000)]
    del request
    for handle in handles:
        handle.cancel()
    gc.collect()
    assert request_ref() is None
    assert not wheel.slots
    loop.run_until(loop.now + 10.0)
    assert loop.wakeups == 1  # the loop's only timer, set for the first of them


def test_a_failing_callback_does_not_stop_the_other_timers_of_its_slot() -> None:
    loop = Loop()
    fired: list[int] = []
    wheel = TimerWheel(loop, lambda: loop.now)

    def fail() -> None:
        raise RuntimeError("failing callback")

    earliest = wheel.call_later(0.01, fired.append, 3)
    wheel.call_later(0.01, fail)
    wheel.call_later(0.01, earliest.cancel)
    wheel.call_later(0.01, fired.append, 2)
    wheel.call_later(0.0, lambda: wheel.call_later(0.0, fired.append, 1))
    loop.run_until(loop.now + 1.0)
    assert fired == [1, 3, 2]


def test_clock_rounding_causes_no_empty_wakeups() -> None:
    """Guards against a wake-up just before a slot is due, from rounding its time to a number."""
    for start in range(200):
        loop = Loop()
        loop.now = start / 7
        wheel = TimerWheel(loop, lambda loop=loop: loop.now)  # type: ignore[misc]
        fired: list[int] = []
        for n in range(20):
            wheel.call_later(n / 3000, fired.append, n)
        loop.run_until(loop.now + 1.0)
        assert sorted(fired) == list(range(20))
        assert loop.wakeups <= 20
