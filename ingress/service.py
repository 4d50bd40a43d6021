"""Runs one instance as a process: configuration, signals, exit status."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from ingress.application import Application
from ingress.compilation import Form
from ingress.platform.config import Config, ConfigurationError, read_config
from ingress.platform.heap import return_large_blocks

if TYPE_CHECKING:
    from ingress.platform.operator_config import OperatorConfig

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_CONFIGURATION = 2
CONFIG_VARIABLE = "EDGE_CONFIG"  # path of the platform's configuration file
LOG_LEVEL_VARIABLE = "INGRESS_LOG_LEVEL"
# "debug" also logs the placement of each idempotent request.
LOG_LEVELS = {"info": logging.INFO, "debug": logging.DEBUG}
OPERATOR_OPTION = "--operator"
DEFERRED_SIGNALS = {signal.SIGHUP, signal.SIGUSR1}  # blocked until their handlers are installed
STARTUP_SETTLE_S = 0.01  # for the callbacks that the startup scheduled

log = logging.getLogger("ingress")


def load() -> Config:
    """Reads the configuration from the current content of the file.

    Raises:
        ConfigurationError: The configuration is missing or invalid.
    """
    path = os.environ.get(CONFIG_VARIABLE, "")
    if not path:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: not set")
    try:
        return read_config(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{CONFIG_VARIABLE}: {error}") from None


def load_operator(arguments: list[str]) -> OperatorConfig | None:
    """Reads the operator's file, if the command line names one.

    Raises:
        ConfigurationError: The command line or the file is invalid.
    """
    if not arguments:
        return None
    if len(arguments) != 2 or arguments[0] != OPERATOR_OPTION:
        raise ConfigurationError(f"usage: python -m ingress [--version | {OPERATOR_OPTION} FILE]")
    from ingress.components.version_translation import BACKEND_VERSIONS, CLIENT_VERSIONS
    from ingress.platform.operator_config import read_operator_config

    return read_operator_config(Path(arguments[1]), BACKEND_VERSIONS, CLIENT_VERSIONS)


async def serve(config: Config, operator: OperatorConfig | None) -> None:
    """Runs one instance until SIGTERM or SIGINT, through the end of its graceful shutdown.

    Raises:
        ConfigurationError: A configured feature is unavailable.
        OSError: An address can't be bound.
    """
    stop = asyncio.Event()
    application = Application(config, operator=operator)
    _install_signal_handlers(application, stop)
    # The time of a request counts from when it is read.  Clients may connect only after the event
    # loop has run the callbacks of the startup; otherwise their requests would wait unread.
    await asyncio.sleep(STARTUP_SETTLE_S)
    await application.run(stop)


def _install_signal_handlers(application: Application, stop: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, application)
    loop.add_signal_handler(signal.SIGUSR1, _log_counts, application)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DEFERRED_SIGNALS)


def _reload(application: Application) -> None:
    """Reads the configuration again; an invalid or half-written one changes nothing."""
    try:
        application.reload(load())
    except ConfigurationError as error:
        log.error("configuration rejected: %s", error)  # noqa: TRY400 - the message names the cause


def _log_counts(application: Application) -> None:
    log.info("counts %s", json.dumps(application.counts()))
    log.info("diagnostics %s", json.dumps(application.diagnostics()))


def log_level() -> int:
    """Returns the lowest level of messages that are logged.

    Raises:
        ConfigurationError: The variable names an unknown level.
    """
    name = os.environ.get(LOG_LEVEL_VARIABLE, "") or "info"
    if name not in LOG_LEVELS:
        allowed = " or ".join(LOG_LEVELS)
        raise ConfigurationError(f"{LOG_LEVEL_VARIABLE}: {name!r} is not {allowed}")
    return LOG_LEVELS[name]


def main(arguments: list[str], form: Form) -> int:
    """Serves until SIGTERM or SIGINT.

    Args:
        arguments: The command line without the program name.
        form: Form of the hot modules, which is logged.

    Returns:
        0 after a graceful shutdown, 1 if an address can't be bound, 2 for an invalid configuration.
    """
    # A signal that arrives before its handler is installed stays pending: no reload is missed.
    signal.pthread_sigmask(signal.SIG_BLOCK, DEFERRED_SIGNALS)
    try:
        logging.basicConfig(
            level=log_level(), stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s"
        )
        config = load()
        operator = load_operator(arguments)
    except ConfigurationError as error:
        return _fail(f"{error}", EXIT_BAD_CONFIGURATION)
    log.info("%s", form)
    return_large_blocks()
    # Imported objects are never released.  Each full collection would visit all of them, which
    # takes about 20 ms in which no request is served.
    gc.freeze()
    try:
        uvloop.run(serve(config, operator))
    except ConfigurationError as error:
        return _fail(f"{error}", EXIT_BAD_CONFIGURATION)
    except OSError as error:
        return _fail(f"listen: {error}", EXIT_CANNOT_LISTEN)
    return EXIT_OK


def _fail(text: str, status: int) -> int:
    sys.stderr.write(f"ingress: {text}\n")
    return status
