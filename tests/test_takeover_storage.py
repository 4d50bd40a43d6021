"""Handover among processes with stores: disks that fail, corrupt, or are not the last ones."""

from __future__ import annotations

import asyncio

import pytest

from ingress.testbed.ingresses import IngressStartError
from tests.handover_clients import FAULTY, ClientOutcome, HandoverFleet, run_case


def store_bytes(fleet: HandoverFleet, number: int) -> int:
    """The size of its store."""
    return sum(path.stat().st_size for path in fleet.crew.store(number).iterdir())


async def leave_in_flight(
    fleet: HandoverFleet, owner: int, key: str
) -> asyncio.Task[ClientOutcome]:
    """A submission that stays in flight at a slow backend; its client's attempt."""
    fleet.slow_down(60.0)
    first = asyncio.create_task(fleet.submit(owner, key))
    await fleet.wait_until_forwarded(owner, key)
    return first


async def kill_and_restart(fleet: HandoverFleet, numbers: list[int]) -> None:
    for number in numbers:
        fleet.kill(number)
    for number in numbers:
        await fleet.restart(number)


def test_owner_and_all_replicas_restart_with_their_stores() -> None:
    """Their records count as too old to be resent: the client gets a failure."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        key = fleet.new_key_not_replicated_by(0)
        first = await leave_in_flight(fleet, 0, key)
        replicas = fleet.replicas_of(key)
        await fleet.wait_until(
            lambda: all(store_bytes(fleet, n) > 300 for n in replicas), "nothing was stored"
        )
        await kill_and_restart(fleet, [0, *replicas])
        assert (await first).kind == "broken"
        fleet.slow_down(1.0)
        await fleet.wait_until_complete()
        [left] = {1, 2, 3, 4} - set(replicas)
        outcome = await fleet.submit_until_final(left, key)
        assert outcome.kind == "failed", outcome
        assert fleet.effects(key) <= 1, outcome
        assert (await fleet.verdict_counts())["lost"] >= 1

    run_case(case, seconds=3.0, stores=True, settings={"take_per_s": 0})


@pytest.mark.parametrize("disk", ["old", "empty", "another's"])
def test_restart_with_a_store_that_is_not_the_last(disk: str) -> None:
    """It gets the records from the others, or does not start."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        assert (await fleet.submit(1, fleet.new_key())).kind == "served"
        old = {path.name: path.read_bytes() for path in fleet.crew.store(0).iterdir()}
        for _ in range(12):
            assert (await fleet.submit(2, fleet.new_key())).kind == "served"
        await fleet.wait_until(
            lambda: store_bytes(fleet, 0) > sum(map(len, old.values())), "nothing was stored"
        )
        fleet.kill(0)
        process = fleet.world.ingresses[0].process
        assert process is not None
        await process.wait()
        folder = fleet.crew.store(0)
        for path in list(folder.iterdir()):
            path.unlink()
        if disk == "old":
            for name, data in old.items():
                (folder / name).write_bytes(data)
        elif disk == "another's":
            for path in fleet.crew.store(1).iterdir():
                (folder / path.name).write_bytes(path.read_bytes())
            before = {path.name: path.read_bytes() for path in folder.iterdir()}
            with pytest.raises(
                IngressStartError,
                match=r"handover: store: .*belongs to ingress-1, not to ingress-0",
            ):
                await fleet.restart(0)
            fleet.world.ingresses[0].life.how = "killed"  # type: ignore[union-attr]
            assert {p.name: p.read_bytes() for p in folder.iterdir()} == before
            return
        await fleet.restart(0)
        await fleet.wait_until_complete()
        said = (await fleet.handover_counts(0))["verdicts"]
        assert said["learnt"] == 1, said
        assert said["forgot"] == (disk == "old"), said

    run_case(case, seconds=3.0, stores=True)


@pytest.mark.parametrize("lie", ["eio", "enospc", "slow", "yes"])
def test_failing_or_corrupting_disk_at_one_replica(lie: str) -> None:
    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        for n in range(12):
            assert (await fleet.submit(1 + n % 4, fleet.new_key())).kind == "served"
        if lie in ("eio", "enospc"):
            await fleet.wait_for_counts(
                {0}, lambda s: bool(s["store"]["failed"]), "the disk did not fail"
            )
        fleet.kill(0)
        await fleet.restart(0)
        key = fleet.new_key_not_replicated_by(1)
        first = await leave_in_flight(fleet, 1, key)
        fleet.kill(1)
        assert (await first).kind == "broken"
        fleet.slow_down(1.0)
        outcome = await fleet.submit_until_final(2, key)
        assert outcome.kind == "served", outcome
        assert outcome.value in fleet.responses(key), outcome
        if lie == "yes":
            await fleet.wait_for_counts(
                {0}, lambda s: s["verdicts"]["forgot"] >= 1, "it is not known to have forgotten"
            )

    run_case(case, seconds=4.0, stores=True, commands={0: f"{FAULTY} disk:{lie}"})


def test_acknowledging_before_storing_takes_effect_twice() -> None:
    """A seeded fault: replicas grant at once, store nothing, and trust their stores."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        key = fleet.new_key_not_replicated_by(0)
        first = await leave_in_flight(fleet, 0, key)
        await kill_and_restart(fleet, [0, *fleet.replicas_of(key)])
        await first
        fleet.slow_down(1.0)
        await fleet.wait_until(lambda: fleet.world.clock() > fleet.arrivals(key)[0].at + 4.5, "")
        [left] = {1, 2, 3, 4} - set(fleet.replicas_of(key))
        assert (await fleet.submit_until_final(left, key)).kind == "served"

    _, effects = run_case(
        case,
        seconds=6.0,
        stores=True,
        breaches=True,
        settings={"take_per_s": 0},
        commands=dict.fromkeys(range(5), f"{FAULTY} acknowledges_first"),
    )
    assert max(effects.values()) == 2, effects
