"""Twelve processes with membership, and faults between them that each case asserts."""

from __future__ import annotations

import signal
import sys

import pytest

from tests.stand import COUNT, Stand, run


def test_twelve_started_at_once_find_one_another_and_leave_gracefully() -> None:
    async def case(stand: Stand) -> None:
        await stand.whole()
        stand.fleet.paths.set_all(loss=0.1, again=0.1, delay=0.01, spread=0.9)
        counts = stand.fleet.paths.counts
        await stand.until(
            {3},
            lambda f: f["views"] > 20 and min(counts.lost, counts.repeated, counts.delayed) > 10,
            "no views, or too few datagrams were lost, repeated or delayed",
        )
        stand.world.ingresses[0].signal(signal.SIGTERM, "term")
        rest = set(range(1, COUNT))
        said = await stand.until(
            rest, lambda f: f["there"] == COUNT - 2, "a planned leave was not heard"
        )
        assert all(f["buried"] == 0 for f in said.values())
        assert min(counts.lost, counts.repeated, counts.delayed) > 10, counts
        assert not counts.unknown_sender, counts

    run(case)


def test_a_process_suspended_for_longer_than_a_suspicion_believes_nothing_stale() -> None:
    async def case(stand: Stand) -> None:
        await stand.whole()
        frozen, rest = stand.world.ingresses[4], set(range(COUNT)) - {4}
        assert frozen.life is not None
        frozen.life.pauses.append((stand.world.clock(), float("inf")))
        frozen.signal(signal.SIGSTOP)
        await stand.until(rest, lambda f: f["there"] == COUNT - 2 and f["lost"] == 1, "not missed")
        frozen.signal(signal.SIGCONT)
        frozen.life.pauses[-1] = frozen.life.pauses[-1][0], stand.world.clock() + 0.5
        said = await stand.whole()
        assert min(said[4]["woken"], said[4]["asleep"]) >= 1, said[4]
        assert said[4]["buried"] == 0, said[4]
        assert all(said[n]["buried"] == 1 for n in rest), said

    run(case)


def test_the_halves_of_a_healed_partition_merge() -> None:
    async def case(stand: Stand) -> None:
        await stand.whole()
        one = set(range(6))
        stand.fleet.paths.partition(one, set(range(COUNT)) - one)
        await stand.until(
            set(range(COUNT)), lambda f: f["there"] == 5 and f["lost"] == 6, "not parted"
        )
        assert stand.fleet.paths.counts.cut > 50
        stand.fleet.paths.heal()
        await stand.whole()

    run(case, rate=30.0)


def test_a_path_that_works_one_way_only_declares_nobody_dead() -> None:
    async def case(stand: Stand) -> None:
        await stand.whole()
        stand.fleet.paths.partition({2}, {7}, both=False)
        await stand.until({2}, lambda f: f["sent"] > 400, "too little was said")
        said = await stand.whole()
        assert stand.fleet.paths.counts.cut >= 2
        assert all(f["buried"] == 0 for f in said.values()), said

    run(case, rate=30.0)


def test_half_killed_under_overload_are_declared_dead_and_the_rest_shed_as_one() -> None:
    async def case(stand: Stand) -> None:
        await stand.whole()
        for n in range(6):
            stand.world.customers.doors[n].until = stand.world.clock() + 0.5
            stand.world.ingresses[n].signal(signal.SIGKILL, "killed")
        rest = set(range(6, COUNT))
        said = await stand.until(rest, lambda f: f["there"] == 5 and f["lost"] == 6, "not missed")
        assert all(f["views"] > 0 for f in said.values())
        await stand.until(rest, lambda f: f["heard"] == 6, "the rest do not hear one another")

    world = run(case, seconds=10.0, rate=150.0, busy=2.5)
    assert sum(x.kind == "refused" for x in world.record.tries) > 100  # else there was no overload


def test_reports_that_are_delayed_under_overload_are_not_believed() -> None:
    async def case(stand: Stand) -> None:
        await stand.whole()
        everyone = set(range(COUNT))
        await stand.until(everyone, lambda f: f["cuts"] > 0, "no overload was seen")
        before = await stand.until(everyone, lambda f: True, "")
        stand.fleet.paths.stall(everyone)
        await stand.until(everyone, lambda f: f["heard"] == 0, "old reports are believed")
        assert stand.fleet.paths.counts.held > 50
        stand.fleet.paths.heal()
        after = await stand.whole()
        assert all(after[n]["alone"] > before[n]["alone"] for n in everyone)

    world = run(case, seconds=12.0, rate=150.0, busy=2.5)
    assert sum(x.kind == "refused" for x in world.record.tries) > 100


@pytest.mark.parametrize(("is_bounded", "is_moved"), [(True, False), (False, True)])
def test_a_false_report_of_endless_load_makes_nobody_shed(is_bounded: bool, is_moved: bool) -> None:
    """With hardly any load nothing is shed: any shed fraction is the liar's doing.

    Where its weight is not bounded, a seeded breach, all shed all.
    """
    fault = "liar:1e9,0,1e9" if is_bounded else "believed:1e9,0,1e9"

    async def case(stand: Stand) -> None:
        await stand.whole()
        # The lie stands all the time: if it moved the shed fraction, it would do so always.
        await stand.until(
            set(range(1, COUNT)),
            lambda f: f["heard"] == COUNT and (f["cut"] > 0.9 if is_moved else f["cut"] == 0.0),
            "the lie does not do what it should",
        )

    python = f"exec {sys.executable} -m tests.faulty"
    commands = {0: f"{python} {fault}"} | (
        {} if is_bounded else dict.fromkeys(range(1, COUNT), f"{python} unbounded")
    )
    run(case, rate=30.0, commands=commands)
