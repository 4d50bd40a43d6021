"""An upstream that dispatches each backend's attempts to the upstream of its protocol."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ingress.core.ports import Attempt, Upstream
from ingress.policy.events import Backend


class UpstreamDispatcher:
    """An `Upstream` that delegates to other upstreams.

    Attributes:
        upstreams: The other upstreams, by name.
        upstream_of: Returns the name of the upstream to which a backend belongs, by the backend's
            id.
    """

    def __init__(
        self, upstreams: Mapping[str, Upstream], upstream_of: Callable[[str], str]
    ) -> None:
        self.upstreams = upstreams
        self.upstream_of = upstream_of

    def update_endpoints(
        self, full: bool, backends: tuple[Backend, ...], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Passes each upstream its own entries; those without entries receive full lists only."""
        for name, upstream in self.upstreams.items():
            entries = tuple(entry for entry in backends if self.upstream_of(entry.id) == name)
            if entries or full:
                upstream.update_endpoints(
                    full, entries, {entry.id: addresses[entry.id] for entry in entries}
                )

    def start(self, attempt: Attempt) -> None:
        """Starts the attempt at its backend's upstream."""
        self._upstream(attempt.backend).start(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels the attempt: after this returns, none of its bytes are written any more."""
        self._upstream(attempt.backend).cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends the attempt if none of its bytes have been written yet."""
        self._upstream(attempt.backend).withdraw(attempt)

    def close_idle(self, backend: str) -> None:
        """Closes the connections to a backend that carry no attempt."""
        self._upstream(backend).close_idle(backend)

    def close(self) -> None:
        """Closes all upstreams."""
        for upstream in self.upstreams.values():
            upstream.close()

    def _upstream(self, backend: str) -> Upstream:
        return self.upstreams[self.upstream_of(backend)]
