"""All names of the program that the golden cases use.

Renaming a class, module or field of the program changes only this file: the cases pass arguments by
position and read values without field names.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ingress.application import Application
from ingress.components.handover_calls import ReplicatedCall, encode_call
from ingress.components.peer_connections import MAGIC, InboundConnection, PeerConnections
from ingress.core.calls import Call, InvalidCallError, Response, ResponseKind
from ingress.core.ports import Attempt
from ingress.fleet_shedding.health_gossip import HealthGossip, HealthObservation
from ingress.fleet_shedding.health_gossip import choose_probers as probers
from ingress.fleet_shedding.health_gossip import decode_observation as read_observation
from ingress.fleet_shedding.load_reports import LoadReport, LoadReports
from ingress.fleet_shedding.load_reports import decode_report as read_load_report
from ingress.handover.__main__ import describe_records
from ingress.handover.coordinator import Coordinator
from ingress.handover.decision import REPORTED_VERDICTS, CoordinatorSettings
from ingress.handover.messages import (
    Heartbeat,
    OwnershipQuery,
    ReplicaReply,
    ReplicaRequest,
    ReplyCode,
    SyncRecord,
    SyncRequest,
    body_digest,
    record_name,
)
from ingress.handover.messages import Message as HandoverMessage
from ingress.handover.record_codec import decode as unpack_record
from ingress.handover.record_codec import encode as pack_record
from ingress.handover.replica import Grant, Record, replicas_for
from ingress.handover.transition_table import Phase, RequestKind
from ingress.http.backend_protocol import HttpBackendProtocol
from ingress.http.client_protocol import make_client_protocol as make_http_client_protocol
from ingress.idempotency.key_affinity import ring_position as ring_point
from ingress.idempotency.placement import Placement
from ingress.membership.messages import Codec, MalformedMessageError, MemberUpdate, Message
from ingress.membership.swim import SwimProtocol
from ingress.platform.config import read_config
from ingress.platform.counter_client import CounterClient
from ingress.platform.endpoint_discovery import read_endpoint_list
from ingress.platform.operator_config import read_operator_config as read_operator
from ingress.policy.counter_consistency import CounterConsistency
from ingress.policy.counter_keys import counter_key, epoch_offset, key_number
from ingress.policy.events import Backend, Outcome, Readiness
from ingress.policy.settings import RetrySemantics, Settings
from ingress.policy.shed_order import shed_rank
from ingress.protocol_versions.declaration import protocol_versions
from ingress.protocol_versions.keys import key_of, uuid_of
from ingress.protocol_versions.pairs import table as pair_table
from ingress.resp.backend_protocol import RespBackendProtocol
from ingress.resp.client_protocol import make_client_protocol as make_resp2_client_protocol
from ingress.resp.resp3_backend_protocol import Resp3BackendProtocol
from ingress.resp.resp3_client_protocol import make_client_protocol as make_resp3_client_protocol
from ingress.simulation.fleet_simulation import Simulation as SimulatedWorld
from ingress.simulation.gateways import policy_gateways
from ingress.simulation.gossip_network import gossiping_gateways
from ingress.simulation.model_checker import random_run
from ingress.simulation.size import SCENARIOS, Size
from ingress.simulator_adapter import serve as serve_simulator
from ingress.storage import write_ahead_log
from ingress.storage.file_system import OsFileSystem
from ingress.storage.store_reader import read_store
from ingress.storage.write_ahead_log import Store
from ingress.testbed.deployment import Deployment
from ingress.testbed.record import Arrival, Life, Try
from ingress.testbed.report import report as testbed_report
from ingress.testbed.scenario import Scenario
from ingress.testbed.world import World as TestbedWorld
from ingress.transport.backend_protocol import BackendProtocol, MalformedResponseError
from ingress.transport.client_protocol import ClientProtocol, MalformedFrameError

__all__ = [
    "ENDED_WITH_ERROR",
    "LOG_LIMIT",
    "MAGIC",
    "NEVER_WRITTEN",
    "REPORTED_VERDICTS",
    "SCENARIOS",
    "SETTINGS_NAMES",
    "Application",
    "Arrival",
    "Attempt",
    "Backend",
    "BackendProtocol",
    "Call",
    "ClientProtocol",
    "Codec",
    "Coordinator",
    "CoordinatorSettings",
    "CounterClient",
    "CounterConsistency",
    "Deployment",
    "Grant",
    "HandoverMessage",
    "HealthGossip",
    "HealthObservation",
    "Heartbeat",
    "HttpBackendProtocol",
    "InboundConnection",
    "InvalidCallError",
    "Life",
    "LoadReport",
    "LoadReports",
    "MalformedFrameError",
    "MalformedMessageError",
    "MalformedResponseError",
    "MemberUpdate",
    "Message",
    "OsFileSystem",
    "OwnershipQuery",
    "PeerConnections",
    "PeerLink",
    "Phase",
    "Placement",
    "Readiness",
    "Record",
    "ReplicaReply",
    "ReplicaRequest",
    "ReplicatedCall",
    "ReplyCode",
    "RequestKind",
    "Resp3BackendProtocol",
    "RespBackendProtocol",
    "Response",
    "ResponseKind",
    "Scenario",
    "Settings",
    "SimulatedWorld",
    "Size",
    "Store",
    "SwimProtocol",
    "SyncRecord",
    "SyncRequest",
    "TestbedWorld",
    "Try",
    "body_digest",
    "counter_key",
    "describe_records",
    "due_check_keys",
    "encode_call",
    "endpoints_changed",
    "epoch_offset",
    "gossiping_gateways",
    "key_number",
    "key_of",
    "make_http_client_protocol",
    "make_resp2_client_protocol",
    "make_resp3_client_protocol",
    "pack_record",
    "pair_table",
    "policy_gateways",
    "probers",
    "protocol_versions",
    "random_run",
    "read_config",
    "read_endpoint_list",
    "read_load_report",
    "read_observation",
    "read_operator",
    "read_store",
    "record_name",
    "replicas_for",
    "ring_point",
    "serve_simulator",
    "shed_rank",
    "testbed_report",
    "unpack_record",
    "uuid_of",
    "write_ahead_log",
]

# Enum values that have another name in the settings.
SETTINGS_NAMES: Mapping[object, str] = {
    RetrySemantics.IDEMPOTENT: "safe",
    RetrySemantics.IDEMPOTENCY_KEY: "keyed",
    RetrySemantics.NON_IDEMPOTENT: "unsafe",
}
ENDED_WITH_ERROR = Outcome.ERROR
NEVER_WRITTEN = Outcome.SUPERSEDED
# Constant of write_ahead_log: bytes of changes after which a snapshot replaces them.
LOG_LIMIT = "MAX_LOG_BYTES"


class PeerLink:
    """One direction of a connection between two instances, without sockets."""

    def __init__(self, keys: Mapping[int, bytes], used: int) -> None:
        address = ("127.0.0.1", 0)
        self.received: list[tuple[str, Any]] = []
        self.dialing = PeerConnections(
            "edge-1", address, {"edge-2": address}, keys, used, self._ignore, self._ignore
        )
        self.accepting = PeerConnections(
            "edge-2", address, {"edge-1": address}, keys, used, self._receive, self._ignore
        )
        self.dialed = self.dialing.outbound["edge-2"]
        self.accepted = InboundConnection(self.accepting)

    def _ignore(self, *_unused: Any) -> None: ...

    def _receive(self, sender: str, message: Any) -> None:
        self.received.append((sender, message))

    def send(self, messages: list[Any]) -> None:
        """Sends the messages, with as many in one frame as fit."""
        for message in messages:
            self.dialing.send("edge-2", message)
        self.dialed.flush()


def due_check_keys(checks: CounterConsistency, now: float) -> tuple[list[int], float]:
    """Returns the counter keys that a check adds to now, and the delay until the next ones."""
    return checks.due_calls(now)


def endpoints_changed(
    placement: Placement, entries: list[tuple[str, Backend]], is_full: bool, now: float
) -> None:
    """Passes a full endpoint list, or the changes of one, to a placement."""
    placement.endpoints_changed(entries, is_full, now)
