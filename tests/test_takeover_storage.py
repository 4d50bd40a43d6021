"""Handover between processes with stores: disks that fail, lose data or hold a wrong store."""

from __future__ import annotations

import asyncio

import pytest

from ingress.testbed.ingresses import IngressStartError
from tests.handover_clients import FAULTY, ClientOutcome, HandoverFleet, run_case


def store_bytes(fleet: HandoverFleet, number: int) -> int:
    """Returns the size of an instance's store in bytes."""
    return sum(path.stat().st_size for path in fleet.crew.store(number).iterdir())


async def submit_to_slow_backend(
    fleet: HandoverFleet, owner: int, key: str
) -> asyncio.Task[ClientOutcome]:
    """Returns the client's attempt of a submission that stays in flight at a slow backend."""
    fleet.slow_down(60.0)
    first = asyncio.create_task(fleet.submit(owner, key))
    await fleet.wait_until_forwarded(owner, key)
    return first


async def kill_and_restart(fleet: HandoverFleet, numbers: list[int]) -> None:
    for number in numbers:
        fleet.kill(number)
    for number in numbers:
        await fleet.restart(number)


def test_submission_fails_after_its_owner_and_all_replicas_restart() -> None:
    """Recovered records count as too old to be resent, so the client gets a failure."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        key = fleet.new_key_not_replicated_by(0)
        first = await submit_to_slow_backend(fleet, 0, key)
        replicas = fleet.replicas_of(key)
        await fleet.wait_until(
            lambda: all(store_bytes(fleet, n) > 300 for n in replicas), "the store did not grow"
        )
        await kill_and_restart(fleet, [0, *replicas])
        assert (await first).kind == "broken"
        fleet.slow_down(1.0)
        await fleet.wait_until_complete()
        [successor] = {1, 2, 3, 4} - set(replicas)
        outcome = await fleet.submit_until_final(successor, key)
        assert outcome.kind == "failed", outcome
        assert fleet.effects(key) <= 1, outcome
        assert (await fleet.verdict_counts())["lost"] >= 1

    run_case(case, seconds=3.0, stores=True, settings={"take_per_s": 0})


@pytest.mark.parametrize("disk", ["old", "empty", "another's"])
def test_restart_with_a_wrong_store_recovers_from_peers_or_is_rejected(disk: str) -> None:
    """The instance gets its records from the others; it does not start with another's store."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        assert (await fleet.submit(1, fleet.new_key())).kind == "served"
        old_files = {path.name: path.read_bytes() for path in fleet.crew.store(0).iterdir()}
        for _ in range(12):
            assert (await fleet.submit(2, fleet.new_key())).kind == "served"
        await fleet.wait_until(
            lambda: store_bytes(fleet, 0) > sum(map(len, old_files.values())),
            "the store did not grow",
        )
        fleet.kill(0)
        process = fleet.world.ingresses[0].process
        assert process is not None
        await process.wait()
        folder = fleet.crew.store(0)
        for path in list(folder.iterdir()):
            path.unlink()
        if disk == "old":
            for name, data in old_files.items():
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
        verdicts = (await fleet.handover_counts(0))["verdicts"]
        assert verdicts["learnt"] == 1, verdicts
        assert verdicts["forgot"] == (disk == "old"), verdicts

    run_case(case, seconds=3.0, stores=True)


@pytest.mark.parametrize("disk_fault", ["eio", "enospc", "slow", "yes"])
def test_handover_works_with_a_faulty_disk_at_one_replica(disk_fault: str) -> None:
    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        for n in range(12):
            assert (await fleet.submit(1 + n % 4, fleet.new_key())).kind == "served"
        if disk_fault in ("eio", "enospc"):
            await fleet.wait_for_counts(
                {0}, lambda counts: bool(counts["store"]["failed"]), "the disk did not fail"
            )
        fleet.kill(0)
        await fleet.restart(0)
        key = fleet.new_key_not_replicated_by(1)
        first = await submit_to_slow_backend(fleet, 1, key)
        fleet.kill(1)
        assert (await first).kind == "broken"
        fleet.slow_down(1.0)
        outcome = await fleet.submit_until_final(2, key)
        assert outcome.kind == "served", outcome
        assert outcome.value in fleet.responses(key), outcome
        if disk_fault == "yes":
            await fleet.wait_for_counts(
                {0},
                lambda counts: counts["verdicts"]["forgot"] >= 1,
                "the lost records were not detected",
            )

    run_case(case, seconds=4.0, stores=True, commands={0: f"{FAULTY} disk:{disk_fault}"})


def test_submission_takes_effect_twice_if_grants_are_not_stored_first() -> None:
    """A deliberate fault: replicas grant at once, store nothing and treat stores as complete."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        key = fleet.new_key_not_replicated_by(0)
        first = await submit_to_slow_backend(fleet, 0, key)
        await kill_and_restart(fleet, [0, *fleet.replicas_of(key)])
        await first
        fleet.slow_down(1.0)
        await fleet.wait_until(
            lambda: fleet.world.clock() > fleet.arrivals(key)[0].at + 4.5,
            "the deduplication window did not pass",
        )
        [successor] = {1, 2, 3, 4} - set(fleet.replicas_of(key))
        assert (await fleet.submit_until_final(successor, key)).kind == "served"

    _, effects = run_case(
        case,
        seconds=6.0,
        stores=True,
        breaches=True,
        settings={"take_per_s": 0},
        commands=dict.fromkeys(range(5), f"{FAULTY} acknowledges_first"),
    )
    assert max(effects.values()) == 2, effects
