"""Durable key-value storage: a write-ahead log with snapshots, over a small file interface."""
