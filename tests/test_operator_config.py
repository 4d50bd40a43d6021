"""The operator's file: checked as a whole when read; without it no component is imported."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ingress.components.version_translation import BACKEND_VERSIONS, CLIENT_VERSIONS
from ingress.platform.operator_config import (
    OperatorConfig,
    OperatorConfigError,
    ProtocolVersions,
    read_operator_config,
)
from tests.peers import config_text

ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("x = ", "not TOML"),
        ("listen = 3", "listen: unknown key; allowed are dialects, listener"),
        ("dialects = 3", "not a table"),
        (
            "[dialects]\ndefault = 'gopher'",
            "default: 'gopher' is not a protocol version of backends; allowed are http-v2",
        ),
        ("[dialects]\nkinds = 3", "kinds: not a table"),
        ("[dialects]\nkind = {}", "kind: unknown key"),
        ("listener = 3", "listener: not a list"),
        ("listener = [3]", "listener 1: not a table"),
        (
            "[[listener]]\ndialect = 'x'",
            "listener 1: dialect: 'x' is not a protocol version of clients; allowed are http-v2",
        ),
        (
            "[[listener]]\ndialect = ['http-v2']",
            "listener 1: dialect: ['http-v2'] is not a protocol",
        ),
        ("[[listener]]\ndialect = 'http-v2'", "listener 1: address: '' is not an address and port"),
        ("[[listener]]\ndialect = 'http-v2'\naddress = '127.0.0.1:99999'", "listener 1: address"),
        (
            "[[listener]]\ndialect = 'http-v2'\naddress = '127.0.0.1:7'\n" * 2,
            "listener 2: address: '127.0.0.1:7' is a duplicate",
        ),
        ("[dialects.kinds]\nm2 = 7", "kinds.m2: 7 is not a protocol version of backends"),
        ("[dialects.cells]\nx = 'http-v2'", "cells.x: 'x' is not a cell number"),
        ("[dialects.cells]\n9999999999 = 'http-v2'", "is not a cell number"),
    ],
)
def test_an_error_names_file_key_and_cause(text: str, words: str, tmp_path: Path) -> None:
    path = tmp_path / "ingress.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(OperatorConfigError) as error:
        read_operator_config(path, BACKEND_VERSIONS, CLIENT_VERSIONS)
    assert words in str(error.value)
    assert str(path) in str(error.value)


def test_rejects_files_that_are_not_utf8_too_long_too_deep_or_missing(tmp_path: Path) -> None:
    for path, data in (
        (tmp_path / "latin", b"x = '\xe9'"),
        (tmp_path / "long", b"#" * (1 << 20) + b"##"),
        (tmp_path / "deep", b"x = " + b"[" * 100_000),
        (tmp_path / "none", None),
    ):
        if data is not None:
            path.write_bytes(data)
        with pytest.raises(OperatorConfigError, match=str(path)):
            read_operator_config(path, BACKEND_VERSIONS, CLIENT_VERSIONS)


def test_reads_protocol_versions_by_kind_and_cell(tmp_path: Path) -> None:
    path = tmp_path / "ingress.toml"
    path.write_text(
        "[dialects]\ndefault = 'http-v2'\n[dialects.kinds]\nold = 'resp2-v1'\n"
        "[dialects.cells]\n7 = 'http-v2'\n",
        encoding="utf-8",
    )
    assert read_operator_config(
        path, BACKEND_VERSIONS, CLIENT_VERSIONS
    ).protocol_versions == ProtocolVersions("http-v2", {"old": "resp2-v1"}, {7: "http-v2"})
    path.write_text("", encoding="utf-8")
    assert read_operator_config(path, BACKEND_VERSIONS, CLIENT_VERSIONS) == OperatorConfig()


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["--operator"], "usage"),
        (["--listen", "x"], "usage"),
        (["--operator", "/nowhere/x.toml"], "/nowhere/x.toml"),
    ],
)
def test_the_program_ends_with_status_2_and_one_line(
    arguments: list[str], words: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"name": "x"}), encoding="utf-8")
    variables = environment(path)
    completed = subprocess.run(
        [sys.executable, "-m", "ingress", *arguments],
        cwd=ROOT,
        env=variables,
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert completed.returncode == 2
    assert words in completed.stderr
    assert completed.stderr.count("\n") == 1


def environment(path: Path) -> dict[str, str]:
    path.write_text(config_text(), encoding="utf-8")
    return {"EDGE_CONFIG": str(path), "PATH": "/usr/bin:/bin"}


def test_without_the_file_no_optional_module_is_imported() -> None:
    code = (
        "import sys, ingress.__main__, ingress.service; "
        "print([m for m in sys.modules if m.startswith(('ingress.protocol_versions', "
        "'ingress.http', 'ingress.components', 'ingress.platform.operator_config', "
        "'ingress.platform.key_file', "
        "'ingress.testbed', 'httptools', "
        "'ingress.handover', 'ingress.storage', 'ingress.membership', 'msgspec', 'tomllib', "
        "'argparse'))])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == "[]"
