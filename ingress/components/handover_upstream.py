"""An upstream whose requests in flight survive the loss of their instance.

Imported only if the operator's file has [handover].
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

from ingress.components.handover_calls import decode_call, encode_call
from ingress.components.peer_connections import PeerConnections
from ingress.components.record_persistence import RecordPersistence
from ingress.core.calls import FAILED_RESPONSE, DuplicateRequestError, Response, ResponseKind
from ingress.core.clock import Clock
from ingress.core.exchange import Exchange
from ingress.core.ports import Attempt, AttemptEndHandler, ClientPresence, Upstream
from ingress.handover import record_codec
from ingress.handover.coordinator import Coordinator
from ingress.handover.decision import CoordinatorSettings, Decision, Verdict
from ingress.handover.messages import (
    MAX_BODY_BYTES,
    Message,
    ReplicaReply,
    body_digest,
    record_name,
)
from ingress.handover.replica import Replica
from ingress.handover.takeover import TakeoverScheduler
from ingress.handover.transition_table import RequestKind
from ingress.platform.config import ConfigurationError
from ingress.platform.operator_config import Handover
from ingress.policy.events import NO_LOAD_REPORT, Backend, Outcome
from ingress.storage.errors import StoreError
from ingress.storage.file_system import FileSystem, OsFileSystem
from ingress.storage.write_ahead_log import Store

log = logging.getLogger(__name__)

TICK_INTERVAL_S: Final = 0.01
MAX_TICK_GAP_S: Final = 0.1  # beyond, the process was held up and has not read messages
INCARNATION_BYTES: Final = 8
# The key in the reported counts for each outcome of a takeover.
TAKEOVER_COUNTS: Final = {
    ResponseKind.SERVED: "served",
    ResponseKind.REJECTED: "refused",
    ResponseKind.FAILED: "failed",
}

AttemptId = tuple[str, int]
"""The key of a request and the number of the attempt."""


class TakeoverDownstream:
    """Receives the response to a call of a lost instance; no client waits for it."""

    request_key = ""

    def __init__(self, takeovers: dict[str, int]) -> None:
        self.takeovers = takeovers

    def respond(self, response: Response) -> None:
        """Counts the response."""
        self.takeovers[TAKEOVER_COUNTS[response.kind]] += 1

    def presence(self) -> ClientPresence:
        """Returns that the response is awaited: no client can disconnect."""
        return ClientPresence.CONNECTED


def _attempt_id(attempt: Attempt) -> AttemptId:
    return attempt.request_key, attempt.number


def open_store(setting: Handover, owner: str, file_system: FileSystem | None) -> Store | None:
    """Returns the store in the configured folder, or None if no folder is configured.

    Raises:
        ConfigurationError: the folder can't be used as a store.
    """
    if setting.storage_dir is None:
        return None
    try:
        store = Store(file_system or OsFileSystem(setting.storage_dir), owner)
    except (OSError, StoreError) as error:
        location = f"{setting.file}: handover: store: {setting.storage_dir}"
        raise ConfigurationError(f"{location}: {error}") from None
    for fault in store.recovered.faults:
        log.warning("store: %s; readable up to position %d", fault, store.recovered.position)
    return store


def create_coordinator(
    setting: Handover, name: str, now: float, store: Store | None
) -> Coordinator:
    """Returns the coordinator of this process, with the records of the store."""
    settings = CoordinatorSettings(
        deduplication_window=setting.deduplication_window,
        max_delay=setting.max_delay,
        recovery_time=setting.recovery_time,
        copies=setting.copies,
        resend=setting.resend,
    )
    replica = Replica(setting.max_bytes)
    incarnation = int(now * 1000)
    store_id = b""
    position = 0
    if store is not None:
        window = settings.deduplication_window
        previous_incarnation = record_codec.recover(replica, store.entries, now, window)
        incarnation = max(incarnation, previous_incarnation + 1)
        encoded_incarnation = incarnation.to_bytes(INCARNATION_BYTES, "big")
        store.put(record_codec.INCARNATION_KEY, encoded_incarnation)
        store_id = store.store_id
        position = store.recovered.position
    replica.changed_names.clear()  # the store already has these records
    instances = tuple(sorted(setting.peers))
    return Coordinator(name, incarnation, instances, settings, now, replica, store_id, position)


class HandoverUpstream:
    """Starts attempts at `inner`; one with an idempotency key only after its replicas decided.

    `inner` and `exchange` are set before `open`; `file_system` replaces the real one of the
    configured folder.

    Raises:
        ConfigurationError: this instance is not among the peers, or the store can't be used.
    """

    inner: Upstream
    exchange: Exchange

    def __init__(
        self,
        name: str,
        setting: Handover,
        clock: Clock,
        on_ended: AttemptEndHandler,
        file_system: FileSystem | None = None,
    ) -> None:
        if name not in setting.peers:
            raise ConfigurationError(
                f"{setting.file}: handover: peers: {name}, this ingress, is not among them"
            )
        self.name = name
        self.setting = setting
        self.clock = clock
        self.on_ended = on_ended
        self.loop = asyncio.get_running_loop()
        now = clock()
        store = open_store(setting, name, file_system)
        self.coordinator = create_coordinator(setting, name, now, store)
        self.persistence: RecordPersistence | None = None
        if store is not None:
            self.persistence = RecordPersistence(
                store, self.coordinator, self._send, self._flush, self._flush_soon
            )
        self.takeover_scheduler = TakeoverScheduler(self.coordinator, setting.takeover_rate)
        self.connections = self._create_connections()
        self.undecided: dict[int, Attempt] = {}  # by operation
        self.operations: dict[AttemptId, int] = {}  # of started attempts
        self.timer: asyncio.TimerHandle | None = None
        self.ticked_at = now
        self.tick_skipped = False  # the last one, so that messages are read first
        self.flush_scheduled = False
        self.last_takeover = 0
        self.takeovers = dict.fromkeys((*TAKEOVER_COUNTS.values(), "begun"), 0)

    def _create_connections(self) -> PeerConnections:
        return PeerConnections(
            self.name,
            self.setting.address,
            self.setting.peers,
            self.setting.keys,
            self.setting.active_key_id,
            self._on_message,
            self._on_connection_change,
        )

    async def open(self) -> None:
        """Makes the incarnation durable, then connects to the other instances.

        Raises:
            OSError: the address can't be bound.
            StoreFailedError: the store can't be written.
        """
        if self.persistence is not None:
            self.persistence.store.commit()
        await self.connections.open()
        self.ticked_at = self.clock()
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self._tick_again)

    def _tick_again(self) -> None:
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self._tick_again)
        self.tick()

    def tick(self) -> None:
        """Decides what is due, unless the process was held up: then messages are read first."""
        now = self.clock()
        held_up = self._exclude_hold_up(now)
        self.ticked_at = now
        self.tick_skipped = held_up and not self.tick_skipped
        if self.tick_skipped:
            return
        self.coordinator.tick(now)
        for call in self.takeover_scheduler.due(now):
            self._take_over(call)
        self._flush()

    def _exclude_hold_up(self, now: float) -> bool:
        """Returns whether the process was held up; the others were not silent in that time."""
        gap = now - self.ticked_at
        if gap <= MAX_TICK_GAP_S:
            return False
        self.coordinator.exclude_hold_up(gap)
        return True

    # Messages and decisions

    def _on_message(self, sender: str, message: Message) -> None:
        now = self.clock()
        if self._exclude_hold_up(now):
            self.ticked_at = now
        self.coordinator.receive(now, sender, message)
        self._flush_soon()

    def _on_connection_change(self, peer: str, connected: bool) -> None:
        log.info("handover: %s is %s", peer, "connected" if connected else "not connected")
        self.coordinator.on_connection_change(self.clock(), peer, connected)
        self._flush_soon()

    def _flush_soon(self) -> None:
        """Schedules one flush for all events of this iteration of the event loop."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Sends the coordinator's messages, executes its decisions and stores changed records."""
        self.flush_scheduled = False
        coordinator = self.coordinator
        while coordinator.outbox or coordinator.decisions:
            outbox, decisions = coordinator.drain()
            for receiver, message in outbox:
                if self.persistence is not None and isinstance(message, ReplicaReply):
                    self.persistence.send_when_durable(receiver, message)
                else:
                    self._send(receiver, message)
            for decision in decisions:
                self._on_decision(decision)
        if self.persistence is not None:
            self.persistence.write_changes()
        else:
            coordinator.replica.changed_names.clear()

    def _send(self, receiver: str, message: Message) -> None:
        if receiver == self.name:
            self.coordinator.receive(self.clock(), receiver, message)
        else:
            self.connections.send(receiver, message)

    def _on_decision(self, decision: Decision) -> None:
        attempt = self.undecided.pop(decision.operation, None)
        now = self.clock()
        proceed = decision.verdict in (Verdict.PROCEED, Verdict.UNPROTECTED)
        if attempt is None or attempt.ended or now >= attempt.deadline:
            if proceed:
                self.coordinator.ended(decision.operation, RequestKind.RELEASE)
            if attempt is not None and not attempt.ended:
                self._end(attempt, Outcome.SUPERSEDED)
        elif proceed:
            self._proceed(attempt, decision, now)
        elif decision.verdict is Verdict.DONE:
            self._end(attempt, Outcome.SUPERSEDED, decision.response)
        else:
            self._reject(attempt, decision)

    def _proceed(self, attempt: Attempt, decision: Decision, now: float) -> None:
        self.operations[_attempt_id(attempt)] = decision.operation
        # If a resent request were written late, its backend would have forgotten the key. The inner
        # upstream checks the deadline when it writes.
        attempt.deadline = min(attempt.deadline, decision.send_before)
        attempt.sent_at = now
        attempt.on_written = self._on_written
        self.inner.start(attempt)

    def _reject(self, attempt: Attempt, decision: Decision) -> None:
        # A rejection states that nothing ran, which is certain only for a first attempt.
        if decision.verdict is Verdict.RETRY_LATER and attempt.number == 0:
            attempt.final_response = Response(
                ResponseKind.REJECTED, retry_after=decision.retry_after
            )
        else:
            attempt.final_response = FAILED_RESPONSE
        self._end(attempt, Outcome.SUPERSEDED)

    # The `Upstream` interface

    def update_endpoints(
        self, full: bool, backends: tuple[Backend, ...], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Passes a change of the list of backends to the inner upstream."""
        self.inner.update_endpoints(full, backends, addresses)

    def close_idle(self, backend: str) -> None:
        """Closes the idle connections to a backend."""
        self.inner.close_idle(backend)

    def start(self, attempt: Attempt) -> None:
        """Starts an attempt; asks the replicas first if it has an idempotency key."""
        call = attempt.call
        if not call.idempotency_key:
            self.inner.start(attempt)
            return
        # A call with a longer body is replicated without its content and never taken over.
        replicated = encode_call(call) if len(call.body or b"") <= MAX_BODY_BYTES else b""
        operation = self.coordinator.open(
            self.clock(),
            record_name(call.customer, call.request_class, call.idempotency_key),
            body_digest(call.body),
            replicated,
        )
        self.undecided[operation] = attempt
        self._flush_soon()

    def _is_undecided(self, attempt: Attempt) -> bool:
        """Returns whether the attempt waits for its decision and `inner` has not started it."""
        if attempt.connection is not None or attempt.ended:
            return False
        return attempt in self.undecided.values()

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt; nothing more of it is written."""
        if self._is_undecided(attempt):
            self._end(attempt, Outcome.CANCELLED)  # a later decision is ignored
        else:
            self.inner.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends an attempt if it is not yet written; a written one continues."""
        if self._is_undecided(attempt):
            self._end(attempt, Outcome.SUPERSEDED)  # a later decision is ignored
        else:
            self.inner.withdraw(attempt)

    def _end(self, attempt: Attempt, outcome: Outcome, response: bytes | None = None) -> None:
        attempt.ended = True
        self.on_ended(attempt, outcome, response, NO_LOAD_REPORT)

    def _on_written(self, attempt: Attempt) -> None:
        operation = self.operations.get(_attempt_id(attempt))
        if operation is not None:
            self.coordinator.sent(operation)
            self._flush_soon()

    def ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, load: Mapping[str, float]
    ) -> None:
        """Reports the outcome of an attempt at the inner upstream to replicas and exchange."""
        operation = self.operations.pop(_attempt_id(attempt), None)
        if operation is not None:
            if value is not None and len(value) <= MAX_BODY_BYTES:
                self.coordinator.ended(operation, RequestKind.DONE, value)
            else:
                kind = RequestKind.RELEASE if outcome.never_ran else RequestKind.UNCLEAR
                self.coordinator.ended(operation, kind)
            self._flush_soon()
        self.on_ended(attempt, outcome, value, load)

    # Takeover of requests of lost instances

    def _take_over(self, replicated: bytes) -> None:
        number = self.last_takeover + 1
        request_id = b"takeover-%b-%d" % (self.name.encode(), number)
        call = decode_call(replicated, request_id, self.setting.takeover_timeout)
        if call is None:
            return
        self.last_takeover = number
        try:
            self.exchange.request(TakeoverDownstream(self.takeovers), call, self.clock())
        except DuplicateRequestError:
            return
        self.takeovers["begun"] += 1

    def counts(self) -> dict[str, Any]:
        """Returns the reported counts; operators' tools read their keys."""
        now = self.clock()
        coordinator = self.coordinator
        replica = coordinator.replica
        persistence = self.persistence
        store: dict[str, Any] = {}
        if persistence is not None:
            store["position"] = coordinator.durable_position
            store["failed"] = persistence.store.failure
        return {
            "handover": {
                "whole": replica.is_complete(now),
                "there": sum(not coordinator.is_suspect(now, peer) for peer in coordinator.peers),
                "life": coordinator.incarnation,
                "verdicts": dict(coordinator.counts),
                "keeper": dict(replica.counts),
                "records": dict(
                    Counter(record.phase.name.lower() for record in replica.records.values())
                ),
                "taken": dict(self.takeovers),
                "refused": self.connections.rejected,
                "dropped": persistence.dropped if persistence is not None else 0,
                "store": store,
            }
        }

    def close(self) -> None:
        """Sends remaining messages; closes the connections, the store and the inner upstream."""
        if self.timer is not None:
            self.timer.cancel()
        self._flush()
        self.connections.close()
        if self.persistence is not None:
            self.persistence.close()
        self.inner.close()
