"""A process that is held up between reading its clock and writing."""

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


class HeldUp:
    """Holds a process up as it encodes a request: the clock was read, and nothing is written."""

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
def test_a_retry_is_written_within_the_window_though_the_process_is_held_up(
    before_the_end_s: float, writes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an effect twice: a retry whose key is forgotten as its bytes leave."""

    async def body() -> None:
        clock = StallingClock()
        held_up = HeldUp(clock, monkeypatch)

        def plan(event: Event) -> list[Action]:
            if isinstance(event, AttemptEnded) and event.attempt == 0:
                end = held_up.written_at[0] + WINDOW_S
                clock.stalled_for += end - before_the_end_s - clock()
                return [StartAttempt(event.request_id, "s2")]
            return start_attempt(event)

        async with (
            backend(b"-ERR failed\r\n") as first,
            backend(value(b"again")) as second,
            serving(
                config(entry(first.address), entry(second.address, "s2"), settings=KEYED), clock
            ) as (served, address),
        ):
            stub = ScriptedPolicy(partial(start_attempt, backend="s2"))
            served.exchange.policy = stub
            caller = await Caller.to(address)
            # The second backend's connection is up already.
            await caller.ask(command("warm"))
            stub.plan = plan
            held_up.written_at.clear()
            caller.writer.write(command("a", "order"))
            await until(lambda: len(stub.events_of(AttemptEnded)) == 3)
            assert len(held_up.written_at) == writes
            assert held_up.written_at[-1] <= held_up.written_at[0] + WINDOW_S
            expected = Outcome.OK if writes == 2 else Outcome.CONNECT_FAILED
            assert stub.events_of(AttemptEnded)[-1].outcome is expected

    run(body())


def test_a_draining_backend_gets_nothing_after_its_grace_though_the_process_is_held_up() -> None:
    """Guards against a request after the grace: the drain was read late, and the write is late."""

    async def body() -> None:
        async with backend(value(b"hello")) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            await pool.outcome()
            pool.update((Backend("s0", readiness=Readiness.DRAINING), peer.address), full=False)
            # The agent may have had the drain for half of the grace, which is a second.
            pool.clock_offset = 1.0 - 0.5 - MAX_PROCESS_PAUSE_S + 0.01
            pool.start()
            assert (await pool.outcome(2))[0] is Outcome.CONNECT_FAILED

    run(body())
