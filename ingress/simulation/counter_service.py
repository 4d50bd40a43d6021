"""Models the counter: totals by key, and a limited rate of calls, each with a timeout."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ingress.policy.events import Outcome
from ingress.simulation.environment import Environment

CALL_TIMEOUT_S: Final = 0.08
NETWORK_DELAY_S: Final = 0.001  # one way
MAX_QUEUE_S: Final = 2.0  # calls are rejected while the queue holds more work than this
MAX_KEY_LIFETIME_S: Final = 60.0
MIN_CALLS_PER_S: Final = 300.0
CALLS_PER_S_PER_GATEWAY: Final = 6.0

ReplyCallback = Callable[[Outcome, float, float], None]
"""Takes the outcome of a call, the total and the latency in seconds."""


@dataclass(slots=True)
class CounterCall:
    """One call: adds `amount` to `key`, which expires after `lifetime` seconds if it is new."""

    key: int
    amount: float
    lifetime: float
    started_at: float
    on_reply: ReplyCallback
    replied: bool = False


class CounterService:
    """Adds amounts to totals.

    Attributes:
        totals: Total and expiry time of each key.
        calls: Number of calls received.
        answered: Number of calls answered before their timeout.
    """

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        size = environment.size
        default_rate = max(MIN_CALLS_PER_S, CALLS_PER_S_PER_GATEWAY * size.gateways)
        self.calls_per_s = size.counter_calls_per_s or default_rate
        self.totals: dict[int, tuple[float, float]] = {}
        self.idle_at = 0.0  # when the queue becomes empty
        self.calls = 0
        self.answered = 0

    def call(
        self, now: float, key: int, amount: float, lifetime: float, on_reply: ReplyCallback
    ) -> None:
        """Calls the counter; `on_reply` is called once, or twice if a total follows a timeout."""
        self.calls += 1
        call = CounterCall(key, amount, lifetime, now, on_reply)
        schedule = self.environment.schedule
        if self.environment.active_fault("counter_down") is not None:
            schedule(NETWORK_DELAY_S, self._reject, call, Outcome.CONNECT_FAILED, NETWORK_DELAY_S)
            return
        if self.idle_at > now + MAX_QUEUE_S:
            round_trip = 2 * NETWORK_DELAY_S
            schedule(round_trip, self._reject, call, Outcome.OVERLOADED, round_trip)
            return
        self.idle_at = max(now, self.idle_at) + 1.0 / self.calls_per_s
        schedule(self.idle_at - now + NETWORK_DELAY_S, self._add, call)
        schedule(CALL_TIMEOUT_S, self._time_out, call)

    def _reject(self, _now: float, call: CounterCall, outcome: Outcome, latency: float) -> None:
        call.on_reply(outcome, 0.0, latency)

    def _add(self, now: float, call: CounterCall) -> None:
        total, expires_at = self.totals.get(call.key, (0.0, 0.0))
        if expires_at <= now:
            total = 0.0
            expires_at = now + min(call.lifetime, MAX_KEY_LIFETIME_S)
        total += call.amount
        self.totals[call.key] = (total, expires_at)
        # The protocol carries seven significant digits.
        self.environment.schedule(NETWORK_DELAY_S, self._answer, call, float(f"{total:.7g}"))

    def _answer(self, now: float, call: CounterCall, total: float) -> None:
        self.answered += not call.replied
        call.replied = True
        call.on_reply(Outcome.OK, total, now - call.started_at)

    def _time_out(self, _now: float, call: CounterCall) -> None:
        if not call.replied:
            call.replied = True
            call.on_reply(Outcome.TIMEOUT, 0.0, CALL_TIMEOUT_S)
