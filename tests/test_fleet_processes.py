"""Membership among twelve processes with faults between them; each test asserts its faults."""

from __future__ import annotations

import signal
import sys

import pytest

from tests.fleet_harness import COUNT, FleetHarness, run


def test_twelve_processes_started_at_once_discover_each_other_and_one_leaves_gracefully() -> None:
    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        fleet.network.paths.set_all(loss=0.1, again=0.1, delay=0.01, spread=0.9)
        counts = fleet.network.paths.counts
        await fleet.until(
            {3},
            lambda f: f["views"] > 20 and min(counts.lost, counts.repeated, counts.delayed) > 10,
            "no fleet load, or too few datagrams were lost, repeated or delayed",
        )
        fleet.world.ingresses[0].signal(signal.SIGTERM, "term")
        rest = set(range(1, COUNT))
        fleet_counts = await fleet.until(
            rest, lambda f: f["there"] == COUNT - 2, "some members missed the graceful leave"
        )
        assert all(f["buried"] == 0 for f in fleet_counts.values())
        assert min(counts.lost, counts.repeated, counts.delayed) > 10, counts
        assert not counts.unknown_sender, counts

    run(case)


def test_a_process_suspended_for_longer_than_a_suspicion_ignores_stale_state() -> None:
    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        suspended, rest = fleet.world.ingresses[4], set(range(COUNT)) - {4}
        assert suspended.life is not None
        suspended.life.pauses.append((fleet.world.clock(), float("inf")))
        suspended.signal(signal.SIGSTOP)
        await fleet.until(
            rest,
            lambda f: f["there"] == COUNT - 2 and f["lost"] == 1,
            "the suspended process was not declared dead",
        )
        suspended.signal(signal.SIGCONT)
        suspended.life.pauses[-1] = suspended.life.pauses[-1][0], fleet.world.clock() + 0.5
        fleet_counts = await fleet.wait_for_all_members()
        assert min(fleet_counts[4]["woken"], fleet_counts[4]["asleep"]) >= 1, fleet_counts[4]
        assert fleet_counts[4]["buried"] == 0, fleet_counts[4]
        assert all(fleet_counts[n]["buried"] == 1 for n in rest), fleet_counts

    run(case)


def test_the_halves_of_a_healed_partition_merge() -> None:
    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        first_half = set(range(6))
        fleet.network.paths.partition(first_half, set(range(COUNT)) - first_half)
        await fleet.until(
            set(range(COUNT)),
            lambda f: f["there"] == 5 and f["lost"] == 6,
            "the partition was not detected by all members",
        )
        assert fleet.network.paths.counts.cut > 50
        fleet.network.paths.heal()
        await fleet.wait_for_all_members()

    run(case, rate=30.0)


def test_a_path_that_fails_in_one_direction_declares_no_member_dead() -> None:
    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        fleet.network.paths.partition({2}, {7}, both=False)
        await fleet.until({2}, lambda f: f["sent"] > 400, "too few messages were sent")
        fleet_counts = await fleet.wait_for_all_members()
        assert fleet.network.paths.counts.cut >= 2
        assert all(f["buried"] == 0 for f in fleet_counts.values()), fleet_counts

    run(case, rate=30.0)


def test_half_killed_under_overload_are_declared_dead_and_the_rest_share_load_reports() -> None:
    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        for n in range(6):
            fleet.world.customers.routes[n].until = fleet.world.clock() + 0.5
            fleet.world.ingresses[n].signal(signal.SIGKILL, "killed")
        rest = set(range(6, COUNT))
        fleet_counts = await fleet.until(
            rest,
            lambda f: f["there"] == 5 and f["lost"] == 6,
            "not all killed processes were declared dead",
        )
        assert all(f["views"] > 0 for f in fleet_counts.values())
        await fleet.until(
            rest, lambda f: f["heard"] == 6, "some survivors lack reports of the others"
        )

    world = run(case, seconds=10.0, rate=150.0, busy=2.5)
    assert sum(x.kind == "refused" for x in world.record.tries) > 100  # asserts the overload


def test_load_reports_delayed_under_overload_are_ignored() -> None:
    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        everyone = set(range(COUNT))
        await fleet.until(everyone, lambda f: f["cuts"] > 0, "no overload was seen")
        before = await fleet.until(everyone, lambda f: True, "the counts could not be read")
        fleet.network.paths.stall(everyone)
        await fleet.until(everyone, lambda f: f["heard"] == 0, "old reports are used")
        assert fleet.network.paths.counts.held > 50
        fleet.network.paths.heal()
        after = await fleet.wait_for_all_members()
        assert all(after[n]["alone"] > before[n]["alone"] for n in everyone)

    world = run(case, seconds=12.0, rate=150.0, busy=2.5)
    assert sum(x.kind == "refused" for x in world.record.tries) > 100


@pytest.mark.parametrize(("is_bounded", "is_moved"), [(True, False), (False, True)])
def test_a_false_report_of_enormous_load_does_not_cause_shedding(
    is_bounded: bool, is_moved: bool
) -> None:
    """Load is too low for shedding, so any shed fraction comes from the false report.

    With unbounded weights, an injected fault, all other gateways shed nearly everything.
    """
    fault = "liar:1e9,0,1e9" if is_bounded else "believed:1e9,0,1e9"

    async def case(fleet: FleetHarness) -> None:
        await fleet.wait_for_all_members()
        # The false report is sent all the time, so its effect on the shed fraction is permanent.
        await fleet.until(
            set(range(1, COUNT)),
            lambda f: f["heard"] == COUNT and (f["cut"] > 0.9 if is_moved else f["cut"] == 0.0),
            "the shed fraction is not as expected with the false report",
        )

    python = f"exec {sys.executable} -m tests.faulty"
    commands = {0: f"{python} {fault}"} | (
        {} if is_bounded else dict.fromkeys(range(1, COUNT), f"{python} unbounded")
    )
    run(case, rate=30.0, commands=commands)
