"""Clients in several processes: one merged record, faults that reach all, early usage errors."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from ingress.testbed import __main__ as command
from ingress.testbed import load_generator
from ingress.testbed.load_generator import MAX_PROCESSES, MAX_RATE_PER_PROCESS, process_count
from tests.test_testbed_scenarios import run_testbed


def test_the_process_count_grows_with_the_rate_up_to_its_maximum() -> None:
    assert [
        process_count(rate)
        for rate in (1, MAX_RATE_PER_PROCESS, MAX_RATE_PER_PROCESS + 1, 3000, 1e6)
    ] == [1, 1, 2, 6, MAX_PROCESSES]


def test_client_processes_merge_into_one_record_that_the_invariant_checker_can_judge(
    tmp_path: Path,
) -> None:
    path = tmp_path / "figures.json"
    done = run_testbed(
        "--seconds", "3", "--clients", "3", "--rate", "150", "--seed", "5", "--json", str(path)
    )
    figures: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    assert done.returncode == 0, done.stdout + done.stderr
    # Each process sends a share of the rate; the outcomes add up to the attempts, all of which end.
    assert 90 < figures["asked_per_s"] < 220 and figures["unanswered"] == 0
    assert figures["served"] + figures["refused"] + figures["failed"] == figures["tries"] > 250
    # The counts that the ingresses log on SIGUSR1 agree with those of the clients.
    assert sum(counts["requests"] for counts in figures["counts"]) == figures["tries"]
    assert figures["client_connections"] >= 3 and figures["kept_up"]


def test_faults_apply_to_the_clients_of_every_process(tmp_path: Path) -> None:
    scenario, path = tmp_path / "s.toml", tmp_path / "figures.json"
    scenario.write_text(
        "seconds = 4\n"
        '[[fault]]\nat = 1.0\nkind = "kill"\ntarget = "ingress-0"\nseconds = 0.5\n'
        '[[fault]]\nat = 0.5\nkind = "surge"\ntarget = "base"\nseconds = 3.0\nfactor = 6.0\n',
        encoding="utf-8",
    )
    done = run_testbed("--scenario", str(scenario), "--clients", "2", "--json", str(path))
    figures: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    assert done.returncode == 0, done.stdout + done.stderr
    assert sum(figures["by_plan"]["base"].values()) > 2 * sum(figures["by_plan"]["plus"].values())


def test_a_client_process_that_dies_leaves_the_run_without_a_verdict(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(load_generator, "run_client_process", failing_client_process)
    assert command.main(["--seconds", "2", "--clients", "2", "--quiet"]) == command.NO_VERDICT


def failing_client_process(*_: Any) -> None:
    raise SystemExit(3)


def test_options_that_conflict_with_several_processes_fail_before_anything_starts(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert command.main(["--scenario", "links", "--clients", "2"]) == command.USAGE_ERROR
    assert "clients' links" in capsys.readouterr().err
    assert command.main(["--clients", "99"]) == command.USAGE_ERROR


def test_a_missing_library_is_reported_before_anything_starts(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(command, "find_spec", lambda name: None)
    assert command.main(["--plot", "x.png"]) == command.USAGE_ERROR
    assert "--plot needs matplotlib: pip install '.[plot]'" in capsys.readouterr().err
    assert command.main(["--scenario", "migrate"]) == command.USAGE_ERROR
    assert "needs h11 and httptools: pip install -r requirements-lab.txt" in capsys.readouterr().err
