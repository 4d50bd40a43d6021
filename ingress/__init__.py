"""Proxy with admission control and fleet-wide quotas for a service that is sold by plan."""
