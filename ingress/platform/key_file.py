"""Reads files of the keys with which instances authenticate their messages to one another."""

from __future__ import annotations

from pathlib import Path

MAX_KEYS = 8
MAX_KEY_ID = 255
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
NON_OWNER_PERMISSIONS = 0o077  # permission bits of group and others


class KeyFileError(Exception):
    """Invalid key file; the message names file, line and the allowed values, but never a key."""


def read_key_file(path: Path) -> dict[int, bytes]:
    """Reads lines of a key id and a key in hexadecimal; skips blank lines.

    Returns:
        Keys by id, in file order.  The first key authenticates outgoing messages; any key may
        authenticate incoming messages.

    Raises:
        KeyFileError: The file can't be read, group or others may access it, a line is malformed, or
            the number of keys is not allowed.
    """
    try:
        lines = path.read_text(encoding="ascii").splitlines()[: MAX_KEYS + 1]
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{path}: {type(error).__name__}") from None
    if path.stat().st_mode & NON_OWNER_PERMISSIONS:
        raise KeyFileError(f"{path}: accessible to group or others; make it 0600")
    keys: dict[int, bytes] = {}
    for number, line in enumerate(filter(str.strip, lines), 1):
        key_id, key = _read_line(f"{path}: line {number}", line, keys)
        keys[key_id] = key
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyFileError(f"{path}: {len(keys)} keys; 1 to {MAX_KEYS} are allowed")
    return keys


def _read_line(where: str, line: str, earlier: dict[int, bytes]) -> tuple[int, bytes]:
    id_text, _, key_text = line.strip().partition(" ")
    is_number = id_text.isdecimal() and id_text.isascii()
    if not is_number or int(id_text) > MAX_KEY_ID or int(id_text) in earlier:
        raise KeyFileError(
            f"{where}: key id is not a number from 0 to {MAX_KEY_ID}, unique in the file"
        )
    try:
        key = bytes.fromhex(key_text)
    except ValueError:
        key = b""
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise KeyFileError(
            f"{where}: not a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hexadecimal"
        )
    return int(id_text), key
