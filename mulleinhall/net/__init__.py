"""The ingress on real sockets."""
