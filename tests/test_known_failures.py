"""Tests that only the listed known failures may fail, and that each listed test exists."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_failures import (
    KNOWN_FAILURES_FILE,
    KnownFailure,
    KnownFailuresError,
    parse_known_failures,
    read_known_failures,
)

ROOT = KNOWN_FAILURES_FILE.parent
ENTRY = "test: tests/test_x.py::test_y\ncommand: pytest\nseen: it failed\nissue: 7\n"
SUITE = """
from tests.known_failures import mark_known_failures, pytest_terminal_summary
import tests.known_failures as known

LISTED = known.KnownFailure("test_sample.py::test_listed", "c", "s", "7")
known.read_known_failures = lambda: (LISTED,)

def pytest_collection_modifyitems(items):
    mark_known_failures(items)
"""


def run_pytest(*arguments: str, folder: Path = ROOT) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )


def run_sample(folder: Path, body: str) -> subprocess.CompletedProcess[str]:
    (folder / "conftest.py").write_text(SUITE, encoding="utf-8")
    (folder / "test_sample.py").write_text(body, encoding="utf-8")
    return run_pytest("--rootdir", str(folder), "test_sample.py", folder=folder)


def test_each_entry_names_a_test_that_exists() -> None:
    for entry in read_known_failures():
        collected = run_pytest("--collect-only", entry.test)
        assert collected.returncode == 0, (
            f"KNOWN-RED.txt: {entry.test}: no such test\n{collected.stdout}"
        )


def test_a_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path: Path) -> None:
    completed = run_sample(tmp_path, "def test_listed():\n    assert False\n")
    assert completed.returncode == 0
    assert "KNOWN-RED test_sample.py::test_listed: failed, as known" in completed.stdout


def test_a_listed_test_that_passes_is_printed(tmp_path: Path) -> None:
    completed = run_sample(tmp_path, "def test_listed():\n    pass\n")
    assert completed.returncode == 0
    assert "KNOWN-RED test_sample.py::test_listed: passed this time" in completed.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    body = "def test_listed():\n    assert False\n\ndef test_other():\n    assert False\n"
    completed = run_sample(tmp_path, body)
    assert completed.returncode == 1
    assert "FAILED test_sample.py::test_other" in completed.stdout


def test_an_entry_consists_of_test_command_seen_and_issue() -> None:
    expected = KnownFailure("tests/test_x.py::test_y", "pytest", "it failed", "7")
    assert parse_known_failures(f"# words\n\n{ENTRY}\n{ENTRY}") == (expected, expected)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (ENTRY.replace("issue: 7\n", ""), "issue missing"),
        (ENTRY + "issue: 8\n", "'issue: 8'"),
        (ENTRY + "until: later\n", "'until: later'"),
        (ENTRY.replace("it failed", " "), "'seen:  '"),
    ],
)
def test_an_incomplete_or_invalid_entry_is_rejected(text: str, message: str) -> None:
    with pytest.raises(KnownFailuresError, match=message):
        parse_known_failures(text)
