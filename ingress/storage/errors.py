"""Errors of the storage package."""

from __future__ import annotations


class StoreError(Exception):
    """The store can't be used, or has become unusable."""


class StoreLockedError(StoreError):
    """Another process has locked the folder."""


class CorruptStoreError(StoreError):
    """The folder has no usable store and is unchanged; the text names the file and the cause."""


class StoreFailedError(StoreError):
    """A write failed: uncommitted changes are lost, and further changes are rejected."""


class DamagedRecordError(StoreError):
    """A record is incomplete or its checksum does not match; the text names the byte offset."""
