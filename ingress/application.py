"""Assembles one instance: listeners, exchange, policy and backends on this platform."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING, Any

from ingress.configuration_reload import ConfigurationReloader
from ingress.core.clock import Clock, unix_clock
from ingress.core.exchange import Exchange
from ingress.core.ports import Upstream
from ingress.core.timer_wheel import TimerWheel
from ingress.platform.address_owners import AddressOwners
from ingress.platform.config import Address, Config
from ingress.platform.counter_client import CounterClient
from ingress.platform.counter_metrics import counter_report
from ingress.platform.discovery_watch import DiscoveryWatch
from ingress.platform.endpoint_discovery import EndpointList
from ingress.platform.graceful_shutdown import drain
from ingress.platform.start_times import StartTimes
from ingress.policy.events import EndpointListKind
from ingress.policy.gateway import Gateway
from ingress.policy.settings import Settings
from ingress.resp.backend_protocol import RespBackendProtocol
from ingress.resp.client_protocol import make_client_protocol
from ingress.transport.backend_pool import BackendPool
from ingress.transport.client_listener import ClientListener
from ingress.transport.close_reason import CloseReason

if TYPE_CHECKING:
    from ingress.components import Component
    from ingress.components.handover_upstream import HandoverUpstream
    from ingress.components.membership_transport import MembershipTransport
    from ingress.components.version_translation import VersionTranslator
    from ingress.platform.operator_config import AdditionalListener, OperatorConfig
    from ingress.transport.client_protocol import ClientProtocolFactory

log = logging.getLogger(__name__)

# The policy keeps the state of one customer for each of these bytes of `max_buffered_bytes`.
BUFFER_BYTES_PER_CUSTOMER = 1024


class Application:
    """One instance, from its configuration to the end of its graceful shutdown.

    Components that the operator's file enables are imported only if the file asks for them.

    Args:
        config: The platform's configuration.
        clock: Time in seconds; defaults to the machine's clock.
        operator: Additional features of this installation; None without an operator's file.

    Raises:
        ConfigurationError: A feature that the operator's file asks for is unavailable.
        OSError: An address can't be bound.
    """

    def __init__(
        self, config: Config, clock: Clock | None = None, operator: OperatorConfig | None = None
    ) -> None:
        self.config = config
        self.clock = clock or unix_clock()
        self.loop = asyncio.get_running_loop()
        self.translator = _make_translator(config, operator)
        settings = config.settings if self.translator is None else self.translator.settings
        timers = TimerWheel(self.loop, self.clock)
        max_customers = config.max_buffered_bytes // BUFFER_BYTES_PER_CUSTOMER
        self.gateway = Gateway(settings, config.seed, max_customers)
        self.exchange = Exchange(
            self.gateway,
            settings,
            self.clock,
            timers,
            config.max_open_requests,
            config.max_buffered_bytes,
        )
        self.components: list[Component] = []
        self.backends = self._make_backends(settings, operator, timers)
        self.exchange.upstream = self.backends
        self.counter = self._make_counter(settings)
        self.exchange.counter = self.counter
        self.listeners = self._make_listeners(settings, operator)
        self.clients = self.listeners[0]
        self.start_times = StartTimes(self.clock)
        self.address_owners = AddressOwners()
        self.discovery = DiscoveryWatch(config, self.update_endpoints)
        self.reloader = ConfigurationReloader(config, self.discovery, self.counter)
        self.serving = asyncio.Event()
        self.membership = self._make_membership(operator)

    def _make_backends(
        self, settings: Settings, operator: OperatorConfig | None, timers: TimerWheel
    ) -> Upstream:
        """Creates the pools of backend connections, wrapped by the handover if it is enabled."""
        config = self.config
        handover = self._make_handover(operator)
        on_ended = self.exchange.attempt_ended if handover is None else handover.ended
        backends: Upstream
        if self.translator is not None:
            backends = self.translator.create_dispatcher(self.clock, on_ended, timers)
            self.exchange.placement = self.translator.placement
        else:
            backends = BackendPool(
                RespBackendProtocol,
                config.max_backend_connections,
                config.max_buffered_bytes,
                config.connect_timeout,
                config.keepalive_timeout,
                settings.drain_grace,
                self.clock,
                on_ended,
                timers,
            )
        if handover is None:
            return backends
        handover.inner = backends
        handover.exchange = self.exchange
        return handover

    def _make_handover(self, operator: OperatorConfig | None) -> HandoverUpstream | None:
        if operator is None or operator.handover is None:
            return None
        from ingress.components.handover_upstream import HandoverUpstream

        handover = HandoverUpstream(
            self.config.name, operator.handover, self.clock, self.exchange.attempt_ended
        )
        self.components.append(handover)
        return handover

    def _make_counter(self, settings: Settings) -> CounterClient | None:
        if self.config.counter is None:
            return None
        return CounterClient(
            self.config.counter, settings.counter_timeout, self.clock, self.exchange.feed
        )

    def _make_listeners(
        self, settings: Settings, operator: OperatorConfig | None
    ) -> list[ClientListener]:
        """Creates the platform's listener, then the operator's; they share the limits evenly."""
        config = self.config
        additional: tuple[AdditionalListener, ...] = ()
        if operator is not None:
            additional = operator.listeners
        count = 1 + len(additional)
        protocols: list[tuple[ClientProtocolFactory, Address]] = [
            (make_client_protocol(settings), config.listen)
        ]
        for listener in additional:
            from ingress.components.version_translation import client_protocol_for

            protocol = client_protocol_for(listener.protocol_version, settings)
            protocols.append((protocol, listener.address))
        return [
            ClientListener(
                protocol,
                address,
                config.max_client_connections // count,
                config.max_buffered_bytes // count,
                self.exchange,
                self.clock,
            )
            for protocol, address in protocols
        ]

    def _make_membership(self, operator: OperatorConfig | None) -> MembershipTransport | None:
        if operator is None or operator.membership is None:
            return None
        from ingress.components.membership_transport import MembershipTransport

        exchange = self.exchange
        membership = MembershipTransport(
            self.config.name,
            operator.membership,
            self.clock,
            self.config.seed,
            self.gateway,
            lambda: (exchange.request_count, exchange.attempt_count),
            exchange.feed,
        )
        self.components.append(membership)
        return membership

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then shuts down gracefully.

        Raises:
            ConfigurationError: The configuration of a component does not allow it to be opened.
            OSError: A component can't be opened.
        """
        config = self.config
        self.update_endpoints(EndpointListKind.RESTORED, config.initial_endpoints)
        for component in self.components:
            await component.open()
        self.discovery.start(self.reloader.current.discovery)
        if not config.settings.discovery_polled:
            # From its start the instance is expected to know all that the agent knows, so it must
            # read a drain that began earlier before the first request.  A silent agent delays the
            # start by one timeout.
            await self.discovery.first_call_ended.wait()
        for listener in self.listeners:
            listener.open()
        self.serving.set()
        log.info("%s serves on %s:%d", config.name, *config.listen)
        await stop.wait()
        if self.membership is not None:
            self.membership.close()
        await drain(self.exchange, self.listeners, config.settings.classes, self.loop.time)
        log.info("%s has drained", config.name)
        await self.discovery.stop()
        self.backends.close()
        if self.counter is not None:
            self.counter.close()

    def update_endpoints(self, kind: EndpointListKind, endpoints: EndpointList) -> None:
        """Passes a list to backends and policy, translated if protocol versions are configured."""
        complete = kind is not EndpointListKind.UPDATE
        endpoints = self.start_times.convert(complete, endpoints)
        endpoints = self.address_owners.apply(complete, endpoints)
        if self.translator is not None:
            endpoints = self.translator.translate(endpoints, complete, self.clock())
        self.exchange.backends_changed(
            kind, endpoints.backends, endpoints.addresses, endpoints.version
        )

    def reload(self, config: Config) -> None:
        """Applies a replaced configuration.

        Raises:
            ConfigurationError: The configuration belongs to another instance or another service;
                none of it is applied.
        """
        self.reloader.apply(config)

    def counts(self) -> dict[str, Any]:
        """Returns the counts since the start; monitoring relies on the keys."""
        counts: dict[str, Any] = {
            "name": self.config.name,
            "requests": self.exchange.request_count,
            "open": len(self.exchange.open_requests),
            "malformed": sum(listener.malformed_requests.count for listener in self.listeners),
            "front_faults": sum(listener.codec_faults.count for listener in self.listeners),
            "clients": sum(len(listener.connections) for listener in self.listeners),
        }
        if self.counter is not None:
            counts["quota"] = counter_report(self.gateway, self.clock())
        for component in self.components:
            counts |= component.counts()
        if self.translator is not None:
            counts |= self.translator.counts()
        return counts

    def diagnostics(self) -> dict[str, Any]:
        """Returns why connections were closed and requests rejected, and the memory in use."""
        return {
            "closed": self._closed_connections(),
            "rejected": {reason.value: count for reason, count in self.exchange.rejections.items()},
            "memory": self._memory_in_use(),
        }

    def _closed_connections(self) -> dict[str, int]:
        """Returns the number of client connections closed on all listeners, by reason."""
        total: Counter[CloseReason] = Counter()
        for listener in self.listeners:
            total += listener.closures
        return {reason.value: count for reason, count in total.items()}

    def _memory_in_use(self) -> dict[str, int]:
        """Returns the bytes that count against each memory limit, and the number of customers."""
        return {
            "limit": self.config.max_buffered_bytes,
            "requests": self.exchange.buffered_bytes,
            "input": sum(listener.buffered_bytes for listener in self.listeners),
            "unsent": sum(listener.unsent_responses.open_bytes for listener in self.listeners),
            "customers": len(self.gateway.admission.customers),
            "max_customers": self.gateway.admission.table.max_customers,
            "turned_away": self.gateway.admission.table.turned_away,
        }


def _make_translator(config: Config, operator: OperatorConfig | None) -> VersionTranslator | None:
    if operator is None or operator.protocol_versions is None:
        return None
    from ingress.components.version_translation import VersionTranslator

    return VersionTranslator(operator.protocol_versions, config)
