"""Reload of the configuration while the program runs (SIGHUP)."""

from __future__ import annotations

import logging
from dataclasses import replace

from ingress.platform.config import Config, ConfigurationError
from ingress.platform.counter_client import CounterClient
from ingress.platform.discovery_watch import DiscoveryWatch

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Applies the settings that may change at run time: the addresses of discovery and counter.

    Args:
        config: The configuration with which the instance was started.
        discovery: Switched to another agent when the agent's address changes.
        counter: Reconnected when the counter's address changes; None without a counter.
    """

    def __init__(
        self, config: Config, discovery: DiscoveryWatch, counter: CounterClient | None
    ) -> None:
        self.current = config
        self.discovery = discovery
        self.counter = counter

    def apply(self, new: Config) -> None:
        """Applies new addresses of discovery and counter; other changes need a restart.

        Raises:
            ConfigurationError: The configuration belongs to another instance or another service.
                None of it is applied, since the endpoint list and the counts of one service must
                never be combined with the settings of another.
        """
        self._check_identity(new)
        old = self.current
        self.current = replace(old, discovery=new.discovery, counter=new.counter)
        if new.discovery != old.discovery:
            self.discovery.start(new.discovery)
        if self.counter is not None and new.counter is not None and new.counter != old.counter:
            self.counter.change_address(new.counter)
        log.info("configuration reloaded: discovery %s, counter %s", new.discovery, new.counter)
        if _differs_beyond_addresses(old, new):
            log.warning("other configuration changes take effect at the next start")

    def _check_identity(self, new: Config) -> None:
        current = self.current
        for key, start_value, new_value in (
            ("name", current.name, new.name),
            ("listen", current.listen, new.listen),
            ("settings", current.settings.identity(), new.settings.identity()),
        ):
            if start_value != new_value:
                raise ConfigurationError(
                    f"{key}: {new_value!r} differs from the value at the start, {start_value!r}"
                )


def _differs_beyond_addresses(old: Config, new: Config) -> bool:
    """Returns whether a setting that needs a restart differs; ignores seed and endpoint list."""
    comparable = replace(
        new,
        seed=old.seed,
        initial_endpoints=old.initial_endpoints,
        discovery=old.discovery,
        counter=old.counter,
    )
    return comparable != old
