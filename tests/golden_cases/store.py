"""Store folders of the write-ahead log."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import patch

from tests.golden_cases.names import LOG_LIMIT, OsFileSystem, Store, read_store, write_ahead_log
from tests.golden_cases.plain import fixed_random_bytes

STORES: dict[str, dict[bytes, bytes]] = {
    "two_generations": {b"k0": b"v0", b"k2": b"changed", b"k3": b"", b"new": b"\x00\xff"},
    "compacted": {b"k%d" % n: b"value %d" % n * 5 for n in range(2, 9)} | {b"late": b"x"},
}


def write_two_generations(folder: Path) -> None:
    """Writes a store that is closed, opened again and changed."""
    store = Store(OsFileSystem(folder), "edge-1")
    for number in range(4):
        store.put(b"k%d" % number, b"v%d" % number)
        store.commit()
    store.close()
    store = Store(OsFileSystem(folder), "edge-1")
    store.delete(b"k1")
    store.put(b"k2", b"changed")
    store.put(b"k3", b"")
    store.commit()
    store.put(b"new", b"\x00\xff")
    store.close()


def write_compacted(folder: Path) -> None:
    """Writes a store whose log grows until a snapshot replaces it, then more changes."""
    with patch.object(write_ahead_log, LOG_LIMIT, 400):
        store = Store(OsFileSystem(folder), "edge-1")
        for number in range(9):
            store.put(b"k%d" % number, b"value %d" % number * 5)
            store.commit()
            if number == 1:
                store.delete(b"k0")
                store.delete(b"k1")
        store.put(b"late", b"x")
        store.close()


def write_store(name: str, folder: Path) -> None:
    """Writes the named store to a folder; each opening of a store starts a new file."""
    with fixed_random_bytes():
        {"two_generations": write_two_generations, "compacted": write_compacted}[name](folder)


def files_of(folder: Path) -> dict[str, str]:
    """Returns the bytes of each file except the lock, as hex digits."""
    return {path.name: path.read_bytes().hex() for path in folder.iterdir() if path.name != "lock"}


def read_contents(folder: Path) -> tuple[dict[bytes, bytes], int, list[str], bytes]:
    """Returns the rows, position, faults and identity of a store, read without changing it."""
    contents = read_store(OsFileSystem(folder), "edge-1")
    return contents.entries, contents.position, contents.faults, contents.store_id
