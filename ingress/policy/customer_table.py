"""Table of the customers that this gateway keeps state for, limited in number."""

from __future__ import annotations

from typing import Final

from ingress.policy.customer import Customer
from ingress.policy.quota_reporting import QuotaReporter

DEFAULT_MAX_CUSTOMERS: Final = 100_000
MAX_CANDIDATES: Final = 8
"""Customers that are considered for replacement by one new customer."""


class CustomerTable:
    """The customers, from the one whose last request is longest ago.

    A customer is replaced by a new one only if a new state would equal its own: its slices are
    full, and nothing has to be reported. Otherwise a client could regain a spent quota by sending
    requests of other customers in between.

    Attributes:
        by_id: All customers by id.
        max_customers: The limit on their number.
        turned_away: The number of requests whose customer did not fit.
    """

    def __init__(self, quota_reporter: QuotaReporter, max_customers: int) -> None:
        self._quota_reporter = quota_reporter
        self.by_id: dict[str, Customer] = {}
        self.max_customers = max_customers
        self.turned_away = 0

    def touch(self, customer: Customer, now: float) -> None:
        """Records a request of a customer in the table."""
        customer.last_request_at = now
        del self.by_id[customer.customer_id]
        self.by_id[customer.customer_id] = customer

    def has_room(self, now: float) -> bool:
        """Returns whether a new customer fits, after replacing another one if necessary."""
        if len(self.by_id) < self.max_customers:
            return True
        for _ in range(min(MAX_CANDIDATES, len(self.by_id))):
            customer = next(iter(self.by_id.values()))
            if customer.equals_new_customer(now) and not self._quota_reporter.is_due(customer):
                self._drop(customer)
                return True
            # Others are considered for the next new customer.
            del self.by_id[customer.customer_id]
            self.by_id[customer.customer_id] = customer
        self.turned_away += 1
        return False

    def add(self, customer: Customer) -> None:
        """Adds a new customer, or replaces one whose plan has changed."""
        self.by_id.pop(customer.customer_id, None)
        self.by_id[customer.customer_id] = customer

    def drop_idle(self, now: float) -> None:
        """Removes idle customers whose state equals that of a new customer."""
        for customer in list(self.by_id.values()):
            if customer.is_idle(now) and not self._quota_reporter.is_due(customer):
                self._drop(customer)

    def _drop(self, customer: Customer) -> None:
        del self.by_id[customer.customer_id]
        self._quota_reporter.forget(customer)
