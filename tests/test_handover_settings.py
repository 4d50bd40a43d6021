"""[handover] in the operator's file, and the command that shows the records in a store."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

import pytest

from ingress.handover import record_codec
from ingress.handover.replica import Grant, Record, Replica
from ingress.handover.transition_table import Phase
from ingress.platform.operator_config import Handover, OperatorConfigError, read_operator_config
from ingress.storage.file_system import OsFileSystem
from ingress.storage.write_ahead_log import Store

PEERS = '{ "a" = "127.0.0.1:7200", "b" = "127.0.0.2:7200", "c" = "127.0.0.3:7200" }'
VALID = {"address": '"127.0.0.1:7200"', "peers": PEERS, "keys": '"keys"'}


def load(folder: Path, changes: Mapping[str, str | None]) -> Handover | None:
    table = {key: value for key, value in {**VALID, **changes}.items() if value is not None}
    path = folder / "ingress.toml"
    path.write_text(
        "[handover]\n" + "".join(f"{k} = {v}\n" for k, v in table.items()), encoding="utf-8"
    )
    (folder / "keys").write_text("1 00112233445566778899aabbccddeeff\n", encoding="ascii")
    (folder / "keys").chmod(0o600)
    return read_operator_config(path, frozenset({"resp2-v1"}), frozenset({"resp2-v1"})).handover


def test_reads_valid_settings(tmp_path: Path) -> None:
    settings = load(
        tmp_path, {"store": '"held"', "bound_ms": "20", "copies": "1", "repeats": "false"}
    )
    assert settings is not None
    assert settings.storage_dir == tmp_path / "held"
    assert settings.max_delay == 0.02
    assert settings.copies == 1
    assert not settings.resend
    assert settings.peers["b"] == ("127.0.0.2", 7200)
    assert "0011" not in repr(settings)


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"address": None}, "handover: address: ''"),
        ({"address": '"127.0.0.1:0"'}, "handover: address: port 0"),
        ({"peers": "{}"}, "handover: peers: not a table of 1 to 64"),
        (
            {"peers": '{ "a" = "127.0.0.1:7200" }'},
            "handover: peers: 1 given, but copies = 2 needs at least 3",
        ),
        ({"peers": '{ "a" = "127.0.0.1" }', "copies": "1"}, "handover: peers: a: '127.0.0.1'"),
        ({"copies": "3"}, "handover: copies: 3 is not a number from 1 to 2"),
        ({"copies": "1.5"}, "handover: copies: 1.5 is not a whole number"),
        ({"bound_ms": "true"}, "handover: bound_ms: True is not"),
        ({"bound_ms": "0"}, "from 1 to 1000"),
        ({"window_s": "nan"}, "handover: window_s: nan is not a number"),
        ({"window_s": "20"}, "handover: forget_s: 30 is less than twice window_s (20 s)"),
        ({"repeats": '"no"'}, "handover: repeats: 'no' is neither true nor false"),
        ({"keys": None}, "handover: keys: must be a file name"),
        ({"keys": '"none"'}, "handover: keys: "),
        ({"store": "3"}, "handover: store: must be a directory name"),
        ({"speed": "3"}, "handover: speed: unknown key; allowed are address"),
    ],
)
def test_rejects_invalid_settings_and_names_file_key_and_cause(
    tmp_path: Path, changes: Mapping[str, str | None], words: str
) -> None:
    with pytest.raises(OperatorConfigError) as error:
        load(tmp_path, changes)
    assert str(tmp_path / "ingress.toml") in str(error.value)
    assert words in str(error.value)


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ingress.handover", *arguments],
        capture_output=True,
        text=True,
        check=False,
        cwd=Path(__file__).parent.parent,
    )


def test_show_and_check_report_records_and_completeness_of_a_store(
    tmp_path: Path,
) -> None:
    folder = tmp_path / "held"
    holder = Grant("ingress-1", 7, 3)
    store = Store(OsFileSystem(folder), "ingress-1")
    store.put(record_codec.INCARNATION_KEY, (7).to_bytes(8, "big"))
    store.put(b"n" * 16, record_codec.encode(Record(Phase.SENT, holder, b"d" * 8, 99.0, 100.0)))
    store.commit()
    result = run_command("show", "--owner", "ingress-1", str(folder))
    assert result.returncode == 0
    assert "1 sent" in result.stdout
    assert "ingress-1 7/3" in result.stdout
    summary = json.loads(run_command("check", "--owner", "ingress-1", str(folder), "--json").stdout)
    assert summary["whole"]
    assert summary["position"] == 2
    assert summary["life"] == 7
    assert summary["phases"] == {"sent": 1}
    other = run_command("check", "--owner", "ingress-2", str(folder))
    assert other.returncode == 2
    assert "belongs to ingress-1" in other.stderr
    assert run_command("check", "--owner", "x", str(tmp_path / "none")).returncode == 2
    log = folder / "log-00000001"
    log.write_bytes(log.read_bytes()[:-3])
    torn = run_command("check", "--owner", "ingress-1", str(folder))
    assert torn.returncode == 1
    assert "NOT WHOLE" in torn.stdout
    assert "torn at byte" in torn.stdout


def test_recovered_record_is_too_old_to_be_resent() -> None:
    """A clock set back between two processes would otherwise make the record look recent."""
    replica = Replica()
    entries = {
        b"n" * 16: record_codec.encode(Record(Phase.SENT, Grant("a", 1, 1), b"d", 103.0, 104.0)),
        b"bad": b"\xc1",
        b"m" * 16: b"\xc1",
        record_codec.INCARNATION_KEY: (9).to_bytes(8, "big"),
    }
    assert record_codec.recover(replica, entries, 100.0, 4.0) == 9
    [(name, record)] = replica.records.items()
    assert name == b"n" * 16
    assert 100.0 - record.opened_at >= 4.0
    assert record.phase is Phase.SENT
