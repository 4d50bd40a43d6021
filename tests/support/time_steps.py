"""Advances the clock of an ingress without waiting, in steps in which its timeouts are enforced."""

from __future__ import annotations

from ingress.transport.client_listener import SWEEP_INTERVAL_S, ClientListener
from tests.support.races import StallingClock


def pass_time(clock: StallingClock, listener: ClientListener, seconds: float) -> None:
    """Advances the clock by `seconds`; the listener checks its timeouts at its usual interval."""
    while seconds > 0:
        step = min(seconds, SWEEP_INTERVAL_S)
        clock.stalled_for += step
        seconds -= step
        listener.sweep()
