"""The exchange and its ports, without protocols, sockets or decisions."""
