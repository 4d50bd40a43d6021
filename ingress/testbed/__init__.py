"""The testbed: simulated peers, faults and an invariant checker for real instances on loopback.

Nothing here imports the ingress, so that the checker shares no code with the program it checks.
"""
