"""Scenarios: validation before anything starts, reproducible draws, runs that keep all rules."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from ingress.testbed import __main__ as command
from ingress.testbed.deployment import Deployment
from ingress.testbed.fault_kinds import KINDS
from ingress.testbed.ingresses import free_ports
from ingress.testbed.loopback_addresses import host
from ingress.testbed.scenario import ScenarioError, check_target, draw, read_scenario

ROOT = Path(__file__).resolve().parent.parent
NAMES = sorted(path.stem for path in command.SCENARIOS.glob("*.toml"))
MAX_RUNS = 3  # repeats while the machine is too busy for a verdict
FAULT = '[[fault]]\nat = 1.0\nkind = "kill"\ntarget = "ingress-0"\n'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("seconds = ", "not TOML"),
        ("secs = 3", "secs: not known; allowed are"),
        ("seconds = 0", "seconds: 0 is not a number from 0.5 to"),
        ("servers = 2.5", "servers: 2.5 is not a whole"),
        ('rate = "fast"', "rate: 'fast'"),
        ("rate = true", "rate: True"),
        ("name = 3", "name: 3 is not a text"),
        ("deployment = 3", "deployment: not a table"),
        ("[deployment]\ncold = 3", "deployment: cold: not known"),
        ("[deployment]\nbusy = 99", "deployment: busy: 99"),
        ("fault = 3", "fault: not a list"),
        ("fault = [3]", "fault 1: not a table"),
        ("[[fault]]", "fault 1: kind: None is none; allowed are kill"),
        (FAULT + '[[fault]]\nkind = "melt"', "fault 2: kind: 'melt'"),
        (FAULT + "factor = 2", "factor: not known"),
        (FAULT + "seconds = -1", "fault 1: seconds: -1"),
        (FAULT.replace("1.0", "99"), "at: 99"),
        (
            FAULT.replace("ingress-0", "ingress-9"),
            "'ingress-9' is none for kill; allowed are ingress-0 to ingress-2",
        ),
        (FAULT.replace('"ingress-0"', "3"), "target: 3 is not a text"),
        (FAULT.replace("kill", "cut"), "allowed are clients>ingress-N"),
        (FAULT.replace("kill", "surge"), "allowed are base, plus, editorial"),
        (FAULT.replace("kill", "counter_lost"), "allowed are counter"),
        (FAULT.replace("kill", "list_late"), "list-2, or list for all"),
    ],
)
def test_an_invalid_scenario_is_rejected_with_file_key_and_allowed_values(
    text: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(ScenarioError) as error:
        read_scenario(text, str(path))
    assert expected in str(error.value) and str(path) in str(error.value)
    assert command.main(["--scenario", str(path)]) == command.USAGE_ERROR
    assert expected in capsys.readouterr().err


def test_command_line_options_override_the_file_and_are_validated_too(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert read_scenario("seconds = 9\nseed = 4", "x", seed=5).seed == 5
    assert command.main(["--servers", "0"]) == command.USAGE_ERROR
    assert "servers: 0 is not a number from 1 to 64" in capsys.readouterr().err
    assert command.main(["--scenario", "no-such"]) == command.USAGE_ERROR
    assert command.main(["--scenario", "calm", "--faults", "3"]) == command.USAGE_ERROR


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_draws_the_same_faults_each_time_and_valid_ones_only(seed: int) -> None:
    deployment = Deployment(ingresses=2, servers=3)
    drawn = draw(seed, 30.0, deployment, 40)
    assert drawn == draw(seed, 30.0, deployment, 40) and drawn != draw(
        seed + 1, 30.0, deployment, 40
    )
    for fault in drawn.faults:
        check_target("drawn", fault.kind, fault.target, deployment)
        for key, (_, minimum, maximum) in KINDS[fault.kind].figures.items():
            assert minimum <= fault.figures[key] <= maximum
        assert 0 < fault.at < 30.0


def run_testbed(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs the testbed; repeats runs without a verdict on a busy machine, as they prove nothing."""
    for _ in range(MAX_RUNS):
        done = subprocess.run(
            [sys.executable, "-m", "ingress.testbed", "--quiet", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=90,
            check=False,
        )
        if done.returncode != command.TOO_BUSY:
            break
    return done


@pytest.mark.parametrize("name", NAMES)
def test_a_scenario_keeps_all_rules(name: str, tmp_path: Path) -> None:
    path = tmp_path / "figures.json"
    done = run_testbed("--scenario", name, "--json", str(path))
    figures: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    assert done.returncode == 0, done.stdout + done.stderr
    assert figures["rules"] == {"answer": 0, "effect": 0, "drain": 0, "cold": 0, "ceiling": 0}
    assert figures["served"] > 50 and not figures["fell_over"] and not figures["crashes"]
    assert 0.3 < figures["service"] <= 1.0 and 0 < figures["p50_ms"] < figures["p99_ms"]
    faults = read_scenario(
        (command.SCENARIOS / f"{name}.toml").read_text(encoding="utf-8"), name
    ).faults
    assert len(figures["faults"]) == len(faults)
    if name == "matrix":
        assert len(figures["pairs"]) == 9 and min(figures["pairs"].values()) > 5, figures["pairs"]
    if name in ("trouble", "matrix"):
        # Without requests held back, or retries of their clients, the run would test nothing.
        assert figures["held_back"]["in_a_try"] > 0
        assert name == "matrix" or figures["held_back"]["between_tries"] > 0
        assert any(counts.get("holds", {}).get("held-back") for counts in figures["counts"])
    if name == "counters":
        # The faults took effect, both at the counter and in the checks of the ingresses.
        calls = figures["counter_seen"]
        assert min(calls["split"]) > 20 and calls["replaced"] == 1 and calls["part"] > 0, calls
        checks = [check for counts in figures["counts"] for check in counts["quota"]["checks"]]
        assert any(check["parted"] for check in checks) and any(
            check["replaced"] for check in checks
        ), checks
    assert all(figures["cpu_us_per_request"]) and all(figures["rss_mb"])


def test_a_broken_rule_exits_with_1_and_prints_the_command_that_repeats_it() -> None:
    run = f"exec {sys.executable} -m tests.faulty invent"
    done = run_testbed("--seconds", "2", "--seed", "77", "--run", run)
    assert done.returncode == command.RULE_BROKEN, done.stdout + done.stderr
    assert "rule answer   BROKEN" in done.stdout
    assert "repeat with: python -m ingress.testbed --seed 77 --seconds 2" in done.stdout
    assert run in done.stdout


def test_an_ingress_that_does_not_start_is_reported_with_its_last_log_lines() -> None:
    done = run_testbed("--seconds", "1", "--run", "echo the disk is full >&2; exit 3")
    assert done.returncode == command.START_FAILED
    assert "ingress-" in done.stderr and "did not start" in done.stderr
    assert "the disk is full" in done.stderr


def children(pid: int) -> list[int]:
    """Returns the ids of the child processes that are not zombies."""
    pids = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text(encoding="utf-8").rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid and fields[0] != "Z":
            pids.append(int(path.parent.name))
    return pids


def test_ports_of_one_call_are_all_different() -> None:
    """Binding and releasing one port at a time repeats a port among 400 in nearly every run."""
    assert len(set(free_ports(host(1), 400))) == 400


def test_ports_of_a_later_call_exclude_those_already_taken() -> None:
    """Guards against a handover listener that gets the port of its ingress's client listener."""
    before = free_ports(host(1), 400)
    assert not set(free_ports(host(1), 400, before)) & set(before)


def test_hold_prints_every_address_and_an_interrupt_stops_all_processes() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "ingress.testbed", "--hold", "--ingresses", "2"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as process:
        assert process.stdout is not None
        rows = [process.stdout.readline() for _ in range(1 + 2 * 9 + 2 + 2 + 2)]
        assert sum("clients>ingress-" in row for row in rows) == 2
        assert sum(">server-" in row for row in rows) == 18
        pids = children(process.pid)
        assert len(pids) == 2
        process.send_signal(signal.SIGINT)
        assert process.wait(20) == 0
        assert not any(os.path.exists(f"/proc/{pid}") for pid in pids)


def test_an_interrupt_during_a_run_stops_all_processes() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "ingress.testbed", "--seconds", "60"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        deadline = time.monotonic() + 20
        while len(pids := children(process.pid)) < 3 and time.monotonic() < deadline:
            time.sleep(0.05)
        assert process.stderr is not None
        assert "attempts" in process.stderr.readline()
        process.send_signal(signal.SIGINT)
        assert process.wait(20) == command.INTERRUPTED
        assert not any(os.path.exists(f"/proc/{pid}") for pid in pids)
