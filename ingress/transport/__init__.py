"""Connections from clients and to backends; the protocol codecs are in other packages."""
