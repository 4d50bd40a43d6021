"""Gossip-based group membership: the instances of the fleet and whether each of them is alive.

Implements the public descriptions of SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar,
Phillips and Currey, 2017). Does no I/O and reads no clock: a transport passes in datagrams and the
time.
"""
