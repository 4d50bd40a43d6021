"""A disk that loses or alters acknowledged data, behind the store's file interface."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from ingress.storage.record_format import MAGIC

BLOCK_BYTES = 256  # unit of a disk write


@dataclass
class CorruptingFile:
    """A file of a corrupting disk."""

    disk: CorruptingDisk
    name: str

    def write(self, data: bytes) -> None:
        """Appends data that is readable, but lost in a crash until `sync`."""
        self.disk.raise_error_of("write")
        self.disk.visible[self.name] += data

    def sync(self) -> None:
        """Makes the content durable; if syncs are ignored, only every seventh one of a log does."""
        self.disk.raise_error_of("sync")
        if (
            self.disk.ignores_syncs
            and self.name in self.disk.durable
            and self.name.startswith("log-")
        ):
            self.disk.ignored_syncs += 1
            if self.disk.ignored_syncs % 7:
                return
        self.disk.durable[self.name] = self.disk.visible[self.name]

    def close(self) -> None:
        """Does nothing."""


@dataclass
class CorruptingDisk:
    """A disk in memory. `visible`: content for readers, by name; `durable`: content after a crash.

    `ignores_syncs`: most syncs of a log succeed without effect; `errors`: the errno that a call
    raises, by the name of the call.
    """

    ignores_syncs: bool = False
    visible: dict[str, bytes] = field(default_factory=dict)
    durable: dict[str, bytes] = field(default_factory=dict)
    errors: dict[str, int] = field(default_factory=dict)
    ignored_syncs: int = 0

    def raise_error_of(self, call: str) -> None:
        """Raises the OSError configured for a call, if any."""
        if number := self.errors.get(call):
            raise OSError(number, os.strerror(number))

    def lock(self) -> bool:
        """Returns True; tests of locks use real folders."""
        return True

    def unlock(self) -> None:
        """Does nothing."""

    def names(self) -> list[str]:
        """Returns the sorted names of all files."""
        return sorted(self.visible)

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        self.raise_error_of("read")
        return self.visible[name]

    def create(self, name: str) -> CorruptingFile:
        """Returns a new empty file."""
        self.raise_error_of("create")
        self.visible[name] = b""
        self.durable.pop(name, None)
        return CorruptingFile(self, name)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, durably."""
        self.visible[new] = self.visible.pop(old)
        if old in self.durable:
            self.durable[new] = self.durable.pop(old)

    def remove(self, name: str) -> None:
        """Deletes a file."""
        del self.visible[name]
        self.durable.pop(name, None)

    def after_crash(self) -> CorruptingDisk:
        """Returns the disk as it is after a crash: with the durable content only."""
        return CorruptingDisk(
            self.ignores_syncs, dict(self.durable), dict(self.durable), dict(self.errors)
        )

    # Corruptions of the longest file; each returns whether the content changed.

    def _longest(self) -> str:
        return max(self.visible, key=lambda name: len(self.visible[name]))

    def _replace_longest(self, data: bytes) -> bool:
        name = self._longest()
        changed = data != self.visible[name]
        self.visible[name] = data
        self.durable[name] = data
        return changed

    def lose_tail(self) -> bool:
        """Removes the whole last record, so that the file ends after a complete record."""
        data = self.visible[self._longest()]
        return self._replace_longest(data[: data.rindex(MAGIC)])

    def tear(self) -> bool:
        """Removes the last 5 bytes of the last record."""
        return self._replace_longest(self.visible[self._longest()][:-5])

    def flip_bit(self) -> bool:
        """Flips a bit in the middle of the file."""
        data = bytearray(self.visible[self._longest()])
        data[len(data) // 2] ^= 4
        return self._replace_longest(bytes(data))

    def stale_block(self) -> bool:
        """Replaces a block with zeros, its content from before it was written."""
        data = self.visible[self._longest()]
        start = 2 * BLOCK_BYTES
        return self._replace_longest(
            data[:start] + bytes(BLOCK_BYTES) + data[start + BLOCK_BYTES :]
        )

    def misdirect(self) -> bool:
        """Overwrites a block with the first block of the file."""
        data = self.visible[self._longest()]
        start = 2 * BLOCK_BYTES
        return self._replace_longest(
            data[:start] + data[:BLOCK_BYTES] + data[start + BLOCK_BYTES :]
        )
