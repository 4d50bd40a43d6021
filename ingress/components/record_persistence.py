"""Stores a replica's records, and delays its replies until the records are durable."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

import msgspec

from ingress.handover import record_codec
from ingress.handover.coordinator import Coordinator
from ingress.handover.messages import ReplicaReply
from ingress.storage.errors import StoreFailedError
from ingress.storage.write_ahead_log import Store

log = logging.getLogger(__name__)

MAX_PENDING_REPLIES: Final = 50_000  # further replies are dropped and counted


class PendingReply(NamedTuple):
    """A reply that waits for the store, and its receiver."""

    receiver: str
    reply: ReplicaReply


class RecordPersistence:
    """Writes a replica's changes in groups: while one is written, the next one accumulates.

    `send` sends a reply. `flush` is called after a group is durable, and `flush_soon` after replies
    were sent.
    """

    def __init__(
        self,
        store: Store,
        coordinator: Coordinator,
        send: Callable[[str, ReplicaReply], None],
        flush: Callable[[], None],
        flush_soon: Callable[[], None],
    ) -> None:
        self.store = store
        self.coordinator = coordinator
        self.send = send
        self.flush = flush
        self.flush_soon = flush_soon
        self.loop = asyncio.get_running_loop()
        self.writer = ThreadPoolExecutor(1, "store")
        self.writing: asyncio.Future[int] | None = None
        self.pending: list[PendingReply] = []
        self.dropped = 0

    def send_when_durable(self, receiver: str, reply: ReplicaReply) -> None:
        """Sends a reply once all changes so far are durable; drops it if too many are pending."""
        if len(self.pending) < MAX_PENDING_REPLIES:
            self.pending.append(PendingReply(receiver, reply))
        else:
            self.dropped += 1

    def write_changes(self) -> None:
        """Starts to write the changed records, unless a group is being written."""
        replica = self.coordinator.replica
        if self.writing is not None or not (self.pending or replica.changed_names):
            return
        changed_names = replica.changed_names
        replica.changed_names = []
        pending = self.pending
        self.pending = []
        if self.store.failure:
            self._release(pending)  # their records are in memory only, as without a store
            return
        try:
            self._put(changed_names)
        except (StoreFailedError, ValueError) as error:
            self._on_failure(str(error), pending)
            return
        self.writing = self.loop.run_in_executor(self.writer, self.store.commit)
        self.writing.add_done_callback(lambda done: self._on_written(done, pending))

    def _put(self, names: list[bytes]) -> None:
        for name in dict.fromkeys(names):
            record = self.coordinator.replica.records.get(name)
            if record is None:
                self.store.delete(name)
            else:
                self.store.put(name, record_codec.encode(record))

    def _on_written(self, done: asyncio.Future[int], pending: list[PendingReply]) -> None:
        self.writing = None
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            self._on_failure(str(error), pending)
            return
        self.coordinator.durable_position = done.result()
        self._release(pending)
        self.flush()

    def _release(self, pending: list[PendingReply]) -> None:
        position = self.coordinator.durable_position
        for receiver, reply in pending:
            self.send(receiver, msgspec.structs.replace(reply, durable_position=position))
        self.flush_soon()

    def _on_failure(self, reason: str, pending: list[PendingReply]) -> None:
        """Continues with records in memory, which are valid as long as this process runs.

        The coordinator no longer reports a store, so that the other instances do not assume that
        the next process still has the records that this one acknowledged.
        """
        log.error("store: %s; from now on, records are kept in memory only", reason)
        self.coordinator.store_id = b""
        self.coordinator.durable_position = 0
        self._release(pending)

    def close(self) -> None:
        """Waits for the group that is being written, then closes the store."""
        self.writer.shutdown(wait=True)
        if not self.store.failure:
            self.store.close()
