"""Table of unfinished requests; also ends requests with responses of the gateway itself."""

from __future__ import annotations

from ingress.policy.actions import FailRequest, RejectRequest
from ingress.policy.pending_actions import PendingActions
from ingress.policy.quota_reporting import QuotaReporter
from ingress.policy.request_state import RequestState
from ingress.policy.settings import Settings


class RequestTable:
    """Holds the unfinished requests.

    Attributes:
        by_id: Unfinished requests by id.
    """

    def __init__(
        self, settings: Settings, quota_reporter: QuotaReporter, actions: PendingActions
    ) -> None:
        self._retry_after_allowed = settings.retry_after_allowed
        self._quota_reporter = quota_reporter
        self._actions = actions
        self.by_id: dict[str, RequestState] = {}

    def add(self, request: RequestState) -> None:
        """Adds a new request."""
        self.by_id[request.request_id] = request

    def complete(self, request: RequestState) -> None:
        """Removes a request that was answered or whose client no longer waits."""
        request.finished = True
        self.by_id.pop(request.request_id, None)

    def reject_or_fail(self, now: float, request: RequestState) -> None:
        """Ends a request with a rejection if a retry is harmless, or else with a failure."""
        request.finished = True
        self._quota_reporter.return_units(now, request)
        self.by_id.pop(request.request_id, None)
        if request.may_reject():
            retry_after = self._retry_after(request)
            self._actions.append(RejectRequest(request.request_id, retry_after))
        else:
            self._actions.append(FailRequest(request.request_id))

    def reject_unopened(self, request_id: str) -> None:
        """Rejects a request that was not added to the table."""
        self._actions.append(RejectRequest(request_id))

    def _retry_after(self, request: RequestState) -> float:
        """Returns the seconds in which the whole quota refills by the request's units.

        The client may retry at another gateway, so the refill rate of this gateway's slice does not
        matter.  0 means that no delay is suggested.
        """
        if request.plan.rate and self._retry_after_allowed:
            return request.units / request.plan.rate
        return 0.0

    def client_disconnected(self, request_id: str) -> None:
        """Removes a request whose client disconnected."""
        request = self.by_id.pop(request_id, None)
        if request is not None:
            request.finished = True

    def response_started(self, request_id: str) -> None:
        """Removes the deadline of a request whose response is being streamed."""
        request = self.by_id.get(request_id)
        if request is not None:
            request.deadline = float("inf")
