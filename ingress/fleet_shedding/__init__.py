"""Fleet-wide load shedding from the load and backend health that instances report to each other.

Does no I/O and reads no clock.
"""
