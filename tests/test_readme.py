"""Tests that the README's example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).resolve().parent.parent / "README.md"


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert len(blocks) == 1
    names: dict[str, object] = {}
    exec(compile(blocks[0], str(README), "exec"), names)
    assert names["actions"]
