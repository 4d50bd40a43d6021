"""Handover: when an instance is lost, another one takes over its requests in flight, once.

Replicas keep a record of each request that has an idempotency key. Before an instance forwards such
a request, its coordinator asks the replicas for a grant. Nothing in this package does I/O or reads
a clock: `components.handover_upstream` drives it in the program, `simulation.model_checker` in the
model checker.
"""
