"""Opening the listening socket while the system lacks resources."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest

from ingress.transport import listening_socket
from ingress.transport.listening_socket import TRANSIENT_ERRORS, bind_listening_socket

ANY_PORT = ("127.0.0.1", 0)


class FailingCalls:
    """Replaces a function; its first calls fail with an error.

    Attributes:
        calls: The number of calls so far.
    """

    def __init__(self, function: Any, error: int, failures: int) -> None:
        self.function = function
        self.error = error
        self.failures = failures
        self.calls = 0

    def __call__(self, *arguments: Any) -> Any:
        self.calls += 1
        if self.calls <= self.failures:
            raise OSError(self.error, os.strerror(self.error))
        return self.function(*arguments)


def fail_opening(monkeypatch: pytest.MonkeyPatch, error: int, failures: int) -> FailingCalls:
    """Makes the first attempts to open a socket fail."""
    failing = FailingCalls(listening_socket._bind, error, failures)
    monkeypatch.setattr(listening_socket, "_bind", failing)
    monkeypatch.setattr(listening_socket, "RETRY_INTERVAL_S", 0.001)
    return failing


@pytest.mark.parametrize("error", TRANSIENT_ERRORS, ids=errno.errorcode.get)
def test_retries_while_the_system_lacks_resources(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends at its start because a call fails for a moment."""
    failing = fail_opening(monkeypatch, error, 5)
    with bind_listening_socket(ANY_PORT) as sock:
        assert sock.getsockname()[1]
        assert not sock.getblocking()
    assert failing.calls == 6


def test_gives_up_if_the_system_lacks_resources_for_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that is neither ready nor ended."""
    monkeypatch.setattr(listening_socket, "RETRY_TIME_S", 0.05)
    fail_opening(monkeypatch, errno.ENOBUFS, 1 << 30)
    with pytest.raises(OSError, match=os.strerror(errno.ENOBUFS)):
        bind_listening_socket(ANY_PORT)


def test_does_not_retry_an_address_that_is_in_use() -> None:
    """Guards against hiding a wrong configuration."""
    with (
        socket.create_server(ANY_PORT) as server,
        pytest.raises(OSError, match=os.strerror(errno.EADDRINUSE)),
    ):
        bind_listening_socket(server.getsockname())
