"""The soak test: reproducible random runs, short runs that keep all rules, reported breaches."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import uvloop

from ingress.testbed import __main__ as command
from ingress.testbed.deployment import Deployment
from ingress.testbed.fault_kinds import CROWD_KINDS, KINDS, SIGNAL_KINDS
from ingress.testbed.report import report
from ingress.testbed.scenario import Fault, Scenario, check_target
from ingress.testbed.soak import draw_run
from ingress.testbed.world import running_world

ROOT = Path(__file__).resolve().parent.parent
FAULTY = f"exec {sys.executable} -m tests.faulty"
MAX_RUNS = 3  # repeats while the machine is too busy for a verdict
SECONDS = 10.0


def soak(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ingress.testbed", "soak", "--seconds", str(SECONDS), *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


@pytest.mark.parametrize("seed", range(30))
def test_a_seed_draws_the_same_run_each_time_with_valid_faults_only(seed: int) -> None:
    run = draw_run(seed, SECONDS)
    assert run == draw_run(seed, SECONDS)
    assert run != draw_run(seed + 1, SECONDS)
    for fault in run.faults:
        check_target("drawn", fault.kind, fault.target, run.deployment)
        for key, (_, minimum, maximum) in KINDS[fault.kind].figures.items():
            assert minimum <= fault.figures[key] <= maximum


def test_50_seeds_draw_all_signals_crowds_and_kill_times() -> None:
    """Guards against a soak test that never injects its own kinds of faults."""
    runs = [draw_run(seed, SECONDS) for seed in range(50)]
    kinds = {fault.kind for run in runs for fault in run.faults}
    assert kinds >= {*SIGNAL_KINDS, *CROWD_KINDS}
    assert {run.deployment.kill_after_s for run in runs} >= {1.5, 3.7}


@pytest.mark.parametrize("seed", [101, 102])
def test_a_random_run_keeps_all_rules(seed: int, tmp_path: Path) -> None:
    path = tmp_path / "results.json"
    done = soak("--seeds", "1", "--first-seed", str(seed), "--json", str(path))
    assert done.returncode == 0, done.stdout + done.stderr
    [result] = json.loads(path.read_text(encoding="utf-8"))
    assert result["judged"]
    assert result["served"] > 50


def problems_with(fault: str, faults: tuple[Fault, ...]) -> list[str]:
    """Returns the breaches and crashes of a run with a faulty ingress."""

    async def play() -> tuple[list[str], bool]:
        deployment = Deployment(rate=150.0, keeps_connections=True)
        scenario = Scenario("soak", 8.0, 9, deployment, faults)
        async with running_world(scenario, f"{FAULTY} {fault}") as world:
            await world.play()
        figures, verdict = report(world)
        return figures["breaches"] + world.crashes, verdict.judged

    for _ in range(MAX_RUNS):
        problems, judged = uvloop.run(asyncio.wait_for(play(), 60.0))
        if judged or problems:
            break
    return problems


TERMS = tuple(Fault(0.5 + n, "term", f"ingress-{n}", {}) for n in range(3))
RELOADS = (Fault(1.0, "reload", "ingress-0", {"count": 2.0, "ms": 50.0}),)


@pytest.mark.parametrize(
    ("fault", "faults", "expected"),
    [
        ("close_unread", TERMS, "lost: the"),
        ("drops_second_reload", RELOADS, "did not apply the last of 2 configurations"),
    ],
)
def test_the_soak_reports_a_seeded_breach(
    fault: str, faults: tuple[Fault, ...], expected: str
) -> None:
    problems = problems_with(fault, faults)
    assert any(expected in text for text in problems), problems
    assert not any(expected in text for text in problems_with("none", faults))


def test_a_run_with_a_crowd_of_idle_clients_is_answered_in_time() -> None:
    """Guards against answers up to 0.2 s late while idle clients fill an ingress."""
    completed = soak("--seeds", "1", "--first-seed", "58143", "--seconds", "12")
    assert completed.returncode == 0, completed.stdout


def test_a_run_whose_link_holds_back_the_end_of_connections_keeps_all_rules() -> None:
    """Guards against requests that get no answer behind an end that their client did not see."""
    completed = soak("--seeds", "1", "--first-seed", "66046", "--seconds", "12")
    assert completed.returncode == 0, completed.stdout


def test_a_usage_error_and_an_interrupt_have_their_own_exit_status() -> None:
    assert command.main(["soak", "--seeds", "0"]) == command.USAGE_ERROR
    with subprocess.Popen(
        [sys.executable, "-m", "ingress.testbed", "soak", "--seeds", "2", "--seconds", "60"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(4)
        process.send_signal(signal.SIGINT)
        assert process.wait(30) == command.INTERRUPTED
        assert process.stderr is not None
        assert "all processes are stopped" in process.stderr.read()
