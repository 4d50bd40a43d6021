"""Timeouts of other instances while this one is held up."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from ingress.components.handover_upstream import HandoverUpstream
from ingress.components.membership_transport import MembershipTransport
from ingress.core.clock import Clock, unix_clock
from ingress.handover.decision import Decision, Verdict
from ingress.handover.messages import ReplicaReply, ReplyCode, record_name
from ingress.platform.operator_config import Handover, Membership
from ingress.policy.gateway import Gateway
from tests.conftest import SETTINGS
from tests.peers import run, until
from tests.support.hold_ups import hold_up_between_reads
from tests.support.races import StallingClock
from tests.test_peer_connections import KEYS, free_address

HOLD_UP_S = 1.0  # longer than the silence after which an instance is suspect
MAX_SUSPICION_DELAY_S = 1.5
# A probe of a member fails after 0.5 s without an ack.
PROBE_HOLD_UP_S = 0.8
NAME = record_name("7", "order", "key")


class SuspicionRecorder:
    """Replaces the takeover scheduler; records at each tick whether the other one is suspect."""

    def __init__(self, handover: HandoverUpstream) -> None:
        self.coordinator = handover.coordinator
        self.suspicions: list[bool] = []

    def due(self, now: float) -> list[bytes]:
        self.suspicions.append(self.coordinator.is_suspect(now, "b"))
        return []

    async def ticks(self, count: int) -> None:
        """Waits for so many ticks."""
        ticks = len(self.suspicions) + count
        await until(lambda: len(self.suspicions) >= ticks)


@asynccontextmanager
async def connected_instances(
    clock: Clock,
) -> AsyncIterator[tuple[HandoverUpstream, HandoverUpstream]]:
    """Runs the handover of two instances; the clock is that of the first one."""
    peers = {"a": free_address(), "b": free_address()}
    instances = [
        HandoverUpstream(
            name,
            Handover(Path("test"), peers[name], peers, KEYS, active_key_id=1),
            clock if name == "a" else unix_clock(),
            lambda *_: None,
        )
        for name in "ab"
    ]
    for instance in instances:
        await instance.open()
    first, second = instances
    await until(lambda: first.coordinator.peers["b"].incarnation and second.connections.inbound)
    try:
        yield first, second
    finally:
        for instance in instances:
            if instance.timer is not None:
                instance.timer.cancel()
            instance.connections.close()


def test_no_instance_is_suspect_after_a_hold_up_of_this_one() -> None:
    """Guards against taking over a submission of an instance whose messages are only unread."""

    async def body() -> None:
        clock = StallingClock()
        async with connected_instances(clock) as (first, second):
            recorder = SuspicionRecorder(first)
            first.takeover_scheduler = recorder  # type: ignore[assignment]
            assert second.timer is not None
            second.timer.cancel()
            await recorder.ticks(2)  # the last heartbeat is read
            silent_since = clock()
            clock.stalled_for += HOLD_UP_S
            await recorder.ticks(2)
            assert not any(recorder.suspicions)
            # An instance that really falls silent becomes suspect in time.
            await until(lambda: recorder.suspicions[-1])
            assert clock() - HOLD_UP_S - silent_since < MAX_SUSPICION_DELAY_S

    run(body())


def test_replies_that_arrive_during_a_hold_up_are_read_before_a_submission_is_decided() -> None:
    """Guards against sending a submission that, by an unread reply, another instance holds."""

    async def body() -> None:
        clock = StallingClock()
        async with connected_instances(clock) as (first, _):
            assert first.timer is not None
            first.timer.cancel()  # the test calls `tick`
            coordinator = first.coordinator
            number = coordinator.open(clock(), NAME, b"digest")
            coordinator.outbox.clear()
            first.tick()
            clock.stalled_for += HOLD_UP_S
            decisions: list[Decision] = []
            first._on_decision = decisions.append  # type: ignore[assignment,method-assign]
            first.tick()
            reply = ReplicaReply(ReplyCode.BUSY, NAME, coordinator.incarnation, number)
            first._on_message("b", reply)
            first.tick()
            assert [decision.verdict for decision in decisions] == [Verdict.RETRY_LATER]

    run(body())


def test_a_submission_is_decided_although_the_process_is_always_held_up() -> None:
    """Guards against a wait that each hold-up extends."""

    async def body() -> None:
        clock = StallingClock()
        async with connected_instances(clock) as (first, _):
            assert first.timer is not None
            first.timer.cancel()  # the test calls `tick`
            first.coordinator.open(clock(), NAME, b"digest")
            decisions: list[Decision] = []
            first._on_decision = decisions.append  # type: ignore[assignment,method-assign]
            for _ in range(2):
                clock.stalled_for += HOLD_UP_S
                first.tick()
            assert [decision.verdict for decision in decisions] == [Verdict.UNPROTECTED]

    run(body())


def test_acks_that_arrive_during_a_hold_up_are_read_before_probes_fail() -> None:
    """Guards against suspecting live members after each hold-up of this instance."""

    async def body() -> None:
        addresses = [free_address(), free_address()]
        members = [
            MembershipTransport(
                name,
                Membership(address, address, tuple(addresses), KEYS, active_key_id=1),
                unix_clock(),
                seed,
                Gateway(SETTINGS, seed),
                lambda: (0, 0),
                lambda _: None,
            )
            for seed, (name, address) in enumerate(zip("ab", addresses, strict=True))
        ]
        first, second = members
        for member in members:
            await member.open()
        detector = first.bridge.swim.detector
        await until(lambda: detector.counts.probes)
        assert second.timer is not None
        second.timer.cancel()  # it only answers
        for _ in range(3):
            await until(lambda: any(not probe.is_indirect for probe in detector.probes.values()))
            for probe in detector.probes.values():
                probe.is_indirect = True  # the next check that is late fails the probe
            await hold_up_between_reads(PROBE_HOLD_UP_S, lambda: None)
            await asyncio.sleep(0)
            await until(lambda: not detector.probes)
        assert not detector.counts.missed_acks
        for member in members:
            member.close()

    run(body())
