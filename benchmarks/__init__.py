"""Measurements that are run by hand, not as tests; docs/ has the results."""
