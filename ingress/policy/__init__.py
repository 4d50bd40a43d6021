"""All decisions of an ingress: admission, load balancing, retries, quotas; no I/O, no clock."""
