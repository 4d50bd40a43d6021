"""A process that is delayed between reading the clock and writing a request."""

from __future__ import annotations

from functools import partial

import pytest

from ingress.core.calls import Call
from ingress.policy.actions import Action, StartAttempt
from ingress.policy.events import AttemptEnded, Backend, Event, Outcome, Readiness
from ingress.policy.settings import MAX_PROCESS_PAUSE_S
from ingress.resp.backend_protocol import RespBackendProtocol
from tests.peers import SETTINGS, Caller, backend, command, config, entry, run, until, value
from tests.support.applications import ScriptedPolicy, serving, start_attempt
from tests.support.pools import PoolHarness
from tests.support.races import StallingClock

WINDOW_S = 0.45
KEYED = SETTINGS | {
    "categories": [row | {"dedup-window-s": WINDOW_S} for row in SETTINGS["categories"]]
}


class EncodingDelay:
    """Delays the process while it encodes a request, after the clock is read and before the write.

    The first request after `written_at` is cleared is not delayed.

    Attributes:
        written_at: The time at which each request was encoded, after its delay.
    """

    def __init__(self, clock: StallingClock, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = clock
        self.written_at: list[float] = []
        real_encode = RespBackendProtocol.encode_request

        def encode_request(protocol: RespBackendProtocol, call: Call, time_left: float) -> bytes:
            data = real_encode(protocol, call, time_left)
            if self.written_at:
                clock.stalled_for += MAX_PROCESS_PAUSE_S
            self.written_at.append(clock())
            return data

        monkeypatch.setattr(RespBackendProtocol, "encode_request", encode_request)


@pytest.mark.interpreted
@pytest.mark.parametrize(("before_the_end_s", "writes"), [(0.01, 1), (0.1, 1), (0.14, 1), (0.3, 2)])
def test_no_retry_is_written_after_the_deduplication_window_by_a_delayed_process(
    before_the_end_s: float, writes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a repeated effect: a retry written after the backend dropped its key."""

    async def body() -> None:
        clock = StallingClock()
        delay = EncodingDelay(clock, monkeypatch)

        def plan(event: Event) -> list[Action]:
            if isinstance(event, AttemptEnded) and event.attempt == 0:
                end = delay.written_at[0] + WINDOW_S
                clock.stalled_for += end - before_the_end_s - clock()
                return [StartAttempt(event.request_id, "s2")]
            return start_attempt(event)

        async with (
            backend(b"-ERR failed\r\n") as first,
            backend(value(b"again")) as second,
            serving(
                config(entry(first.address), entry(second.address, "s2"), settings=KEYED), clock
            ) as (ingress, address),
        ):
            stub = ScriptedPolicy(partial(start_attempt, backend="s2"))
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            # Open the connection to the second backend in advance.
            await caller.request(command("warm"))
            stub.plan = plan
            delay.written_at.clear()
            caller.writer.write(command("a", "order"))
            await until(lambda: len(stub.events_of(AttemptEnded)) == 3)
            assert len(delay.written_at) == writes
            assert delay.written_at[-1] <= delay.written_at[0] + WINDOW_S
            expected = Outcome.OK if writes == 2 else Outcome.CONNECT_FAILED
            assert stub.events_of(AttemptEnded)[-1].outcome is expected

    run(body())


def test_no_request_is_written_after_the_drain_grace_period_by_a_delayed_process() -> None:
    """Guards against a late request: the drain is read late, and the write is delayed as well."""

    async def body() -> None:
        async with backend(value(b"hello")) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            await pool.outcome()
            pool.update((Backend("s0", readiness=Readiness.DRAINING), peer.address), full=False)
            # The agent may have received the drain half a grace period earlier; the grace period is
            # 1 s.
            pool.clock_offset = 1.0 - 0.5 - MAX_PROCESS_PAUSE_S + 0.01
            pool.start()
            assert (await pool.outcome(2))[0] is Outcome.CONNECT_FAILED

    run(body())
