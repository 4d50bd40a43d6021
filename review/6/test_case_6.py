"""Runs the script of case 6, which shows a known fault; not part of the default test run."""

from __future__ import annotations

import subprocess
from pathlib import Path


def test_case_6() -> None:
    """The rule of the case holds."""
    script = Path(__file__).with_name("run.sh")
    assert subprocess.run(["sh", str(script)], check=False).returncode == 0
