"""The interface to files, and its implementation on the operating system.

Tests replace the implementation with a corrupting disk.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Final, Protocol

LOCK_FILE: Final = "lock"
NOT_LOCKED: Final = -1  # used instead of a file descriptor


class File(Protocol):
    """An append-only file. Each call may raise OSError."""

    def write(self, data: bytes) -> None:
        """Appends all of `data`; a crash may lose it until `sync` has returned."""

    def sync(self) -> None:
        """Returns once everything written is durable.

        After an error, treat all data written since the last success as lost, even if a second call
        succeeds (Rebello et al., "Can Applications Recover from fsync Failures?", 2020).
        """

    def close(self) -> None:
        """Closes the file without a sync."""


class FileSystem(Protocol):
    """The files of one folder. Each call may raise OSError."""

    def lock(self) -> bool:
        """Locks the folder for this process; returns False if another process has locked it."""

    def unlock(self) -> None:
        """Unlocks the folder if this process has locked it."""

    def names(self) -> list[str]:
        """Returns the sorted names of all files except the lock file."""

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""

    def create(self, name: str) -> File:
        """Returns a new empty file; replaces an existing file of that name."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically; the new name is durable on return."""

    def remove(self, name: str) -> None:
        """Deletes a file."""


class OsFile:
    """An append-only file of the operating system."""

    def __init__(self, path: Path) -> None:
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)

    def write(self, data: bytes) -> None:
        """Appends all of `data`, in several system calls if necessary."""
        while data:
            data = data[os.write(self.fd, data) :]

    def sync(self) -> None:
        """Returns once the written data is on the device."""
        os.fdatasync(self.fd)

    def close(self) -> None:
        """Closes the file descriptor."""
        os.close(self.fd)


class OsFileSystem:
    """The files of a folder of the operating system; creates the folder if necessary."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lock_fd = NOT_LOCKED
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Locks the folder for this process; returns False if another process has locked it."""
        self.lock_fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.unlock()
            return False
        return True

    def unlock(self) -> None:
        """Unlocks the folder if this process has locked it."""
        if self.lock_fd != NOT_LOCKED:
            os.close(self.lock_fd)
            self.lock_fd = NOT_LOCKED

    def names(self) -> list[str]:
        """Returns the sorted names of all files except the lock file."""
        return sorted(path.name for path in self.folder.iterdir() if path.name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Returns the whole content of a file."""
        return (self.folder / name).read_bytes()

    def create(self, name: str) -> OsFile:
        """Returns a new empty file whose name is durable."""
        file = OsFile(self.folder / name)
        self._sync_folder()
        return file

    def rename(self, old: str, new: str) -> None:
        """Renames a file; the new name is durable on return."""
        (self.folder / old).rename(self.folder / new)
        self._sync_folder()

    def remove(self, name: str) -> None:
        """Deletes a file; after a crash it may exist again."""
        (self.folder / name).unlink()

    def _sync_folder(self) -> None:
        # A new name survives a crash only after its folder is synced.
        fd = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
