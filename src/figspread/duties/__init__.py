"""Leases, idempotency claims and distribution of the configuration."""
