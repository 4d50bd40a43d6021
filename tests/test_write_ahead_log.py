"""The store on a corrupting disk: committed entries are kept, or their loss is detected."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ingress.storage import store_reader, write_ahead_log
from ingress.storage.errors import CorruptStoreError, StoreFailedError, StoreLockedError
from ingress.storage.file_system import OsFileSystem
from ingress.storage.store_reader import read_store
from ingress.storage.write_ahead_log import Store
from tests.corrupting_disk import CorruptingDisk


def store_with_entries(disk: CorruptingDisk, count: int = 5) -> Store:
    store = Store(disk, "a")
    for number in range(count):
        store.put(b"k%d" % number, b"v%d" % number)
        store.commit()
    return store


def test_real_folder_returns_committed_entries_and_locks_out_a_second_process(
    tmp_path: Path,
) -> None:
    store = Store(OsFileSystem(tmp_path / "s"), "a")
    store.put(b"k", b"1")
    store.put(b"k", b"2")
    store.put(b"l", b"3")
    store.delete(b"l")
    assert store.commit() == 4
    assert store.durable_position == 4
    with pytest.raises(StoreLockedError, match="lock: another process"):
        Store(OsFileSystem(tmp_path / "s"), "a")
    store.close()
    assert Store(OsFileSystem(tmp_path / "s"), "a").entries == {b"k": b"2"}
    contents = read_store(OsFileSystem(tmp_path / "s"), "a")
    assert contents.entries == {b"k": b"2"}
    assert contents.position == 4
    assert not contents.faults
    assert contents.store_id == store.store_id


def test_crash_loses_only_uncommitted_changes() -> None:
    disk = CorruptingDisk()
    store = store_with_entries(disk)
    store.put(b"late", b"x")
    crashed_disk = disk.after_crash()
    recovered = Store(crashed_disk, "a")
    assert recovered.position == 5
    assert b"late" not in recovered.entries
    assert recovered.store_id == store.store_id
    recovered.put(b"new", b"y")
    assert recovered.commit() == 6
    assert Store(crashed_disk.after_crash(), "a").entries == {
        b"k%d" % n: b"v%d" % n for n in range(5)
    } | {b"new": b"y"}


@pytest.mark.parametrize(
    "corruption", ["lose_tail", "tear", "flip_bit", "stale_block", "misdirect"]
)
def test_corruption_is_detected_and_a_committed_prefix_is_kept(corruption: str) -> None:
    """The store keeps a prefix of the committed changes, and its position is that prefix's end."""
    disk = CorruptingDisk()
    store_with_entries(disk, 40)
    crashed_disk = disk.after_crash()
    assert getattr(crashed_disk, corruption)(), "the disk was not corrupted"
    contents = read_store(crashed_disk, "a")
    assert contents.position < 40
    assert contents.entries == {b"k%d" % n: b"v%d" % n for n in range(contents.position)}
    assert contents.faults or corruption == "lose_tail"
    # The store continues from there, and applies none of the lost changes.
    store = Store(crashed_disk, "a")
    store.put(b"again", b"1")
    assert store.commit() == contents.position + 1
    assert read_store(crashed_disk, "a").entries[b"again"] == b"1"


def test_disk_that_ignores_syncs_loses_only_the_latest_changes() -> None:
    disk = CorruptingDisk(ignores_syncs=True)
    store = store_with_entries(disk, 40)
    assert store.durable_position == 40  # as the disk reported
    contents = read_store(disk.after_crash(), "a")
    assert contents.position < 40
    assert disk.ignored_syncs > 0
    assert contents.entries == {b"k%d" % n: b"v%d" % n for n in range(contents.position)}


@pytest.mark.parametrize(
    ("call", "error_number"), [("sync", errno.EIO), ("write", errno.ENOSPC), ("write", errno.EIO)]
)
def test_rejects_changes_after_a_failed_write(call: str, error_number: int) -> None:
    disk = CorruptingDisk()
    store = store_with_entries(disk)
    disk.errors[call] = error_number
    store.put(b"lost", b"x")
    with pytest.raises(StoreFailedError):
        store.commit()
    disk.errors.clear()  # a later sync that succeeds would not make the data durable
    assert store.durable_position == 5
    for change in (store.commit, lambda: store.put(b"more", b"y")):
        with pytest.raises(StoreFailedError):
            change()
    assert read_store(disk.after_crash(), "a").position == 5


def test_does_not_start_on_an_unreadable_disk() -> None:
    disk = CorruptingDisk()
    store_with_entries(disk)
    disk.errors["read"] = errno.EIO
    with pytest.raises(OSError, match="Input/output"):
        Store(disk.after_crash(), "a")


def test_rejects_another_owners_folder_and_another_version_and_leaves_them_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    disk = CorruptingDisk()
    store_with_entries(disk)
    before = dict(disk.after_crash().durable)
    with pytest.raises(CorruptStoreError, match="log-00000001: belongs to a, not to b"):
        Store(disk.after_crash(), "b")
    monkeypatch.setattr(store_reader, "FORMAT_VERSION", 2)
    crashed_disk = disk.after_crash()
    with pytest.raises(CorruptStoreError, match="log-00000001: version 1, this program reads 2"):
        Store(crashed_disk, "a")
    assert crashed_disk.durable == before


def test_snapshot_replaces_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_ahead_log, "MAX_LOG_BYTES", 2000)
    disk = CorruptingDisk()
    store = store_with_entries(disk, 200)
    names = disk.names()
    assert len(names) == 2, names
    assert names[1].startswith("snap-"), names
    contents = read_store(disk.after_crash(), "a")
    assert contents.position == 200
    assert contents.entries == store.entries
    assert not contents.faults


class StoreStateMachine(RuleBasedStateMachine):
    """Changes, commits, snapshots and crashes in any order.

    After each step the disk has exactly the committed entries.
    """

    def __init__(self) -> None:
        super().__init__()
        self.disk = CorruptingDisk()
        self.store = Store(self.disk, "a")
        self.committed: dict[bytes, bytes] = {}
        self.current: dict[bytes, bytes] = {}
        self.crashes = 0

    @rule(key=st.sampled_from([b"a", b"b", b"c"]), value=st.binary(max_size=40))
    def put(self, key: bytes, value: bytes) -> None:
        self.store.put(key, value)
        self.current[key] = value

    @rule(key=st.sampled_from([b"a", b"b", b"c"]))
    def drop(self, key: bytes) -> None:
        self.store.delete(key)
        self.current.pop(key, None)

    @rule()
    def commit(self) -> None:
        assert self.store.commit() == self.store.position
        self.committed = dict(self.current)

    @rule()
    def snapshot(self) -> None:
        self.commit()
        self.store._replace_log_by_snapshot()

    @precondition(lambda self: self.crashes < 5)
    @rule()
    def crash(self) -> None:
        self.crashes += 1
        self.disk = self.disk.after_crash()
        self.store = Store(self.disk, "a")
        assert self.store.entries == self.committed
        self.current = dict(self.committed)

    @invariant()
    def committed_entries_are_readable(self) -> None:
        assert read_store(self.disk.after_crash(), "a").entries == self.committed


TestStoreStateMachine = StoreStateMachine.TestCase
TestStoreStateMachine.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
