"""Support for backends of several protocol versions in one instance.

Imported only if the operator's file has [dialects] or a listener.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from ingress.core.clock import Clock
from ingress.core.ports import AttemptEndHandler, Timers
from ingress.core.upstream_dispatcher import UpstreamDispatcher
from ingress.idempotency.placement import Placement
from ingress.platform.config import Config
from ingress.platform.endpoint_discovery import EndpointList
from ingress.platform.operator_config import OperatorConfigError, ProtocolVersions
from ingress.policy.settings import DeduplicationScope, RequestClass, RetrySemantics, Settings
from ingress.protocol_versions.declaration import protocol_version
from ingress.protocol_versions.groups import Grouping, policy_settings
from ingress.protocol_versions.keys import check_classes
from ingress.protocol_versions.resp2_v1 import RESP2_V1
from ingress.resp import client_protocol as resp
from ingress.resp import resp3_backend_protocol, resp3_client_protocol
from ingress.resp.backend_protocol import RespBackendProtocol
from ingress.transport.backend_pool import BackendPool
from ingress.transport.backend_protocol import BackendProtocolFactory
from ingress.transport.client_protocol import ClientProtocolFactory

BACKEND_VERSIONS: Final = frozenset({"resp2-v1", "resp3-v2", "http-v2"})
CLIENT_VERSIONS: Final = frozenset({"resp2-v1", "resp3-v2", "http-v2"})
BACKEND_HOST: Final = "grid.internal"  # Host header only; discovery provides the addresses


def client_protocol_for(version: str, settings: Settings) -> ClientProtocolFactory:
    """Returns the factory of client protocols for a protocol version.

    Raises:
        OperatorConfigError: A library that the version needs is not installed.
    """
    if version == "resp2-v1":
        return resp.make_client_protocol(settings)
    if version == "resp3-v2":
        return resp3_client_protocol.make_client_protocol(settings)
    try:
        from ingress.http.client_protocol import make_client_protocol
    except ImportError as error:
        raise _missing_library(version, error) from None
    return make_client_protocol(settings)


def _missing_library(version: str, error: ImportError) -> OperatorConfigError:
    return OperatorConfigError(f"{version} needs {error.name}: pip install 'cottonbend[http]'")


def _split_id(translated_id: str) -> tuple[str, str]:
    """Returns the backend's id in discovery and its protocol version."""
    backend, _, version = translated_id.rpartition("#")
    return backend, version


def _deduplication_scope(classes: list[RequestClass]) -> DeduplicationScope:
    """Returns the common deduplication scope of the classes with idempotency keys.

    Raises:
        OperatorConfigError: The classes have more than one scope.
    """
    scopes = {request_class.deduplication_scope for request_class in classes}
    if len(scopes) > 1:
        raise OperatorConfigError(
            "dialects: classes with idempotency keys can't be grouped: their key scopes differ"
        )
    return scopes.pop() if scopes else DeduplicationScope.ALL


class VersionTranslator:
    """Creates the upstream of several protocol versions and the endpoint list for the policy.

    Attributes:
        settings: The policy's settings, derived from the configured ones.
        placement: Decides where idempotent requests may run if the backends of one scope don't
            share one deduplication memory; None otherwise.

    Raises:
        OperatorConfigError: The request classes can't be translated.
    """

    def __init__(self, table: ProtocolVersions, config: Config) -> None:
        settings = config.settings
        try:
            check_classes(request_class.name for request_class in settings.classes)
        except ValueError as error:
            raise OperatorConfigError(f"dialects: {error}") from None
        keyed_classes = [
            request_class
            for request_class in settings.classes
            if request_class.semantics is RetrySemantics.IDEMPOTENCY_KEY
        ]
        scope = _deduplication_scope(keyed_classes)
        window = max(
            (request_class.deduplication_window for request_class in keyed_classes), default=0.0
        )
        self.config = config
        self.settings: Settings = policy_settings(settings)
        self.versions = sorted(table.names())
        self.reasons = Counter[str]()
        self.pools: dict[str, BackendPool] = {}
        memories = {version: protocol_version(version).key_memory_name for version in self.versions}
        self.grouping = Grouping(table.default, table.by_kind, table.by_cell, memories, scope)
        # If one scope has several deduplication memories, a request that may have run must not be
        # sent to another one of them.
        several_memories = len(set(memories.values())) > 1
        self.placement: Placement | None = None
        if several_memories and scope is DeduplicationScope.ALL and window > 0:
            self.placement = Placement(window, settings.warmup_time)

    def _backend_protocol(self, version: str) -> BackendProtocolFactory:
        if version == "resp2-v1":
            return RespBackendProtocol
        if version == "resp3-v2":
            return resp3_backend_protocol.make_backend_protocol(
                RESP2_V1.max_value_bytes, self.reasons
            )
        try:
            from ingress.http.backend_protocol import make_backend_protocol
        except ImportError as error:
            raise _missing_library(version, error) from None
        return make_backend_protocol(BACKEND_HOST, RESP2_V1.max_value_bytes, self.reasons)

    def create_dispatcher(
        self, clock: Clock, ended: AttemptEndHandler, timers: Timers
    ) -> UpstreamDispatcher:
        """Returns the upstream of all versions in use.

        The versions share the limits on connections and buffered bytes evenly.

        Raises:
            OperatorConfigError: A library that a version needs is not installed.
        """
        config = self.config
        version_count = len(self.versions)
        self.pools = {
            version: BackendPool(
                self._backend_protocol(version),
                max(1, config.max_backend_connections // version_count),
                max(1, config.max_buffered_bytes // version_count),
                config.connect_timeout,
                config.keepalive_timeout,
                config.settings.drain_grace,
                clock,
                ended,
                timers,
            )
            for version in self.versions
        }
        return UpstreamDispatcher(self.pools, lambda backend: _split_id(backend)[1])

    def counts(self) -> dict[str, dict[str, int]]:
        """Returns the counts that the program reports."""
        placement = self.placement
        placement_counts: dict[str, int] = {}
        if placement is not None:
            placement_counts = dict(placement.counts) | {"pushed-out": placement.in_doubt.evicted}
        return {
            "back_faults": {
                version: pool.codec_faults.count for version, pool in self.pools.items()
            },
            "reasons": dict(self.reasons),
            "holds": placement_counts,
        }

    def translate(self, endpoints: EndpointList, complete: bool, now: float) -> EndpointList:
        """Returns the endpoint list for the policy and the connection pools.

        Args:
            endpoints: The endpoint list from discovery.
            complete: Whether `endpoints` includes all backends.
            now: The current time in seconds.
        """
        backends = self.grouping.translate(endpoints.backends, complete)
        if self.placement is not None:
            backends_with_ids = [(_split_id(backend.id)[0], backend) for backend in backends]
            self.placement.endpoints_changed(backends_with_ids, complete, now)
        addresses = {
            backend.id: endpoints.addresses[_split_id(backend.id)[0]] for backend in backends
        }
        return EndpointList(endpoints.version, endpoints.full, backends, addresses)
