"""Handover between processes: kills, pauses, partitions and restarts, each verified to occur."""

from __future__ import annotations

import asyncio

import pytest

from ingress.testbed.invariant_checker import Breach
from tests.handover_clients import FAULTY, ClientOutcome, HandoverFleet, run_case

STEPS = ["opened", "asked", "granted", "written", "answered", "told"]


async def submit_until_the_owner_dies(fleet: HandoverFleet, owner: int, key: str) -> None:
    assert (await fleet.submit(owner, key)).kind == "broken"
    process = fleet.world.ingresses[owner].process
    life = fleet.world.ingresses[owner].life
    assert process is not None
    assert life is not None
    life.down = min(life.down, fleet.world.clock())  # the event loop may be notified later
    await process.wait()


def test_submission_takes_effect_once_if_its_owner_is_killed_at_any_step() -> None:
    """For each step, one owner kills itself at that step."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        for owner, step in enumerate(STEPS):
            fleet.world.ingresses[owner].life.how = "killed"  # type: ignore[union-attr]
            key = fleet.new_key()
            await submit_until_the_owner_dies(fleet, owner, key)
            other = 6 + owner % 2
            if step in ("asked", "granted", "written"):
                # The owner may still write it; no instance resends it until the owner restarts.
                sent = 1 if step == "written" else 0
                # Data that the process sent before it died arrives a moment later.
                await fleet.wait_until(
                    lambda key=key, sent=sent: len(fleet.arrivals(key)) >= sent,  # type: ignore[misc]
                    "the submission was not forwarded",
                )
                assert len(fleet.arrivals(key)) == sent, step
                outcome = await fleet.submit(other, key)
                assert outcome.kind == "refused", (step, outcome)
                assert outcome.retry_after > 0, (step, outcome)
                assert len(fleet.arrivals(key)) == sent, step
                await fleet.restart(owner)
            outcome = await fleet.submit_until_final(other, key)
            assert outcome.kind == "served", (
                step,
                outcome,
            )
            assert outcome.value in fleet.responses(key), (
                step,
                outcome,
            )
            assert fleet.effects(key) == 1, step
            expected = {
                "opened": 1,
                "asked": 1,
                "granted": 1,
                "written": 2,
                "answered": 2,
                "told": 1,
            }[step]
            assert len(fleet.arrivals(key)) in (expected, expected + 1), (
                step,
                len(fleet.arrivals(key)),
            )
            later = await fleet.submit_until_final(8, key)
            assert later.kind == "served", (step, later)
        total = await fleet.verdict_counts({6, 7, 8})
        assert total["come_back"] >= 2, total
        assert total["repeats"] >= 2, total
        assert total["done"] >= 6, total

    run_case(
        case,
        ingresses=9,
        seconds=6.0,
        commands={n: f"{FAULTY} dies:{step}" for n, step in enumerate(STEPS)},
    )


@pytest.mark.parametrize("fault", ["none", "no_fence"])
def test_pause_between_check_and_write_has_a_second_effect_only_without_a_fence(fault: str) -> None:
    """The owner is paused for longer than backends remember keys.

    With the injected fault, replicas grant a record that a suspect instance holds, and the
    submission takes effect twice instead of at most once.
    """

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        key = fleet.new_key_not_replicated_by(0)
        first = asyncio.create_task(fleet.submit(0, key, wait=8.0))
        paused_instance = fleet.world.ingresses[0]
        assert paused_instance.life is not None
        paused_instance.life.pauses.append((fleet.world.clock(), float("inf")))
        await fleet.wait_for_counts(
            {1, 2, 3}, lambda counts: counts["there"] < 4, "the instance is not paused"
        )
        outcome = await fleet.submit(1, key)
        assert outcome.kind == ("refused" if fault == "none" else "served"), outcome
        start = fleet.world.clock()
        await fleet.wait_until(
            lambda: fleet.world.clock() > start + 4.5, "the deduplication window did not pass"
        )
        if fault == "none":
            outcome = await fleet.submit(2, key)
            assert outcome.kind == "failed"
            assert not fleet.arrivals(key)
        fleet.resume(0)
        await first
        await fleet.wait_until(
            lambda: bool(fleet.arrivals(key)), "the submission was never written"
        )

    commands = {0: f"{FAULTY} stops:writing", **dict.fromkeys(range(1, 5), f"{FAULTY} {fault}")}
    _, effects = run_case(case, seconds=9.0, commands=commands, breaches=fault != "none")
    # Its late write may arrive on an abandoned connection and not run.
    assert max(effects.values()) <= 1 if fault == "none" else max(effects.values()) == 2, effects


@pytest.mark.parametrize("pause_seconds", [0.3, 0.7, 5.0])
def test_retries_get_the_outcome_while_the_owner_is_paused(pause_seconds: float) -> None:
    """The pause is shorter than `suspect_after`, close to it, or longer; three instances retry."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        fleet.slow_down(20.0)
        key = fleet.new_key_not_replicated_by(0)
        first = asyncio.create_task(fleet.submit(0, key, wait=8.0))
        await fleet.wait_until_forwarded(0, key)
        fleet.pause(0)
        start = fleet.world.clock()
        fleet.slow_down(1.0)
        repeats = asyncio.gather(*(fleet.submit_until_final(n, key, 3.0) for n in (1, 2, 3)))
        await fleet.wait_until(
            lambda: fleet.world.clock() > start + pause_seconds,
            "the pause did not reach its length",
        )
        fleet.resume(0)
        for outcome in await repeats:
            assert outcome.kind == "served", outcome
            assert outcome.value in fleet.responses(key), outcome
        assert (await first).kind in ("served", "failed")

    run_case(case, seconds=2.0 + pause_seconds)


def test_resend_paused_beyond_the_deduplication_window_is_not_written() -> None:
    """The successor pauses between its decision and its write, longer than the window."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        fleet.slow_down(20.0)
        key = fleet.new_key_not_replicated_by(0, 1)
        first = asyncio.create_task(fleet.submit(0, key))
        await fleet.wait_until_forwarded(0, key)
        fleet.kill(0)
        await first
        fleet.slow_down(1.0)
        sent = len(fleet.arrivals(key))
        repeat = asyncio.create_task(fleet.submit_until_final(1, key, 6.0))
        paused_instance = fleet.world.ingresses[1]
        assert paused_instance.life is not None
        paused_instance.life.pauses.append((fleet.world.clock(), float("inf")))
        await fleet.wait_for_counts(
            {2, 3, 4}, lambda counts: counts["there"] == 2, "the instance is not paused"
        )
        start = fleet.world.clock()
        await fleet.wait_until(
            lambda: fleet.world.clock() > start + 4.5, "the deduplication window did not pass"
        )
        fleet.resume(1)
        outcome = await repeat
        assert outcome.kind in ("failed", "broken"), outcome
        assert len(fleet.arrivals(key)) == sent

    run_case(
        case, seconds=8.0, commands={1: f"{FAULTY} stops:repeating"}, settings={"take_per_s": 0}
    )


def test_one_replica_hands_over_and_disabled_resend_fails_the_submission() -> None:
    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        fleet.slow_down(20.0)
        key = fleet.new_key_not_replicated_by(0)
        first = asyncio.create_task(fleet.submit(0, key))
        await fleet.wait_until_forwarded(0, key)
        fleet.kill(0)
        assert (await first).kind == "broken"
        fleet.slow_down(1.0)
        outcome = await fleet.submit_until_final(1, key)
        kinds.append(outcome.kind)
        assert len(fleet.arrivals(key)) == (1 if outcome.kind == "failed" else 2)

    kinds: list[str] = []
    run_case(case, seconds=2.0, settings={"copies": 1, "take_per_s": 0})
    run_case(case, seconds=2.0, settings={"repeats": False, "take_per_s": 0})
    assert kinds == ["served", "failed"]


def test_submission_takes_effect_once_if_owners_or_all_replicas_are_lost() -> None:
    """Kills three owners within a second, then an owner with all replicas of its submission."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        fleet.slow_down(60.0)
        key = fleet.new_key_not_replicated_by(0, 1, 2)
        attempts = [asyncio.create_task(fleet.submit(0, key))]
        for owner in range(3):
            await fleet.wait_until_forwarded(owner, key, owner)
            fleet.kill(owner)
            if owner < 2:
                attempts.append(asyncio.create_task(fleet.submit_until_final(owner + 1, key)))
        fleet.slow_down(1.0)
        outcome = await fleet.submit_until_final(3, key)
        assert outcome.kind == "served", outcome
        assert outcome.value in fleet.responses(key), outcome
        assert fleet.effects(key) == 1
        assert len({arrival.ingress for arrival in fleet.arrivals(key)}) >= 4
        for task in attempts:
            task.cancel()

        fleet.slow_down(60.0)
        key = fleet.new_key_not_replicated_by(0, 1, 2, 3)
        first = asyncio.create_task(fleet.submit(3, key))
        await fleet.wait_until_forwarded(3, key)
        replicas = fleet.replicas_of(key)
        for number in (3, *replicas):
            fleet.kill(number)
        fleet.slow_down(1.0)
        assert (await first).kind == "broken"
        # No instance has its record any more: the retry is a first attempt, which backends
        # deduplicate.
        [successor] = sorted({4, 5, 6, 7} - set(replicas))[:1]
        outcome = await fleet.submit_until_final(successor, key)
        assert outcome.kind == "served", outcome
        assert fleet.effects(key) == 1, outcome
        assert (await fleet.verdict_counts({successor}))["unprotected"] >= 1

    run_case(case, ingresses=8, seconds=5.0, settings={"take_per_s": 0})


def test_submission_takes_effect_once_under_partitions_and_slow_replicas() -> None:
    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        # One way only: messages of instance 0 are lost, messages to it arrive.
        fleet.crew.partition({0}, {1, 2, 3, 4}, both=False)
        await fleet.wait_for_counts(
            {1, 2, 3, 4}, lambda counts: counts["there"] == 3, "instance 0 is not suspect"
        )
        key = fleet.new_key_not_replicated_by(0)
        outcome = await fleet.submit(0, key)
        assert outcome.kind == "served"
        assert (await fleet.verdict_counts({0}))["unprotected"] >= 1
        fleet.crew.heal()
        await fleet.wait_until_complete()
        # Each side has some of the replicas; the submission is in flight at a slow backend.
        fleet.slow_down(30.0)
        key = fleet.new_key()
        first = asyncio.create_task(fleet.submit(0, key, wait=3.0))
        await fleet.wait_until_forwarded(0, key)
        fleet.crew.partition({0, 1}, {2, 3, 4})
        await fleet.wait_for_counts({0, 1}, lambda counts: counts["there"] == 1, "not partitioned")
        await fleet.wait_for_counts(
            {2, 3, 4}, lambda counts: counts["there"] == 2, "not partitioned"
        )
        fleet.slow_down(1.0)
        outcomes = await asyncio.gather(
            fleet.submit_until_final(1, key, 2.0), fleet.submit_until_final(2, key, 2.0), first
        )
        assert any(outcome.kind == "served" for outcome in outcomes), outcomes
        assert fleet.effects(key) == 1
        fleet.crew.heal()
        await fleet.wait_until_complete()
        # Replicas that reply later than `max_delay`.
        before = await fleet.verdict_counts()
        fleet.crew.slow(600.0)
        key = fleet.new_key_not_replicated_by(0)
        assert (await fleet.submit(0, key)).kind == "served"
        fleet.crew.heal()
        assert (await fleet.verdict_counts())["unprotected"] > before["unprotected"]
        start = fleet.world.clock()
        await fleet.wait_until(
            lambda: fleet.world.clock() > start + 0.8, "the delayed messages had no time to arrive"
        )  # until the delayed messages have arrived
        # The same key with another body: neither sent nor answered with the stored response.
        key = fleet.new_key()
        assert (await fleet.submit(1, key)).kind == "served"
        sent = len(fleet.arrivals(key))
        for ingress in (1, 2):
            assert (await fleet.submit(ingress, key, body="another solution")).kind == "failed"
        assert len(fleet.arrivals(key)) == sent

    run_case(case, seconds=9.0)


def test_rolling_restart_under_load_serves_submissions_and_recovers_records() -> None:
    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        done: list[ClientOutcome] = []

        async def submit(ingress: int) -> None:
            done.append(await fleet.submit_until_final(ingress, fleet.new_key()))

        clients = []
        for number in range(5):
            clients += [asyncio.create_task(submit(n)) for n in range(5) for _ in range(4)]
            await fleet.world._inject_ingress_fault("term", fleet.world.ingresses[number], 0.0)
            await fleet.wait_until_complete()
        await asyncio.gather(*clients)
        assert sum(outcome.kind == "served" for outcome in done) >= 95, done
        learnt_counts = [(await fleet.handover_counts(n))["verdicts"]["learnt"] for n in range(5)]
        assert all(learnt_counts), learnt_counts

    run_case(case, seconds=10.0)


def test_handover_tolerates_clocks_five_seconds_off_and_a_lost_counter() -> None:
    """Messages carry ages, not times; grants do not depend on the counter service."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        fleet.world.counter.lose()
        fleet.slow_down(30.0)
        for owner, successor in ((0, 3), (1, 2)):
            key = fleet.new_key_not_replicated_by(owner)
            first = asyncio.create_task(fleet.submit(owner, key))
            await fleet.wait_until_forwarded(owner, key)
            fleet.kill(owner)
            await first
            fleet.slow_down(1.0)
            outcome = await fleet.submit_until_final(successor, key)
            assert outcome.kind == "served", outcome
            assert outcome.value in fleet.responses(key), outcome
            fleet.slow_down(30.0)
        fleet.slow_down(1.0)

    run_case(case, seconds=4.0, commands={0: f"{FAULTY} ahead:5", 2: f"{FAULTY} ahead:-5"})


def test_checker_reports_a_stored_response_sent_to_another_client() -> None:
    """A deliberate fault: all keys share one record."""

    async def case(fleet: HandoverFleet) -> None:
        await fleet.wait_until_complete()
        for n in range(4):
            await fleet.submit(n, fleet.new_key())

    verdict, _ = run_case(
        case,
        seconds=4.0,
        breaches=True,
        commands=dict.fromkeys(range(5), f"{FAULTY} anyones_answer"),
    )

    def is_wrong_answer(breach: Breach) -> bool:
        return breach.rule == "answer" and "no grid server made" in breach.why

    assert any(map(is_wrong_answer, verdict.breaches)), [str(b) for b in verdict.breaches]
