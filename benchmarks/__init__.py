"""Measurements that are no tests: run by hand, results in docs/."""
