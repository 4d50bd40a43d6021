"""Checks the handover state machine with the model checker.

The model checker finds no violation in the state machine. It finds each of eleven seeded faults and
prints a minimal trace for each.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import product
from typing import Any

import pytest

from ingress.handover import coordinator, replica
from ingress.handover.coordinator import Coordinator
from ingress.handover.decision import CoordinatorSettings
from ingress.handover.decision import decide as real_decide
from ingress.handover.messages import Message, ReplicaReply, ReplicaRequest, ReplyCode
from ingress.handover.replica import HolderLookup, Record, Replica
from ingress.handover.transition_table import (
    TRANSITIONS,
    HolderStatus,
    Phase,
    RequestKind,
    Transition,
)
from ingress.simulation.model_checker import (
    Budget,
    State,
    breadth_first_search,
    minimize_trace,
    random_run,
    replay,
)

Patch = pytest.MonkeyPatch
real_init = Coordinator.__init__
real_receive = Coordinator.receive
real_ended = Coordinator.ended
real_handle = Replica.handle
real_put = Replica.put


def majority_of_one(patch: Patch) -> None:
    patch.setattr(
        coordinator,
        "decide",
        lambda settings, operation, now: real_decide(replace(settings, copies=1), operation, now),
    )


def grants_what_a_suspect_holds(patch: Patch) -> None:
    held_by_suspect = (Phase.HELD, RequestKind.OPEN, HolderStatus.SUSPECT)
    patch.setitem(TRANSITIONS, held_by_suspect, Transition.GRANT)


def takes_a_grant_for_a_write(patch: Patch) -> None:
    """Replicas record a grant as sent, so that it can be taken over before its write."""

    def put(self: Replica, name: bytes, record: Record) -> None:
        if record.phase is Phase.HELD:
            record = replace(record, phase=Phase.SENT)
        real_put(self, name, record)

    patch.setattr(Replica, "put", put)


def release_forgets_the_previous_holder(patch: Patch) -> None:
    def put(self: Replica, name: bytes, record: Record) -> None:
        without_previous = replace(
            record, previous_phase=Phase.FREE, previous_holder=replica.NO_HOLDER
        )
        real_put(self, name, without_previous)

    patch.setattr(Replica, "put", put)


def skips_the_recovery(patch: Patch) -> None:
    def init(self: Coordinator, *args: Any, **kwargs: Any) -> None:
        real_init(self, *args, **kwargs)
        self.replica.recovering_until = 0.0

    patch.setattr(Coordinator, "__init__", init)


def trusts_the_disk(patch: Patch) -> None:
    """A store that lost its last records is treated as complete."""

    def init(self: Coordinator, *args: Any, **kwargs: Any) -> None:
        real_init(self, *args, **kwargs)
        if self.recovered_position:
            self.replica.recovering_until = 0.0

    patch.setattr(Coordinator, "__init__", init)


def ignores_the_deduplication_window(patch: Patch) -> None:
    patch.setattr(
        coordinator,
        "decide",
        lambda settings, operation, now: real_decide(
            replace(settings, deduplication_window=1e9), operation, now
        ),
    )


def releases_what_is_in_doubt(patch: Patch) -> None:
    def ended(self: Coordinator, number: int, kind: RequestKind, response: bytes = b"") -> None:
        if kind is RequestKind.UNCLEAR:
            kind = RequestKind.RELEASE
        real_ended(self, number, kind, response)

    patch.setattr(Coordinator, "ended", ended)


def confuses_grants_of_two_instances(patch: Patch) -> None:
    """Replicas treat grants with the same incarnation and operation number as one grant."""

    def handle(
        self: Replica,
        now: float,
        requester: str,
        request: ReplicaRequest,
        holder_status: HolderLookup,
    ) -> ReplicaReply | None:
        record = self.records.get(request.name)
        if record is not None and record.holder[1:] == (request.incarnation, request.operation):
            requester = record.holder.instance
        return real_handle(self, now, requester, request, holder_status)

    patch.setattr(Replica, "handle", handle)


def releases_a_late_grant(patch: Patch) -> None:
    """A grant that arrives after the operation's end is released, even if it ended with DONE."""

    def receive(self: Coordinator, now: float, source: str, message: Message) -> None:
        real_receive(self, now, source, message)
        if (
            isinstance(message, ReplicaReply)
            and message.code == ReplyCode.GRANTED
            and message.operation not in self.operations
        ):
            release = ReplicaRequest(
                RequestKind.RELEASE, message.name, self.incarnation, message.operation
            )
            self.outbox.append((source, release))

    patch.setattr(Coordinator, "receive", receive)


def counts_age_from_the_last_change(patch: Patch) -> None:
    def put(self: Replica, name: bytes, record: Record) -> None:
        real_put(self, name, replace(record, opened_at=record.changed_at))

    patch.setattr(Replica, "put", put)


FAULTS = [
    majority_of_one,
    grants_what_a_suspect_holds,
    takes_a_grant_for_a_write,
    release_forgets_the_previous_holder,
    skips_the_recovery,
    trusts_the_disk,
    ignores_the_deduplication_window,
    releases_what_is_in_doubt,
    confuses_grants_of_two_instances,
    releases_a_late_grant,
    counts_age_from_the_last_change,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_finds_each_seeded_fault(fault: Callable[[Patch], None], monkeypatch: Patch) -> None:
    fault(monkeypatch)
    # Runs without the final check come first: they are cheaper, and complete runs find the same.
    for close, seed in product((False, True), range(12_000)):
        result = random_run(seed, 40, close=close)
        if result.violation:
            break
    assert result.violation, "no violation found"
    trace = minimize_trace(result.trace, lambda: State(Budget()))
    assert replay(trace, lambda: State(Budget())), trace
    summary = f"seed {seed}, {len(trace)} steps of {len(result.trace)}: {result.violation}"
    lines = [f"{fault.__name__}: {summary}", *(f"  {action}" for action in trace)]
    sys.stdout.write("\n".join(lines) + "\n")


def test_random_runs_find_no_violation_in_the_state_machine() -> None:
    observed = Counter[str]()
    states = 0
    for seed in range(3000):
        result = random_run(seed, 40)
        assert not result.violation, (
            seed,
            result.violation,
            minimize_trace(result.trace, lambda: State(Budget())),
        )
        observed += result.observed
        states += result.states
    assert states > 80_000
    for name in (
        "GO",
        "UNPROTECTED",
        "DONE",
        "COME_BACK",
        "LOST",
        "repeat",
        "too late",
        "drop",
        "twice",
        "pause",
        "forget",
        "lie",
        "lose",
    ):
        assert observed[name] >= 5, (name, observed)


def test_breadth_first_search_finds_no_violation_in_the_state_machine() -> None:
    result = breadth_first_search(6, 12_000, lambda: State(Budget(requests=2, waits=1, pauses=0)))
    assert not result.violation, (result.states, result.trace)
    assert result.states >= 12_000, (result.states, result.trace)


def test_requests_in_doubt_are_not_retried_if_resend_is_off() -> None:
    def make_state() -> State:
        return State(Budget(), CoordinatorSettings(resend=False))

    observed = Counter[str]()
    for seed in range(800):
        result = random_run(seed, 40, make_state)
        assert not result.violation
        observed += result.observed
    assert observed["repeat"] == 0
    assert observed["LOST"] > 10
    assert observed["GO"] > 100
