"""Placement of requests with idempotency keys while backends do not all share a memory of keys.

This package does no I/O and reads no clock.
"""
