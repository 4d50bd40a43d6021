"""EDGE_CONFIG: typed values, and for an invalid one a single message that names the key."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ingress.platform.config import ConfigurationError, read_config
from tests.peers import SETTINGS, config_text, entry

ROOT = Path(__file__).resolve().parent.parent


def test_reads_a_configuration_into_typed_values() -> None:
    config = read_config(config_text(entry(("127.0.0.1", 6379)), listen="127.0.0.1:6380"))
    assert config.listen == ("127.0.0.1", 6380)
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.max_client_connections + config.max_backend_connections < 1024
    assert [b.id for b in config.initial_endpoints.backends] == ["s1"]
    assert config.counter is None
    assert config.connect_timeout == 0.25


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"name": None}, "name"),
        ({"listen": "x"}, "listen"),
        ({"listen": "x:y"}, "listen"),
        ({"listen": "127.0.0.1:70000"}, "listen"),
        ({"discovery": 5}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"seed": None}, "seed"),
        ({"limits": None}, "limits"),
        ({"limits": {"sockets": "many"}}, "limits.sockets: 'many'"),
        ({"limits": {"sockets": 5}}, "limits.sockets: 5"),
        ({"known": {"version": 1}}, "known"),
        ({"settings": None}, "settings"),
        ({"settings": {k: v for k, v in SETTINGS.items() if k != "contracts"}}, "contracts"),
        ({"settings": SETTINGS | {"family-info": {"counter": True}}}, "counter"),
        ({"settings": SETTINGS | {"limits": {"keepalive-s": 0}}}, "settings.limits.keepalive-s: 0"),
    ],
)
def test_an_error_names_the_key_in_one_line(changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigurationError) as error:
        read_config(config_text(**changes))
    assert key in str(error.value)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("text", "key"),
    [(None, "EDGE_CONFIG"), ("{", "EDGE_CONFIG"), (config_text(seed="xyz"), "seed")],
)
def test_the_program_ends_with_one_line_that_names_the_key(
    text: str | None, key: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text, encoding="utf-8")
    completed = subprocess.run(
        [sys.executable, "-m", "ingress"],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"EDGE_CONFIG": str(path)},
    )
    assert completed.returncode != 0
    [line] = completed.stderr.splitlines()
    assert key in line
