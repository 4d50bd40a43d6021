"""[members] in the operator's file: errors name the file and the setting and contain no key."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

import pytest

from ingress.platform.operator_config import Membership, OperatorConfigError, read_operator_config

KEY = "00112233445566778899aabbccddeeff"
NO_CHANGES: Mapping[str, str | None] = {}
VALID_SETTINGS: Mapping[str, str | None] = {
    "address": '"127.0.0.1:7100"',
    "seeds": '["127.0.0.2:7100"]',
    "keys": '"keys"',
}


def read(
    folder: Path,
    changes: Mapping[str, str | None] = NO_CHANGES,
    key_lines: str = f"3 {KEY}\n",
    mode: int = 0o600,
) -> Membership | None:
    rows = {key: value for key, value in {**VALID_SETTINGS, **changes}.items() if value is not None}
    path, text = (
        folder / "ingress.toml",
        "".join(f"{key} = {value}\n" for key, value in rows.items()),
    )
    path.write_text("[members]\n" + text, encoding="utf-8")
    (folder / "keys").write_text(key_lines, encoding="ascii")
    (folder / "keys").chmod(mode)
    return read_operator_config(path, frozenset({"resp2-v1"}), frozenset({"resp2-v1"})).membership


def test_valid_settings_are_read_and_the_first_key_is_active(tmp_path: Path) -> None:
    members = read(
        tmp_path,
        {"advertise": '"127.0.0.9:7101"', "period_s": "1.5"},
        f"3 {KEY}\n\n4 {KEY[::-1]}\n",
    )
    assert members is not None
    assert members.address == ("127.0.0.1", 7100)
    assert members.advertise == ("127.0.0.9", 7101)
    assert members.seeds == (("127.0.0.2", 7100),)
    assert members.protocol_period == 1.5
    assert members.active_key_id == 3
    assert sorted(members.keys) == [3, 4]
    assert KEY[:8] not in repr(members)
    assert "3322" not in repr(members)


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"address": None}, "members: address"),
        ({"address": '"127.0.0.1:0"'}, "port 0"),
        ({"address": '"nowhere"'}, "members: address"),
        ({"seeds": "[]"}, "members: seeds"),
        ({"seeds": '"127.0.0.2:1"'}, "members: seeds"),
        ({"seeds": '["x"]'}, "seeds 1"),
        ({"seeds": '["127.0.0.2:1"' + ', "127.0.0.2:1"' * 32 + "]"}, "1 to 32"),
        ({"keys": None}, "members: keys"),
        ({"keys": '"none"'}, "FileNotFoundError"),
        ({"period_s": "0"}, "period_s"),
        ({"period_s": "true"}, "period_s"),
        ({"period_s": "1e9"}, "period_s"),
        ({"advertise": '"127.0.0.1:0"'}, "advertise"),
        ({"port": "1"}, "port: unknown key; allowed are address"),
    ],
)
def test_an_invalid_setting_is_rejected_with_its_name_and_the_file(
    tmp_path: Path, changes: dict[str, str | None], words: str
) -> None:
    with pytest.raises(OperatorConfigError, match=words) as error:
        read(tmp_path, changes)
    assert str(tmp_path) in str(error.value)


@pytest.mark.parametrize(
    ("keys", "words"),
    [
        ("", "0 keys"),
        ("x y\n", "line 1: key id is not a number from 0 to 255, unique in the file"),
        (f"256 {KEY}\n", "line 1: key id is not a number from 0 to 255"),
        (f"1 {KEY}\n1 {KEY}\n", "line 2: key id is not a number from 0 to 255"),
        ("1 zz\n", "line 1: not a key"),
        ("1 0011\n", "line 1: not a key"),
        (f"1 {KEY * 5}\n", "line 1: not a key"),
        ("".join(f"{n} {KEY}\n" for n in range(9)), "9 keys"),
    ],
)
def test_invalid_keys_are_rejected_without_showing_them(
    tmp_path: Path, keys: str, words: str
) -> None:
    with pytest.raises(OperatorConfigError, match=words) as error:
        read(tmp_path, key_lines=keys)
    assert KEY not in str(error.value)
    assert "zz" not in str(error.value)


def test_a_key_file_readable_by_other_users_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(OperatorConfigError, match="make it 0600"):
        read(tmp_path, mode=0o644)


def test_no_membership_module_is_imported_while_membership_is_disabled() -> None:
    script = (
        "import sys, ingress.application, ingress.service\n"
        "assert not [n for n in sys.modules if n.startswith(('msgspec', 'ingress.membership', "
        "'ingress.components.membership_transport', 'ingress.simulation', "
        "'ingress.fleet_shedding.gossip_bridge'))]"
    )
    subprocess.run(
        [sys.executable, "-c", script],
        check=True,
        timeout=60,
        cwd=Path(__file__).resolve().parent.parent,
    )
