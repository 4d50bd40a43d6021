"""Platform integration: configuration, discovery, shared counter and graceful shutdown."""
