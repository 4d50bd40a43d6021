"""The testbed: stand-ins, faults and an invariant checker around real instances, on loopback.

Nothing here imports the ingress: what judges it shares no code with it.
"""
