"""A key-value store on a write-ahead log: each change is one record; a commit writes a group.

A snapshot of all entries replaces the log once it is long. `store_reader` documents the files,
`record_format` their binary format.
"""

from __future__ import annotations

import os
from typing import Final

import msgspec

from ingress.storage.errors import StoreFailedError, StoreLockedError
from ingress.storage.file_system import File, FileSystem
from ingress.storage.record_format import (
    FORMAT_VERSION,
    MAX_BODY_BYTES,
    FileHeader,
    encode_record,
)
from ingress.storage.store_reader import (
    LOG_PREFIX,
    SNAPSHOT_PREFIX,
    UNFINISHED_SUFFIX,
    read_store,
)

STORE_ID_BYTES: Final = 8
MAX_ENTRY_BYTES: Final = MAX_BODY_BYTES - 64  # of key and value, without encoding overhead
MAX_ENTRIES: Final = 1_000_000
MAX_LOG_BYTES: Final = 8 << 20  # beyond, a snapshot replaces the log
SET_ASIDE_PREFIX: Final = "left-"


class Store:
    """A durable mapping of keys to values; not thread-safe.

    A change is durable once a later `commit` has returned. `position` is the number of the last
    change, `durable_position` that of the last durable change. `store_id` stays the same for the
    lifetime of the folder, even if the latest changes are lost: other instances know the last
    durable position of the store, and so detect the loss.

    Raises:
        StoreLockedError: another process has locked the folder.
        CorruptStoreError: the folder belongs to another owner, or has files of another store or
            format version; nothing in it is overwritten.
        StoreFailedError: the first file can't be written.
        OSError: the folder can't be read.
    """

    def __init__(self, file_system: FileSystem, owner: str) -> None:
        if not file_system.lock():
            raise StoreLockedError("lock: another process has locked this folder")
        self.file_system = file_system
        self.owner = owner
        self.recovered = read_store(file_system, owner)
        self.store_id = self.recovered.store_id or os.urandom(STORE_ID_BYTES)
        self.entries = dict(self.recovered.entries)
        self.position = self.recovered.position
        self.durable_position = self.recovered.position
        self.failure = ""  # the reason why changes are rejected; empty while the store is usable
        self.uncommitted: list[bytes] = []
        self.commits = 0
        self.log_bytes = 0
        self.file: File | None = None
        self._start_log()

    def put(self, key: bytes, value: bytes) -> None:
        """Sets a key.

        Raises:
            ValueError: the entry is too long, or the store is full.
            StoreFailedError: an earlier write failed.
        """
        size = len(key) + len(value)
        if size > MAX_ENTRY_BYTES:
            raise ValueError(f"entry of {size} bytes: at most {MAX_ENTRY_BYTES} are allowed")
        if len(self.entries) >= MAX_ENTRIES:
            raise ValueError(f"{len(self.entries)} entries: at most {MAX_ENTRIES} are allowed")
        self._append(key, value)
        self.entries[key] = value

    def delete(self, key: bytes) -> None:
        """Removes a key if it exists.

        Raises:
            StoreFailedError: an earlier write failed.
        """
        if self.entries.pop(key, None) is not None:
            self._append(key, None)

    def _append(self, key: bytes, value: bytes | None) -> None:
        self._check_usable()
        self.position += 1
        body = msgspec.msgpack.encode((key, value))
        self.uncommitted.append(encode_record(self.position, body))

    def _check_usable(self) -> None:
        if self.failure:
            raise StoreFailedError(self.failure)

    def commit(self) -> int:
        """Makes all changes so far durable; returns the position of the last one.

        Raises:
            StoreFailedError: this write or an earlier one failed.
        """
        self._check_usable()
        if not self.uncommitted:
            return self.durable_position
        position = self.position
        data = b"".join(self.uncommitted)
        self.uncommitted = []
        try:
            assert self.file is not None
            self.file.write(data)
            self.file.sync()
            self.durable_position = position
            self.log_bytes += len(data)
            self.commits += 1
            if self.log_bytes > MAX_LOG_BYTES:
                self._replace_log_by_snapshot()
        except OSError as error:
            self._fail(error)
        return self.durable_position

    def _fail(self, error: OSError) -> None:
        self.failure = f"{type(error).__name__}: {error.strerror or error}"
        self.uncommitted = []
        raise StoreFailedError(self.failure) from error

    def _start_log(self) -> None:
        """Opens a new log for this process; never appends to a log of an earlier process.

        After a fault the old files still contain abandoned changes, which must never be read as the
        successors of the recovered ones. So the recovered entries are rewritten, and the old files
        are set aside.
        """
        try:
            if self.recovered.faults:
                self._rewrite_after_fault()
            else:
                self._open_log()
        except OSError as error:
            self._fail(error)

    def _header(self, snapshot: bool, entries: int = 0) -> bytes:
        header = FileHeader(FORMAT_VERSION, self.owner, self.store_id, snapshot, entries)
        return encode_record(0, msgspec.msgpack.encode(header))

    def _open_log(self) -> None:
        name = f"{LOG_PREFIX}{self.position + 1:08d}"
        if name in self.file_system.names():
            self._set_aside(name)  # it has no changes, or the position would be greater
        header = self._header(snapshot=False)
        file = self.file_system.create(name)
        file.write(header)
        file.sync()
        if self.file is not None:
            self.file.close()
        self.file = file
        self.log_bytes = len(header)

    def _set_aside(self, name: str) -> None:
        self.file_system.rename(name, f"{SET_ASIDE_PREFIX}{os.urandom(4).hex()}-{name}")

    def _write_snapshot(self) -> str:
        """Writes all entries to a new file and returns its name."""
        name = f"{SNAPSHOT_PREFIX}{self.position:08d}"
        unfinished = name + UNFINISHED_SUFFIX
        file = self.file_system.create(unfinished)
        records = [
            encode_record(self.position, msgspec.msgpack.encode(entry))
            for entry in self.entries.items()
        ]
        file.write(self._header(snapshot=True, entries=len(self.entries)) + b"".join(records))
        file.sync()
        file.close()
        self.file_system.rename(unfinished, name)
        return name

    def _rewrite_after_fault(self) -> None:
        """Writes a snapshot and a new log, and sets all earlier files aside."""
        old_names = self.file_system.names()
        snapshot = self._write_snapshot()
        for name in old_names:
            if name != snapshot:
                self._set_aside(name)
        self._open_log()

    def _replace_log_by_snapshot(self) -> None:
        """Writes a snapshot and a new log, and removes the files that they replace."""
        old_names = self.file_system.names()
        snapshot = self._write_snapshot()
        for name in old_names:
            if name == snapshot:
                continue
            if name.startswith(LOG_PREFIX):
                self._set_aside(name)
            else:
                self.file_system.remove(name)
        self._open_log()
        for name in self.file_system.names():
            if name.startswith(SET_ASIDE_PREFIX):
                self.file_system.remove(name)

    def close(self) -> None:
        """Commits the remaining changes, unless the store has failed, and unlocks the folder.

        Raises:
            StoreFailedError: the last commit failed.
        """
        if self.file is not None and not self.failure:
            self.commit()
            self.file.close()
        self.failure = self.failure or "closed"
        self.file_system.unlock()
