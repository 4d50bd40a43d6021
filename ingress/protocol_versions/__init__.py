"""Protocol versions: the meaning of requests and responses in each version, and their encoding.

Each version has its own file, so adding a version changes no other. Nothing here does I/O or reads
a clock.
"""
