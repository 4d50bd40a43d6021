"""Backend observations of other gateways: merge order, bounded trust and the number of probers."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ingress.fleet_shedding import health_gossip as module
from ingress.fleet_shedding.gossip_bridge import EJECTION_THRESHOLD
from ingress.fleet_shedding.health_gossip import (
    MAX_AGE_S,
    MAX_BACKENDS,
    MAX_OBSERVATIONS_SENT,
    MAX_OBSERVERS,
    PROBERS_PER_ZONE,
    HealthGossip,
    HealthObservation,
    choose_probers,
    decode_observation,
)
from ingress.policy.actions import StartAttempt
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    EndpointListKind,
    Outcome,
    PeerEjections,
    RequestReceived,
)
from ingress.policy.gateway import Gateway
from ingress.policy.outlier_detection import MAX_CONSECUTIVE_FAILURES
from ingress.policy.settings import Plan, RequestClass, Settings
from ingress.simulation.fleet_simulation import Simulation
from ingress.simulation.gossip_network import GossipConditions, gossiping_gateways
from ingress.simulation.size import SCENARIOS, Size

NAMES = [f"i{n}" for n in range(12)]
ZONES = {name: "a" if n < 6 else "b" for n, name in enumerate(NAMES)}


@dataclass
class Observed:
    consecutive_failures: int = 0
    unreachable: bool = False
    last_response_at: float = 0.0


def observation(
    observer: int, down: bool = True, age: float = 0.0, number: int = 1, backend: str = "s1"
) -> HealthObservation:
    return HealthObservation(NAMES[observer], 1, number, ZONES[NAMES[observer]], backend, down, age)


def gossip_of(me: int = 0) -> HealthGossip:
    return HealthGossip(NAMES[me], ZONES[NAMES[me]], 1)


def is_found_down(gossip: HealthGossip, now: float = 10.0, alive: list[str] | None = None) -> bool:
    """Returns whether `gossip` finds s1 down, so that it avoids s1 or is one of its probers."""
    others = [name for name in (NAMES if alive is None else alive) if name != gossip.origin]
    before = gossip.counts.prober_selections
    return (
        bool(gossip.update_ejected(now, others, ["s1"], ZONES))
        or gossip.counts.prober_selections > before
    )


def test_the_ejection_threshold_equals_that_of_the_policy() -> None:
    assert EJECTION_THRESHOLD == MAX_CONSECUTIVE_FAILURES


@given(
    st.lists(st.tuples(st.integers(1, 5), st.booleans(), st.integers(1, 4)), max_size=12),
    st.randoms(),
)
def test_observations_merge_to_the_same_state_in_any_order_and_if_duplicated(
    drawn: list[tuple[int, bool, int]], rng: random.Random
) -> None:
    # An observer never reuses a sequence number for a different observation.
    observations = list(
        {
            (observer, number): observation(observer, down, 1.0 / number, number)
            for observer, down, number in drawn
        }.values()
    )
    one, other = gossip_of(), gossip_of()
    for row in observations:
        one.merge(10.0, row)
    shuffled = [*observations, *observations]
    rng.shuffle(shuffled)
    for row in shuffled:
        other.merge(10.0, row)
    assert {n: h.report for n, h in one.observations.get("s1", {}).items()} == {
        n: h.report for n, h in other.observations.get("s1", {}).items()
    }
    assert is_found_down(one) is is_found_down(other)


def test_one_observer_alone_ejects_no_backend_however_often_it_reports() -> None:
    gossip = gossip_of()
    for number in range(1, 50):
        gossip.merge(10.0, observation(1, number=number))
    assert not is_found_down(gossip)
    gossip.merge(10.0, observation(2))
    assert is_found_down(gossip)


def test_only_a_response_after_all_failures_outweighs_them() -> None:
    gossip = gossip_of()
    for observer in (1, 2, 3):
        gossip.merge(10.0, observation(observer, age=2.0))
    gossip.merge(10.0, observation(4, down=False, age=3.0))
    assert is_found_down(gossip)
    gossip.merge(10.0, observation(5, down=False, age=1.0))
    assert not is_found_down(gossip)


def test_observations_of_the_own_zone_take_precedence_over_those_of_other_zones() -> None:
    """A network path may be broken for one zone only."""
    in_a = gossip_of(0)
    in_b = gossip_of(6)
    for gossip in (in_a, in_b):
        for observer in (1, 2, 3):
            gossip.merge(10.0, observation(observer))
        assert is_found_down(gossip)  # zone b has no observations of its own yet
        gossip.merge(10.0, observation(7, down=False))
    assert is_found_down(in_a)
    assert not is_found_down(in_b)


def test_observations_of_dead_members_and_expired_observations_are_ignored() -> None:
    gossip = gossip_of()
    for observer in (1, 2):
        gossip.merge(10.0, observation(observer))
    assert is_found_down(gossip)
    assert not is_found_down(gossip, alive=[n for n in NAMES if n != NAMES[1]])
    assert is_found_down(gossip, now=10.0 + MAX_AGE_S - 0.1)
    assert not is_found_down(gossip, now=10.0 + MAX_AGE_S + 0.1)
    gossip.merge(40.0, observation(3, age=MAX_AGE_S + 1))
    gossip.merge(40.0, observation(4, age=MAX_AGE_S + 1))
    assert not is_found_down(gossip, now=40.0)


@pytest.mark.parametrize("count", [3, 12, 40, 200, 1000])
def test_the_number_of_probers_is_fixed_and_few_probers_change_with_one_member(count: int) -> None:
    names = [f"i{n}" for n in range(count)]
    changed = 0
    for number in range(100):
        chosen = choose_probers(f"s{number}", names)
        assert len(chosen) == PROBERS_PER_ZONE
        assert choose_probers(f"s{number}", list(reversed(names))) == chosen
        changed += chosen != choose_probers(f"s{number}", names[1:])
    assert changed <= 100 * PROBERS_PER_ZONE / count * 3 + 5


def test_a_gateway_in_poor_health_reports_no_backend_down() -> None:
    def own_changes(health: int, down: int) -> int:
        gossip = gossip_of()
        backends = {f"s{n}": Observed(1, True) if n < down else Observed() for n in range(8)}
        gossip.observe_backends(10.0, backends, 3, health)
        return gossip.counts.own_changes

    assert own_changes(0, 2) == 2
    assert own_changes(0, 4) == 4
    assert own_changes(0, 5) == 0  # more than half: the gateway itself is likely the cause
    assert own_changes(3, 2) == 0


def test_a_response_is_reported_once_if_others_report_the_backend_down() -> None:
    gossip = gossip_of()
    backends = {"s1": Observed(last_response_at=9.0), "s2": Observed(last_response_at=9.0)}
    gossip.observe_backends(10.0, backends, 3, 0)
    assert gossip.counts.own_changes == 0  # no gateway reports it down
    gossip.merge(10.0, observation(1, age=2.0))
    gossip.observe_backends(10.0, backends, 3, 0)
    gossip.observe_backends(10.1, backends, 3, 0)
    assert gossip.counts.own_changes == 1
    assert not gossip.observations["s1"][NAMES[0]].report.is_down


def test_backends_observers_and_observations_sent_are_bounded() -> None:
    gossip = gossip_of()
    for number in range(MAX_BACKENDS + 10):
        gossip.merge(10.0, observation(1, backend=f"s{number}"))
    assert len(gossip.observations) == MAX_BACKENDS
    assert gossip.counts.rejected == 10
    for number in range(100):
        gossip.merge(
            10.0, HealthObservation(f"x{number}", 1, 1, "a", "s1", True, 1.0 - number / 1000)
        )
    assert len(gossip.observations["s1"]) == MAX_OBSERVERS
    assert len(gossip.encode_newest(10.0)) == MAX_OBSERVATIONS_SENT
    assert len(gossip.encode_newest(10.0 + 2 * MAX_AGE_S)) == 0
    assert not gossip.observations


@pytest.mark.parametrize(
    "change",
    [
        {"origin": ""},
        {"origin": "x" * 65},
        {"backend": ""},
        {"age_s": float("nan")},
        {"age_s": -1.0},
        {"sequence_number": -1},
        {"incarnation": 1 << 62},
        {"zone": "z" * 65},
    ],
)
def test_an_observation_with_a_field_out_of_range_is_not_decoded(change: dict[str, object]) -> None:
    row = observation(1)
    assert decode_observation(msgspec.msgpack.encode(row)) == row
    assert (
        decode_observation(msgspec.msgpack.encode(msgspec.structs.replace(row, **change))) is None
    )
    assert decode_observation(b"\xc1") is None
    assert decode_observation(msgspec.msgpack.encode(["i1", 1, 1, 1.0, 1.0, 0.1, 0.0])) is None


def test_the_policy_avoids_a_backend_ejected_by_peers_until_the_ejection_expires() -> None:
    classes = (RequestClass("grid-fetch", latency_objective=1.5, deadline=4.0),)
    gateway = Gateway(Settings(classes, (Plan("base", rate=0.0, burst=1000.0),)), seed=1)
    gateway.handle(
        0.0,
        BackendsChanged(EndpointListKind.RESTORED, tuple(Backend(f"s{n}") for n in range(4))),
    )

    def targets(now: float) -> set[str]:
        backends = set()
        for number in range(40):
            [send] = [
                a
                for a in gateway.handle(
                    now,
                    RequestReceived(f"{now} {number}", "grid-fetch", "base", "c", time_left=4.0),
                )
                if isinstance(a, StartAttempt)
            ]
            backends.add(send.backend)
            gateway.handle(
                now, AttemptEnded(send.request_id, 0, send.backend, Outcome.OK, 0.01, True)
            )
        return backends

    assert "s1" in targets(1.0)
    gateway.handle(2.0, PeerEjections(("s1", "gone"), 3.0))
    assert targets(2.1) == {"s0", "s2", "s3"}
    assert "s1" in targets(3.1)


@pytest.mark.parametrize("seed", [1, 2])
def test_few_gateways_probe_a_dead_backend_that_is_still_in_the_endpoint_list(seed: int) -> None:
    failed = {}
    for use_ejections in (True, False):
        size = Size(
            gateways=40,
            backends=12,
            mean_core_s=0.04,
            gateways_per_customer=12,
            load=0.6,
            duration=16.0,
        )
        simulation = Simulation(
            size,
            SCENARIOS["unsaid"],
            seed,
            gossiping_gateways(GossipConditions(use_ejections=use_ejections)),
        )
        metrics = simulation.run()
        failed[use_ejections] = metrics.outcomes["connect_failed"]
        assert metrics.figures()["share"] > 0.95
        if use_ejections:
            counts = [gateway.bridge.health_gossip.counts for gateway in simulation.gateways]  # type: ignore[attr-defined]
            assert sum(c.ejections > 0 for c in counts) > 25
            assert sum(c.prober_selections > 0 for c in counts) >= 4
    assert failed[False] > 100, failed
    assert failed[True] < 0.5 * failed[False], failed


def test_failing_attempts_are_frequent_if_all_gateways_are_probers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Injects the fault that the test above detects: every gateway is a prober."""
    monkeypatch.setattr(module, "PROBERS_PER_ZONE", 1000)
    size = Size(
        gateways=40,
        backends=12,
        mean_core_s=0.04,
        gateways_per_customer=12,
        load=0.6,
        duration=16.0,
    )
    assert (
        Simulation(size, SCENARIOS["unsaid"], 1, gossiping_gateways())
        .run()
        .outcomes["connect_failed"]
        > 100
    )
