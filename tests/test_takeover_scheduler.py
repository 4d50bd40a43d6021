"""Takeover selection and rate, eviction by a full replica, and the transition table."""

from __future__ import annotations

import pytest

from ingress.handover.coordinator import Coordinator
from ingress.handover.decision import CoordinatorSettings
from ingress.handover.messages import ReplicaReply, ReplicaRequest, ReplyCode, record_name
from ingress.handover.replica import RECORD_TTL_S, Grant, Record, Replica, replicas_for
from ingress.handover.takeover import TakeoverScheduler
from ingress.handover.transition_table import TRANSITIONS, HolderStatus, Phase, RequestKind

INSTANCES = ("a", "b", "c", "d", "e")
LOST = "e"
COPIES = 2
START = 100.0


def name_of(number: int) -> bytes:
    return record_name("c", "x", str(number))


def coordinator_with_orphans(
    count: int, phase: Phase = Phase.SENT, age: float = 0.5
) -> Coordinator:
    """Returns a coordinator with `count` records of the lost instance; the others are alive."""
    coordinator = Coordinator("a", 1, INSTANCES, CoordinatorSettings(), START)
    for other, peer in coordinator.peers.items():
        peer.connected = other != LOST
        peer.last_message_at = START
    replica = coordinator.replica
    number = 0
    while len(replica.records) < count:
        number += 1
        name = name_of(number)
        if "a" in replicas_for(name, INSTANCES, COPIES):
            holder = Grant(LOST, 1, number)
            call = b"%d" % number
            replica.put(name, Record(phase, holder, b"d", START - age, START, call=call))
    return coordinator


def test_takes_over_many_submissions_at_the_rate_and_each_by_its_first_live_replica() -> None:
    coordinator = coordinator_with_orphans(10_000, age=0.0)
    scheduler = TakeoverScheduler(coordinator, 50.0)
    taken_over: list[tuple[float, bytes]] = []
    for step in range(300):
        now = START + step / 100
        for peer in coordinator.peers.values():
            peer.last_message_at = now
        taken_over += [(now, call) for call in scheduler.due(now)]
    per_second = [
        sum(START + second <= at < START + 1 + second for at, _ in taken_over)
        for second in range(3)
    ]
    assert all(30 <= count <= 60 for count in per_second), per_second
    assert len({call for _, call in taken_over}) == len(taken_over)  # each only once
    for _, call in taken_over[:50]:
        ranked = replicas_for(name_of(int(call)), INSTANCES, COPIES)
        assert next(replica for replica in ranked if replica != LOST) == "a"


@pytest.mark.parametrize(
    ("phase", "age"), [(Phase.HELD, 0.5), (Phase.SENT, 3.5), (Phase.DONE, 0.5)]
)
def test_does_not_take_over_held_old_or_completed_submissions(phase: Phase, age: float) -> None:
    scheduler = TakeoverScheduler(coordinator_with_orphans(50, phase, age), 1000.0)
    assert scheduler.due(START) == []


def test_full_replica_evicts_responses_but_no_record_in_flight() -> None:
    def handle(now: float, kind: RequestKind, name: bytes, number: int) -> ReplicaReply | None:
        request = ReplicaRequest(kind, name, 1, number, b"d")
        return replica.handle(now, "b", request, lambda grant: HolderStatus.ALIVE)

    replica = Replica(max_bytes=2000)
    for number in range(8):
        phase = Phase.DONE if number < 4 else Phase.SENT
        replica.put(name_of(number), Record(phase, Grant("e", 1, number), b"d", 1.0, 1.0))
    replica.max_bytes = replica.used_bytes - 1
    reply_codes = []
    for number in range(100, 108):
        reply = handle(2.0, RequestKind.OPEN, name_of(number), number)
        assert reply is not None
        reply_codes.append(reply.code)
    assert reply_codes.count(ReplyCode.FULL) >= 1
    assert replica.counts["dropped"] == 4
    assert sum(record.phase is Phase.SENT for record in replica.records.values()) == 4
    handle(1.5 + RECORD_TTL_S, RequestKind.SENT, b"n" * 16, 1)
    assert not any(
        record.phase is Phase.SENT and record.changed_at == 1.0
        for record in replica.records.values()
    )


def test_transition_table_covers_all_phases_requests_and_holders() -> None:
    assert set(TRANSITIONS) == {
        (phase, kind, status) for phase in Phase for kind in RequestKind for status in HolderStatus
    }
