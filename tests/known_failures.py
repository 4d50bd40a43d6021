"""Known failures: `KNOWN-RED.txt` lists the tests that may fail, each with an open issue."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seen", "issue")


class KnownFailuresError(ValueError):
    """An entry of the file has a missing, repeated or unknown field."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry: the test's node id, the command that reproduces it, the observation, the issue."""

    test: str
    command: str
    seen: str
    issue: str


def parse_known_failures(text: str) -> tuple[KnownFailure, ...]:
    """Returns the entries of the file's text, in order.

    Raises:
        KnownFailuresError: An entry doesn't contain each of the four fields exactly once.
    """
    entries = []
    for number, block in enumerate(text.split("\n\n"), 1):
        lines = [line for line in block.splitlines() if line and not line.startswith("#")]
        if not lines:
            continue
        fields: dict[str, str] = {}
        for line in lines:
            name, separator, value = line.partition(": ")
            if not separator or name not in FIELDS or name in fields or not value.strip():
                raise KnownFailuresError(
                    f"block {number}: {line!r}: expected `name: value`, once for each of "
                    f"{', '.join(FIELDS)}"
                )
            fields[name] = value.strip()
        if missing := [name for name in FIELDS if name not in fields]:
            raise KnownFailuresError(f"block {number}: {', '.join(missing)} missing")
        entries.append(KnownFailure(**fields))
    return tuple(entries)


def read_known_failures(path: Path = KNOWN_FAILURES_FILE) -> tuple[KnownFailure, ...]:
    """Returns the entries of the file; an empty tuple if the file doesn't exist."""
    return parse_known_failures(path.read_text(encoding="utf-8")) if path.exists() else ()


def mark_known_failures(items: Iterable[pytest.Item]) -> None:
    """Marks the listed tests as non-strict xfail: neither failing nor passing fails the run."""
    known = {entry.test: entry for entry in read_known_failures()}
    for item in items:
        if entry := known.get(item.nodeid):
            reason = f"KNOWN-RED.txt, issue {entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the outcome of each listed test of this run."""
    for outcome, description in (("xfailed", "failed, as known"), ("xpassed", "passed this time")):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"KNOWN-RED {report.nodeid}: {description}")
