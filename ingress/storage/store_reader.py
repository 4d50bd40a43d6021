"""Reads the content of a store's folder without changing it.

    snap-00000012   all entries as of position 12; complete before it gets this name
    log-00000013    the changes from position 13 on

Positions number the changes of a store from its first one without gaps, so that a single number
identifies its state.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

import msgspec

from ingress.storage.errors import CorruptStoreError, DamagedRecordError
from ingress.storage.file_system import FileSystem
from ingress.storage.record_format import FORMAT_VERSION, FileHeader, LogRecord, decode_records

SNAPSHOT_PREFIX: Final = "snap-"
LOG_PREFIX: Final = "log-"
UNFINISHED_SUFFIX: Final = ".new"

Entry = tuple[bytes, bytes | None]
"""A key and its value, or None if the key is deleted."""
_entry: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_header: msgspec.msgpack.Decoder[FileHeader] = msgspec.msgpack.Decoder(FileHeader)


@dataclass(slots=True)
class StoreContents:
    """The readable content of a folder.

    `position`: the last readable change; `faults`: descriptions of the faults after it, each with
    its file, the first cause first; `store_id`: random id from the store's creation, empty if no
    file was readable.
    """

    store_id: bytes = b""
    position: int = 0
    entries: dict[bytes, bytes] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


def read_store(file_system: FileSystem, owner: str) -> StoreContents:
    """Returns the readable content of the folder.

    Raises:
        CorruptStoreError: the folder belongs to another owner, a file has another format version,
            or the files belong to different stores.
        OSError: the file system reports an error.
    """
    contents = StoreContents()
    names = file_system.names()
    snapshots = [
        name
        for name in names
        if name.startswith(SNAPSHOT_PREFIX) and not name.endswith(UNFINISHED_SUFFIX)
    ]
    for name in reversed(snapshots):
        # If a snapshot is unreadable, an earlier one and its logs may still exist.
        if _read_snapshot(file_system, name, owner, contents):
            break
    for name in names:
        if name.startswith(LOG_PREFIX) and not _read_log(file_system, name, owner, contents):
            break
    return contents


def _read_header(
    name: str, records: Iterator[LogRecord], owner: str, contents: StoreContents
) -> FileHeader | None:
    """Returns the header of a file; if it is unreadable, adds a fault and returns None."""
    try:
        first = next(records, None)
    except DamagedRecordError as error:
        contents.faults.append(f"{name}: {error}")
        return None
    if first is None:
        contents.faults.append(f"{name}: empty")
        return None
    try:
        header = _header.decode(first.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        contents.faults.append(f"{name}: invalid file header")
        return None
    if header.version != FORMAT_VERSION:
        raise CorruptStoreError(
            f"{name}: version {header.version}, this program reads {FORMAT_VERSION}"
        )
    if header.owner != owner:
        raise CorruptStoreError(f"{name}: belongs to {header.owner}, not to {owner}")
    if contents.store_id and header.store_id != contents.store_id:
        raise CorruptStoreError(f"{name}: comes from another store than the files before it")
    return header


def _read_snapshot(file_system: FileSystem, name: str, owner: str, contents: StoreContents) -> bool:
    """Reads a snapshot; if it is incomplete, adds a fault and returns False."""
    records = decode_records(file_system.read(name))
    header = _read_header(name, records, owner, contents)
    if header is None:
        return False
    entries: dict[bytes, bytes] = {}
    position = 0
    try:
        for record in records:
            position = record.position
            key, value = _entry.decode(record.body)
            entries[key] = value or b""
    except DamagedRecordError as error:
        contents.faults.append(f"{name}: {error}")
        return False
    if len(entries) != header.entries:
        contents.faults.append(f"{name}: {len(entries)} entries instead of {header.entries}")
        return False
    contents.store_id = header.store_id
    contents.entries = entries
    contents.position = position if entries else int(name.removeprefix(SNAPSHOT_PREFIX))
    return True


def _read_log(file_system: FileSystem, name: str, owner: str, contents: StoreContents) -> bool:
    """Applies a log; if later logs must not be applied, adds a fault and returns False."""
    records = decode_records(file_system.read(name))
    header = _read_header(name, records, owner, contents)
    if header is None:
        return False
    contents.store_id = header.store_id
    try:
        for record in records:
            if record.position <= contents.position:
                continue  # included in the snapshot
            if record.position != contents.position + 1:
                contents.faults.append(
                    f"{name}: position {record.position} after {contents.position}"
                )
                return False
            _apply(record, contents)
    except DamagedRecordError as error:
        contents.faults.append(f"{name}: {error}")
        return False
    return True


def _apply(record: LogRecord, contents: StoreContents) -> None:
    key, value = _entry.decode(record.body)
    contents.position = record.position
    if value is None:
        contents.entries.pop(key, None)
    else:
        contents.entries[key] = value
