"""Steps of the machine's wall clock: start times of backends mean the same span of real time."""

from __future__ import annotations

import time

import pytest

from ingress.application import Application
from ingress.platform.endpoint_discovery import EndpointList
from ingress.platform.start_times import MAX_OFFSETS, StartTimes
from ingress.policy.events import Backend, BackendsChanged, EndpointListKind, Readiness
from tests.peers import config, run
from tests.support.applications import ScriptedPolicy, serving

NOW = 1_700_000_000.0
ADDRESS = ("127.0.0.1", 6379)
STEPS_S = [3600.0, 5.0, -5.0, -3600.0]
AGE_S = 2.0  # of a backend when its start is reported
TOLERANCE_S = 0.2


class Clocks:
    """The program's clock, and the machine's wall clock, which a test steps.

    Attributes:
        now: The program's time.
        stepped_by: Seconds by which the wall clock has been stepped.
    """

    def __init__(self) -> None:
        self.now = NOW
        self.stepped_by = 0.0
        self.start_times = StartTimes(lambda: self.now, self.wall)

    def wall(self) -> float:
        return self.now + self.stepped_by

    def convert(self, *backends: Backend, complete: bool = False) -> list[float]:
        """Returns the start times of a list on the program's clock."""
        addresses = {backend.id: ADDRESS for backend in backends}
        endpoints = EndpointList(1, complete, backends, addresses)
        converted = self.start_times.convert(complete, endpoints)
        return [backend.started_at for backend in converted.backends]


@pytest.mark.parametrize("step_s", STEPS_S)
@pytest.mark.parametrize("stepped_first", [True, False], ids=["start after", "start before"])
def test_a_start_around_a_step_has_its_real_age(step_s: float, stepped_first: bool) -> None:
    """Guards against a slow start that a step skips, or prolongs by as much as the step."""
    clocks = Clocks()
    clocks.convert(Backend("other", started_at=clocks.wall() - 100.0))
    if stepped_first:
        clocks.stepped_by = step_s
    started_at = clocks.wall()
    clocks.now += AGE_S
    clocks.stepped_by = step_s
    assert clocks.convert(Backend("b", started_at=started_at)) == [clocks.now - AGE_S]


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_start_that_is_known_keeps_its_time_after_a_step(step_s: float) -> None:
    """Guards against a backend that counts as restarted, or as cold, because of a step."""
    clocks = Clocks()
    warm = Backend("b", started_at=NOW - 100.0)
    assert clocks.convert(warm, complete=True) == [NOW - 100.0]
    clocks.stepped_by = step_s
    clocks.now += 1.0
    assert clocks.convert(warm, complete=True) == [NOW - 100.0]
    assert clocks.convert(Backend("old", started_at=0.0)) == [0.0]


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_start_in_the_future_counts_as_now(step_s: float) -> None:
    """Guards against a backend that stays cold until the wall clock is stepped again."""
    clocks = Clocks()
    clocks.stepped_by = step_s
    assert clocks.convert(Backend("b", started_at=clocks.wall() + 7200.0)) == [clocks.now]


def test_small_adjustments_of_the_wall_clock_leave_start_times_as_they_are() -> None:
    """Guards against start times that differ by rounding, which would count as restarts."""
    clocks = Clocks()
    clocks.stepped_by = 0.01
    assert clocks.convert(Backend("b", started_at=NOW - 1.0)) == [NOW - 1.0]


def test_what_is_remembered_is_limited() -> None:
    """Guards against memory that grows with each step, and with each backend ever listed."""
    clocks = Clocks()
    for number in range(100):
        clocks.stepped_by += 10.0
        clocks.convert(Backend(f"b{number}", started_at=clocks.wall()))
    clocks.convert(Backend("b0", started_at=clocks.wall(), readiness=Readiness.REMOVED))
    assert "b0" not in clocks.start_times.converted
    clocks.convert(Backend("b1", started_at=clocks.wall()), complete=True)
    assert list(clocks.start_times.converted) == ["b1"]
    assert len(clocks.start_times.offsets) == MAX_OFFSETS


def reported_start(ingress: Application, started_at: float) -> float:
    """Returns the start time that the policy receives for a backend of a list."""
    stub = ScriptedPolicy(None)
    ingress.exchange.policy = stub
    backends = (Backend("s2", started_at=started_at),)
    ingress.update_endpoints(
        EndpointListKind.UPDATE, EndpointList(2, False, backends, {"s2": ADDRESS})
    )
    [changed] = stub.events_of(BackendsChanged)
    return float(changed.backends[0].started_at)


@pytest.mark.parametrize("step_s", STEPS_S)
def test_the_policy_receives_the_real_age_of_a_backend_after_a_step(step_s: float) -> None:
    """Guards against cold backends that get the full rate, and warm ones that get none."""

    async def body() -> None:
        async with serving(config()) as (ingress, _):
            ingress.start_times.wall_clock = lambda: time.time() + step_s
            started_at = reported_start(ingress, time.time() + step_s - AGE_S)
            assert abs(ingress.clock() - started_at - AGE_S) < TOLERANCE_S

    run(body())
