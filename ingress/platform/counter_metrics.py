"""State of the shared counter for operators; keys and values are stable names."""

from __future__ import annotations

from typing import Final

from ingress.policy.counter_consistency import ConsistencyCheck
from ingress.policy.gateway import Gateway

MEMBER_DIGITS: Final = 2
SHARE_DIGITS: Final = 3


def _check_report(check: ConsistencyCheck) -> dict[str, object]:
    return {
        "state": check.state.value,
        "members": round(check.member_count, MEMBER_DIGITS),
        "parted": check.partitions,
        "replaced": check.replacements,
    }


def counter_report(gateway: Gateway, now: float) -> dict[str, object]:
    """Returns the states of the checks, shares from 0 to 1, and counts of customers and totals."""
    customers = gateway.admission.customers.values()
    consistency = gateway.quota_reporter.consistency.checks
    return {
        "checks": [_check_report(check) for check in consistency.checks],
        "share": round(consistency.reachable_share(now), SHARE_DIGITS),
        "asked_share": round(gateway.counter_throttle.call_share, SHARE_DIGITS),
        "replaced": sum(customer.ledger.replacements for customer in customers),
        "unreached": sum(customer.counter_backoff > 0 for customer in customers),
        "untold": len(gateway.quota_reporter.unreported_customers),
        "late": consistency.late_totals,
        "customers": len(gateway.admission.customers),
    }
