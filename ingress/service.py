"""One instance as a process: configuration, signals, exit status."""

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

if TYPE_CHECKING:
    from ingress.platform.operator_config import OperatorConfig

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_CONFIGURATION = 2
CONFIG_VARIABLE = "EDGE_CONFIG"  # names the platform's configuration file
LOG_LEVEL_VARIABLE = "INGRESS_LOG_LEVEL"
# "debug": also where each idempotent request is placed.
LOG_LEVELS = {"info": logging.INFO, "debug": logging.DEBUG}
OPERATOR_OPTION = "--operator"
DEFERRED_SIGNALS = {signal.SIGHUP, signal.SIGUSR1}  # until their handlers are installed
SETTLE_S = 0.01  # for what the start has left in the event loop

log = logging.getLogger("ingress")


def load() -> Config:
    """Reads the configuration as the file holds it now.

    Raises:
        ConfigurationError: It is missing or can't be used.
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
        ConfigurationError: The command line is wrong, or the file can't be used.
    """
    if not arguments:
        return None
    if len(arguments) != 2 or arguments[0] != OPERATOR_OPTION:
        raise ConfigurationError(f"usage: python -m ingress [--version | {OPERATOR_OPTION} FILE]")
    from ingress.components.version_translation import BACKEND_VERSIONS, CLIENT_VERSIONS
    from ingress.platform.operator_config import read_operator_config

    return read_operator_config(Path(arguments[1]), BACKEND_VERSIONS, CLIENT_VERSIONS)


async def serve(config: Config, operator: OperatorConfig | None) -> None:
    """Runs one instance until SIGTERM or SIGINT, and to the end of its graceful shutdown.

    Raises:
        ConfigurationError: Something that is configured can't be had.
        OSError: An address can't be bound.
    """
    stop = asyncio.Event()
    application = Application(config, operator=operator)
    _install_signal_handlers(application, stop)
    # Time of requests counts from when they are read.  Clients may come only once the loop has done
    # what the start left to do, else theirs would wait unread meanwhile.
    await asyncio.sleep(SETTLE_S)
    await application.run(stop)


def _install_signal_handlers(application: Application, stop: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, application)
    loop.add_signal_handler(signal.SIGUSR1, _log_counts, application)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DEFERRED_SIGNALS)


def _reload(application: Application) -> None:
    """Reads the configuration again; one that is broken or half written changes nothing."""
    try:
        application.reload(load())
    except ConfigurationError as error:
        log.error("configuration rejected: %s", error)  # noqa: TRY400 - the text names the cause


def _log_counts(application: Application) -> None:
    log.info("counts %s", json.dumps(application.counts()))


def log_level() -> int:
    """Returns from which level on messages are logged.

    Raises:
        ConfigurationError: The variable names no level.
    """
    name = os.environ.get(LOG_LEVEL_VARIABLE, "") or "info"
    if name not in LOG_LEVELS:
        allowed = " or ".join(LOG_LEVELS)
        raise ConfigurationError(f"{LOG_LEVEL_VARIABLE}: {name!r} is not {allowed}")
    return LOG_LEVELS[name]


def main(arguments: list[str], form: Form) -> int:
    """Serves until SIGTERM.

    Args:
        arguments: The command line, without the program.
        form: Of the hot modules, for the log.

    Returns:
        0 after a graceful shutdown, 1 if an address can't be bound, 2 for a bad configuration.
    """
    # A signal that comes before its handler is installed waits, so that no reload is missed.
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
    # What was imported is never released.  Full collections would visit all of it each time,
    # for some 20 ms in which no request is served.
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
