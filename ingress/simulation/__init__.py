"""Fleet simulation in virtual time: the real policy with models of clients and services."""
